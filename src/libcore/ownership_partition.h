#ifndef DOTTERELSHED_LIBCORE_OWNERSHIP_PARTITION_H_
#define DOTTERELSHED_LIBCORE_OWNERSHIP_PARTITION_H_

#include <map>
#include <set>
#include <utility>
#include <vector>

#include "dotterelshed/desk_config.h"
#include "dotterelshed/ids.h"

/// @file
/// Cuts a failure domain's endpoints into pools. Every host finds the same cut
/// from the same configuration.

namespace dotterelshed::pvt {

/// Endpoints of a service in a pool.
using PoolPartition =
    std::map<std::pair<PoolId, ServiceId>, std::vector<EndpointConfig>>;

/// One pool per @p max_endpoints endpoints of the domain's largest service, at
/// least one; "<domain>/<number>".
auto DesiredPools(const DeskConfig& config,
                  const DomainId& domain,
                  int max_endpoints) -> std::set<PoolId>;

/// Most endpoints keep their pool when others come or go. A service with fewer
/// endpoints than there are pools shares each among several pools and divides
/// its concurrency.
auto PartitionIntoPools(const DeskConfig& config,
                        const DomainId& domain,
                        const std::set<PoolId>& pools) -> PoolPartition;

}  // namespace dotterelshed::pvt

#endif  // DOTTERELSHED_LIBCORE_OWNERSHIP_PARTITION_H_
