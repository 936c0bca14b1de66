#ifndef DOTTERELSHED_LIBCORE_CORE_ROUTE_H_
#define DOTTERELSHED_LIBCORE_CORE_ROUTE_H_

#include "core_state.h"

/// @file
/// Home pools of programs, endpoints of pools, and live hosts.

namespace dotterelshed::pvt {

/// The failure domain that a program id contains, before its last dot.
auto DomainOf(const ProgramId& program) -> DomainId;

/// Home pool of a program tree, chosen by rendezvous hashing of its root
/// program over the pools of the root's domain. Empty if no pool of that domain
/// is known here.
auto HomePool(const HostCore& core, const ProgramId& root) -> PoolId;

/// Endpoints of all model services in a pool of this host's domain.
auto EndpointsOf(const HostCore& core, const PoolId& pool)
    -> std::vector<EndpointConfig>;

/// Returns true if @p host, in this incarnation, is known to be alive. This
/// host always is.
auto IsAlive(const HostCore& core, const HostRef& host) -> bool;

/// Returns true if the call may run at most once and must be claimed in the
/// platform before it is sent.
auto NeedsClaim(const CallRequest& call) -> bool;

}  // namespace dotterelshed::pvt

#endif  // DOTTERELSHED_LIBCORE_CORE_ROUTE_H_
