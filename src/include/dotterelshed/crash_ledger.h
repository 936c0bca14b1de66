#ifndef DOTTERELSHED_CRASH_LEDGER_H_
#define DOTTERELSHED_CRASH_LEDGER_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string_view>
#include <vector>

#include "dotterelshed/call_fingerprint.h"
#include "dotterelshed/ids.h"
#include "dotterelshed/units.h"

/// @file
/// Requests under which endpoints end. A request that ends each endpoint that
/// begins to run it is sent again by its caller, through any host; after a few
/// ends it is quarantined: no endpoint gets it until its quarantine is over.
///
/// A lost attempt alone proves little, since every request that was running at
/// an endpoint when it ended is lost with it. So:
/// - a request that is served is cleared of all before;
/// - an end is put down to the request that was lost at more ends than the
///   others there, or to the one that began last if they were lost together
///   each time;
/// - an attempt that had begun to answer, or was merely silent, counts only
///   once its endpoint is known to have ended, and none counts when the
///   endpoint turns out to be alive;
/// - a quarantine is proved, and long, only when the ends are known and came
///   one after the other; any other is short. When it is over, a single
///   attempt shows whether it is right;
/// - a content that many callers send is quarantined for all of them only if
///   that is proved.
///
/// Ledgers of several hosts merge to the same content in any order.
///
/// @code
///   if (Admit(ledger, fingerprint, now) == Admission::kRefused) { ... }
///   NoteAttemptLost(ledger, fingerprint, endpoint, {.m_id = id, ...});
/// @endcode

namespace dotterelshed {

struct CrashLedgerOptions {
  /// Ends that quarantine a request.
  int m_crash_threshold = 3;
  /// Quarantine after ends that are known and came one after the other.
  Duration m_long_quarantine = std::chrono::minutes(10);
  /// Any other quarantine; doubles with each further end.
  Duration m_short_quarantine = std::chrono::seconds(10);
  /// The platform lists an endpoint for no longer than this after its end.
  Duration m_listing_expiry = std::chrono::seconds(4);
  /// Added to each quarantine at this host, so that not all hosts let the same
  /// request try at once.
  Duration m_trial_delay{0};
  /// Time in which a single attempt shows whether a quarantine is right.
  Duration m_trial_time = std::chrono::seconds(10);
  /// Lost attempts are remembered for this time after the last one.
  Duration m_retention = std::chrono::minutes(15);
  /// Contents that are remembered; of more, those with the fewest lost
  /// attempts are forgotten, the oldest first.
  std::size_t m_max_contents = 1024;
};

/// How sure it is that an endpoint ended under an attempt.
enum class CrashEvidence {
  kUnproved,        ///< Silent, or broken off while answering.
  kConnectionLost,  ///< The connection ended before any answer.
  kEndpointEnded,   ///< The endpoint is known to have ended.
  kWithdrawn,       ///< The endpoint turned out to be alive.
};

/// Stable lower-case name, for logs.
auto ToString(CrashEvidence evidence) -> std::string_view;

/// Tells lost attempts apart, over all hosts.
using LostAttemptId = StrongDigest<struct LostAttemptIdTag>;

/// One attempt that got no whole answer.
struct LostAttempt {
  LostAttemptId m_id;
  CallerDigest m_caller;
  EndpointDigest m_endpoint;
  /// When it was lost.
  TimePoint m_at;
  /// Time from its sending until then.
  Duration m_running{0};
  CrashEvidence m_evidence = CrashEvidence::kUnproved;
  /// Seen by this host.
  bool m_own = false;
};

struct Quarantine {
  /// The caller that it holds for; empty when it holds for all.
  std::optional<CallerDigest> m_caller;
  /// The last end that counted.
  TimePoint m_since;
  TimePoint m_until;
  /// Its ends are known and came one after the other. Other hosts are told of
  /// such ones; they judge any other from the lost attempts.
  bool m_proved = false;
};

/// What is known of one content.
struct SuspectContent {
  /// In order of time; bounded.
  std::vector<LostAttempt> m_lost;
  /// When it was last served to a caller that had lost it.
  std::map<CallerDigest, TimePoint> m_served;
  /// When it was last served to any caller, if it was lost before.
  TimePoint m_served_to_any;
  std::optional<Quarantine> m_quarantine;
  TimePoint m_last_seen;
  /// Value of the ledger's change counter at the last change.
  std::uint64_t m_changed = 0;
  /// The same for changes that this host made.
  std::uint64_t m_changed_locally = 0;
};

struct CrashLedger {
  CrashLedgerOptions m_options;
  std::map<ContentDigest, SuspectContent> m_contents;
  /// Endpoints that this host lost an attempt at, and when it lost the last.
  std::map<EndpointId, TimePoint> m_suspect_endpoints;
  std::uint64_t m_changes = 0;
};

enum class Admission {
  kFree,     ///< May run anywhere.
  kSuspect,  ///< May run, apart from other suspects.
  kTrial,    ///< Shows whether its quarantine is right.
  kRefused,
};

/// Says whether an attempt may be made. Hashing a request is needless while
/// the ledger is empty.
auto Admit(CrashLedger& ledger, const CallFingerprint& call, TimePoint now)
    -> Admission;

/// Time until a refused request may try again.
auto QuarantineLeft(const CrashLedger& ledger,
                    const CallFingerprint& call,
                    TimePoint now) -> Duration;

/// Ends of endpoints that are put down to a request.
auto CountAttributedCrashes(const CrashLedger& ledger,
                            const CallFingerprint& call,
                            TimePoint now) -> int;

/// True once all hosts have told what they lost at the last end; before, a
/// quarantine holds, but may turn out to be another request's.
auto IsAttributionFinal(const Quarantine& quarantine, TimePoint now) -> bool;

/// An attempt of this host got no whole answer. Returns true when that
/// quarantines the request.
auto NoteAttemptLost(CrashLedger& ledger,
                     const CallFingerprint& call,
                     const EndpointId& endpoint,
                     const LostAttempt& lost) -> bool;

/// An endpoint is known to have ended, or to have started anew, before @p now.
auto NoteEndpointEnded(CrashLedger& ledger,
                       const EndpointId& endpoint,
                       TimePoint now) -> void;

/// An answer began at @p now on a connection that was established at
/// @p connected_at: an endpoint that ended in between can't have sent it.
auto NoteEndpointAlive(CrashLedger& ledger,
                       const EndpointId& endpoint,
                       TimePoint connected_at,
                       TimePoint now) -> void;

/// At @p shown_at the platform still listed an endpoint, and as the same start
/// of it: one that had ended a while before would have vanished.
auto NoteEndpointListed(CrashLedger& ledger,
                        const EndpointId& endpoint,
                        TimePoint shown_at,
                        TimePoint now) -> void;

/// An endpoint ran the request and answered it whole.
auto NoteServed(CrashLedger& ledger, const CallFingerprint& call, TimePoint now)
    -> void;

/// Takes what another host knows of a content. Returns true when that
/// quarantines it here.
auto MergeContent(CrashLedger& ledger,
                  const ContentDigest& digest,
                  const SuspectContent& other,
                  TimePoint now) -> bool;

/// Drops what is older than the retention.
auto ForgetOldContents(CrashLedger& ledger, TimePoint now) -> void;

}  // namespace dotterelshed

#endif  // DOTTERELSHED_CRASH_LEDGER_H_
