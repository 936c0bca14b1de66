#include <algorithm>

#include "claims_state.h"

/// @file
/// The calls to the platform that one lane makes, one at a time.

namespace dotterelshed {

namespace pvt {

namespace {

/// A call without an answer after this long is taken as lost.
constexpr auto kCallTimeout = std::chrono::seconds(5);
constexpr auto kFirstBackoff = std::chrono::milliseconds(50);
constexpr auto kLongestBackoff = std::chrono::seconds(1);

auto Begin(Lane& lane,
           ShardRequest call,
           const ClaimShardId& target,
           TimePoint now) -> void {
  lane.m_call = call;
  lane.m_call_target = target;
  lane.m_call_since = now;
}

auto Read(Lane& lane, TimePoint now, ClaimStep& step) -> void {
  Begin(lane, ShardRequest::kRead, lane.m_id, now);
  lane.m_need_read = false;
  step.m_effects.emplace_back(ReadClaimShard{lane.m_id});
}

auto ReadSealed(Lane& lane,
                const ClaimShardId& sealed,
                TimePoint now,
                ClaimStep& step) -> void {
  Begin(lane, ShardRequest::kReadSealed, sealed, now);
  step.m_effects.emplace_back(ReadClaimShard{sealed});
}

auto PutSealed(Lane& lane, TimePoint now, ClaimStep& step) -> void {
  const auto& sealed = lane.m_seal->m_sealed;
  Begin(lane, ShardRequest::kPutSealed, sealed.m_shard, now);
  step.m_effects.emplace_back(PutClaimShard{sealed});
}

/// A write that carries nothing makes old writes of abandoned claims fail.
auto NeedsBump(const Claim& claim, const ClaimShardObject& object) -> bool {
  return claim.m_state == ClaimState::kAbandoned && claim.m_uncertain_at &&
         object.m_version <= *claim.m_uncertain_at;
}

auto IsDue(const ClaimManager& book,
           const Lane& lane,
           const Claim& claim,
           TimePoint now) -> bool {
  const auto window = book.m_options.m_group_window;
  switch (claim.m_state) {
    case ClaimState::kWaiting:
    case ClaimState::kUncertain:
      return now - claim.m_asked >= window &&
             FindRecord(*lane.m_object, claim.m_record.m_key) == nullptr;
    case ClaimState::kFinishing:
      return now - claim.m_result_at >= window;
    case ClaimState::kAbandoned:
      return NeedsBump(claim, *lane.m_object);
    default:
      return false;
  }
}

auto AnyDue(const ClaimManager& book, const Lane& lane, TimePoint now) -> bool {
  return std::any_of(
      lane.m_claims.begin(), lane.m_claims.end(),
      [&](const auto& entry) { return IsDue(book, lane, entry.second, now); });
}

/// The first sealed object that a waiting claim needs to know.
auto NextSealed(const Lane& lane) -> std::optional<ClaimShardId> {
  for (const auto& [number, claim] : lane.m_claims) {
    if (claim.m_state == ClaimState::kWaiting) {
      auto sealed = SealedToRead(lane, claim);
      if (sealed) {
        return sealed;
      }
    }
  }
  return std::nullopt;
}

/// @return true when a call for sealing was started
auto Seal(const ClaimManager& book, Lane& lane, TimePoint now, ClaimStep& step)
    -> bool {
  if (!lane.m_seal) {
    lane.m_seal = PlanSeal(book, lane);
  }
  if (!lane.m_seal || lane.m_seal->m_written) {
    return false;
  }
  if (lane.m_seal->m_sealed.m_next_seal != lane.m_object->m_next_seal) {
    lane.m_seal.reset();
    return false;
  }
  PutSealed(lane, now, step);
  return true;
}

auto BackOff(Lane& lane, TimePoint now) -> void {
  lane.m_backoff =
      std::clamp<Duration>(lane.m_backoff * 2, kFirstBackoff, kLongestBackoff);
  lane.m_next_try = now + lane.m_backoff;
}

auto FireWriting(ClaimManager& book,
                 Lane& lane,
                 ClaimEvent event,
                 TimePoint now,
                 ClaimStep& step) -> void {
  for (auto& [number, claim] : lane.m_claims) {
    const auto in_write = claim.m_state == ClaimState::kWriting ||
                          claim.m_state == ClaimState::kAbandoned;
    if (!in_write) {
      continue;
    }
    if (event == ClaimEvent::kPutUncertain) {
      claim.m_uncertain_at = lane.m_put_base;
    }
    FireClaim(book, claim, event, nullptr, now, step);
  }
}

auto LoseCall(ClaimManager& book, Lane& lane, TimePoint now, ClaimStep& step)
    -> void {
  if (lane.m_call == ShardRequest::kPut) {
    FireWriting(book, lane, ClaimEvent::kPutUncertain, now, step);
    lane.m_need_read = true;
  }
  lane.m_call = ShardRequest::kNone;
}

/// Confirms claims whose record stands in what was written.
auto ConfirmWritten(ClaimManager& book,
                    Lane& lane,
                    TimePoint now,
                    ClaimStep& step) -> void {
  for (auto& [number, claim] : lane.m_claims) {
    const auto* record = FindRecord(*lane.m_object, claim.m_record.m_key);
    if (record != nullptr && record->m_nonce == claim.m_record.m_nonce) {
      FireClaim(book, claim, ClaimEvent::kPutConfirmed, nullptr, now, step);
    }
  }
  // The answer to an earlier write that was taken as lost confirms nothing of
  // this one.
  FireWriting(book, lane, ClaimEvent::kPutUncertain, now, step);
  for (const auto& name : lane.m_dropping) {
    lane.m_index.erase(name);
    step.m_effects.emplace_back(DeleteClaimShard{name});
  }
  lane.m_dropping.clear();
  const auto listed = lane.m_seal && lane.m_object->m_next_seal >
                                         lane.m_seal->m_sealed.m_next_seal;
  if (listed) {
    lane.m_seal.reset();
  }
}

auto TakeObject(ClaimManager& book,
                Lane& lane,
                const ClaimShardObject& object,
                TimePoint now,
                ClaimStep& step) -> void {
  lane.m_backoff = Duration(0);
  if (!lane.m_object || object.m_version >= lane.m_object->m_version) {
    lane.m_object = object;
    lane.m_read_at = lane.m_call_since;
  }
  ResolveClaims(book, lane, now, step);
}

auto OnPutAnswer(ClaimManager& book,
                 Lane& lane,
                 const ClaimShardArrived& event,
                 TimePoint now,
                 ClaimStep& step) -> void {
  lane.m_call = ShardRequest::kNone;
  if (event.m_shard_object) {
    lane.m_backoff = Duration(0);
    lane.m_object = *event.m_shard_object;
    lane.m_read_at = lane.m_call_since;
    ConfirmWritten(book, lane, now, step);
    ResolveClaims(book, lane, now, step);
    return;
  }
  lane.m_need_read = true;
  const auto code = event.m_shard_object.error().m_code;
  if (code == ErrorCode::kConflict) {
    FireWriting(book, lane, ClaimEvent::kPutRefused, now, step);
    return;
  }
  BackOff(lane, now);
  const auto refused =
      code == ErrorCode::kUnavailable || code == ErrorCode::kLimit;
  FireWriting(book, lane,
              refused ? ClaimEvent::kPutRefused : ClaimEvent::kPutUncertain,
              now, step);
}

auto OnReadAnswer(ClaimManager& book,
                  Lane& lane,
                  const ClaimShardArrived& event,
                  TimePoint now,
                  ClaimStep& step) -> void {
  lane.m_call = ShardRequest::kNone;
  if (event.m_shard_object) {
    TakeObject(book, lane, *event.m_shard_object, now, step);
    return;
  }
  if (event.m_shard_object.error().m_code == ErrorCode::kNotFound) {
    lane.m_object.reset();
    TakeObject(book, lane, {.m_shard = lane.m_id}, now, step);
    return;
  }
  lane.m_need_read = true;
  BackOff(lane, now);
}

/// The sealed object stands, written now or by another host before.
auto OnSealedWritten(Lane& lane, const ClaimShardObject& sealed) -> void {
  if (lane.m_seal && lane.m_seal->m_sealed.m_shard == sealed.m_shard) {
    lane.m_seal->m_sealed = sealed;
    lane.m_seal->m_written = true;
  }
  lane.m_index[sealed.m_shard] = IndexOf(sealed);
}

/// A listed object was dropped past its retention, for good since names are
/// not used again; one that is not listed was never written, but may be yet.
auto OnSealedMissing(Lane& lane, const ClaimShardId& name) -> void {
  const auto& listed = lane.m_object->m_sealed;
  if (std::find(listed.begin(), listed.end(), name) != listed.end()) {
    lane.m_index[name] = {};
  }
  lane.m_seal.reset();
  lane.m_need_read = true;
}

auto OnSealedAnswer(ClaimManager& book,
                    Lane& lane,
                    const ClaimShardArrived& event,
                    TimePoint now,
                    ClaimStep& step) -> void {
  const auto was_put = lane.m_call == ShardRequest::kPutSealed;
  lane.m_call = ShardRequest::kNone;
  if (event.m_shard_object) {
    OnSealedWritten(lane, *event.m_shard_object);
    ResolveSealed(book, lane, *event.m_shard_object, now, step);
    return;
  }
  const auto code = event.m_shard_object.error().m_code;
  if (was_put && code != ErrorCode::kUnavailable) {
    // It stands already, or may: what stands there is what was sealed.
    ReadSealed(lane, event.m_shard, now, step);
    return;
  }
  if (!was_put && code == ErrorCode::kNotFound) {
    OnSealedMissing(lane, event.m_shard);
    return;
  }
  BackOff(lane, now);
}

}  // namespace

auto DriveLane(ClaimManager& book, Lane& lane, TimePoint now, ClaimStep& step)
    -> void {
  if (lane.m_call != ShardRequest::kNone &&
      now - lane.m_call_since > kCallTimeout) {
    LoseCall(book, lane, now, step);
  }
  if (lane.m_call != ShardRequest::kNone || now < lane.m_next_try ||
      lane.m_claims.empty()) {
    return;
  }
  if (!lane.m_object || lane.m_need_read) {
    Read(lane, now, step);
    return;
  }
  const auto sealed = NextSealed(lane);
  if (sealed) {
    ReadSealed(lane, *sealed, now, step);
    return;
  }
  if (!AnyDue(book, lane, now) || Seal(book, lane, now, step)) {
    return;
  }
  auto object = BuildObject(book, lane, now, step);
  Begin(lane, ShardRequest::kPut, lane.m_id, now);
  lane.m_put_base = object.m_version;
  step.m_effects.emplace_back(PutClaimShard{std::move(object)});
}

}  // namespace pvt

auto OnClaimShardArrived(ClaimManager& book,
                         const ClaimShardArrived& event,
                         TimePoint now) -> ClaimStep {
  ClaimStep step;
  for (auto& [id, lane] : book.m_lanes) {
    if (lane.m_call == pvt::ShardRequest::kNone ||
        lane.m_call_target != event.m_shard) {
      continue;
    }
    pvt::ExpireClaims(book, lane, now, step);
    switch (lane.m_call) {
      case pvt::ShardRequest::kRead:
        pvt::OnReadAnswer(book, lane, event, now, step);
        break;
      case pvt::ShardRequest::kPut:
        pvt::OnPutAnswer(book, lane, event, now, step);
        break;
      default:
        pvt::OnSealedAnswer(book, lane, event, now, step);
        break;
    }
    pvt::DriveLane(book, lane, now, step);
    pvt::DropClosed(book, lane);
  }
  return step;
}

}  // namespace dotterelshed
