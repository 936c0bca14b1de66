#ifndef DOTTERELSHED_LIBCORE_OWNERSHIP_OWNERSHIP_PLAN_H_
#define DOTTERELSHED_LIBCORE_OWNERSHIP_OWNERSHIP_PLAN_H_

#include <map>
#include <set>

#include "dotterelshed/membership_messages.h"
#include "ownership/ownership_state_machines.h"

/// @file
/// Planning of pool assignments by the lead: computes the domain table that
/// should replace the current one, given the state of the hosts. All functions
/// are pure.

namespace dotterelshed::pvt {

/// State of a host as input to the plan.
struct PlanMember {
  HostRef m_host;
  HostAddresses m_addresses;
  bool m_alive = true;
  /// Draining, or listed as leaving by the platform.
  bool m_leaving = false;
  bool m_has_disk = false;
  /// Down for long enough to be removed from the table.
  bool m_removable = false;
};

struct PlanInput {
  Generation m_generation;
  /// Pools that the configuration calls for.
  std::set<PoolId> m_desired_pools;
  std::map<HostId, PlanMember> m_members;
  /// Pools whose holder has not confirmed its copy.
  std::set<PoolId> m_unconfirmed;
  /// Pools that must not move, since they have calls in progress or their
  /// primary has not reported on the newest table. Failures still move them.
  std::set<PoolId> m_pinned;
  /// Number of roles that may move now only to balance the load.
  int m_balance_moves = 0;
};

/// Returns true if @p host is alive in the same incarnation that was given the
/// role.
auto IsUp(const PlanInput& input, const HostRef& host) -> bool;

/// Returns the table that should replace @p table. Each pool whose primary or
/// holder differs gets the domain's next term. Equal to @p table when nothing
/// has to change; the version is that of @p table.
auto PlanTable(const DomainTable& table,
               const PlanInput& input,
               const PoolAssignmentStateMachine& state_machine) -> DomainTable;

/// Makes up to @p input.m_balance_moves moves of roles in @p pools, each of
/// which makes their distribution over hosts strictly more even.
auto BalancePools(std::map<PoolId, PoolAssignment>& pools,
                  const PlanInput& input) -> void;

/// Roles of one host, counted for hosts that may take more.
struct RoleCount {
  int m_primaries = 0;
  /// Primaries and copy holders.
  int m_roles = 0;
  bool m_has_disk = false;
};
auto CountRoles(const std::map<PoolId, PoolAssignment>& pools,
                const PlanInput& input) -> std::map<HostId, RoleCount>;

/// Hosts with a disk are preferred as copy holders until they have this many
/// roles more than hosts without one.
inline constexpr auto kDiskAdvantage = 2;
/// Load by which copy holders are chosen.
auto HolderLoad(const RoleCount& count) -> int;

/// Returns true when the tables have the same lead, generation, pools and
/// members. Versions are not compared.
auto SameContent(const DomainTable& left, const DomainTable& right) -> bool;

/// Hash of a pair of names, the same on every host. Used for rendezvous hashing
/// and to break ties.
auto HashPair(std::string_view left, std::string_view right) -> std::uint64_t;

}  // namespace dotterelshed::pvt

#endif  // DOTTERELSHED_LIBCORE_OWNERSHIP_OWNERSHIP_PLAN_H_
