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
/// Tracks requests that crash endpoints. Callers send such a request again,
/// through any host, and it ends each endpoint that starts to run it. After a
/// few crashes it is quarantined: no endpoint gets it until the quarantine is
/// over.
///
/// A lost attempt alone proves little, since an endpoint's crash also loses all
/// other requests that were running there. So:
/// - a request that is served is cleared of all earlier losses;
/// - a crash is attributed to the request that was lost in more crashes than
///   the others running there, or, if these were lost together each time, to
///   the one that started last;
/// - an attempt that timed out or broke off while answering counts only once
///   its endpoint is known to have ended, and no attempt counts if the endpoint
///   turns out to be alive;
/// - a quarantine is proved, and long, only if the crashes are confirmed and
///   sequential (each attempt started after the previous crash); any other is
///   short. When it is over, a single trial attempt decides what follows;
/// - content that several callers send is quarantined for all callers only if
///   the quarantine is proved by as many of them.
///
/// Hosts exchange their ledgers; merging gives the same content in any order.
///
/// @code
///   if (Admit(ledger, fingerprint, now) == Admission::kRefused) { ... }
///   NoteAttemptLost(ledger, fingerprint, endpoint, {.m_id = id, ...});
/// @endcode

namespace dotterelshed {

struct CrashLedgerOptions {
  /// Number of attributed crashes that quarantines a request.
  int m_crash_threshold = 3;
  /// Quarantine after crashes that are confirmed and sequential.
  Duration m_long_quarantine = std::chrono::minutes(10);
  /// Any other quarantine; doubled for each crash beyond the threshold.
  Duration m_short_quarantine = std::chrono::seconds(10);
  /// Upper limit of the time for which the platform lists an endpoint after it
  /// has ended.
  Duration m_listing_expiry = std::chrono::seconds(4);
  /// Added to each quarantine on this host, so that the hosts don't all run a
  /// trial of the same request at once.
  Duration m_trial_delay{0};
  /// Time allowed for a trial; further attempts are refused meanwhile.
  Duration m_trial_time = std::chrono::seconds(10);
  /// Content is remembered for this time after it was last seen.
  Duration m_retention = std::chrono::minutes(15);
  /// Limit of remembered contents. Beyond it those that aren't quarantined are
  /// evicted first, then those with the fewest lost attempts, then the oldest.
  std::size_t m_max_contents = 1024;
};

/// How certain it is that an endpoint ended while it ran an attempt. The order
/// of the values decides which evidence prevails when ledgers merge.
enum class CrashEvidence {
  kUnproved,        ///< Timed out, or broken off while answering.
  kConnectionLost,  ///< The connection ended before any answer.
  kEndpointEnded,   ///< The endpoint is known to have ended.
  kWithdrawn,       ///< The endpoint turned out to be alive.
};

/// Stable lower-case name, for logs.
auto ToString(CrashEvidence evidence) -> std::string_view;

/// Identifies a lost attempt across all hosts.
using LostAttemptId = StrongDigest<struct LostAttemptIdTag>;

/// An attempt that got no complete answer.
struct LostAttempt {
  LostAttemptId m_id;
  CallerDigest m_caller;
  EndpointDigest m_endpoint;
  /// Time of the loss.
  TimePoint m_at;
  /// Time from sending the attempt to its loss.
  Duration m_running{0};
  CrashEvidence m_evidence = CrashEvidence::kUnproved;
  /// True when this host made the attempt.
  bool m_own = false;
};

struct Quarantine {
  /// The caller whose requests are refused; empty for all callers.
  std::optional<CallerDigest> m_caller;
  /// Time of the last crash that counted.
  TimePoint m_since;
  TimePoint m_until;
  /// Its crashes are confirmed and sequential. Only proved quarantines are sent
  /// to other hosts, which derive any other from the lost attempts.
  bool m_proved = false;
};

/// Losses and quarantine of one content.
struct SuspectContent {
  /// Ordered by time; bounded.
  std::vector<LostAttempt> m_lost;
  /// Time at which it was last served, for callers that had lost it.
  std::map<CallerDigest, TimePoint> m_served;
  /// Time at which it was last served to any caller after a loss.
  TimePoint m_served_to_any;
  std::optional<Quarantine> m_quarantine;
  TimePoint m_last_seen;
  /// Value of the ledger's change counter at the last change.
  std::uint64_t m_changed = 0;
  /// The same for changes that originate from this host.
  std::uint64_t m_changed_locally = 0;
};

struct CrashLedger {
  CrashLedgerOptions m_options;
  std::map<ContentDigest, SuspectContent> m_contents;
  /// Endpoints at which this host lost an attempt, and the time of the last
  /// loss.
  std::map<EndpointId, TimePoint> m_suspect_endpoints;
  std::uint64_t m_changes = 0;
};

enum class Admission {
  kFree,     ///< May run on any endpoint.
  kSuspect,  ///< May run, separate from other suspects.
  kTrial,    ///< May run once, after its quarantine has ended.
  kRefused,  ///< Quarantined.
};

/// Decides whether an attempt may be made. Callers needn't hash a request while
/// the ledger is empty.
auto Admit(CrashLedger& ledger, const CallFingerprint& call, TimePoint now)
    -> Admission;

/// Time until a refused request may be tried again; zero if it isn't refused.
auto QuarantineLeft(const CrashLedger& ledger,
                    const CallFingerprint& call,
                    TimePoint now) -> Duration;

/// Number of crashes that are attributed to a request.
auto CountAttributedCrashes(const CrashLedger& ledger,
                            const CallFingerprint& call,
                            TimePoint now) -> int;

/// True once all hosts have had time to report what they lost in the last
/// crash. Until then the quarantine is in force, but the crash may still be
/// attributed to another request.
auto IsAttributionFinal(const Quarantine& quarantine, TimePoint now) -> bool;

/// An attempt of this host got no complete answer. Returns true if that
/// quarantines the request.
auto NoteAttemptLost(CrashLedger& ledger,
                     const CallFingerprint& call,
                     const EndpointId& endpoint,
                     const LostAttempt& lost) -> bool;

/// An endpoint is known to have ended or restarted before @p now.
auto NoteEndpointEnded(CrashLedger& ledger,
                       const EndpointId& endpoint,
                       TimePoint now) -> void;

/// An answer began at @p now on a connection that was established at
/// @p connected_at, so the endpoint didn't end in between.
auto NoteEndpointAlive(CrashLedger& ledger,
                       const EndpointId& endpoint,
                       TimePoint connected_at,
                       TimePoint now) -> void;

/// At @p shown_at the platform still listed an endpoint with an unchanged start
/// time. Had it ended more than the listing expiry before, it would be missing.
auto NoteEndpointListed(CrashLedger& ledger,
                        const EndpointId& endpoint,
                        TimePoint shown_at,
                        TimePoint now) -> void;

/// An endpoint ran the request and answered it completely.
auto NoteServed(CrashLedger& ledger, const CallFingerprint& call, TimePoint now)
    -> void;

/// Merges another host's data of a content. Returns true if that quarantines it
/// here.
auto MergeContent(CrashLedger& ledger,
                  const ContentDigest& digest,
                  const SuspectContent& other,
                  TimePoint now) -> bool;

/// Erases contents that were last seen before the retention time.
auto ForgetOldContents(CrashLedger& ledger, TimePoint now) -> void;

}  // namespace dotterelshed

#endif  // DOTTERELSHED_CRASH_LEDGER_H_
