#ifndef DOTTERELSHED_COPY_RULE_H_
#define DOTTERELSHED_COPY_RULE_H_

#include <cstddef>
#include <optional>
#include <set>
#include <vector>

#include "dotterelshed/ids.h"
#include "dotterelshed/replica_placement.h"

/// @file
/// When a turn has enough copies to be complete. Copies must survive the loss
/// of as many disk hosts, or of as many failure domains, as may be lost at the
/// same time. Hosts and domains are different losses: three hosts of two
/// domains survive any two hosts or any one domain.
///
/// @code
///   const CopyRule rule{.m_lost_hosts = 2, .m_lost_domains = 1};
///   if (IsStored(rule, view, copies)) { ... }
/// @endcode

namespace dotterelshed {

/// What may be lost at the same time: hosts, or all hosts of domains.
struct CopyRule {
  int m_lost_hosts = 1;
  /// Without a value each lost host may be a domain of its own.
  std::optional<int> m_lost_domains;
};

/// Number of hosts that must have a turn.
auto RequiredHosts(const CopyRule& rule) -> std::size_t;

/// The disk hosts as one host sees them.
struct ReplicaView {
  /// All that the store lists, also those that are leaving or drained.
  std::vector<ReplicaHost> m_hosts;
  /// Hosts that don't answer.
  std::set<HostId> m_failing;
  /// Failure domain of the host that looks.
  DomainId m_domain;
};

/// Returns true if a host takes new turns, so far as the list says.
auto TakesTurns(const ReplicaHost& host) -> bool;

/// Returns true if no host outside the own domain answers although there are
/// some: the own domain is cut off, which is itself a loss that is tolerated.
auto IsCutOff(const ReplicaView& view) -> bool;

/// Returns true if a turn with copies on @p copies is complete. Where the
/// system has too few hosts or domains for the rule, all that it has are
/// needed. In a domain that is cut off its own hosts are enough, if they are
/// more than may be lost.
auto IsStored(const CopyRule& rule,
              const ReplicaView& view,
              const std::set<HostId>& copies) -> bool;

/// Returns true if the hosts that answer are enough for a turn to be complete.
auto CanStore(const CopyRule& rule, const ReplicaView& view) -> bool;

/// Where a turn is to be stored now.
struct CopyTargets {
  std::vector<ReplicaHost> m_hosts;
  /// Those of them that store it in place of a host that doesn't answer. They
  /// are told, since their name is not among the program's own replicas.
  std::set<HostId> m_substitutes;
};

/// Returns the replicas of a program, with others in place of those that don't
/// answer: a host of the same domain, of a domain that has none yet, or a
/// further host of a domain that has one, until as many hosts answer as must
/// have a turn.
auto ChooseTargets(const CopyRule& rule,
                   const ReplicaView& view,
                   const ProgramId& program) -> CopyTargets;

/// Returns true if @p host is to have a program's turn that was stored on
/// @p substitutes besides the program's replicas.
auto IsResponsible(const std::vector<ReplicaHost>& hosts,
                   const HostId& host,
                   const ProgramId& program,
                   const std::set<HostId>& substitutes) -> bool;

}  // namespace dotterelshed

#endif  // DOTTERELSHED_COPY_RULE_H_
