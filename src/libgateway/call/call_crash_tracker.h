#ifndef DOTTERELSHED_CALL_CRASH_TRACKER_H_
#define DOTTERELSHED_CALL_CRASH_TRACKER_H_

#include <optional>
#include <set>
#include <string>

#include "dotterelshed/account_access.h"
#include "dotterelshed/crash_ledger.h"
#include "dotterelshed/http_listener.h"
#include "entry_context.h"
#include "platform/call_headers.h"

/// @file
/// Connects one request with the crash ledger: whether it may be sent, which
/// endpoints it must avoid, and what its attempts report about crashed
/// endpoints.

namespace dotterelshed {

class CallCrashTracker {
 public:
  /// @param request  Must outlive this object.
  CallCrashTracker(EntryContext& context,
                   const IncomingRequest& request,
                   const CallHeaders& headers,
                   const AccountScope& scope);

  /// Returns whether the next attempt may be made. The result holds until
  /// OnAttemptSent().
  auto MayRun(TimePoint now) -> bool;
  /// Time until a quarantined request may be tried again.
  auto QuarantineLeft(TimePoint now) -> Duration;
  /// Endpoints that are executing a suspect request and are chosen only if
  /// there are no others.
  auto AvoidedEndpoints() -> std::set<EndpointId>;

  /// The attempt has been sent.
  auto OnAttemptSent(const EndpointId& endpoint, TimePoint now) -> void;
  /// The attempt got no complete response, and its endpoint may have crashed
  /// while executing it.
  auto OnAttemptLost(CrashEvidence evidence, TimePoint now) -> void;
  /// The endpoint executed the request and its response is complete.
  auto OnServed(TimePoint now) -> void;
  /// Releases what OnAttemptSent() registered; call at least once after each
  /// attempt.
  auto OnAttemptOver() -> void;

  auto fingerprint() -> const CallFingerprint&;

 private:
  auto HasEndpointEnded() const -> bool;

  EntryContext& m_context;
  const IncomingRequest& m_request;
  std::string m_caller;
  std::string m_caller_to_log;
  /// Text that keeps the counts of different accounts apart.
  std::string m_scope;
  /// Computed on first use.
  std::optional<CallFingerprint> m_fingerprint;
  std::optional<Admission> m_admission;
  /// Endpoint of the current attempt; empty between attempts.
  EndpointId m_endpoint;
  std::int64_t m_started_unix_ms = 0;
  TimePoint m_sent_at;
  std::optional<SuspectAttempt> m_registered;
};

}  // namespace dotterelshed

#endif  // DOTTERELSHED_CALL_CRASH_TRACKER_H_
