#ifndef DOTTERELSHED_LIBCORE_CLAIMS_CLAIMS_STATE_H_
#define DOTTERELSHED_LIBCORE_CLAIMS_CLAIMS_STATE_H_

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "dotterelshed/chart.h"
#include "dotterelshed/claims.h"

/// @file
/// State of the ClaimManager and the functions shared by its source files.

namespace dotterelshed {

namespace pvt {

/// States, events and actions of src/charts/action.jsonc.
enum class ClaimState {
  kWaiting,
  kWriting,
  kUncertain,
  kAbandoned,
  kGranted,
  kFinishing,
  kClosed
};
enum class ClaimEvent {
  kPutStarted,
  kPutConfirmed,
  kPutRefused,
  kPutUncertain,
  kFoundOwn,
  kFoundOther,
  kFoundNone,
  kTimedOut,
  kResultKnown,
  kResultUnknown,
  kResultWritten
};
enum class ClaimAction {
  kGrant,
  kAnswerOther,
  kAnswerUnclaimed,
  kCloseAsNotRun,
  kReportUnknown
};
using ClaimStateMachine = Chart<ClaimState, ClaimEvent, ClaimAction>;

/// Name of @p state in the state machine file.
auto ToString(ClaimState state) -> std::string_view;

auto LoadClaimStateMachine(const std::string& directory)
    -> Result<ClaimStateMachine>;

/// One request to claim a key, until its result is written.
struct Claim {
  ClaimState m_state = ClaimState::kWaiting;
  /// Record that is or will be stored in the shard.
  ClaimRecord m_record;
  bool m_fresh_key = false;
  TimePoint m_requested_at;
  /// Base version of the last write of this claim whose response was lost. The
  /// write may still take effect while the shard has that version.
  std::optional<ResourceVersion> m_lost_write_base;
  /// Sealed objects whose index matches the key's hash but which don't hold the
  /// key.
  std::set<ClaimShardId> m_absent_from;
  /// The call did not run; its record is removed with the next write.
  bool m_not_run = false;
  /// Time at which the result was recorded.
  TimePoint m_result_at;
};

/// Cached index of a sealed object: the sorted hashes of its keys.
struct SealedIndex {
  std::vector<std::uint64_t> m_keys;
  /// Wall-clock time of its newest claim in seconds.
  std::int64_t m_newest_s = 0;
};

enum class ShardRequest { kNone, kRead, kPut, kReadSealed, kPutSealed };

/// Finished claims being moved from the shard to a sealed object.
struct SealPlan {
  ClaimShardObject m_sealed;
  /// The sealed object is stored in the platform.
  bool m_written = false;
};

/// Local state of one claim shard. It has at most one platform request
/// pending.
struct ClaimShard {
  ClaimShardId m_id;
  /// Last version read or written; absent before the first read.
  std::optional<ClaimShardObject> m_object;
  TimePoint m_read_at;
  bool m_need_read = false;
  ShardRequest m_pending = ShardRequest::kNone;
  ClaimShardId m_pending_target;
  TimePoint m_pending_since;
  ResourceVersion m_put_base;
  TimePoint m_next_try;
  Duration m_backoff{0};
  std::map<ClaimShardId, SealedIndex> m_index;
  std::optional<SealPlan> m_seal;
  /// Expired sealed objects that the pending write removes from the list.
  std::vector<ClaimShardId> m_dropping;
  /// By local request number, that is oldest first.
  std::map<std::int64_t, Claim> m_claims;
};

/// Location of a request's claim.
struct ClaimLocation {
  ClaimShardId m_shard;
  std::int64_t m_number = 0;
};

}  // namespace pvt

struct ClaimManager {
  ClaimOptions m_options;
  pvt::ClaimStateMachine m_state_machine;
  std::map<ClaimShardId, pvt::ClaimShard> m_shards;
  std::map<RequestId, pvt::ClaimLocation> m_requests;
  std::int64_t m_next_number = 1;
};

namespace pvt {

auto ShardOf(const ClaimManager& manager, const IdempotencyKey& key)
    -> ClaimShardId;
auto KeyHash(const IdempotencyKey& key) -> std::uint64_t;
/// Wall-clock time in seconds; nothing if the offset is not configured.
auto WallSeconds(const ClaimManager& manager, TimePoint now)
    -> std::optional<std::int64_t>;

/// Applies a state machine event to a claim and runs the transition's actions;
/// ignored if the state has no such transition. @p other is the record found
/// under the key, for kFoundOther.
auto FireClaim(ClaimManager& manager,
               Claim& claim,
               ClaimEvent event,
               const ClaimRecord* other,
               TimePoint now,
               ClaimStep& step) -> void;

/// Record of @p key in @p object; null if there is none.
auto FindRecord(const ClaimShardObject& object, const IdempotencyKey& key)
    -> const ClaimRecord*;

/// Compares claims with the shard's object after it was read or written.
auto ResolveClaims(ClaimManager& manager,
                   ClaimShard& shard,
                   TimePoint now,
                   ClaimStep& step) -> void;
/// Compares waiting claims with a sealed object that was read.
auto ResolveSealed(ClaimManager& manager,
                   ClaimShard& shard,
                   const ClaimShardObject& sealed,
                   TimePoint now,
                   ClaimStep& step) -> void;
/// A sealed object that must be read before @p claim can be written.
auto SealedToRead(const ClaimShard& shard, const Claim& claim)
    -> std::optional<ClaimShardId>;

/// Starts the shard's next platform request, if one is due.
auto DriveShard(ClaimManager& manager,
                ClaimShard& shard,
                TimePoint now,
                ClaimStep& step) -> void;
/// Times out claims that the platform did not confirm in time.
auto ExpireClaims(ClaimManager& manager,
                  ClaimShard& shard,
                  TimePoint now,
                  ClaimStep& step) -> void;
/// Removes closed claims.
auto DropClosed(ClaimManager& manager, ClaimShard& shard) -> void;

/// The shard's object with all pending claims and results added. Refuses claims
/// that would exceed the size limit.
auto BuildObject(ClaimManager& manager,
                 ClaimShard& shard,
                 TimePoint now,
                 ClaimStep& step) -> ClaimShardObject;
/// Approximate size in bytes of a record in the platform.
auto SizeOf(const ClaimRecord& record) -> std::int64_t;
auto SizeOf(const ClaimShardObject& object) -> std::int64_t;
auto IndexOf(const ClaimShardObject& sealed) -> SealedIndex;
/// Finished claims to seal in order to make room in the shard; nothing if too
/// few are finished or the limit of sealed objects is reached.
auto PlanSeal(const ClaimManager& manager, const ClaimShard& shard)
    -> std::optional<SealPlan>;

}  // namespace pvt

}  // namespace dotterelshed

#endif  // DOTTERELSHED_LIBCORE_CLAIMS_CLAIMS_STATE_H_
