#define XXH_INLINE_ALL
#include <xxhash.h>

#include <algorithm>

#include "claims/claims_state.h"

/// @file
/// Builds the object written to a claim shard and keeps it below its size limit
/// by moving finished claims to sealed objects.

namespace dotterelshed::pvt {

namespace {

/// Approximate bytes of JSON field names and punctuation per record.
constexpr auto kRecordOverhead = std::int64_t{260};
constexpr auto kSealedNameBytes = std::int64_t{32};

/// True if @p claim can be part of the next write.
auto MayWrite(const ClaimShard& shard, const Claim& claim) -> bool {
  const auto open = claim.m_state == ClaimState::kWaiting ||
                    claim.m_state == ClaimState::kUncertain;
  return open && !SealedToRead(shard, claim) &&
         FindRecord(*shard.m_object, claim.m_record.m_key) == nullptr;
}

auto IsExpired(const ClaimManager& manager,
               std::int64_t claimed_at_s,
               TimePoint now) -> bool {
  const auto wall = WallSeconds(manager, now);
  const auto retention = std::chrono::duration_cast<std::chrono::seconds>(
                             manager.m_options.m_retention)
                             .count();
  return wall && claimed_at_s > 0 && *wall - claimed_at_s > retention;
}

auto DropExpired(const ClaimManager& manager,
                 ClaimShard& shard,
                 TimePoint now,
                 ClaimShardObject& object) -> void {
  std::erase_if(object.m_claims, [&](const ClaimRecord& record) {
    return record.m_has_result &&
           IsExpired(manager, record.m_claimed_at_s, now);
  });
  shard.m_dropping.clear();
  std::erase_if(object.m_sealed, [&](const ClaimShardId& name) {
    const auto index = shard.m_index.find(name);
    const auto expired = index != shard.m_index.end() &&
                         IsExpired(manager, index->second.m_newest_s, now);
    if (expired) {
      shard.m_dropping.push_back(name);
    }
    return expired;
  });
}

auto WriteResult(const Claim& claim, ClaimShardObject& object) -> void {
  const auto& nonce = claim.m_record.m_nonce;
  auto& claims = object.m_claims;
  const auto found = std::find_if(
      claims.begin(), claims.end(),
      [&nonce](const auto& record) { return record.m_nonce == nonce; });
  if (found == claims.end()) {
    return;
  }
  if (claim.m_not_run) {
    claims.erase(found);
  } else {
    *found = claim.m_record;
  }
}

/// Replaces sealed claims in the object by the sealed object's name, unless
/// another host has already listed a sealed object with that number.
auto ApplySeal(ClaimShard& shard, ClaimShardObject& object) -> void {
  if (!shard.m_seal || !shard.m_seal->m_written) {
    return;
  }
  const auto& sealed = shard.m_seal->m_sealed;
  if (object.m_next_seal != sealed.m_next_seal) {
    shard.m_seal.reset();
    return;
  }
  std::set<std::string> nonces;
  for (const auto& record : sealed.m_claims) {
    nonces.insert(record.m_nonce);
  }
  std::erase_if(object.m_claims, [&nonces](const ClaimRecord& record) {
    return record.m_has_result && nonces.contains(record.m_nonce);
  });
  object.m_sealed.push_back(sealed.m_shard);
  ++object.m_next_seal;
}

/// Adds pending claims up to the size limit. Of several claims on one key, only
/// the first is added.
auto AddClaims(ClaimManager& manager,
               ClaimShard& shard,
               TimePoint now,
               ClaimShardObject& object,
               ClaimStep& step) -> void {
  auto size = SizeOf(object);
  const auto limit = manager.m_options.m_max_shard_bytes.value();
  for (auto& [number, claim] : shard.m_claims) {
    if (!MayWrite(shard, claim) ||
        FindRecord(object, claim.m_record.m_key) != nullptr) {
      continue;
    }
    size += SizeOf(claim.m_record);
    if (size > limit) {
      FireClaim(manager, claim, ClaimEvent::kTimedOut, nullptr, now, step);
      size -= SizeOf(claim.m_record);
      continue;
    }
    object.m_claims.push_back(claim.m_record);
    FireClaim(manager, claim, ClaimEvent::kPutStarted, nullptr, now, step);
  }
}

}  // namespace

auto ShardOf(const ClaimManager& manager, const IdempotencyKey& key)
    -> ClaimShardId {
  const auto count =
      static_cast<std::uint64_t>(manager.m_options.m_shard_count);
  return ClaimShardId("lane-" + std::to_string(KeyHash(key) % count));
}

auto KeyHash(const IdempotencyKey& key) -> std::uint64_t {
  return XXH3_64bits(key.value().data(), key.value().size());
}

auto WallSeconds(const ClaimManager& manager, TimePoint now)
    -> std::optional<std::int64_t> {
  if (!manager.m_options.m_wall_clock_offset) {
    return std::nullopt;
  }
  const auto wall =
      now.time_since_epoch() + *manager.m_options.m_wall_clock_offset;
  return std::chrono::duration_cast<std::chrono::seconds>(wall).count();
}

auto SizeOf(const ClaimRecord& record) -> std::int64_t {
  // Quotes and backslashes in an answer take two bytes in JSON, hence the 2.
  const auto text =
      record.m_key.value().size() + record.m_content.value().size() +
      record.m_request.value().size() + record.m_program.value().size() +
      record.m_nonce.size() + record.m_answer.size() * 2;
  return kRecordOverhead + static_cast<std::int64_t>(text);
}

auto SizeOf(const ClaimShardObject& object) -> std::int64_t {
  auto size =
      static_cast<std::int64_t>(object.m_sealed.size()) * kSealedNameBytes;
  for (const auto& record : object.m_claims) {
    size += SizeOf(record);
  }
  return size;
}

auto IndexOf(const ClaimShardObject& sealed) -> SealedIndex {
  SealedIndex index;
  for (const auto& record : sealed.m_claims) {
    index.m_keys.push_back(KeyHash(record.m_key));
    index.m_newest_s = std::max(index.m_newest_s, record.m_claimed_at_s);
  }
  std::sort(index.m_keys.begin(), index.m_keys.end());
  return index;
}

auto PlanSeal(const ClaimManager& manager, const ClaimShard& shard)
    -> std::optional<SealPlan> {
  const auto& object = *shard.m_object;
  const auto limit = manager.m_options.m_max_shard_bytes.value();
  const auto max_sealed =
      static_cast<std::size_t>(manager.m_options.m_max_sealed);
  if (object.m_sealed.size() >= max_sealed || SizeOf(object) <= limit / 2) {
    return std::nullopt;
  }
  SealPlan plan;
  plan.m_sealed.m_shard = ClaimShardId(shard.m_id.value() + "." +
                                       std::to_string(object.m_next_seal));
  plan.m_sealed.m_next_seal = object.m_next_seal;
  for (const auto& record : object.m_claims) {
    if (record.m_has_result) {
      plan.m_sealed.m_claims.push_back(record);
    }
  }
  // A sealed object that frees less than a quarter of the limit is not worth
  // storing.
  if (SizeOf(plan.m_sealed) < limit / 4) {
    return std::nullopt;
  }
  return plan;
}

auto BuildObject(ClaimManager& manager,
                 ClaimShard& shard,
                 TimePoint now,
                 ClaimStep& step) -> ClaimShardObject {
  auto object = *shard.m_object;
  object.m_shard = shard.m_id;
  DropExpired(manager, shard, now, object);
  ApplySeal(shard, object);
  for (const auto& [number, claim] : shard.m_claims) {
    if (claim.m_state == ClaimState::kFinishing) {
      WriteResult(claim, object);
    }
  }
  AddClaims(manager, shard, now, object, step);
  return object;
}

}  // namespace dotterelshed::pvt
