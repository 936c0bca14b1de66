#ifndef DOTTERELSHED_LIBCORE_CORE_ROUTE_H_
#define DOTTERELSHED_LIBCORE_CORE_ROUTE_H_

#include "core_state.h"

/// @file
/// Which pool a program belongs to, and who is alive.

namespace dotterelshed::pvt {

/// The failure domain that a program id carries.
auto DomainOf(const ProgramId& program) -> DomainId;

/// Home pool of a program tree: rendezvous hash of its root over the pools of
/// the root's domain. Empty if no pool of that domain is known here.
auto HomePool(const HostCore& core, const ProgramId& root) -> PoolId;

/// Endpoints of all model services in a pool of this host's domain.
auto EndpointsOf(const HostCore& core, const PoolId& pool)
    -> std::vector<EndpointConfig>;

/// True if that start of the host counted as alive at the last tick.
auto IsAlive(const HostCore& core, const HostRef& host) -> bool;

/// True if the call runs at most once and has to be claimed first.
auto NeedsClaim(const CallRequest& call) -> bool;

}  // namespace dotterelshed::pvt

#endif  // DOTTERELSHED_LIBCORE_CORE_ROUTE_H_
