#ifndef DOTTERELSHED_ENDPOINT_SUBSET_H_
#define DOTTERELSHED_ENDPOINT_SUBSET_H_

#include <cstddef>

#include "dotterelshed/ids.h"

/// @file
/// Which endpoints a host prefers, so that it needs few connections and finds
/// those that it has in use. A pair of host and endpoint belongs together or
/// doesn't, whatever other hosts and endpoints come and go.

namespace dotterelshed {

struct SubsetOptions {
  /// Width that suffices for a host's load and for losses.
  double m_min_width = 5;
  /// Hosts that should prefer each endpoint, so that none depends on few.
  double m_hosts_per_endpoint = 5;
};

/// Returns the share of a service's endpoints that a host prefers, from 0 to 1.
/// @param endpoints  of the service in the host's failure domain.
/// @param hosts      in the domain; 0 if not known, which gives 1.
auto SubsetShare(std::size_t endpoints,
                 std::size_t hosts,
                 const SubsetOptions& options = {}) -> double;

/// Returns true if the endpoint is among the @p share of endpoints that the
/// host prefers. An endpoint that is in a smaller share is in a larger one.
auto IsInSubset(const HostId& host, const EndpointId& endpoint, double share)
    -> bool;

}  // namespace dotterelshed

#endif  // DOTTERELSHED_ENDPOINT_SUBSET_H_
