#ifndef DOTTERELSHED_LIBCORE_CLAIMS_STATE_H_
#define DOTTERELSHED_LIBCORE_CLAIMS_STATE_H_

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "dotterelshed/chart.h"
#include "dotterelshed/claims.h"

/// @file
/// State of claims.h and the steps that its files share.

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

/// The name of @p state in the chart.
auto ToString(ClaimState state) -> std::string_view;

auto LoadClaimStateMachine(const std::string& directory)
    -> Result<ClaimStateMachine>;

/// One wish to claim a key, from its request to its written result.
struct Claim {
  ClaimState m_state = ClaimState::kWaiting;
  /// What stands or will stand in the lane.
  ClaimRecord m_record;
  bool m_fresh_key = false;
  TimePoint m_requested_at;
  /// Base version of the last write of this claim whose answer was lost: it
  /// may still take effect while the lane is at that version.
  std::optional<ResourceVersion> m_lost_write_base;
  /// Sealed objects whose index matches the key but which don't hold it.
  std::set<ClaimShardId> m_absent_from;
  /// The call did not run: the record is to be removed.
  bool m_not_run = false;
  /// When the result came in.
  TimePoint m_result_at;
};

/// What is remembered of a sealed object: hashes of its keys, sorted.
struct SealedIndex {
  std::vector<std::uint64_t> m_keys;
  /// Newest claim in it, wall-clock seconds.
  std::int64_t m_newest_s = 0;
};

enum class ShardRequest { kNone, kRead, kPut, kReadSealed, kPutSealed };

/// Finished claims on their way out of the lane's object.
struct SealPlan {
  ClaimShardObject m_sealed;
  /// True once the sealed object stands in the platform.
  bool m_written = false;
};

struct ClaimShard {
  ClaimShardId m_id;
  /// As last read or written; absent before the first read.
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
  /// Sealed objects that the write under way drops.
  std::vector<ClaimShardId> m_dropping;
  /// By number of the request on this host, so oldest first.
  std::map<std::int64_t, Claim> m_claims;
};

/// Where a request's claim is.
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
/// Wall-clock seconds, if the manager knows the time of day.
auto WallSeconds(const ClaimManager& manager, TimePoint now)
    -> std::optional<std::int64_t>;

/// Sends one chart event to a claim and carries its actions out. @p other is
/// the record found in its place, for kFoundOther.
auto FireClaim(ClaimManager& manager,
               Claim& claim,
               ClaimEvent event,
               const ClaimRecord* other,
               TimePoint now,
               ClaimStep& step) -> void;

/// Record of @p key in the lane's object, null if there is none.
auto FindRecord(const ClaimShardObject& object, const IdempotencyKey& key)
    -> const ClaimRecord*;

/// Compares claims with the lane's object after it was read or written.
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
/// A sealed object that has to be read before @p claim can be written.
auto SealedToRead(const ClaimShard& shard, const Claim& claim)
    -> std::optional<ClaimShardId>;

/// Starts the lane's next call to the platform, if one is due.
auto DriveShard(ClaimManager& manager,
                ClaimShard& shard,
                TimePoint now,
                ClaimStep& step) -> void;
/// Gives up claims that the platform did not confirm in time.
auto ExpireClaims(ClaimManager& manager,
                  ClaimShard& shard,
                  TimePoint now,
                  ClaimStep& step) -> void;
/// Forgets closed claims.
auto DropClosed(ClaimManager& manager, ClaimShard& shard) -> void;

/// The lane's object with everything that waits to be written. Refuses claims
/// that find no room.
auto BuildObject(ClaimManager& manager,
                 ClaimShard& shard,
                 TimePoint now,
                 ClaimStep& step) -> ClaimShardObject;
/// Bytes that a record takes in the platform, nearly.
auto SizeOf(const ClaimRecord& record) -> std::int64_t;
auto SizeOf(const ClaimShardObject& object) -> std::int64_t;
auto IndexOf(const ClaimShardObject& sealed) -> SealedIndex;
/// Finished claims to seal so that the lane has room again; nothing if too few
/// are finished or too many sealed objects are kept already.
auto PlanSeal(const ClaimManager& manager, const ClaimShard& shard)
    -> std::optional<SealPlan>;

}  // namespace pvt

}  // namespace dotterelshed

#endif  // DOTTERELSHED_LIBCORE_CLAIMS_STATE_H_
