#include <algorithm>

#include "claims/claims_state.h"

/// @file
/// Platform requests of one claim shard, one at a time.

namespace dotterelshed {

namespace pvt {

namespace {

/// A request without a response after this time is treated as lost.
constexpr auto kRequestTimeout = std::chrono::seconds(5);
constexpr auto kFirstBackoff = std::chrono::milliseconds(50);
constexpr auto kLongestBackoff = std::chrono::seconds(1);

auto Begin(ClaimShard& shard,
           ShardRequest request,
           const ClaimShardId& target,
           TimePoint now) -> void {
  shard.m_pending = request;
  shard.m_pending_target = target;
  shard.m_pending_since = now;
}

auto Read(ClaimShard& shard, TimePoint now, ClaimStep& step) -> void {
  Begin(shard, ShardRequest::kRead, shard.m_id, now);
  shard.m_need_read = false;
  step.m_effects.emplace_back(ReadClaimShard{shard.m_id});
}

auto ReadSealed(ClaimShard& shard,
                const ClaimShardId& sealed,
                TimePoint now,
                ClaimStep& step) -> void {
  Begin(shard, ShardRequest::kReadSealed, sealed, now);
  step.m_effects.emplace_back(ReadClaimShard{sealed});
}

auto PutSealed(ClaimShard& shard, TimePoint now, ClaimStep& step) -> void {
  const auto& sealed = shard.m_seal->m_sealed;
  Begin(shard, ShardRequest::kPutSealed, sealed.m_shard, now);
  step.m_effects.emplace_back(PutClaimShard{sealed});
}

/// True if an empty write is needed: by raising the version it makes a lost
/// write of an abandoned claim fail.
auto NeedsEmptyWrite(const Claim& claim, const ClaimShardObject& object)
    -> bool {
  return claim.m_state == ClaimState::kAbandoned && claim.m_lost_write_base &&
         object.m_version <= *claim.m_lost_write_base;
}

auto IsDue(const ClaimManager& manager,
           const ClaimShard& shard,
           const Claim& claim,
           TimePoint now) -> bool {
  const auto window = manager.m_options.m_group_window;
  switch (claim.m_state) {
    case ClaimState::kWaiting:
    case ClaimState::kUncertain:
      return now - claim.m_requested_at >= window &&
             FindRecord(*shard.m_object, claim.m_record.m_key) == nullptr;
    case ClaimState::kFinishing:
      return now - claim.m_result_at >= window;
    case ClaimState::kAbandoned:
      return NeedsEmptyWrite(claim, *shard.m_object);
    default:
      return false;
  }
}

auto AnyDue(const ClaimManager& manager, const ClaimShard& shard, TimePoint now)
    -> bool {
  return std::any_of(shard.m_claims.begin(), shard.m_claims.end(),
                     [&](const auto& entry) {
                       return IsDue(manager, shard, entry.second, now);
                     });
}

/// The first sealed object that must be read for a waiting claim.
auto NextSealed(const ClaimShard& shard) -> std::optional<ClaimShardId> {
  for (const auto& [number, claim] : shard.m_claims) {
    if (claim.m_state == ClaimState::kWaiting) {
      auto sealed = SealedToRead(shard, claim);
      if (sealed) {
        return sealed;
      }
    }
  }
  return std::nullopt;
}

/// @return true if a sealed object is being written.
auto Seal(const ClaimManager& manager,
          ClaimShard& shard,
          TimePoint now,
          ClaimStep& step) -> bool {
  if (!shard.m_seal) {
    shard.m_seal = PlanSeal(manager, shard);
  }
  if (!shard.m_seal || shard.m_seal->m_written) {
    return false;
  }
  if (shard.m_seal->m_sealed.m_next_seal != shard.m_object->m_next_seal) {
    shard.m_seal.reset();
    return false;
  }
  PutSealed(shard, now, step);
  return true;
}

auto BackOff(ClaimShard& shard, TimePoint now) -> void {
  shard.m_backoff =
      std::clamp<Duration>(shard.m_backoff * 2, kFirstBackoff, kLongestBackoff);
  shard.m_next_try = now + shard.m_backoff;
}

auto FireWriting(ClaimManager& manager,
                 ClaimShard& shard,
                 ClaimEvent event,
                 TimePoint now,
                 ClaimStep& step) -> void {
  for (auto& [number, claim] : shard.m_claims) {
    const auto in_write = claim.m_state == ClaimState::kWriting ||
                          claim.m_state == ClaimState::kAbandoned;
    if (!in_write) {
      continue;
    }
    if (event == ClaimEvent::kPutUncertain) {
      claim.m_lost_write_base = shard.m_put_base;
    }
    FireClaim(manager, claim, event, nullptr, now, step);
  }
}

auto ExpireRequest(ClaimManager& manager,
                   ClaimShard& shard,
                   TimePoint now,
                   ClaimStep& step) -> void {
  if (shard.m_pending == ShardRequest::kPut) {
    FireWriting(manager, shard, ClaimEvent::kPutUncertain, now, step);
    shard.m_need_read = true;
  }
  shard.m_pending = ShardRequest::kNone;
}

/// Confirms claims whose record is in the object that was written.
auto ConfirmWritten(ClaimManager& manager,
                    ClaimShard& shard,
                    TimePoint now,
                    ClaimStep& step) -> void {
  for (auto& [number, claim] : shard.m_claims) {
    const auto* record = FindRecord(*shard.m_object, claim.m_record.m_key);
    if (record != nullptr && record->m_nonce == claim.m_record.m_nonce) {
      FireClaim(manager, claim, ClaimEvent::kPutConfirmed, nullptr, now, step);
    }
  }
  // The response may belong to an earlier write that was treated as lost. It
  // says nothing about claims that only the later write contains.
  FireWriting(manager, shard, ClaimEvent::kPutUncertain, now, step);
  for (const auto& name : shard.m_dropping) {
    shard.m_index.erase(name);
    step.m_effects.emplace_back(DeleteClaimShard{name});
  }
  shard.m_dropping.clear();
  const auto listed = shard.m_seal && shard.m_object->m_next_seal >
                                          shard.m_seal->m_sealed.m_next_seal;
  if (listed) {
    shard.m_seal.reset();
  }
}

auto ApplyReadObject(ClaimManager& manager,
                     ClaimShard& shard,
                     const ClaimShardObject& object,
                     TimePoint now,
                     ClaimStep& step) -> void {
  shard.m_backoff = Duration(0);
  if (!shard.m_object || object.m_version >= shard.m_object->m_version) {
    shard.m_object = object;
    shard.m_read_at = shard.m_pending_since;
  }
  ResolveClaims(manager, shard, now, step);
}

auto OnPutAnswer(ClaimManager& manager,
                 ClaimShard& shard,
                 const ClaimShardArrived& event,
                 TimePoint now,
                 ClaimStep& step) -> void {
  shard.m_pending = ShardRequest::kNone;
  if (event.m_shard_object) {
    shard.m_backoff = Duration(0);
    shard.m_object = *event.m_shard_object;
    shard.m_read_at = shard.m_pending_since;
    ConfirmWritten(manager, shard, now, step);
    ResolveClaims(manager, shard, now, step);
    return;
  }
  shard.m_need_read = true;
  const auto code = event.m_shard_object.error().m_code;
  if (code == ErrorCode::kConflict) {
    FireWriting(manager, shard, ClaimEvent::kPutRefused, now, step);
    return;
  }
  BackOff(shard, now);
  const auto refused =
      code == ErrorCode::kUnavailable || code == ErrorCode::kLimit;
  FireWriting(manager, shard,
              refused ? ClaimEvent::kPutRefused : ClaimEvent::kPutUncertain,
              now, step);
}

auto OnReadAnswer(ClaimManager& manager,
                  ClaimShard& shard,
                  const ClaimShardArrived& event,
                  TimePoint now,
                  ClaimStep& step) -> void {
  shard.m_pending = ShardRequest::kNone;
  if (event.m_shard_object) {
    ApplyReadObject(manager, shard, *event.m_shard_object, now, step);
    return;
  }
  if (event.m_shard_object.error().m_code == ErrorCode::kNotFound) {
    shard.m_object.reset();
    ApplyReadObject(manager, shard, {.m_shard = shard.m_id}, now, step);
    return;
  }
  shard.m_need_read = true;
  BackOff(shard, now);
}

/// The sealed object is stored, by this write or earlier by another host.
auto OnSealedWritten(ClaimShard& shard, const ClaimShardObject& sealed)
    -> void {
  if (shard.m_seal && shard.m_seal->m_sealed.m_shard == sealed.m_shard) {
    shard.m_seal->m_sealed = sealed;
    shard.m_seal->m_written = true;
  }
  shard.m_index[sealed.m_shard] = IndexOf(sealed);
}

/// A listed object that is missing was deleted after its retention period; its
/// name is never reused, so it is cached as empty. An unlisted one has not been
/// written and still may be.
auto OnSealedMissing(ClaimShard& shard, const ClaimShardId& name) -> void {
  const auto& listed = shard.m_object->m_sealed;
  if (std::find(listed.begin(), listed.end(), name) != listed.end()) {
    shard.m_index[name] = {};
  }
  shard.m_seal.reset();
  shard.m_need_read = true;
}

auto OnSealedAnswer(ClaimManager& manager,
                    ClaimShard& shard,
                    const ClaimShardArrived& event,
                    TimePoint now,
                    ClaimStep& step) -> void {
  const auto was_put = shard.m_pending == ShardRequest::kPutSealed;
  shard.m_pending = ShardRequest::kNone;
  if (event.m_shard_object) {
    OnSealedWritten(shard, *event.m_shard_object);
    ResolveSealed(manager, shard, *event.m_shard_object, now, step);
    return;
  }
  const auto code = event.m_shard_object.error().m_code;
  if (was_put && code != ErrorCode::kUnavailable) {
    // The object exists or may exist; the stored version is authoritative.
    ReadSealed(shard, event.m_shard, now, step);
    return;
  }
  if (!was_put && code == ErrorCode::kNotFound) {
    OnSealedMissing(shard, event.m_shard);
    return;
  }
  BackOff(shard, now);
}

}  // namespace

auto DriveShard(ClaimManager& manager,
                ClaimShard& shard,
                TimePoint now,
                ClaimStep& step) -> void {
  if (shard.m_pending != ShardRequest::kNone &&
      now - shard.m_pending_since > kRequestTimeout) {
    ExpireRequest(manager, shard, now, step);
  }
  if (shard.m_pending != ShardRequest::kNone || now < shard.m_next_try ||
      shard.m_claims.empty()) {
    return;
  }
  if (!shard.m_object || shard.m_need_read) {
    Read(shard, now, step);
    return;
  }
  const auto sealed = NextSealed(shard);
  if (sealed) {
    ReadSealed(shard, *sealed, now, step);
    return;
  }
  if (!AnyDue(manager, shard, now) || Seal(manager, shard, now, step)) {
    return;
  }
  auto object = BuildObject(manager, shard, now, step);
  Begin(shard, ShardRequest::kPut, shard.m_id, now);
  shard.m_put_base = object.m_version;
  step.m_effects.emplace_back(PutClaimShard{std::move(object)});
}

}  // namespace pvt

auto OnClaimShardArrived(ClaimManager& manager,
                         const ClaimShardArrived& event,
                         TimePoint now) -> ClaimStep {
  ClaimStep step;
  for (auto& [id, shard] : manager.m_shards) {
    if (shard.m_pending == pvt::ShardRequest::kNone ||
        shard.m_pending_target != event.m_shard) {
      continue;
    }
    pvt::ExpireClaims(manager, shard, now, step);
    switch (shard.m_pending) {
      case pvt::ShardRequest::kRead:
        pvt::OnReadAnswer(manager, shard, event, now, step);
        break;
      case pvt::ShardRequest::kPut:
        pvt::OnPutAnswer(manager, shard, event, now, step);
        break;
      default:
        pvt::OnSealedAnswer(manager, shard, event, now, step);
        break;
    }
    pvt::DriveShard(manager, shard, now, step);
    pvt::DropClosed(manager, shard);
  }
  return step;
}

}  // namespace dotterelshed
