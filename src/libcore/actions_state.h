#ifndef DOTTERELSHED_LIBCORE_ACTIONS_STATE_H_
#define DOTTERELSHED_LIBCORE_ACTIONS_STATE_H_

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "dotterelshed/actions.h"
#include "dotterelshed/chart.h"

/// @file
/// State of actions.h and the steps that its files share.

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
using ClaimChart = Chart<ClaimState, ClaimEvent, ClaimAction>;

/// The name of @p state in the chart.
auto ToString(ClaimState state) -> std::string_view;

auto LoadClaimChart(const std::string& directory) -> Result<ClaimChart>;

/// One wish to claim a key, from its request to its written result.
struct Claim {
  ClaimState m_state = ClaimState::kWaiting;
  /// What stands or will stand in the lane.
  ClaimRecord m_record;
  bool m_first = false;
  TimePoint m_asked;
  /// Base version of the last write of this claim whose answer was lost: it
  /// may still take effect while the lane is at that version.
  std::optional<ResourceVersion> m_uncertain_at;
  /// Sealed objects whose index matches the key but which don't hold it.
  std::set<LaneId> m_cleared;
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

enum class LaneCall { kNone, kRead, kPut, kReadSealed, kPutSealed };

/// Finished claims on their way out of the lane's object.
struct SealPlan {
  LaneObject m_sealed;
  /// True once the sealed object stands in the platform.
  bool m_written = false;
};

struct Lane {
  LaneId m_id;
  /// As last read or written; absent before the first read.
  std::optional<LaneObject> m_object;
  TimePoint m_read_at;
  bool m_need_read = false;
  LaneCall m_call = LaneCall::kNone;
  LaneId m_call_target;
  TimePoint m_call_since;
  ResourceVersion m_put_base;
  TimePoint m_next_try;
  Duration m_backoff{0};
  std::map<LaneId, SealedIndex> m_index;
  std::optional<SealPlan> m_seal;
  /// Sealed objects that the write under way drops.
  std::vector<LaneId> m_dropping;
  /// By number of the request on this host, so oldest first.
  std::map<std::int64_t, Claim> m_claims;
};

/// Where a request's claim is.
struct ClaimPlace {
  LaneId m_lane;
  std::int64_t m_number = 0;
};

}  // namespace pvt

struct ActionBook {
  ActionOptions m_options;
  pvt::ClaimChart m_chart;
  std::map<LaneId, pvt::Lane> m_lanes;
  std::map<RequestId, pvt::ClaimPlace> m_requests;
  std::int64_t m_next_number = 1;
};

namespace pvt {

auto LaneOf(const ActionBook& book, const IdempotencyKey& key) -> LaneId;
auto KeyHash(const IdempotencyKey& key) -> std::uint64_t;
/// Wall-clock seconds, if the book knows the time of day.
auto WallSeconds(const ActionBook& book, TimePoint now)
    -> std::optional<std::int64_t>;

/// Sends one chart event to a claim and carries its actions out. @p other is
/// the record found in its place, for kFoundOther.
auto FireClaim(ActionBook& book,
               Claim& claim,
               ClaimEvent event,
               const ClaimRecord* other,
               TimePoint now,
               ActionStep& step) -> void;

/// Record of @p key in the lane's object, null if there is none.
auto FindRecord(const LaneObject& object, const IdempotencyKey& key)
    -> const ClaimRecord*;

/// Compares claims with the lane's object after it was read or written.
auto ResolveClaims(ActionBook& book,
                   Lane& lane,
                   TimePoint now,
                   ActionStep& step) -> void;
/// Compares waiting claims with a sealed object that was read.
auto ResolveSealed(ActionBook& book,
                   Lane& lane,
                   const LaneObject& sealed,
                   TimePoint now,
                   ActionStep& step) -> void;
/// A sealed object that has to be read before @p claim can be written.
auto SealedToRead(const Lane& lane, const Claim& claim)
    -> std::optional<LaneId>;

/// Starts the lane's next call to the platform, if one is due.
auto DriveLane(ActionBook& book, Lane& lane, TimePoint now, ActionStep& step)
    -> void;
/// Gives up claims that the platform did not confirm in time.
auto ExpireClaims(ActionBook& book, Lane& lane, TimePoint now, ActionStep& step)
    -> void;
/// Forgets closed claims.
auto DropClosed(ActionBook& book, Lane& lane) -> void;

/// The lane's object with everything that waits to be written. Refuses claims
/// that find no room.
auto BuildObject(ActionBook& book, Lane& lane, TimePoint now, ActionStep& step)
    -> LaneObject;
/// Bytes that a record takes in the platform, nearly.
auto SizeOf(const ClaimRecord& record) -> std::int64_t;
auto SizeOf(const LaneObject& object) -> std::int64_t;
auto IndexOf(const LaneObject& sealed) -> SealedIndex;
/// Finished claims to seal so that the lane has room again; nothing if too few
/// are finished or too many sealed objects are kept already.
auto PlanSeal(const ActionBook& book, const Lane& lane)
    -> std::optional<SealPlan>;

}  // namespace pvt

}  // namespace dotterelshed

#endif  // DOTTERELSHED_LIBCORE_ACTIONS_STATE_H_
