#ifndef DOTTERELSHED_CALL_CRASH_TRACKER_H_
#define DOTTERELSHED_CALL_CRASH_TRACKER_H_

#include <optional>
#include <set>
#include <string>

#include "dotterelshed/crash_ledger.h"
#include "dotterelshed/http_listener.h"
#include "entry_context.h"

/// @file
/// What one call has to do with endpoints that ended: whether it may be sent,
/// beside which calls it must not run, and what its attempts tell the ledger.

namespace dotterelshed {

class CallCrashTracker {
 public:
  /// @param request  must outlive this.
  CallCrashTracker(EntryContext& context,
                   const IncomingRequest& request,
                   std::string caller);

  /// Whether the next attempt may be made. The answer holds until
  /// OnAttemptSent.
  auto MayRun(TimePoint now) -> bool;
  /// Time until a quarantined call may try again.
  auto QuarantineLeft(TimePoint now) -> Duration;
  /// Endpoints that a suspect is running at: better ones are elsewhere.
  auto AvoidedEndpoints() -> std::set<EndpointId>;

  /// An attempt is on its way.
  auto OnAttemptSent(const EndpointId& endpoint, TimePoint now) -> void;
  /// The attempt got no whole answer, and its endpoint may have ended under it.
  auto OnAttemptLost(CrashEvidence evidence, TimePoint now) -> void;
  /// The endpoint ran the call and answered it whole.
  auto OnServed(TimePoint now) -> void;
  /// Ends what OnAttemptSent began; call after each attempt, once or more.
  auto OnAttemptOver() -> void;

  auto fingerprint() -> const CallFingerprint&;

 private:
  auto HasEndpointEnded() const -> bool;

  EntryContext& m_context;
  const IncomingRequest& m_request;
  std::string m_caller;
  /// Made when first asked for.
  std::optional<CallFingerprint> m_fingerprint;
  std::optional<Admission> m_admission;
  /// The attempt under way; empty between attempts.
  EndpointId m_endpoint;
  std::int64_t m_started_unix_ms = 0;
  TimePoint m_sent_at;
  std::optional<SuspectAttempt> m_registered;
};

}  // namespace dotterelshed

#endif  // DOTTERELSHED_CALL_CRASH_TRACKER_H_
