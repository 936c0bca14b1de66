#ifndef DOTTERELSHED_REPLICA_PLACEMENT_H_
#define DOTTERELSHED_REPLICA_PLACEMENT_H_

#include <set>
#include <string>
#include <vector>

#include "dotterelshed/ids.h"

/// @file
/// Which hosts store the turns of a program. One host in each of up to four
/// failure domains has a replica, chosen by rendezvous hashing, so that a
/// change of the hosts moves only the programs of the host that came or left.

namespace dotterelshed {

/// Host that can store turns.
struct ReplicaHost {
  HostId m_host;
  DomainId m_domain;
  std::string m_address;
  /// It is being drained: it still answers reads but takes no new turns.
  bool m_leaving = false;
  /// It has been drained: other hosts have all its turns.
  bool m_drained = false;
};

/// Number of failure domains that store a program's turns.
inline constexpr std::size_t kMaxReplicas = 4;

/// Returns the hosts that store a program's turns, at most one of each failure
/// domain. Hosts in @p avoided are chosen only where a domain has no other.
auto ChooseReplicas(const std::vector<ReplicaHost>& hosts,
                    const ProgramId& program,
                    const std::set<HostId>& avoided)
    -> std::vector<ReplicaHost>;

/// Returns all hosts that may have a program's turns in the order in which they
/// should be asked: the replica in the reader's domain, the other replicas, all
/// other hosts.
auto OrderForReading(const std::vector<ReplicaHost>& hosts,
                     const ProgramId& program,
                     const DomainId& domain,
                     const std::set<HostId>& avoided)
    -> std::vector<ReplicaHost>;

}  // namespace dotterelshed

#endif  // DOTTERELSHED_REPLICA_PLACEMENT_H_
