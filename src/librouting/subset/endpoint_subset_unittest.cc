#include "dotterelshed/endpoint_subset.h"

#include <catch2/catch.hpp>

#include <cmath>
#include <string>
#include <vector>

namespace dotterelshed {
namespace {

auto Host(std::size_t number) -> HostId {
  return HostId("edge-a-" + std::to_string(number));
}

auto Endpoint(std::size_t number) -> EndpointId {
  return EndpointId("i-" + std::to_string(number * 7919));
}

TEST_CASE("subsets are even over hosts and endpoints at several sizes") {
  const auto [hosts, endpoints] =
      GENERATE(std::pair<std::size_t, std::size_t>(14, 18),
               std::pair<std::size_t, std::size_t>(96, 133),
               std::pair<std::size_t, std::size_t>(320, 12000));
  const auto share = SubsetShare(endpoints, hosts);
  std::vector<double> by_host(hosts);
  std::vector<double> by_endpoint(endpoints);
  for (std::size_t h = 0; h < hosts; ++h) {
    for (std::size_t e = 0; e < endpoints; ++e) {
      const auto in = IsInSubset(Host(h), Endpoint(e), share) ? 1 : 0;
      by_host[h] += in;
      by_endpoint[e] += in;
    }
  }
  // Five standard deviations of independent pairs.
  const auto check = [share](const std::vector<double>& counts,
                             std::size_t others) {
    const auto mean = share * static_cast<double>(others);
    const auto margin = 5 * std::sqrt(mean * (1 - share)) + 1;
    for (const auto count : counts) {
      CHECK(std::abs(count - mean) <= margin);
    }
  };
  check(by_host, endpoints);
  check(by_endpoint, hosts);
  const SubsetOptions options;
  CHECK(share * static_cast<double>(hosts) >=
        Approx(options.m_hosts_per_endpoint));
  CHECK(share * static_cast<double>(endpoints) >= Approx(options.m_min_width));
}

TEST_CASE("a small service, or an unknown number of hosts, has no subsets") {
  CHECK(SubsetShare(5, 100) == 1);
  CHECK(SubsetShare(1000, 0) == 1);
  CHECK(SubsetShare(0, 10) == 1);
  CHECK(IsInSubset(Host(1), Endpoint(1), 1));
}

TEST_CASE("hosts and endpoints that come and go change few pairs of others") {
  const auto [hosts, endpoints] =
      GENERATE(std::pair<std::size_t, std::size_t>(14, 18),
               std::pair<std::size_t, std::size_t>(96, 133),
               std::pair<std::size_t, std::size_t>(320, 3000));
  const auto before = SubsetShare(endpoints, hosts);
  const auto after = SubsetShare(endpoints + 1, hosts - 1);
  auto changed = 0.0;
  auto pairs = 0.0;
  for (std::size_t h = 0; h + 1 < hosts; ++h) {
    for (std::size_t e = 0; e < endpoints; ++e) {
      const auto was = IsInSubset(Host(h), Endpoint(e), before);
      changed += was != IsInSubset(Host(h), Endpoint(e), after) ? 1 : 0;
      pairs += was ? 1 : 0;
    }
  }
  CHECK(changed <= 0.1 * pairs);
}

}  // namespace
}  // namespace dotterelshed
