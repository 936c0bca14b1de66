#ifndef DOTTERELSHED_LIBCORE_OWNERSHIP_OWNERSHIP_PARTITION_H_
#define DOTTERELSHED_LIBCORE_OWNERSHIP_OWNERSHIP_PARTITION_H_

#include <map>
#include <set>
#include <utility>
#include <vector>

#include "dotterelshed/desk_config.h"
#include "dotterelshed/ids.h"

/// @file
/// Partition of a failure domain's endpoints into pools. Every host computes
/// the same partition from the same configuration.

namespace dotterelshed::pvt {

/// Endpoints of each service in each pool.
using PoolPartition =
    std::map<std::pair<PoolId, ServiceId>, std::vector<EndpointConfig>>;

/// Ids of the pools, "<domain>/<number>": one pool per @p max_endpoints
/// endpoints of the domain's largest service, rounded up, and at least one.
auto DesiredPools(const DeskConfig& config,
                  const DomainId& domain,
                  int max_endpoints) -> std::set<PoolId>;

/// Assigns endpoints to @p pools such that most keep their pool when others are
/// added or removed. If a service has fewer endpoints than there are pools,
/// several pools share an endpoint and its concurrency limit is divided.
auto PartitionIntoPools(const DeskConfig& config,
                        const DomainId& domain,
                        const std::set<PoolId>& pools) -> PoolPartition;

}  // namespace dotterelshed::pvt

#endif  // DOTTERELSHED_LIBCORE_OWNERSHIP_OWNERSHIP_PARTITION_H_
