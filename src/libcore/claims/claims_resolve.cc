#include <algorithm>

#include "claims/claims_state.h"

/// @file
/// Compares this host's pending claims with the records in the platform.

namespace dotterelshed::pvt {

namespace {

/// True if no lost write of this claim can take effect any more: the shard has
/// moved past its base version.
auto LostWriteCannotApply(const Claim& claim, const ClaimShardObject& object)
    -> bool {
  return !claim.m_lost_write_base ||
         object.m_version > *claim.m_lost_write_base;
}

/// True if nothing remains to be written for a finished claim.
auto IsResultStored(const Claim& claim, const ClaimRecord* record) -> bool {
  const auto own =
      record != nullptr && record->m_nonce == claim.m_record.m_nonce;
  if (!own) {
    return true;
  }
  return !claim.m_not_run && record->m_has_result;
}

/// True if the other claim may have got a result since the shard was read.
auto NeedsFreshRead(const ClaimShard& shard,
                    const Claim& claim,
                    const ClaimRecord& other) -> bool {
  return !other.m_has_result && shard.m_read_at < claim.m_requested_at &&
         other.m_content == claim.m_record.m_content;
}

auto ResolveOne(ClaimManager& manager,
                ClaimShard& shard,
                Claim& claim,
                TimePoint now,
                ClaimStep& step) -> void {
  const auto& object = *shard.m_object;
  const auto* record = FindRecord(object, claim.m_record.m_key);
  if (claim.m_state == ClaimState::kFinishing) {
    if (IsResultStored(claim, record)) {
      FireClaim(manager, claim, ClaimEvent::kResultWritten, nullptr, now, step);
    }
    return;
  }
  if (record != nullptr && record->m_nonce == claim.m_record.m_nonce) {
    FireClaim(manager, claim, ClaimEvent::kFoundOwn, nullptr, now, step);
    return;
  }
  if (!LostWriteCannotApply(claim, object)) {
    return;
  }
  if (record == nullptr) {
    FireClaim(manager, claim, ClaimEvent::kFoundNone, nullptr, now, step);
  } else if (NeedsFreshRead(shard, claim, *record)) {
    shard.m_need_read = true;
  } else {
    FireClaim(manager, claim, ClaimEvent::kFoundOther, record, now, step);
  }
}

auto IndexHasKey(const SealedIndex& index, const IdempotencyKey& key) -> bool {
  return std::binary_search(index.m_keys.begin(), index.m_keys.end(),
                            KeyHash(key));
}

}  // namespace

auto FindRecord(const ClaimShardObject& object, const IdempotencyKey& key)
    -> const ClaimRecord* {
  const auto found =
      std::find_if(object.m_claims.begin(), object.m_claims.end(),
                   [&key](const auto& claim) { return claim.m_key == key; });
  return found == object.m_claims.end() ? nullptr : &*found;
}

auto ResolveClaims(ClaimManager& manager,
                   ClaimShard& shard,
                   TimePoint now,
                   ClaimStep& step) -> void {
  for (auto& [number, claim] : shard.m_claims) {
    ResolveOne(manager, shard, claim, now, step);
  }
}

auto ResolveSealed(ClaimManager& manager,
                   ClaimShard& shard,
                   const ClaimShardObject& sealed,
                   TimePoint now,
                   ClaimStep& step) -> void {
  for (auto& [number, claim] : shard.m_claims) {
    if (claim.m_state != ClaimState::kWaiting) {
      continue;
    }
    const auto* record = FindRecord(sealed, claim.m_record.m_key);
    if (record == nullptr) {
      claim.m_absent_from.insert(sealed.m_shard);
    } else {
      FireClaim(manager, claim, ClaimEvent::kFoundOther, record, now, step);
    }
  }
}

auto SealedToRead(const ClaimShard& shard, const Claim& claim)
    -> std::optional<ClaimShardId> {
  for (const auto& name : shard.m_object->m_sealed) {
    const auto index = shard.m_index.find(name);
    const auto unknown = index == shard.m_index.end();
    if (unknown || (IndexHasKey(index->second, claim.m_record.m_key) &&
                    !claim.m_absent_from.contains(name))) {
      return name;
    }
  }
  return std::nullopt;
}

auto ExpireClaims(ClaimManager& manager,
                  ClaimShard& shard,
                  TimePoint now,
                  ClaimStep& step) -> void {
  for (auto& [number, claim] : shard.m_claims) {
    if (now - claim.m_requested_at > manager.m_options.m_claim_timeout) {
      FireClaim(manager, claim, ClaimEvent::kTimedOut, nullptr, now, step);
    }
  }
}

auto DropClosed(ClaimManager& manager, ClaimShard& shard) -> void {
  for (auto it = shard.m_claims.begin(); it != shard.m_claims.end();) {
    if (it->second.m_state == ClaimState::kClosed) {
      // The request may have a newer claim by now.
      const auto location =
          manager.m_requests.find(it->second.m_record.m_request);
      if (location != manager.m_requests.end() &&
          location->second.m_number == it->first) {
        manager.m_requests.erase(location);
      }
      it = shard.m_claims.erase(it);
    } else {
      ++it;
    }
  }
}

}  // namespace dotterelshed::pvt
