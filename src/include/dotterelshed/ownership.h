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
/// Membership of a failure domain, its lead, and who owns which pool. The
/// domain table changes only through conditional update; heartbeats carry
/// everything else.

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
  Duration m_rank_delay = std::chrono::milliseconds(300);
  /// Endpoints in one pool at most.
  int m_max_pool_endpoints = 64;
  std::string m_charts_dir;
};

/// A change in what this host owns.
struct RoleChange {
  PoolAssignment m_before;
  PoolAssignment m_after;
};

struct OwnershipStep {
  Effects m_effects;
  /// Pools whose assignment in this domain changed, old to new.
  std::vector<RoleChange> m_changes;
  /// Endpoints of which the platform's list says something new.
  std::vector<EndpointListingChanged> m_endpoints;
  /// Content digests that are newly under quarantine domain-wide.
  std::vector<Digest> m_quarantined;
};

/// Fails when one of the charts "host" and "pool" is missing or unsound.
auto MakeOwnership(const OwnershipOptions& options)
    -> Result<std::shared_ptr<Ownership>>;

/// Pools follow from the configuration: one per m_max_pool_endpoints endpoints
/// of the largest service in this domain, at least one.
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

/// Starts to give this host's roles away; IsDrained turns true when none is
/// left.
auto StartDrain(Ownership& ownership, TimePoint now) -> OwnershipStep;
auto IsDrained(const Ownership& ownership) -> bool;

/// Tells peers of content that crashed endpoints here.
auto AnnounceQuarantine(Ownership& ownership, const Digest& content) -> void;
/// Names this host's pools whose copy holder has not confirmed its copy.
auto AnnounceUnconfirmed(Ownership& ownership, std::vector<PoolId> pools)
    -> void;
/// Names this host's pools that the lead must not move for a drain or for
/// balance now, since calls are under way. Moves after failures don't wait.
auto AnnouncePinned(Ownership& ownership, std::vector<PoolId> pools) -> void;
/// What the next heartbeat says of this host's configuration.
auto AnnounceGeneration(Ownership& ownership, Generation generation) -> void;
/// What the next heartbeat says of this host's spare capacity.
auto AnnounceHeadroom(Ownership& ownership, int headroom) -> void;

/// Assignment of a pool in any domain whose table is known.
auto FindPool(const Ownership& ownership, const PoolId& pool)
    -> const PoolAssignment*;
/// What this host sends as fencing number: the highest term of any pool in the
/// table that it goes by. Pools of a domain may share an endpoint, so a pool's
/// own term would be refused there once a pool with a higher one has used it;
/// a replaced primary has an older table and so a lower number than its
/// successor. A primary that has not yet heard of a new table is refused for
/// that moment, without effect.
auto FencingNumber(const Ownership& ownership) -> Term;
/// Pools of a domain, "<domain>/<number>", ordered by number. Each holds a
/// share of the domain's endpoints of every service; a program's home pool is
/// chosen among them, whatever services its calls go to.
auto PoolsOf(const Ownership& ownership, const DomainId& domain)
    -> std::vector<PoolId>;
/// Endpoints of one service in a pool of this host's domain, from the
/// configuration. Where a service has fewer endpoints than there are pools, an
/// endpoint stands in several pools and its concurrency limit is divided.
auto PoolEndpoints(const Ownership& ownership,
                   const PoolId& pool,
                   const ServiceId& service) -> std::vector<EndpointConfig>;
/// Endpoints that the platform lists as leaving, as far as known here.
auto ListedLeaving(const Ownership& ownership) -> std::vector<EndpointId>;
/// Where a host listens, if known.
auto FindAddresses(const Ownership& ownership, const HostId& host)
    -> std::optional<HostAddresses>;
/// Hosts of this domain that count as alive, self included.
auto LiveMembers(const Ownership& ownership, TimePoint now)
    -> std::vector<MemberInfo>;
/// True while this host is the lead of its domain, as far as it knows.
auto IsLead(const Ownership& ownership) -> bool;
/// What to send to the seed peers while the platform can't be reached and no
/// table is known. Nothing once a table is known.
auto SeedHeartbeat(const Ownership& ownership) -> std::optional<Heartbeat>;
/// False while the lead of this domain can't reach the platform.
auto PlatformReachable(const Ownership& ownership) -> bool;

auto DumpOwnership(const Ownership& ownership, TimePoint now) -> std::string;

}  // namespace dotterelshed

#endif  // DOTTERELSHED_OWNERSHIP_H_
