#include "ownership/ownership_partition.h"

#include <algorithm>

#include "ownership/ownership_plan.h"

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

/// Rendezvous hashing with a capacity: the key of @p candidates with the
/// highest hash together with @p name, among those with fewer than @p capacity
/// entries.
template <typename Key, typename Value>
auto HighestWeight(const std::string& name,
                   const std::map<Key, Value>& candidates,
                   std::size_t capacity) -> Key {
  const Key* chosen = nullptr;
  auto best = std::uint64_t{0};
  for (const auto& [key, value] : candidates) {
    const auto weight = HashPair(name, key.value());
    if (value.size() < capacity && (chosen == nullptr || weight > best)) {
      chosen = &key;
      best = weight;
    }
  }
  return *chosen;
}

auto DivideRoundingUp(std::size_t total, std::size_t parts) -> std::size_t {
  return (total + parts - 1) / parts;
}

/// Assigns each endpoint to one pool. Used when there are at least as many
/// endpoints as pools.
auto AssignEndpoints(const ServiceId& service,
                     const Endpoints& endpoints,
                     const std::set<PoolId>& pools,
                     PoolPartition& partition) -> void {
  std::map<PoolId, Endpoints> shares;
  for (const auto& pool : pools) {
    shares[pool];
  }
  const auto capacity = DivideRoundingUp(endpoints.size(), pools.size());
  for (const auto& endpoint : endpoints) {
    shares[HighestWeight(endpoint.m_id.value(), shares, capacity)].push_back(
        endpoint);
  }
  for (auto& [pool, share] : shares) {
    partition[{pool, service}] = std::move(share);
  }
}

/// Assigns each pool one endpoint, which several pools share: the endpoint's
/// concurrency limit is divided among them, to at least 1 each.
auto ShareEndpoints(const ServiceId& service,
                    const Endpoints& endpoints,
                    const std::set<PoolId>& pools,
                    PoolPartition& partition) -> void {
  std::map<EndpointId, std::vector<PoolId>> users;
  for (const auto& endpoint : endpoints) {
    users[endpoint.m_id];
  }
  const auto capacity = DivideRoundingUp(pools.size(), endpoints.size());
  for (const auto& pool : pools) {
    users[HighestWeight(pool.value(), users, capacity)].push_back(pool);
  }
  for (const auto& endpoint : endpoints) {
    const auto& sharing = users[endpoint.m_id];
    auto part = endpoint;
    const auto count = std::max(1, static_cast<int>(sharing.size()));
    part.m_max_concurrency = std::max(1, part.m_max_concurrency / count);
    for (const auto& pool : sharing) {
      partition[{pool, service}].push_back(part);
    }
  }
}

}  // namespace

auto DesiredPools(const DeskConfig& config,
                  const DomainId& domain,
                  int max_endpoints) -> std::set<PoolId> {
  auto largest = std::size_t{1};
  for (const auto& [id, service] : config.m_services) {
    largest = std::max(largest, EndpointsIn(service, domain).size());
  }
  const auto count =
      DivideRoundingUp(largest, static_cast<std::size_t>(max_endpoints));
  std::set<PoolId> pools;
  for (auto i = std::size_t{0}; i < count; ++i) {
    pools.insert(PoolId(domain.value() + "/" + std::to_string(i)));
  }
  return pools;
}

auto PartitionIntoPools(const DeskConfig& config,
                        const DomainId& domain,
                        const std::set<PoolId>& pools) -> PoolPartition {
  PoolPartition partition;
  for (const auto& [id, service] : config.m_services) {
    const auto endpoints = EndpointsIn(service, domain);
    if (endpoints.empty()) {
      continue;
    }
    if (endpoints.size() < pools.size()) {
      ShareEndpoints(id, endpoints, pools, partition);
    } else {
      AssignEndpoints(id, endpoints, pools, partition);
    }
  }
  return partition;
}

}  // namespace dotterelshed::pvt
