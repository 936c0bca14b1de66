#include "call_exchange.h"

#include <algorithm>
#include <utility>

#include "dotterelshed/http_status.h"
#include "dotterelshed/log_events.h"
#include "dotterelshed/metrics.h"
#include "dotterelshed/steady_time.h"

namespace dotterelshed {

namespace {

/// Part of a route's timeout that is kept for the way back to the caller.
constexpr Duration kTimeoutMargin = std::chrono::milliseconds(40);
/// Less than this isn't worth an attempt.
constexpr Duration kLeastAttemptTime = std::chrono::milliseconds(30);
constexpr int kMaxAttempts = 6;
/// Time without an answer after which a repeatable request is sent once more:
/// a multiple of the endpoint's mean, within bounds.
constexpr int kSilenceFactor = 5;
constexpr Duration kLeastSilence = std::chrono::milliseconds(400);
constexpr Duration kMostSilence = std::chrono::milliseconds(900);
/// Callers give streams up that are silent for two seconds.
constexpr Duration kSilentStream = std::chrono::milliseconds(1300);
/// Less time than this isn't worth a repetition.
constexpr Duration kLeastRepeatTime = std::chrono::milliseconds(200);
/// A kept connection that was idle for longer may be closing at the other end:
/// a request that may run only once goes on a new one.
constexpr Duration kMaxIdleNonIdempotent = std::chrono::milliseconds(1000);
constexpr Duration kMaxIdleRepeatable = std::chrono::seconds(20);
constexpr Duration kRetryAfter = std::chrono::milliseconds(150);

}  // namespace

CallExchange::CallExchange(EntryContext& context,
                           GrantClient& grants,
                           std::shared_ptr<ServerConnection> caller,
                           IncomingRequest request,
                           const Route& route,
                           Ended ended)
    : m_context(context),
      m_grants(grants),
      m_caller(std::move(caller)),
      m_request(std::move(request)),
      m_routes(m_context.m_routes),
      m_route(route),
      m_ended(std::move(ended)),
      m_facts(ParseCallHeaders(m_request.m_head)),
      m_suspicion(m_context, m_request, m_facts.m_caller),
      m_begun(SteadyTime()) {
  m_service = PickService(m_route, m_context.Draw());
  const auto& engine = TraitsOf(*m_routes, m_service).m_engine;
  if (engine) {
    m_tokens_per_event = engine->m_tokens_per_event;
  }
  auto wait = m_route.m_timeout - kTimeoutMargin;
  if (m_facts.m_deadline) {
    wait = std::min(wait, *m_facts.m_deadline);
  }
  m_deadline = m_begun + wait;
  m_last_event = m_facts.m_resume_after;
}

auto CallExchange::IsTurn() const -> bool {
  return m_route.m_kind == CallKind::kStream && !m_facts.m_program.empty() &&
         m_facts.m_budget.has_value();
}

auto CallExchange::MayRepeat() const -> bool {
  return m_route.m_kind == CallKind::kIdempotent ||
         (m_route.m_kind == CallKind::kStream && m_route.m_resumable);
}

auto CallExchange::Start() -> void {
  m_caller->SetGoneHandler([weak = weak_from_this()] {
    if (const auto self = weak.lock()) {
      self->OnCallerGone();
    }
  });
  if (!CheckQuarantine()) {
    return;
  }
  if (IsTurn()) {
    AskGrant();
  } else {
    NextAttempt();
  }
}

// Budget.

auto CallExchange::AskGrant() -> void {
  GrantQuestion question;
  question.m_grant = {.m_program = m_facts.m_program,
                      .m_request = m_facts.m_request,
                      .m_budget = *m_facts.m_budget,
                      .m_turn_max = m_facts.m_max_tokens};
  question.m_service = m_service;
  m_granted = true;
  m_grants.Ask(question,
               [self = shared_from_this()](const GrantAnswer& answer) {
                 self->OnGrant(answer);
               });
}

auto CallExchange::OnGrant(const GrantAnswer& answer) -> void {
  if (answer.m_verdict != GrantVerdict::kGranted) {
    m_granted = false;
  }
  if (m_over) {
    // The caller left meanwhile: the turn doesn't run.
    if (m_granted) {
      m_grants.Settle(
          {.m_program = m_facts.m_program, .m_request = m_facts.m_request});
    }
    return;
  }
  switch (answer.m_verdict) {
    case GrantVerdict::kGranted:
      m_next = answer.m_endpoint;
      m_grant_tokens = answer.m_tokens;
      NextAttempt();
      return;
    case GrantVerdict::kBudgetSpent:
      AnswerSelf(kStatusBudgetSpent, "budget_spent");
      return;
    default:
      AnswerSelf(kStatusUnavailable, "no_grant", kRetryAfter);
      return;
  }
}

// Attempts.

auto CallExchange::Choose() -> std::optional<EndpointId> {
  const auto next = std::exchange(m_next, EndpointId());
  const auto avoided = m_suspicion.Avoided();
  const auto* entry = FindEndpoint(m_context.m_directory, next);
  // The route may allow no other endpoint than one that had it before.
  const auto apart = m_run_on.contains(next) || !avoided.contains(next);
  if (entry != nullptr && !m_excluded.contains(next) && apart) {
    if (!entry->m_leaving) {
      return next;
    }
    if (m_run_on.contains(next)) {
      // The route allows no further endpoint, and this one takes no new work.
      return std::nullopt;
    }
  }
  return ChooseEndpoint(m_context.m_directory, m_context.m_loads,
                        {.m_service = m_service,
                         .m_domain = m_context.m_settings.m_domain,
                         .m_excluded = m_excluded,
                         .m_avoided = avoided,
                         .m_draw = m_context.Draw()},
                        SteadyTime());
}

auto CallExchange::NextAttempt() -> void {
  if (!CheckQuarantine()) {
    return;
  }
  const auto now = SteadyTime();
  const auto endpoint = Choose();
  if (!endpoint || m_attempts >= kMaxAttempts ||
      m_deadline - now < kLeastAttemptTime) {
    const auto reason = endpoint ? "attempts_used_up" : "no_endpoint";
    AnswerUnserved(reason, kRetryAfter);
    return;
  }
  const auto* entry = FindEndpoint(m_context.m_directory, *endpoint);
  m_attempt = {};
  m_attempt.m_endpoint = *endpoint;
  m_attempt.m_address = entry->m_address;
  ++m_context.m_loads[*endpoint].m_outstanding;
  ++m_attempts;
  const auto max_idle =
      MayRepeat() ? kMaxIdleRepeatable : kMaxIdleNonIdempotent;
  m_context.m_endpoints.Take(
      entry->m_address, max_idle,
      [self = shared_from_this(),
       attempt = m_attempts](std::shared_ptr<ClientConnection> connection) {
        self->OnConnection(attempt, std::move(connection));
      });
}

auto CallExchange::OnConnection(int attempt,
                                std::shared_ptr<ClientConnection> connection)
    -> void {
  if (m_over || attempt != m_attempts) {
    if (connection) {
      m_context.m_endpoints.Return(m_attempt.m_address, connection,
                                   std::nullopt);
    }
    return;
  }
  if (!connection) {
    NoteFailure(m_context.m_loads[m_attempt.m_endpoint], SteadyTime());
    // An endpoint that can't be reached has ended or is cut off.
    m_run_on.erase(m_attempt.m_endpoint);
    AfterNotRun("not_connected");
    return;
  }
  m_attempt.m_connection = std::move(connection);
  SendAttempt();
}

auto CallExchange::SendAttempt() -> void {
  const auto now = SteadyTime();
  AttemptHeaders attempt;
  attempt.m_endpoint = m_attempt.m_endpoint;
  attempt.m_deadline = m_deadline - now;
  if (m_last_event) {
    attempt.m_resume_after = m_last_event;
  }
  const auto& head = m_request.m_head;
  auto bytes = FormatRequest(head.m_method, head.m_target,
                             MakeEndpointFields(head.m_fields, attempt),
                             m_request.m_body);
  m_attempt.m_sent = true;
  m_attempt.m_sent_at = now;
  m_attempt.m_may_have_run_before = std::exchange(m_may_have_run, true);
  m_suspicion.OnSent(m_attempt.m_endpoint, now);
  m_attempt.m_first_here = m_run_on.insert(m_attempt.m_endpoint).second;
  const auto self = shared_from_this();
  m_attempt.m_connection->Exchange(
      bytes, head.m_method == "HEAD",
      {.m_on_head =
           [self](ResponseHead& answer) { return self->OnHead(answer); },
       .m_on_body = [self](std::string_view body) { self->OnBody(body); },
       .m_on_done = [self] { self->OnDone(); },
       .m_on_failure =
           [self](ExchangeFailure failure) { self->OnFailure(failure); }});
}

auto CallExchange::EndAttempt() -> void {
  if (m_attempt.m_endpoint.empty()) {
    return;
  }
  --m_context.m_loads[m_attempt.m_endpoint].m_outstanding;
  m_suspicion.OnAttemptOver();
  if (const auto connection = std::exchange(m_attempt.m_connection, nullptr)) {
    m_context.m_endpoints.Return(m_attempt.m_address, connection,
                                 m_attempt.m_facts.m_keep_alive);
  }
  m_attempt.m_endpoint = EndpointId();
}

auto CallExchange::CheckQuarantine() -> bool {
  const auto now = SteadyTime();
  if (m_suspicion.MayRun(now)) {
    return true;
  }
  AnswerUnserved("quarantined", m_suspicion.QuarantineLeft(now));
  return false;
}

auto CallExchange::NoteLost(CrashEvidence evidence) -> void {
  m_suspicion.OnLost(evidence, SteadyTime());
}

// Ends.

auto CallExchange::AnswerSelf(int status,
                              std::string_view reason,
                              std::optional<Duration> retry_after) -> void {
  if (m_passing) {
    BreakOff(reason);
    return;
  }
  HttpFields fields;
  if (retry_after) {
    fields.push_back(MakeRetryAfterField(*retry_after));
  }
  EndAttempt();
  m_caller->Answer(status, std::move(fields), "");
  Finish(status, reason);
}

auto CallExchange::AnswerUnserved(std::string_view reason, Duration retry_after)
    -> void {
  if (m_may_have_run) {
    AnswerSelf(kStatusBadGateway, reason);
  } else {
    AnswerSelf(kStatusUnavailable, reason, retry_after);
  }
}

auto CallExchange::BreakOff(std::string_view reason) -> void {
  EndAttempt();
  m_caller->Abort();
  Finish(0, reason);
}

auto CallExchange::OnCallerGone() -> void {
  if (m_over) {
    return;
  }
  if (m_attempt.m_connection) {
    // Closing the connection stops the endpoint's work.
    m_attempt.m_connection->Close();
    NoteLost(CrashEvidence::kUnproved);
  }
  EndAttempt();
  Finish(0, "caller_gone");
}

auto CallExchange::SilenceLimit() const -> Duration {
  if (m_route.m_kind == CallKind::kStream) {
    return kSilentStream;
  }
  const auto load = m_context.m_loads.find(m_attempt.m_endpoint);
  const auto mean = load == m_context.m_loads.end()
                        ? Duration{0}
                        : load->second.m_mean_latency;
  return std::clamp(mean * kSilenceFactor, kLeastSilence, kMostSilence);
}

/// An answer that doesn't come may be lost, though the endpoint is well.
auto CallExchange::RepeatIfSilent(TimePoint now) -> void {
  const auto waits = m_attempt.m_sent && !m_attempt.m_answered &&
                     m_attempt.m_connection != nullptr;
  if (!waits || !MayRepeat() || m_repeated_in_silence ||
      now - m_attempt.m_sent_at < SilenceLimit() ||
      m_deadline - now < kLeastRepeatTime) {
    return;
  }
  m_repeated_in_silence = true;
  m_attempt.m_connection->Close();
  NoteLost(CrashEvidence::kUnproved);
  AfterLostAttempt("silent");
}

auto CallExchange::Tick(TimePoint now) -> void {
  if (!m_over && now < m_deadline) {
    RepeatIfSilent(now);
  }
  if (m_over || now < m_deadline) {
    return;
  }
  if (m_attempt.m_connection) {
    m_attempt.m_connection->Close();
    NoteLost(CrashEvidence::kUnproved);
  }
  if (m_may_have_run) {
    AnswerSelf(kStatusGatewayTimeout, "deadline");
  } else {
    AnswerSelf(kStatusUnavailable, "deadline", kRetryAfter);
  }
}

auto CallExchange::Finish(int status, std::string_view reason) -> void {
  m_over = true;
  if (m_granted) {
    const auto used = Tokens(m_events_passed * m_tokens_per_event);
    m_grants.Settle({.m_program = m_facts.m_program,
                     .m_request = m_facts.m_request,
                     .m_used = used});
  }
  const auto now = SteadyTime();
  const auto kind = ToString(m_route.m_kind);
  CountMetric(MetricId::kEntryRequests, reason);
  ObserveMetric(MetricId::kEntrySeconds, kind, now - m_begun);
  if (m_passing) {
    ObserveMetric(MetricId::kEntryFirstByteSeconds, kind, m_first_byte);
  }
  LogEvent(LogEventId::kRequestEnded,
           {{"request", m_facts.m_request.value()},
            {"program", m_facts.m_program.value()},
            {"route", m_route.m_name},
            {"status", std::to_string(status)},
            {"reason", std::string(reason)},
            {"attempts", std::to_string(m_attempts)},
            {"events", std::to_string(m_events_passed)},
            {"first_ms", FormatMs(m_first_byte)},
            {"ms", FormatMs(now - m_begun)},
            {"config", std::to_string(m_routes->m_generation.value())},
            {"view_ms", FormatMs(m_context.m_endpoint_follower->Age(now))}},
           IsSuccess(status) ? LogWeight::kOrdinary : LogWeight::kUnusual);
  m_ended(shared_from_this());
}

auto CallExchange::LogAttempt(std::string_view reason, bool may_have_run)
    -> void {
  const auto now = SteadyTime();
  LogEvent(LogEventId::kAttemptEnded,
           {{"request", m_facts.m_request.value()},
            {"endpoint", m_attempt.m_endpoint.value()},
            {"reason", std::string(reason)},
            {"may_have_run", may_have_run ? "yes" : "no"},
            {"content", ToString(m_suspicion.fingerprint().m_content)},
            {"caller", m_facts.m_caller},
            {"attempt", std::to_string(m_attempts)},
            {"ms", FormatMs(now - m_begun)},
            {"view_ms", FormatMs(m_context.m_endpoint_follower->Age(now))}});
}

}  // namespace dotterelshed
