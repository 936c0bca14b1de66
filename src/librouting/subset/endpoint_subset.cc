#include "dotterelshed/endpoint_subset.h"

#include <algorithm>
#include <cmath>

#define XXH_INLINE_ALL
#include <xxhash.h>

namespace dotterelshed {

namespace {

/// In [0, 1); the same on all hosts.
auto PairFraction(const HostId& host, const EndpointId& endpoint) -> double {
  const auto& name = host.value();
  const auto& key = endpoint.value();
  const auto seed = XXH3_64bits(name.data(), name.size());
  const auto hash = XXH3_64bits_withSeed(key.data(), key.size(), seed);
  return std::ldexp(static_cast<double>(hash >> 11U), -53);
}

}  // namespace

auto SubsetShare(std::size_t endpoints,
                 std::size_t hosts,
                 const SubsetOptions& options) -> double {
  if (endpoints == 0 || hosts == 0) {
    return 1;
  }
  const auto count = static_cast<double>(endpoints);
  const auto covering =
      options.m_hosts_per_endpoint * count / static_cast<double>(hosts);
  return std::min(1.0, std::max(options.m_min_width, covering) / count);
}

auto IsInSubset(const HostId& host, const EndpointId& endpoint, double share)
    -> bool {
  if (share >= 1) {
    return true;
  }
  return PairFraction(host, endpoint) < share;
}

}  // namespace dotterelshed
