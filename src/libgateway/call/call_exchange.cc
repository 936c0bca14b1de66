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

}  // namespace

CallExchange::CallExchange(EntryContext& context,
                           GrantClient& grants,
                           LimitClient& limits,
                           HistoryClient& history,
                           StreamOriginClient& stream_origins,
                           QuotaClient& quotas,
                           std::shared_ptr<ServerConnection> caller,
                           IncomingRequest request,
                           const Route& route,
                           Completed completed)
    : m_context(context),
      m_grants(grants),
      m_limits(limits),
      m_history(history),
      m_stream_origins(stream_origins),
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
  } else if (TakesUpStream() && m_software.empty()) {
    FindStreamOrigin();
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

auto CallExchange::Tick(TimePoint now) -> void {
  if (!m_finished && now < m_deadline) {
    RetryIfLinkLost(now);
  }
  if (!m_finished && now < m_deadline) {
    RetryIfNoResponse(now);
  }
  if (!m_finished && now >= m_deadline) {
    GiveUp("deadline");
  }
}

auto CallExchange::RespondBeforeShutdown() -> void {
  if (!m_finished && !m_forwarding) {
    GiveUp("stopping");
  }
}

auto CallExchange::AbortForShutdown() -> void {
  if (!m_finished) {
    AbortResponse("stopping");
  }
}

auto CallExchange::GiveUp(std::string_view reason) -> void {
  if (m_attempt.m_connection) {
    const auto silent =
        m_attempt.m_sent && !m_attempt.m_response_started &&
        SteadyTime() - m_attempt.m_sent_at >= kStreamResponseTimeout;
    if (silent) {
      JudgeAttempt(EndpointOutcome::kSilent);
    }
    m_attempt.m_connection->Close();
    ReportLostAttempt(CrashEvidence::kUnproved);
  }
  if (m_may_have_run) {
    RespondLocally(kStatusGatewayTimeout, reason);
  } else {
    RespondLocally(kStatusUnavailable, reason, kRetryAfter);
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
            {"resumes", m_headers.m_resumes.value()},
            {"software", m_software.value()},
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
            {"software", m_attempt.m_software.value()},
            {"reason", std::string(reason)},
            {"may_have_run", may_have_run ? "yes" : "no"},
            {"content", ToString(m_crash_tracker.fingerprint().m_content)},
            {"caller", m_headers.m_caller_to_log},
            {"attempt", std::to_string(m_attempts)},
            {"ms", FormatMs(now - m_started_at)},
            {"view_ms", FormatMs(m_context.m_endpoint_watcher->Age(now))}});
}

}  // namespace dotterelshed
