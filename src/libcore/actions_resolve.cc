#include <algorithm>

#include "claims_state.h"

/// @file
/// Compares what this host wants to claim with what stands in the platform.

namespace dotterelshed::pvt {

namespace {

/// A write of this claim that got no answer can't take effect any more.
auto OldWritesAreDead(const Claim& claim, const ClaimShardObject& object)
    -> bool {
  return !claim.m_uncertain_at || object.m_version > *claim.m_uncertain_at;
}

/// Whether a finished claim's record says what it should.
auto ResultStands(const Claim& claim, const ClaimRecord* record) -> bool {
  const auto own =
      record != nullptr && record->m_nonce == claim.m_record.m_nonce;
  if (!own) {
    return true;
  }
  return !claim.m_not_run && record->m_has_result;
}

/// A claim without result may have got one since the lane was read.
auto NeedsFreshRead(const Lane& lane,
                    const Claim& claim,
                    const ClaimRecord& other) -> bool {
  return !other.m_has_result && lane.m_read_at < claim.m_asked &&
         other.m_content == claim.m_record.m_content;
}

auto ResolveOne(ClaimManager& book,
                Lane& lane,
                Claim& claim,
                TimePoint now,
                ClaimStep& step) -> void {
  const auto& object = *lane.m_object;
  const auto* record = FindRecord(object, claim.m_record.m_key);
  if (claim.m_state == ClaimState::kFinishing) {
    if (ResultStands(claim, record)) {
      FireClaim(book, claim, ClaimEvent::kResultWritten, nullptr, now, step);
    }
    return;
  }
  if (record != nullptr && record->m_nonce == claim.m_record.m_nonce) {
    FireClaim(book, claim, ClaimEvent::kFoundOwn, nullptr, now, step);
    return;
  }
  if (!OldWritesAreDead(claim, object)) {
    return;
  }
  if (record == nullptr) {
    FireClaim(book, claim, ClaimEvent::kFoundNone, nullptr, now, step);
  } else if (NeedsFreshRead(lane, claim, *record)) {
    lane.m_need_read = true;
  } else {
    FireClaim(book, claim, ClaimEvent::kFoundOther, record, now, step);
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

auto ResolveClaims(ClaimManager& book,
                   Lane& lane,
                   TimePoint now,
                   ClaimStep& step) -> void {
  for (auto& [number, claim] : lane.m_claims) {
    ResolveOne(book, lane, claim, now, step);
  }
}

auto ResolveSealed(ClaimManager& book,
                   Lane& lane,
                   const ClaimShardObject& sealed,
                   TimePoint now,
                   ClaimStep& step) -> void {
  for (auto& [number, claim] : lane.m_claims) {
    if (claim.m_state != ClaimState::kWaiting) {
      continue;
    }
    const auto* record = FindRecord(sealed, claim.m_record.m_key);
    if (record == nullptr) {
      claim.m_cleared.insert(sealed.m_shard);
    } else {
      FireClaim(book, claim, ClaimEvent::kFoundOther, record, now, step);
    }
  }
}

auto SealedToRead(const Lane& lane, const Claim& claim)
    -> std::optional<ClaimShardId> {
  for (const auto& name : lane.m_object->m_sealed) {
    const auto index = lane.m_index.find(name);
    const auto unknown = index == lane.m_index.end();
    if (unknown || (IndexHasKey(index->second, claim.m_record.m_key) &&
                    !claim.m_cleared.contains(name))) {
      return name;
    }
  }
  return std::nullopt;
}

auto ExpireClaims(ClaimManager& book,
                  Lane& lane,
                  TimePoint now,
                  ClaimStep& step) -> void {
  for (auto& [number, claim] : lane.m_claims) {
    if (now - claim.m_asked > book.m_options.m_claim_timeout) {
      FireClaim(book, claim, ClaimEvent::kTimedOut, nullptr, now, step);
    }
  }
}

auto DropClosed(ClaimManager& book, Lane& lane) -> void {
  for (auto it = lane.m_claims.begin(); it != lane.m_claims.end();) {
    if (it->second.m_state == ClaimState::kClosed) {
      // The request may have asked again since.
      const auto place = book.m_requests.find(it->second.m_record.m_request);
      if (place != book.m_requests.end() &&
          place->second.m_number == it->first) {
        book.m_requests.erase(place);
      }
      it = lane.m_claims.erase(it);
    } else {
      ++it;
    }
  }
}

}  // namespace dotterelshed::pvt
