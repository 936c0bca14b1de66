#ifndef DOTTERELSHED_LIBCORE_CORE_ROUTE_H_
#define DOTTERELSHED_LIBCORE_CORE_ROUTE_H_

#include "core_state.h"

/// @file
/// Which pool a program belongs to, and who is alive.

namespace dotterelshed::pvt {

/// The failure domain that a program id carries.
auto DomainOf(const ProgramId& program) -> DomainId;

/// Home pool of a call: rendezvous hash of its root program over the pools of
/// the model services in the root's domain, or over all pools if there are no
/// model services. Empty if the domain has no pool that is known here. All
/// calls of a program tree have the same home, whatever service they go to.
auto HomePool(const HostCore& core, const CallRequest& call) -> PoolId;

/// Pools that can be a home in @p domain.
auto HomePools(const HostCore& core, const DomainId& domain)
    -> std::vector<PoolId>;

/// True if that start of the host counted as alive at the last tick.
auto IsAlive(const HostCore& core, const HostRef& host) -> bool;

/// True if the call runs at most once and has to be claimed first.
auto NeedsClaim(const CallRequest& call) -> bool;

}  // namespace dotterelshed::pvt

#endif  // DOTTERELSHED_LIBCORE_CORE_ROUTE_H_
