#ifndef DOTTERELSHED_CLAIMS_H_
#define DOTTERELSHED_CLAIMS_H_

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "dotterelshed/claim_shard.h"
#include "dotterelshed/core_effects.h"
#include "dotterelshed/core_events.h"
#include "dotterelshed/error.h"
#include "dotterelshed/ids.h"

/// @file
/// Claims that make non-idempotent calls run at most once. Free functions over
/// ClaimManager, one per host; claims of one lane are committed in groups.

namespace dotterelshed {

/// State of a host's claims; defined in src/libcore.
struct ClaimManager;

struct ClaimOptions {
  HostRef m_self;
  std::uint64_t m_seed = 1;
  int m_shard_count = 16;
  /// Claims gathered for this long go into one write.
  Duration m_group_window = std::chrono::milliseconds(3);
  /// A claim that the platform did not confirm by then is given up.
  Duration m_claim_timeout = std::chrono::seconds(3);
  Bytes m_max_shard_bytes{std::int64_t{512} * 1024};
  /// Finished claims are kept this long.
  Duration m_retention = std::chrono::hours(24);
  /// A granted call must be sent within this time or not at all.
  Duration m_grant_window = std::chrono::seconds(1);
  /// Wall-clock time at TimePoint zero, for retention. While absent, nothing
  /// is ever dropped for its age.
  std::optional<Duration> m_wall_clock_offset;
  std::string m_charts_dir;
  /// Longest answer that is kept for a repeat of the call.
  Bytes m_max_answer_bytes{std::int64_t{32} * 1024};
  /// Sealed objects per lane; at the limit new claims are refused.
  int m_max_sealed = 64;
  int m_max_waiting = 4096;
};

/// What became of one wish to claim.
struct ClaimDecision {
  enum class Verdict {
    kGranted,          ///< Ours, written; send once, now.
    kHasResult,        ///< Ran before; m_record has the answer.
    kUnknown,          ///< Claimed before without a result; never re-sent.
    kContentMismatch,  ///< The key was used for another call; refuse.
    kNotClaimed,       ///< Certain: nobody claimed the key; did not run.
    kIndeterminate,    ///< The key's record can't be read; say unknown.
  };
  RequestId m_request;
  Verdict m_verdict = Verdict::kIndeterminate;
  ClaimRecord m_record;
  /// For kGranted: not to be sent after this; then record kNotRun instead.
  TimePoint m_send_by;
};

struct ClaimStep {
  Effects m_effects;
  std::vector<ClaimDecision> m_decisions;
};

/// Fails when the chart "action" is missing or unsound.
auto MakeClaimManager(const ClaimOptions& options)
    -> Result<std::shared_ptr<ClaimManager>>;

/// Asks for the right to send @p call, which has a key. @p first is true when
/// this host made the key itself, for a turn that cannot have run before.
auto RequestClaim(ClaimManager& manager,
                  const CallRequest& call,
                  bool fresh_key,
                  TimePoint now) -> ClaimStep;

/// Writes down how a granted call ended. An uncertain end is not written: the
/// claim stays without result and is listed for a person. With kNotRun the key
/// may be claimed again.
auto RecordClaimResult(ClaimManager& manager,
                       const RequestId& request,
                       OutcomeKind outcome,
                       int http_status,
                       const std::string& answer,
                       TimePoint now) -> ClaimStep;

auto OnClaimShardArrived(ClaimManager& manager,
                         const ClaimShardArrived& event,
                         TimePoint now) -> ClaimStep;

/// Group commits that are due, timeouts, retention.
auto TickClaims(ClaimManager& manager, TimePoint now) -> ClaimStep;

/// True while a claim or result of this host waits for the platform.
auto HasPendingClaims(const ClaimManager& manager) -> bool;

auto DumpClaims(const ClaimManager& manager, TimePoint now) -> std::string;

}  // namespace dotterelshed

#endif  // DOTTERELSHED_CLAIMS_H_
