#include "call/call_exchange.h"

#include <algorithm>
#include <utility>

#include "dotterelshed/http_status.h"
#include "dotterelshed/log_events.h"
#include "dotterelshed/metrics.h"
#include "dotterelshed/steady_time.h"

/// @file
/// The attempts of a request: which endpoint gets it next, and when none does.

namespace dotterelshed {

namespace {

/// Minimum time left before the deadline for starting an attempt.
constexpr Duration kMinAttemptTime = std::chrono::milliseconds(30);
constexpr int kMaxAttempts = 6;
/// Maximum idle time of a reused connection for a request that may be executed
/// only once: an older one may be closing at the other end.
constexpr Duration kMaxIdleNonRetryable = std::chrono::milliseconds(1000);
constexpr Duration kMaxIdleRetryable = std::chrono::seconds(20);

}  // namespace

// Attempts.

auto CallExchange::PickEndpoint() -> std::optional<EndpointId> {
  const auto next = std::exchange(m_next_endpoint, EndpointId());
  const auto avoided = m_crash_tracker.AvoidedEndpoints();
  const auto* entry = FindEndpoint(m_context.m_directory, next);
  if (entry != nullptr && MayUse(*entry, avoided)) {
    if (!entry->m_leaving) {
      return next;
    }
    if (m_may_have_run_on.contains(next)) {
      // The route permits no further endpoint, and this one takes no new work.
      return std::nullopt;
    }
  }
  auto& judgement = m_context.m_judgement;
  const auto now = SteadyTime();
  const auto excluded = ExcludedEndpoints(now);
  if (judgement.m_enabled && m_attempts == 0) {
    auto probe = ProbeFor(judgement, m_context.m_directory, m_service,
                          IsRetryable(), now);
    if (probe && !avoided.contains(*probe) && !excluded.contains(*probe) &&
        IsOfVersion(*FindEndpoint(m_context.m_directory, *probe), m_software)) {
      return probe;
    }
  }
  return ChooseEndpoint(
      m_context.m_directory, m_context.m_loads,
      {.m_service = m_service,
       .m_domain = m_context.m_settings.m_domain,
       .m_software = m_software,
       .m_excluded = excluded,
       .m_avoided = avoided,
       .m_shares = &judgement.m_shares,
       .m_share_draw = m_context.RandomFraction(),
       .m_slowness =
           judgement.m_enabled ? &judgement.m_domain.m_slowness : nullptr,
       .m_host = SubsetHost(),
       .m_hosts = judgement.m_domain.m_hosts,
       .m_draw = m_context.RandomFraction()},
      now);
}

auto CallExchange::SubsetHost() const -> HostId {
  const auto& settings = m_context.m_settings;
  return settings.m_obligations.m_spare_connections ? settings.m_host
                                                    : HostId();
}

auto CallExchange::MayUse(const EndpointEntry& entry,
                          const std::set<EndpointId>& avoided) const -> bool {
  const auto& next = entry.m_id;
  // It may have started again with other software.
  if (m_excluded.contains(next) || !IsOfVersion(entry, m_software)) {
    return false;
  }
  // An endpoint that already had the request is allowed, since the route may
  // permit no other.
  if (m_may_have_run_on.contains(next)) {
    return true;
  }
  const auto out = !m_is_probe && IsOutForHost(m_context.m_judgement, next);
  return !avoided.contains(next) && !out;
}

auto CallExchange::PermitsAttemptAt(const EndpointId& endpoint) const -> bool {
  return m_may_have_run_on.contains(endpoint) ||
         static_cast<int>(m_may_have_run_on.size()) < m_route.m_max_attempts;
}

auto CallExchange::StartNextAttempt() -> void {
  if (!CheckQuarantine()) {
    return;
  }
  const auto now = SteadyTime();
  if (m_context.m_cut_off()) {
    RespondUnserved("endpoints_cut_off", kRetryAfter);
    return;
  }
  const auto endpoint = PickEndpoint();
  if (!endpoint) {
    RespondNoEndpoint(now);
    return;
  }
  if (m_attempts >= kMaxAttempts || m_deadline - now < kMinAttemptTime) {
    RespondUnserved("attempts_used_up", kRetryAfter);
    return;
  }
  if (!PermitsAttemptAt(*endpoint)) {
    RespondUnserved("endpoints_used_up", kRetryAfter);
    return;
  }
  if (!MaySendTo(*endpoint, now)) {
    RequestPermit(*endpoint);
    return;
  }
  const auto* entry = FindEndpoint(m_context.m_directory, *endpoint);
  m_attempt = {};
  m_attempt.m_endpoint = *endpoint;
  m_attempt.m_address = entry->m_address;
  m_attempt.m_software = entry->m_software;
  ++m_context.m_loads[*endpoint].m_outstanding;
  ++m_attempts;
  const auto max_idle =
      IsRetryable() ? kMaxIdleRetryable : kMaxIdleNonRetryable;
  m_context.m_connect_endpoint(
      *endpoint, entry->m_address, max_idle,
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
    JudgeAttempt(EndpointOutcome::kUnreachable);
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
  if (!MaySendTo(m_attempt.m_endpoint, now)) {
    // The limit became known, or the permit lapsed, while it was connected.
    EndAttempt();
    StartNextAttempt();
    return;
  }
  m_permit.reset();
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
  m_attempt.m_heard_at = now;
  if (!m_attempt.m_connection->relayed()) {
    NoteSent(m_context.m_endpoint_link, m_attempt.m_endpoint, now);
  }
  if (LimitOf(m_context.m_limits, m_attempt.m_endpoint)) {
    CountMetric(MetricId::kLimitedAttempts, m_attempt.m_endpoint.value());
  }
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

}  // namespace dotterelshed
