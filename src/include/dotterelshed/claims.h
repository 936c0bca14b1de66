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
/// Claims on idempotency keys, so that a non-idempotent call is sent at most
/// once. Each host has one ClaimManager; claims on the same shard are written
/// in groups.

namespace dotterelshed {

/// State of a host's claims; defined in src/libcore.
struct ClaimManager;

struct ClaimOptions {
  HostRef m_self;
  std::uint64_t m_seed = 1;
  int m_shard_count = 16;
  /// Claims and results are gathered for this long before one write.
  Duration m_group_window = std::chrono::milliseconds(3);
  /// A claim not confirmed by the platform within this time is abandoned.
  Duration m_claim_timeout = std::chrono::seconds(3);
  Bytes m_max_shard_bytes{std::int64_t{512} * 1024};
  /// Finished claims are deleted after this time.
  Duration m_retention = std::chrono::hours(24);
  /// A granted call must be sent within this time or must not be sent.
  Duration m_grant_window = std::chrono::seconds(1);
  /// Wall-clock time at TimePoint zero. While it is absent, no claim expires.
  std::optional<Duration> m_wall_clock_offset;
  std::string m_charts_dir;
  /// Longer answers are truncated in the claim record.
  Bytes m_max_answer_bytes{std::int64_t{32} * 1024};
  /// Sealed objects per shard. At the limit nothing more is sealed, and a full
  /// shard refuses new claims.
  int m_max_sealed = 64;
  int m_max_waiting = 4096;
};

/// Decision on one claim request.
struct ClaimDecision {
  enum class Verdict {
    kGranted,          ///< Claimed by this request; send the call once, now.
    kHasResult,        ///< Ran before; m_record holds the result.
    kUnknown,          ///< Claimed before without a result; never resent.
    kContentMismatch,  ///< The key was used with other content; refuse.
    kNotClaimed,       ///< The key was never claimed; the call did not run.
    kIndeterminate,    ///< The record can't be read; outcome is unknown.
  };
  RequestId m_request;
  Verdict m_verdict = Verdict::kIndeterminate;
  ClaimRecord m_record;
  /// For kGranted: latest time to send the call. If it is missed, the caller
  /// records kNotRun.
  TimePoint m_send_by;
};

struct ClaimStep {
  Effects m_effects;
  std::vector<ClaimDecision> m_decisions;
};

/// Fails if the state machine "action" is missing or invalid.
auto MakeClaimManager(const ClaimOptions& options)
    -> Result<std::shared_ptr<ClaimManager>>;

/// Requests the right to send @p call, which must have a key. @p fresh_key is
/// true if this host generated the key for a turn that can't have run before.
auto RequestClaim(ClaimManager& manager,
                  const CallRequest& call,
                  bool fresh_key,
                  TimePoint now) -> ClaimStep;

/// Records the result of a granted call. An unknown outcome is not written: the
/// claim stays without a result and is reported to the operator. After kNotRun
/// the key can be claimed again.
auto RecordClaimResult(ClaimManager& manager,
                       const RequestId& request,
                       OutcomeKind outcome,
                       int http_status,
                       const std::string& answer,
                       TimePoint now) -> ClaimStep;

auto OnClaimShardArrived(ClaimManager& manager,
                         const ClaimShardArrived& event,
                         TimePoint now) -> ClaimStep;

/// Starts group writes that are due and expires claims.
auto TickClaims(ClaimManager& manager, TimePoint now) -> ClaimStep;

/// True while a claim or result of this host waits for the platform. Granted
/// calls that still run don't count.
auto HasPendingClaims(const ClaimManager& manager) -> bool;

auto DumpClaims(const ClaimManager& manager, TimePoint now) -> std::string;

}  // namespace dotterelshed

#endif  // DOTTERELSHED_CLAIMS_H_
