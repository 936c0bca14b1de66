#include "call/call_crash_tracker.h"

#include <utility>

#include "dotterelshed/log_events.h"

namespace dotterelshed {

namespace {

/// Other requests avoid an endpoint that executes a request under which at
/// least this many endpoints have crashed.
constexpr int kMinCrashesToAvoid = 2;

}  // namespace

CallCrashTracker::CallCrashTracker(EntryContext& context,
                                   const IncomingRequest& request,
                                   const CallHeaders& headers,
                                   const AccountScope& scope)
    : m_context(context),
      m_request(request),
      m_caller(headers.m_caller),
      m_caller_to_log(headers.m_caller_to_log),
      m_scope(ScopedText(scope, "")) {}

auto CallCrashTracker::fingerprint() -> const CallFingerprint& {
  if (!m_fingerprint) {
    m_fingerprint = MakeFingerprint({.m_method = m_request.m_head.m_method,
                                     .m_target = m_request.m_head.m_target,
                                     .m_caller = m_caller,
                                     .m_body = m_request.m_body,
                                     .m_scope = m_scope});
  }
  return *m_fingerprint;
}

auto CallCrashTracker::MayRun(TimePoint now) -> bool {
  if (m_context.m_crash_ledger.m_contents.empty()) {
    return true;
  }
  if (!m_admission) {
    m_admission = Admit(m_context.m_crash_ledger, fingerprint(), now);
  }
  return *m_admission != Admission::kRefused;
}

auto CallCrashTracker::QuarantineLeft(TimePoint now) -> Duration {
  return dotterelshed::QuarantineLeft(m_context.m_crash_ledger, fingerprint(),
                                      now);
}

auto CallCrashTracker::AvoidedEndpoints() -> std::set<EndpointId> {
  const auto suspect = m_admission && *m_admission != Admission::kFree;
  const auto least = suspect ? 1 : kMinCrashesToAvoid;
  std::set<EndpointId> avoided;
  for (const auto& one : m_context.m_suspect_attempts) {
    if (one.m_crash_count >= least) {
      avoided.insert(one.m_endpoint);
    }
  }
  return avoided;
}

auto CallCrashTracker::OnAttemptSent(const EndpointId& endpoint, TimePoint now)
    -> void {
  const auto* entry = FindEndpoint(m_context.m_directory, endpoint);
  m_endpoint = endpoint;
  m_started_unix_ms = entry == nullptr ? 0 : entry->m_started_unix_ms;
  m_sent_at = now;
  const auto admission = std::exchange(m_admission, std::nullopt);
  if (admission && *admission != Admission::kFree) {
    const auto ends =
        CountAttributedCrashes(m_context.m_crash_ledger, fingerprint(), now);
    m_registered =
        SuspectAttempt{.m_endpoint = endpoint, .m_crash_count = ends};
    m_context.m_suspect_attempts.insert(*m_registered);
  }
}

auto CallCrashTracker::OnAttemptOver() -> void {
  m_endpoint = EndpointId();
  if (const auto listed = std::exchange(m_registered, std::nullopt)) {
    auto& attempts = m_context.m_suspect_attempts;
    attempts.erase(attempts.find(*listed));
  }
}

auto CallCrashTracker::HasEndpointEnded() const -> bool {
  const auto* entry = FindEndpoint(m_context.m_directory, m_endpoint);
  return entry == nullptr || entry->m_started_unix_ms != m_started_unix_ms;
}

auto CallCrashTracker::OnAttemptLost(CrashEvidence evidence, TimePoint now)
    -> void {
  if (m_endpoint.empty()) {
    return;
  }
  const auto proved =
      HasEndpointEnded() ? CrashEvidence::kEndpointEnded : evidence;
  const auto quarantined =
      NoteAttemptLost(m_context.m_crash_ledger, fingerprint(), m_endpoint,
                      {.m_id = {m_context.m_random()},
                       .m_at = now,
                       .m_running = now - m_sent_at,
                       .m_evidence = proved});
  if (quarantined) {
    LogEvent(LogEventId::kContentQuarantined,
             {{"content", ToString(fingerprint().m_content)},
              {"caller", m_caller_to_log},
              {"target", m_request.m_head.m_target},
              {"ends", std::to_string(CountAttributedCrashes(
                           m_context.m_crash_ledger, fingerprint(), now))},
              {"evidence", std::string(ToString(proved))},
              {"left_ms", FormatMs(QuarantineLeft(now))},
              {"source", "attempt"}});
  }
}

auto CallCrashTracker::OnServed(TimePoint now) -> void {
  if (!m_context.m_crash_ledger.m_contents.empty()) {
    NoteServed(m_context.m_crash_ledger, fingerprint(), now);
  }
}

}  // namespace dotterelshed
