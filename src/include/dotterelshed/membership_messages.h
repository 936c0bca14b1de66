#ifndef DOTTERELSHED_MEMBERSHIP_MESSAGES_H_
#define DOTTERELSHED_MEMBERSHIP_MESSAGES_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "dotterelshed/call.h"
#include "dotterelshed/ids.h"
#include "dotterelshed/units.h"

/// @file
/// One-way messages of membership and configuration roll-out, and the domain
/// table. Messages may be lost, duplicated, delayed or reordered.

namespace dotterelshed {

/// Addresses that a host listens on, "IP:port".
struct HostAddresses {
  /// For other hosts.
  std::string m_peer;
  /// For clients and operators.
  std::string m_http;
};

/// Sent by a host to its domain's lead once per heartbeat interval. The lead is
/// the elected host that coordinates a failure domain.
struct Heartbeat {
  HostRef m_from;
  DomainId m_domain;
  /// Empty once the domain table records them.
  HostAddresses m_addresses;
  ResourceVersion m_table_version;
  Generation m_generation;
  bool m_has_disk = false;
  bool m_draining = false;
  /// Digests of content that this host has newly put under quarantine.
  std::vector<Digest> m_quarantined;
  /// Number of calls that its pools could accept from other domains.
  int m_headroom = 0;
  /// DomainDigest::m_update_number of the last digest from the receiver; 0
  /// requests all state.
  std::int64_t m_updates_seen = 0;
  /// Pools of this host whose copy holder has not confirmed its copy.
  std::vector<PoolId> m_unconfirmed;
  /// Pools of this host with calls in progress, which must not be moved for a
  /// drain or to balance the load now.
  std::vector<PoolId> m_pinned;
};

/// State of one host as known to its domain's lead.
struct MemberInfo {
  HostRef m_host;
  HostAddresses m_addresses;
  bool m_alive = true;
  bool m_draining = false;
  bool m_has_disk = false;
  Generation m_generation;
  int m_headroom = 0;
};

/// Owners of one pool in one term. A pool is a share of a failure domain's
/// endpoints of every service, so that one primary orders, charges and limits
/// all calls of a program. A term numbers the assignments of a domain's pools;
/// a later assignment has a higher term.
struct PoolAssignment {
  PoolId m_pool;
  Term m_term;
  /// Term in which m_primary became the primary. If it is unchanged, no other
  /// host was the primary in between.
  Term m_primary_since;
  HostRef m_primary;
  /// The copy holder: the backup replica that stores a copy of the primary's
  /// state. Empty host id while the pool has none.
  HostRef m_holder;
};

/// A host as its domain's table records it.
struct MemberRecord {
  Incarnation m_incarnation;
  HostAddresses m_addresses;
};

/// Membership and pool assignments of one failure domain, stored as an object
/// in the platform. Changed only by conditional update.
struct DomainTable {
  DomainId m_domain;
  ResourceVersion m_version;
  Term m_lead_term;
  HostRef m_lead;
  /// Configuration generation that determined the set of pools. A lead with an
  /// older generation does not change the set.
  Generation m_generation;
  /// Highest term that any pool of the domain has had. A new assignment takes
  /// the next one, so that an endpoint that moves to another pool never
  /// receives a fencing number below one that it has seen.
  Term m_highest_term;
  std::map<PoolId, PoolAssignment> m_pools;
  /// Hosts that may own pools, with their last known incarnation.
  std::map<HostId, MemberRecord> m_members;
};

/// Sent by the lead to the hosts of its domain, mainly in reply to heartbeats.
/// Other hosts reply with it to hosts that can't reach their lead.
struct DomainDigest {
  HostRef m_from;
  /// Absent when the receiver's heartbeat reported this version.
  std::optional<DomainTable> m_table;
  /// When set, m_table has only the pools and members that differ from this
  /// version, and the two lists below have the removed ones.
  std::optional<ResourceVersion> m_table_base;
  std::vector<PoolId> m_removed_pools;
  std::vector<HostId> m_removed_members;
  ResourceVersion m_table_version;
  Generation m_generation;
  /// Number of the newest change below, which the next heartbeat acknowledges.
  /// Changes above the acknowledged number are sent again.
  std::int64_t m_update_number = 0;
  /// True when m_members has all members and not only changed ones.
  bool m_all_members = false;
  std::vector<MemberInfo> m_members;
  /// Changed tables of other domains.
  std::vector<DomainTable> m_remote_tables;
  std::vector<Digest> m_quarantined;
  /// Endpoints that the platform now lists as leaving, and those that it no
  /// longer does.
  std::vector<EndpointId> m_leaving_endpoints;
  std::vector<EndpointId> m_staying_endpoints;
  /// Pools of the domain whose copy holder has not confirmed its copy.
  std::vector<PoolId> m_unconfirmed;
  /// False when the sender is not the lead and suspects that the lead is down.
  bool m_lead_heard = true;
  /// False while the lead can't reach the platform.
  bool m_platform_reachable = true;
};

/// Progress of the configuration roll-out in one domain.
struct DomainStatus {
  DomainId m_domain;
  /// Lowest generation in force on the live hosts of the domain.
  Generation m_in_force;
  /// Live hosts whose generation is below the newest known one.
  std::vector<HostId> m_behind;
};

/// Requests a peer's configuration if its generation is above m_have.
struct ConfigRequest {
  HostRef m_from;
  Generation m_have;
};

/// A configuration text with its generation. With a base generation set, m_text
/// is a difference to the text of that generation.
struct ConfigOffer {
  HostRef m_from;
  Generation m_generation;
  std::optional<Generation> m_base;
  std::string m_text;
  /// Digest of the full text, checked after a difference was applied.
  Digest m_digest;
};

}  // namespace dotterelshed

#endif  // DOTTERELSHED_MEMBERSHIP_MESSAGES_H_
