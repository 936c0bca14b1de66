#include "dotterelshed/replica_placement.h"

#include <algorithm>
#include <cstdint>
#include <map>
#include <tuple>

#define XXH_INLINE_ALL
#include <xxhash.h>

namespace dotterelshed {

namespace {

/// Rank of a host or domain for a program; the highest is chosen.
auto Rank(const std::string& name, const ProgramId& program) -> std::uint64_t {
  const auto seed = XXH3_64bits(name.data(), name.size());
  const auto& key = program.value();
  return XXH3_64bits_withSeed(key.data(), key.size(), seed);
}

/// Order of preference of two hosts of one domain.
auto HostPreference(const ReplicaHost& host,
                    const ProgramId& program,
                    const std::set<HostId>& avoided) {
  return std::tuple<bool, std::uint64_t, const HostId&>(
      !avoided.contains(host.m_host), Rank(host.m_host.value(), program),
      host.m_host);
}

auto Contains(const std::vector<ReplicaHost>& hosts, const HostId& host)
    -> bool {
  return std::any_of(
      hosts.begin(), hosts.end(),
      [&host](const ReplicaHost& one) { return one.m_host == host; });
}

}  // namespace

auto ChooseReplicas(const std::vector<ReplicaHost>& hosts,
                    const ProgramId& program,
                    const std::set<HostId>& avoided)
    -> std::vector<ReplicaHost> {
  std::map<DomainId, const ReplicaHost*> best;
  for (const auto& host : hosts) {
    if (host.m_leaving || host.m_drained) {
      continue;
    }
    auto& chosen = best[host.m_domain];
    if (chosen == nullptr || HostPreference(host, program, avoided) >
                                 HostPreference(*chosen, program, avoided)) {
      chosen = &host;
    }
  }
  std::vector<ReplicaHost> replicas;
  replicas.reserve(best.size());
  for (const auto& [domain, host] : best) {
    replicas.push_back(*host);
  }
  std::sort(replicas.begin(), replicas.end(),
            [&program](const ReplicaHost& a, const ReplicaHost& b) {
              return Rank(a.m_domain.value(), program) >
                     Rank(b.m_domain.value(), program);
            });
  replicas.resize(std::min(replicas.size(), kMaxReplicas));
  return replicas;
}

auto OrderForReading(const std::vector<ReplicaHost>& hosts,
                     const ProgramId& program,
                     const DomainId& domain,
                     const std::set<HostId>& avoided)
    -> std::vector<ReplicaHost> {
  auto order = ChooseReplicas(hosts, program, avoided);
  std::stable_partition(
      order.begin(), order.end(),
      [&domain](const ReplicaHost& host) { return host.m_domain == domain; });
  for (const auto& host : hosts) {
    if (!host.m_drained && !Contains(order, host.m_host)) {
      order.push_back(host);
    }
  }
  return order;
}

}  // namespace dotterelshed
