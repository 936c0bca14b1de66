#include "dotterelshed/endpoint_permits.h"

#include <algorithm>
#include <cstdint>

#define XXH_INLINE_ALL
#include <xxhash.h>

namespace dotterelshed {

namespace {

/// Most domains that share an endpoint's limit. Each of them may send one
/// request at any moment, and the bound leaves room for 5 beside the limit.
constexpr std::size_t kMaxSharingDomains = 5;
/// Requests a second by which it is noticed that a lower limit has ended.
constexpr double kMinLimit = 0.25;
/// A bucket holds one permit, so that domains can't send bursts together.
constexpr double kCapacity = 1;
/// Longest time that is stated until the next permit.
constexpr Duration kMaxWait = std::chrono::seconds(10);

/// Share of the endpoint's own domain; the others have equal parts of the rest.
constexpr double kOwnDomainShare = 0.7;

/// Orders domains by how soon they get a share; the endpoint's own comes first.
auto RankHash(const LimitedEndpoint& endpoint, const DomainId& domain)
    -> std::uint64_t {
  if (domain == endpoint.m_domain) {
    return 0;
  }
  const auto& name = endpoint.m_id.value();
  const auto& key = domain.value();
  const auto seed = XXH3_64bits(name.data(), name.size());
  return XXH3_64bits_withSeed(key.data(), key.size(), seed) | 1U;
}

/// Returns true if fewer than kMaxSharingDomains come before the domain.
auto SharesLimit(const LimitedEndpoint& endpoint,
                 const DomainId& domain,
                 const std::vector<DomainId>& domains) -> bool {
  const auto own = RankHash(endpoint, domain);
  const auto before = std::count_if(
      domains.begin(), domains.end(),
      [&](const DomainId& other) { return RankHash(endpoint, other) < own; });
  return static_cast<std::size_t>(before) < kMaxSharingDomains;
}

auto Fill(PermitBuckets& buckets,
          const EndpointId& endpoint,
          double rate,
          TimePoint now) -> PermitBucket& {
  auto& bucket = buckets.try_emplace(endpoint, PermitBucket{.m_filled_at = now})
                     .first->second;
  const auto time = std::max(now - bucket.m_filled_at, Duration{0});
  bucket.m_level = std::min(bucket.m_level + rate * ToSeconds(time), kCapacity);
  bucket.m_filled_at = now;
  return bucket;
}

}  // namespace

auto DomainRate(const LimitedEndpoint& endpoint,
                const DomainId& domain,
                const std::vector<DomainId>& domains) -> double {
  if (!SharesLimit(endpoint, domain, domains)) {
    return 0;
  }
  const auto limit = std::max(endpoint.m_limit, kMinLimit);
  const auto sharing =
      std::clamp<std::size_t>(domains.size(), 1, kMaxSharingDomains);
  const auto own_domain_listed = std::find(domains.begin(), domains.end(),
                                           endpoint.m_domain) != domains.end();
  if (sharing == 1 || !own_domain_listed) {
    return limit / static_cast<double>(sharing);
  }
  return domain == endpoint.m_domain
             ? limit * kOwnDomainShare
             : limit * (1 - kOwnDomainShare) / static_cast<double>(sharing - 1);
}

auto TakePermit(PermitBuckets& buckets,
                const EndpointId& endpoint,
                double rate,
                TimePoint now) -> bool {
  auto& bucket = Fill(buckets, endpoint, rate, now);
  if (bucket.m_level < kCapacity) {
    return false;
  }
  bucket.m_level -= kCapacity;
  return true;
}

auto TimeToPermit(PermitBuckets& buckets,
                  const EndpointId& endpoint,
                  double rate,
                  TimePoint now) -> Duration {
  const auto& bucket = Fill(buckets, endpoint, rate, now);
  const auto missing = kCapacity - bucket.m_level;
  if (missing <= 0) {
    return Duration{0};
  }
  const auto seconds = missing / rate;
  return seconds < ToSeconds(kMaxWait) ? FromSeconds(seconds) : kMaxWait;
}

}  // namespace dotterelshed
