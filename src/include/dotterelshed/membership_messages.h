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
/// table. Each may be lost, doubled, delayed or overtaken.

namespace dotterelshed {

/// Where a host listens, "IP:port".
struct HostAddresses {
  /// For other hosts.
  std::string m_peer;
  /// For callers and operators.
  std::string m_http;
};

/// Host to its domain's lead, once per heartbeat interval.
struct Heartbeat {
  HostRef m_from;
  DomainId m_domain;
  HostAddresses m_addresses;
  ResourceVersion m_table_version;
  Generation m_generation;
  bool m_has_disk = false;
  bool m_draining = false;
  /// Content digests that this host newly put under quarantine.
  std::vector<Digest> m_quarantined;
  /// Calls that its pools could take on from other domains.
  int m_headroom = 0;
  /// DomainDigest::m_update_number of the last digest from the receiver; 0 asks
  /// for everything.
  std::int64_t m_updates_seen = 0;
  /// Pools of this host whose copy holder has not confirmed its copy.
  std::vector<PoolId> m_unconfirmed;
  /// Pools of this host that must not be moved by plan now.
  std::vector<PoolId> m_pinned;
};

/// What one host is, as its domain's lead sees it.
struct MemberInfo {
  HostRef m_host;
  HostAddresses m_addresses;
  bool m_alive = true;
  bool m_draining = false;
  bool m_has_disk = false;
  Generation m_generation;
  int m_headroom = 0;
};

/// Owners of one pool at one term. A pool is a share of a failure domain's
/// endpoints of every service, so that all calls of a program are ordered,
/// paid for and limited by one primary.
struct PoolAssignment {
  PoolId m_pool;
  Term m_term;
  /// Term in which m_primary became the primary. While it stays the same, no
  /// other host was the primary in between.
  Term m_primary_since;
  HostRef m_primary;
  /// Empty host id while the pool has no copy holder.
  HostRef m_holder;
};

/// A host as its domain's table records it.
struct MemberRecord {
  Incarnation m_incarnation;
  HostAddresses m_addresses;
};

/// The platform object of one failure domain. Changed only by conditional
/// update.
struct DomainTable {
  DomainId m_domain;
  ResourceVersion m_version;
  Term m_lead_term;
  HostRef m_lead;
  /// Configuration generation that the set of pools follows; a lead with an
  /// older one leaves the set alone.
  Generation m_generation;
  /// Highest term that any pool of the domain has had. A new assignment takes
  /// the next one, so that an endpoint that comes to another pool never meets
  /// a fencing number below the one that it has seen.
  Term m_highest_term;
  std::map<PoolId, PoolAssignment> m_pools;
  /// Hosts that may own pools, with the start that was last seen.
  std::map<HostId, MemberRecord> m_members;
};

/// Lead to every host of its domain, in answer to heartbeats.
struct DomainDigest {
  HostRef m_from;
  /// Absent when the receiver's heartbeat showed that it has this version.
  std::optional<DomainTable> m_table;
  /// When set, m_table holds only pools and members that differ from this
  /// version, and the removed ones are named below.
  std::optional<ResourceVersion> m_table_base;
  std::vector<PoolId> m_removed_pools;
  std::vector<HostId> m_removed_members;
  ResourceVersion m_table_version;
  Generation m_generation;
  /// Number of the newest change below; echoed in the next heartbeat. Changes
  /// after the echoed number are sent again until they are echoed.
  std::int64_t m_update_number = 0;
  /// True when m_members is the whole membership and not only changes.
  bool m_all_members = false;
  std::vector<MemberInfo> m_members;
  /// Tables of other domains.
  std::vector<DomainTable> m_remote_tables;
  std::vector<Digest> m_quarantined;
  /// Endpoints that the platform lists as leaving, and those that were listed
  /// so earlier.
  std::vector<EndpointId> m_leaving_endpoints;
  std::vector<EndpointId> m_staying_endpoints;
  /// Pools of the domain whose copy holder has not confirmed its copy.
  std::vector<PoolId> m_unconfirmed;
  /// False when the sender is not the lead and has not heard from it lately.
  bool m_lead_heard = true;
  /// False while the lead can't reach the platform.
  bool m_platform_reachable = true;
};

/// How far the configuration has come in one domain.
struct DomainStatus {
  DomainId m_domain;
  /// In force on every live host of the domain.
  Generation m_in_force;
  /// Live hosts that are still behind the newest generation known here.
  std::vector<HostId> m_behind;
};

/// Asks a peer for its configuration, if newer than m_have.
struct ConfigRequest {
  HostRef m_from;
  Generation m_have;
};

/// A configuration text with its generation. With a base generation set, the
/// text holds only the sections that differ from it.
struct ConfigOffer {
  HostRef m_from;
  Generation m_generation;
  std::optional<Generation> m_base;
  std::string m_text;
  /// Digest of the whole text, checked after the difference was applied.
  Digest m_digest;
};

}  // namespace dotterelshed

#endif  // DOTTERELSHED_MEMBERSHIP_MESSAGES_H_
