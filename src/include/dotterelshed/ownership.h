#ifndef DOTTERELSHED_OWNERSHIP_H_
#define DOTTERELSHED_OWNERSHIP_H_

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "dotterelshed/core_effects.h"
#include "dotterelshed/core_events.h"
#include "dotterelshed/error.h"
#include "dotterelshed/ids.h"
#include "dotterelshed/membership_messages.h"

/// @file
/// Membership of a failure domain, election of its lead, and the hosts that own
/// each pool. The lead is the elected host that plans the domain table. The
/// table changes only by conditional update in the platform; heartbeats and
/// digests carry everything else.

namespace dotterelshed {

/// State of one host's view of its domain; defined in src/libcore.
struct Ownership;

struct OwnershipOptions {
  HostRef m_self;
  DomainId m_domain;
  HostAddresses m_addresses;
  bool m_has_disk = false;
  std::uint64_t m_seed = 1;
  Duration m_heartbeat_interval = std::chrono::milliseconds(500);
  int m_missed_heartbeats = 4;
  /// Delay per rank before a host proposes itself as the lead.
  Duration m_rank_delay = std::chrono::milliseconds(300);
  /// Maximum number of endpoints of one service in a pool.
  int m_max_pool_endpoints = 64;
  std::string m_charts_dir;
};

/// A change of a pool's assignment.
struct RoleChange {
  PoolAssignment m_before;
  PoolAssignment m_after;
};

struct OwnershipStep {
  Effects m_effects;
  /// Changed assignments of this domain's pools.
  std::vector<RoleChange> m_changes;
  /// Endpoints whose entry in the platform's list changed.
  std::vector<EndpointListingChanged> m_endpoints;
  /// Digests of content that is newly under quarantine in the domain.
  std::vector<Digest> m_quarantined;
};

/// Fails when the state machine "host" or "pool" is missing or invalid.
auto MakeOwnership(const OwnershipOptions& options)
    -> Result<std::shared_ptr<Ownership>>;

/// Takes a new configuration, which determines the pools: one per
/// m_max_pool_endpoints endpoints of the largest service in this domain,
/// rounded up, and at least one.
auto SetOwnershipConfig(Ownership& ownership,
                        const DeskConfig& config,
                        TimePoint now) -> OwnershipStep;
auto OnHeartbeat(Ownership& ownership, const Heartbeat& message, TimePoint now)
    -> OwnershipStep;
auto OnDigest(Ownership& ownership, const DomainDigest& message, TimePoint now)
    -> OwnershipStep;
auto OnTableArrived(Ownership& ownership,
                    const TableArrived& event,
                    TimePoint now) -> OwnershipStep;
auto OnHostListingChanged(Ownership& ownership,
                          const HostListingChanged& event,
                          TimePoint now) -> OwnershipStep;
auto OnEndpointListingChanged(Ownership& ownership,
                              const EndpointListingChanged& event)
    -> OwnershipStep;
auto TickOwnership(Ownership& ownership, TimePoint now) -> OwnershipStep;

/// Starts to transfer this host's roles to other hosts. IsDrained returns true
/// when no transferable role is left and the new copies are confirmed.
auto StartDrain(Ownership& ownership, TimePoint now) -> OwnershipStep;
auto IsDrained(const Ownership& ownership) -> bool;

/// Announces content whose requests crash endpoints to the other hosts.
auto AnnounceQuarantine(Ownership& ownership, const Digest& content) -> void;
/// Sets the pools of this host whose copy holder has not confirmed its copy,
/// for the next heartbeats.
auto AnnounceUnconfirmed(Ownership& ownership, std::vector<PoolId> pools)
    -> void;
/// Sets the pools of this host that the lead must not move for a drain or to
/// balance the load, since calls are in progress. Moves after failures do not
/// wait for them.
auto AnnouncePinned(Ownership& ownership, std::vector<PoolId> pools) -> void;
/// Sets the configuration generation for the next heartbeats. The lead also
/// sends digests at its next tick if the generation is newer.
auto AnnounceGeneration(Ownership& ownership, Generation generation) -> void;
/// Sets the spare capacity of this host, in calls, for the next heartbeats.
auto AnnounceHeadroom(Ownership& ownership, int headroom) -> void;

/// Assignment of a pool in any domain whose table is known; null if not found.
auto FindPool(const Ownership& ownership, const PoolId& pool)
    -> const PoolAssignment*;
/// Fencing number that this host sends to endpoints: the highest term of any
/// pool in the known table. Endpoints refuse numbers below the highest that
/// they have seen. A pool's own term would not do, since pools of a domain may
/// share an endpoint, which would refuse it after use by a pool with a higher
/// term. A replaced primary has an older table and thus a lower number than its
/// successor. A primary that has not received the newest table yet may be
/// refused until then, and a refused call has no effect.
auto FencingNumber(const Ownership& ownership) -> Term;
/// Pools of a domain, "<domain>/<number>", ordered by number. Each has a share
/// of the domain's endpoints of every service. A program has one of them as its
/// home pool, independent of the services that it calls.
auto PoolsOf(const Ownership& ownership, const DomainId& domain)
    -> std::vector<PoolId>;
/// Endpoints of one service in a pool of this host's domain, from the
/// configuration. If a service has fewer endpoints than there are pools,
/// several pools share an endpoint and its concurrency limit is divided.
auto PoolEndpoints(const Ownership& ownership,
                   const PoolId& pool,
                   const ServiceId& service) -> std::vector<EndpointConfig>;
/// Endpoints that the platform is known to list as leaving.
auto ListedLeaving(const Ownership& ownership) -> std::vector<EndpointId>;
/// Addresses of a host, if known.
auto FindAddresses(const Ownership& ownership, const HostId& host)
    -> std::optional<HostAddresses>;
/// Hosts of this domain that count as alive, including this host.
auto LiveMembers(const Ownership& ownership, TimePoint now)
    -> std::vector<MemberInfo>;
/// Returns true if the known table names this host as the lead of its domain.
auto IsLead(const Ownership& ownership) -> bool;
/// Heartbeat for the seed peers while no table is known, which learns the table
/// when the platform is unreachable. Nothing once a table is known.
auto SeedHeartbeat(const Ownership& ownership) -> std::optional<Heartbeat>;
/// Returns false while the lead of this domain can't reach the platform. A host
/// without a table or with a suspected lead judges by its own requests.
auto PlatformReachable(const Ownership& ownership) -> bool;

auto DumpOwnership(const Ownership& ownership, TimePoint now) -> std::string;

}  // namespace dotterelshed

#endif  // DOTTERELSHED_OWNERSHIP_H_
