#include "call/call_exchange.h"

#include <algorithm>
#include <utility>

#include "dotterelshed/http_status.h"
#include "dotterelshed/log_events.h"
#include "dotterelshed/metrics.h"
#include "dotterelshed/steady_time.h"

namespace dotterelshed {

namespace {

/// Part of the route timeout reserved for returning the response to the client.
constexpr Duration kTimeoutMargin = std::chrono::milliseconds(40);
/// Minimum time left before the deadline for starting an attempt.
constexpr Duration kMinAttemptTime = std::chrono::milliseconds(30);
constexpr int kMaxAttempts = 6;
/// A retryable request without a response is sent once more after this multiple
/// of the endpoint's mean latency, clamped to the bounds below.
constexpr int kResponseTimeoutFactor = 5;
constexpr Duration kMinResponseTimeout = std::chrono::milliseconds(400);
constexpr Duration kMaxResponseTimeout = std::chrono::milliseconds(900);
/// Response timeout of streams; clients abandon a stream that is silent for two
/// seconds.
constexpr Duration kStreamResponseTimeout = std::chrono::milliseconds(1300);
/// Minimum time left before the deadline for a retry after a response timeout.
constexpr Duration kMinRetryTime = std::chrono::milliseconds(200);
/// Maximum idle time of a reused connection for a request that may be executed
/// only once: an older one may be closing at the other end.
constexpr Duration kMaxIdleNonRetryable = std::chrono::milliseconds(1000);
constexpr Duration kMaxIdleRetryable = std::chrono::seconds(20);
constexpr Duration kRetryAfter = std::chrono::milliseconds(150);
/// Turns are kept somewhat longer than the route says, so that one that is
/// continued at the last moment is still there.
constexpr Duration kLifetimeMargin = std::chrono::seconds(10);

}  // namespace

CallExchange::CallExchange(EntryContext& context,
                           GrantClient& grants,
                           HistoryClient& history,
                           QuotaClient& quotas,
                           std::shared_ptr<ServerConnection> caller,
                           IncomingRequest request,
                           const Route& route,
                           Completed completed)
    : m_context(context),
      m_grants(grants),
      m_history(history),
      m_quotas(quotas),
      m_caller(std::move(caller)),
      m_request(std::move(request)),
      m_routes(m_context.m_routes),
      m_route(route),
      m_completed(std::move(completed)),
      m_headers(ParseCallHeaders(m_request.m_head)),
      m_access(DecideCallAccess(m_context, m_route, m_headers)),
      m_account(m_access.m_account),
      m_ids(MakeStoredIds(m_headers, ScopeOf(m_access))),
      m_crash_tracker(m_context, m_request, m_headers, ScopeOf(m_access)),
      m_started_at(SteadyTime()) {
  m_service = PickService(m_route, m_context.RandomFraction());
  const auto& engine = TraitsOf(*m_routes, m_service).m_engine;
  if (engine) {
    m_tokens_per_event = engine->m_tokens_per_event;
  }
  auto wait = m_route.m_timeout - kTimeoutMargin;
  if (m_headers.m_deadline) {
    wait = std::min(wait, *m_headers.m_deadline);
  }
  m_deadline = m_started_at + wait;
  m_last_event_id = m_headers.m_resume_after;
}

auto CallExchange::IsTurn() const -> bool {
  return m_route.m_kind == CallKind::kStream && !m_headers.m_program.empty() &&
         m_headers.m_budget.has_value();
}

auto CallExchange::IsRetryable() const -> bool {
  return m_route.m_kind == CallKind::kIdempotent ||
         (m_route.m_kind == CallKind::kStream && m_route.m_resumable);
}

auto CallExchange::KeepsHistory() const -> bool {
  return m_route.m_keeps_history && m_route.m_kind == CallKind::kStream &&
         !m_headers.m_request.empty();
}

auto CallExchange::Start() -> void {
  m_caller->SetGoneHandler([weak = weak_from_this()] {
    if (const auto self = weak.lock()) {
      self->OnCallerDisconnected();
    }
  });
  if (!CheckAccess()) {
    return;
  }
  if (m_account) {
    RequestQuota(*m_account);
  } else {
    BeginWork();
  }
}

auto CallExchange::BeginWork() -> void {
  if (!CheckQuarantine()) {
    return;
  }
  if (KeepsHistory() && !m_history.available()) {
    // A turn that can't be stored in the end must not run.
    RespondLocally(kStatusUnavailable, "history_unavailable", kRetryAfter);
  } else if (KeepsHistory() && m_headers.m_previous_turn) {
    ReadHistory();
  } else {
    BeginAttempts();
  }
}

auto CallExchange::BeginAttempts() -> void {
  if (KeepsHistory()) {
    m_turn_text = m_request.m_body;
  }
  if (IsTurn()) {
    RequestTurnGrant();
  } else {
    StartNextAttempt();
  }
}

// Account of the caller.

auto CallExchange::CheckAccess() -> bool {
  CountAccessDecision(m_access);
  if (IsLetIn(m_access)) {
    return true;
  }
  if (m_access.m_outcome == AccessOutcome::kUnconfirmed) {
    RespondUnserved(ToString(m_access.m_outcome), kRetryAfter);
  } else {
    RespondKeyRequired(m_access.m_outcome);
  }
  return false;
}

auto CallExchange::CheckAccessAgain() -> bool {
  const auto access = DecideCallAccess(m_context, m_route, m_headers);
  if (IsLetIn(access) && ScopeOf(access) == ScopeOf(m_access)) {
    return true;
  }
  const auto waits = IsLetIn(access) ||
                     access.m_outcome == AccessOutcome::kUnconfirmed ||
                     m_may_have_run;
  if (waits) {
    // The key may belong to another account by now, whose turns, budget and
    // quota were not looked at.
    RespondUnserved("key_changed", kRetryAfter);
  } else {
    RespondKeyRequired(access.m_outcome);
  }
  return false;
}

auto CallExchange::RespondKeyRequired(AccessOutcome outcome) -> void {
  RespondWith(kStatusUnauthorized, ToString(outcome), MakeKeyRequiredFields(),
              KeyRequiredText(outcome == AccessOutcome::kMissingKey));
}

// History of the conversation.

auto CallExchange::ReadHistory() -> void {
  m_history.Read({.m_turn = *m_ids.m_previous_turn,
                  .m_program = m_ids.m_program,
                  .m_retention = m_route.m_retention},
                 [self = shared_from_this()](const HistoryReadResult& result) {
                   self->OnHistory(result);
                 });
}

auto CallExchange::OnHistory(const HistoryReadResult& result) -> void {
  if (m_finished) {
    return;
  }
  switch (result.m_outcome) {
    case HistoryOutcome::kFound:
      break;
    case HistoryOutcome::kAbsent:
      RespondLocally(kStatusNotFound, "no_such_turn");
      return;
    case HistoryOutcome::kUnknown:
      RespondLocally(kStatusUnavailable, "history_unavailable", kRetryAfter);
      return;
  }
  m_previous_text = result.m_text;
  BeginAttempts();
}

auto CallExchange::StoreTurn() -> void {
  m_storing = true;
  m_history.Store({.m_turn = m_ids.m_request,
                   .m_previous = m_ids.m_previous_turn.value_or(RequestId()),
                   .m_program = m_ids.m_program,
                   .m_text = m_turn_text,
                   .m_lifetime = m_route.m_retention + kLifetimeMargin},
                  [weak = weak_from_this()] {
                    if (const auto self = weak.lock()) {
                      self->OnTurnStored();
                    }
                  });
}

auto CallExchange::OnTurnStored() -> void {
  if (m_finished) {
    return;
  }
  const auto before = m_previous_text ? *m_previous_text : std::string();
  m_history.Remember(m_ids.m_request,
                     std::make_shared<const std::string>(before + m_turn_text));
  m_storing = false;
  EndResponse();
}

// Token budget.

auto CallExchange::RequestTurnGrant() -> void {
  TurnGrantRequest request;
  request.m_grant = {.m_program = m_ids.m_program,
                     .m_request = m_ids.m_request,
                     .m_budget = *m_headers.m_budget,
                     .m_turn_max = m_headers.m_max_tokens};
  request.m_service = m_service;
  m_must_settle = true;
  m_grants.RequestTurn(
      request, [self = shared_from_this()](const TurnGrantResponse& response) {
        self->OnTurnGrant(response);
      });
}

auto CallExchange::OnTurnGrant(const TurnGrantResponse& response) -> void {
  if (response.m_verdict != GrantVerdict::kGranted) {
    m_must_settle = false;
  }
  if (m_finished) {
    // The client has disconnected, so the turn does not run.
    if (m_must_settle) {
      m_grants.Settle(
          {.m_program = m_ids.m_program, .m_request = m_ids.m_request});
    }
    return;
  }
  switch (response.m_verdict) {
    case GrantVerdict::kGranted:
      m_next_endpoint = response.m_endpoint;
      m_granted_tokens = response.m_tokens;
      StartNextAttempt();
      return;
    case GrantVerdict::kBudgetSpent:
      RespondLocally(kStatusBudgetSpent, "budget_spent");
      return;
    default:
      RespondLocally(kStatusUnavailable, "no_grant", kRetryAfter);
      return;
  }
}

// Attempts.

auto CallExchange::PickEndpoint() -> std::optional<EndpointId> {
  const auto next = std::exchange(m_next_endpoint, EndpointId());
  const auto avoided = m_crash_tracker.AvoidedEndpoints();
  const auto* entry = FindEndpoint(m_context.m_directory, next);
  // An endpoint that already had the request is allowed, since the route may
  // permit no other.
  const auto allowed =
      m_may_have_run_on.contains(next) || !avoided.contains(next);
  if (entry != nullptr && !m_excluded.contains(next) && allowed) {
    if (!entry->m_leaving) {
      return next;
    }
    if (m_may_have_run_on.contains(next)) {
      // The route permits no further endpoint, and this one takes no new work.
      return std::nullopt;
    }
  }
  return ChooseEndpoint(m_context.m_directory, m_context.m_loads,
                        {.m_service = m_service,
                         .m_domain = m_context.m_settings.m_domain,
                         .m_excluded = m_excluded,
                         .m_avoided = avoided,
                         .m_draw = m_context.RandomFraction()},
                        SteadyTime());
}

auto CallExchange::StartNextAttempt() -> void {
  if (!CheckQuarantine()) {
    return;
  }
  const auto now = SteadyTime();
  const auto endpoint = PickEndpoint();
  if (!endpoint || m_attempts >= kMaxAttempts ||
      m_deadline - now < kMinAttemptTime) {
    const auto reason = endpoint ? "attempts_used_up" : "no_endpoint";
    RespondUnserved(reason, kRetryAfter);
    return;
  }
  const auto* entry = FindEndpoint(m_context.m_directory, *endpoint);
  m_attempt = {};
  m_attempt.m_endpoint = *endpoint;
  m_attempt.m_address = entry->m_address;
  ++m_context.m_loads[*endpoint].m_outstanding;
  ++m_attempts;
  const auto max_idle =
      IsRetryable() ? kMaxIdleRetryable : kMaxIdleNonRetryable;
  m_context.m_endpoint_connections.Acquire(
      entry->m_address, max_idle,
      [self = shared_from_this(),
       attempt = m_attempts](std::shared_ptr<ClientConnection> connection) {
        self->OnConnection(attempt, std::move(connection));
      });
}

auto CallExchange::OnConnection(int attempt,
                                std::shared_ptr<ClientConnection> connection)
    -> void {
  if (m_finished || attempt != m_attempts) {
    if (connection) {
      m_context.m_endpoint_connections.Release(m_attempt.m_address, connection,
                                               std::nullopt);
    }
    return;
  }
  if (!connection) {
    NoteFailure(m_context.m_loads[m_attempt.m_endpoint], SteadyTime());
    // An unreachable endpoint has terminated or is partitioned.
    m_may_have_run_on.erase(m_attempt.m_endpoint);
    HandleNotExecuted("not_connected");
    return;
  }
  m_attempt.m_connection = std::move(connection);
  SendAttempt();
}

auto CallExchange::SendAttempt() -> void {
  if (!CheckAccessAgain()) {
    return;
  }
  const auto now = SteadyTime();
  AttemptHeaders attempt;
  attempt.m_endpoint = m_attempt.m_endpoint;
  attempt.m_deadline = m_deadline - now;
  if (m_last_event_id) {
    attempt.m_resume_after = m_last_event_id;
  }
  attempt.m_accounts_in_force = m_access.m_outcome != AccessOutcome::kNotNeeded;
  attempt.m_account = m_account;
  const auto& head = m_request.m_head;
  auto bytes = FormatRequest(
      head.m_method, head.m_target, MakeEndpointFields(head.m_fields, attempt),
      m_previous_text ? *m_previous_text + m_request.m_body : m_request.m_body);
  m_attempt.m_sent = true;
  m_attempt.m_sent_at = now;
  m_attempt.m_may_have_run_before = std::exchange(m_may_have_run, true);
  m_crash_tracker.OnAttemptSent(m_attempt.m_endpoint, now);
  m_attempt.m_first_at_endpoint =
      m_may_have_run_on.insert(m_attempt.m_endpoint).second;
  const auto self = shared_from_this();
  m_attempt.m_connection->Exchange(
      bytes, head.m_method == "HEAD",
      {.m_on_head =
           [self](ResponseHead& response) { return self->OnHead(response); },
       .m_on_body = [self](std::string_view body) { self->OnBody(body); },
       .m_on_done = [self] { self->OnResponseComplete(); },
       .m_on_failure =
           [self](ExchangeFailure failure) { self->OnFailure(failure); }});
}

auto CallExchange::EndAttempt() -> void {
  if (m_attempt.m_endpoint.empty()) {
    return;
  }
  --m_context.m_loads[m_attempt.m_endpoint].m_outstanding;
  m_crash_tracker.OnAttemptOver();
  if (const auto connection = std::exchange(m_attempt.m_connection, nullptr)) {
    m_context.m_endpoint_connections.Release(m_attempt.m_address, connection,
                                             m_attempt.m_headers.m_keep_alive);
  }
  m_attempt.m_endpoint = EndpointId();
}

auto CallExchange::CheckQuarantine() -> bool {
  const auto now = SteadyTime();
  if (m_crash_tracker.MayRun(now)) {
    return true;
  }
  RespondUnserved("quarantined", m_crash_tracker.QuarantineLeft(now));
  return false;
}

auto CallExchange::ReportLostAttempt(CrashEvidence evidence) -> void {
  m_crash_tracker.OnAttemptLost(evidence, SteadyTime());
}

// Completion.

auto CallExchange::RespondLocally(int status,
                                  std::string_view reason,
                                  std::optional<Duration> retry_after) -> void {
  HttpFields fields;
  if (retry_after) {
    fields.push_back(MakeRetryAfterField(*retry_after));
  }
  RespondWith(status, reason, std::move(fields), "");
}

auto CallExchange::RespondWith(int status,
                               std::string_view reason,
                               HttpFields fields,
                               std::string_view body) -> void {
  if (m_forwarding) {
    AbortResponse(reason);
    return;
  }
  EndAttempt();
  m_caller->Answer(status, std::move(fields), body);
  Finish(status, reason);
}

auto CallExchange::RespondUnserved(std::string_view reason,
                                   Duration retry_after) -> void {
  if (m_may_have_run) {
    RespondLocally(kStatusBadGateway, reason);
  } else {
    RespondLocally(kStatusUnavailable, reason, retry_after);
  }
}

auto CallExchange::AbortResponse(std::string_view reason) -> void {
  EndAttempt();
  m_caller->Abort();
  Finish(0, reason);
}

auto CallExchange::OnCallerDisconnected() -> void {
  if (m_finished) {
    return;
  }
  if (m_attempt.m_connection) {
    // Closing the connection cancels the work at the endpoint.
    m_attempt.m_connection->Close();
    ReportLostAttempt(CrashEvidence::kUnproved);
  }
  EndAttempt();
  Finish(0, "caller_gone");
}

auto CallExchange::ResponseTimeout() const -> Duration {
  if (m_route.m_kind == CallKind::kStream) {
    return kStreamResponseTimeout;
  }
  const auto load = m_context.m_loads.find(m_attempt.m_endpoint);
  const auto mean = load == m_context.m_loads.end()
                        ? Duration{0}
                        : load->second.m_mean_latency;
  return std::clamp(mean * kResponseTimeoutFactor, kMinResponseTimeout,
                    kMaxResponseTimeout);
}

/// The response may be lost although the endpoint is healthy.
auto CallExchange::RetryIfNoResponse(TimePoint now) -> void {
  const auto waits = m_attempt.m_sent && !m_attempt.m_response_started &&
                     m_attempt.m_connection != nullptr;
  if (!waits || !IsRetryable() || m_retried_without_response ||
      now - m_attempt.m_sent_at < ResponseTimeout() ||
      m_deadline - now < kMinRetryTime) {
    return;
  }
  m_retried_without_response = true;
  m_attempt.m_connection->Close();
  ReportLostAttempt(CrashEvidence::kUnproved);
  HandleLostAttempt("silent");
}

auto CallExchange::Tick(TimePoint now) -> void {
  if (!m_finished && now < m_deadline) {
    RetryIfNoResponse(now);
  }
  if (m_finished || now < m_deadline) {
    return;
  }
  if (m_attempt.m_connection) {
    m_attempt.m_connection->Close();
    ReportLostAttempt(CrashEvidence::kUnproved);
  }
  if (m_may_have_run) {
    RespondLocally(kStatusGatewayTimeout, "deadline");
  } else {
    RespondLocally(kStatusUnavailable, "deadline", kRetryAfter);
  }
}

auto CallExchange::Finish(int status, std::string_view reason) -> void {
  m_finished = true;
  GiveBackQuota();
  if (std::exchange(m_storing, false)) {
    // The response was not completed, so that the turn must not be continued.
    m_history.Withdraw({.m_turn = m_ids.m_request,
                        .m_lifetime = m_route.m_retention + kLifetimeMargin});
  }
  if (m_must_settle) {
    const auto used = Tokens(m_events_forwarded * m_tokens_per_event);
    m_grants.Settle({.m_program = m_ids.m_program,
                     .m_request = m_ids.m_request,
                     .m_used = used});
  }
  const auto now = SteadyTime();
  const auto kind = ToString(m_route.m_kind);
  CountMetric(MetricId::kEntryRequests, reason);
  CountAccountRequest(m_context, ScopeOf(m_access), IsSuccess(status));
  ObserveMetric(MetricId::kEntrySeconds, kind, now - m_started_at);
  if (m_forwarding) {
    ObserveMetric(MetricId::kEntryFirstByteSeconds, kind, m_time_to_first_byte);
  }
  LogEvent(LogEventId::kRequestEnded,
           {{"request", m_headers.m_request.value()},
            {"program", m_headers.m_program.value()},
            {"account", m_account.value_or(AccountId()).value()},
            {"route", m_route.m_name},
            {"status", std::to_string(status)},
            {"reason", std::string(reason)},
            {"attempts", std::to_string(m_attempts)},
            {"events", std::to_string(m_events_forwarded)},
            {"first_ms", FormatMs(m_time_to_first_byte)},
            {"ms", FormatMs(now - m_started_at)},
            {"config", std::to_string(m_routes->m_generation.value())},
            {"view_ms", FormatMs(m_context.m_endpoint_watcher->Age(now))}},
           IsSuccess(status) ? LogWeight::kOrdinary : LogWeight::kUnusual);
  m_completed(shared_from_this());
}

auto CallExchange::LogAttempt(std::string_view reason, bool may_have_run)
    -> void {
  const auto now = SteadyTime();
  LogEvent(LogEventId::kAttemptEnded,
           {{"request", m_headers.m_request.value()},
            {"endpoint", m_attempt.m_endpoint.value()},
            {"reason", std::string(reason)},
            {"may_have_run", may_have_run ? "yes" : "no"},
            {"content", ToString(m_crash_tracker.fingerprint().m_content)},
            {"caller", m_headers.m_caller_to_log},
            {"attempt", std::to_string(m_attempts)},
            {"ms", FormatMs(now - m_started_at)},
            {"view_ms", FormatMs(m_context.m_endpoint_watcher->Age(now))}});
}

}  // namespace dotterelshed
