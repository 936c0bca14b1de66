#include "ownership_cut.h"

#include <algorithm>

#include "ownership_plan.h"

namespace dotterelshed::pvt {

namespace {

using Endpoints = std::vector<EndpointConfig>;

auto EndpointsIn(const ServiceConfig& service, const DomainId& domain)
    -> Endpoints {
  Endpoints endpoints;
  for (const auto& endpoint : service.m_endpoints) {
    if (endpoint.m_domain == domain) {
      endpoints.push_back(endpoint);
    }
  }
  std::sort(endpoints.begin(), endpoints.end(),
            [](const auto& left, const auto& right) {
              return left.m_id < right.m_id;
            });
  return endpoints;
}

/// The key of @p candidates with the largest hash beside @p name, among those
/// that hold fewer than @p most.
template <typename Key, typename Value>
auto Closest(const std::string& name,
             const std::map<Key, Value>& candidates,
             std::size_t most) -> Key {
  const Key* chosen = nullptr;
  auto best = std::uint64_t{0};
  for (const auto& [key, value] : candidates) {
    const auto weight = MixHash(name, key.value());
    if (value.size() < most && (chosen == nullptr || weight > best)) {
      chosen = &key;
      best = weight;
    }
  }
  return *chosen;
}

auto DivideUp(std::size_t total, std::size_t parts) -> std::size_t {
  return (total + parts - 1) / parts;
}

/// Each endpoint goes to one pool.
auto Spread(const ServiceId& service,
            const Endpoints& endpoints,
            const std::set<PoolId>& pools,
            PoolCut& cut) -> void {
  std::map<PoolId, Endpoints> shares;
  for (const auto& pool : pools) {
    shares[pool];
  }
  const auto most = DivideUp(endpoints.size(), pools.size());
  for (const auto& endpoint : endpoints) {
    shares[Closest(endpoint.m_id.value(), shares, most)].push_back(endpoint);
  }
  for (auto& [pool, share] : shares) {
    cut[{pool, service}] = std::move(share);
  }
}

/// Each pool gets one endpoint, which several pools share.
auto Share(const ServiceId& service,
           const Endpoints& endpoints,
           const std::set<PoolId>& pools,
           PoolCut& cut) -> void {
  std::map<EndpointId, std::vector<PoolId>> users;
  for (const auto& endpoint : endpoints) {
    users[endpoint.m_id];
  }
  const auto most = DivideUp(pools.size(), endpoints.size());
  for (const auto& pool : pools) {
    users[Closest(pool.value(), users, most)].push_back(pool);
  }
  for (const auto& endpoint : endpoints) {
    const auto& sharing = users[endpoint.m_id];
    auto part = endpoint;
    const auto count = std::max(1, static_cast<int>(sharing.size()));
    part.m_max_concurrency = std::max(1, part.m_max_concurrency / count);
    for (const auto& pool : sharing) {
      cut[{pool, service}].push_back(part);
    }
  }
}

}  // namespace

auto WantedPools(const DeskConfig& config,
                 const DomainId& domain,
                 int max_endpoints) -> std::set<PoolId> {
  auto largest = std::size_t{1};
  for (const auto& [id, service] : config.m_services) {
    largest = std::max(largest, EndpointsIn(service, domain).size());
  }
  const auto count = DivideUp(largest, static_cast<std::size_t>(max_endpoints));
  std::set<PoolId> pools;
  for (auto i = std::size_t{0}; i < count; ++i) {
    pools.insert(PoolId(domain.value() + "/" + std::to_string(i)));
  }
  return pools;
}

auto CutIntoPools(const DeskConfig& config,
                  const DomainId& domain,
                  const std::set<PoolId>& pools) -> PoolCut {
  PoolCut cut;
  for (const auto& [id, service] : config.m_services) {
    const auto endpoints = EndpointsIn(service, domain);
    if (endpoints.empty()) {
      continue;
    }
    if (endpoints.size() < pools.size()) {
      Share(id, endpoints, pools, cut);
    } else {
      Spread(id, endpoints, pools, cut);
    }
  }
  return cut;
}

}  // namespace dotterelshed::pvt
