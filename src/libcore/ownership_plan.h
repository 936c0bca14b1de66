#ifndef DOTTERELSHED_LIBCORE_OWNERSHIP_PLAN_H_
#define DOTTERELSHED_LIBCORE_OWNERSHIP_PLAN_H_

#include <map>
#include <set>

#include "dotterelshed/membership_messages.h"
#include "ownership_state_machines.h"

/// @file
/// The lead's plan: from a domain table and what is known of its hosts to the
/// table that should stand instead. Pure functions.

namespace dotterelshed::pvt {

/// A host as the plan sees it.
struct PlanMember {
  HostRef m_host;
  HostAddresses m_addresses;
  bool m_alive = true;
  /// Draining, or leaving by the platform's list.
  bool m_leaving = false;
  bool m_has_disk = false;
  /// Down for so long that the table may forget it.
  bool m_forgettable = false;
};

struct PlanInput {
  Generation m_generation;
  /// Pools that the configuration asks for.
  std::set<PoolId> m_wanted;
  std::map<HostId, PlanMember> m_members;
  /// Pools whose holder has not confirmed its copy.
  std::set<PoolId> m_unconfirmed;
  /// Pools with calls under way.
  std::set<PoolId> m_pinned;
  /// Roles that may move now only to even out the load.
  int m_balance_moves = 0;
};

/// Says whether the role's host is up in the very incarnation that was given
/// the role.
auto IsUp(const PlanInput& input, const HostRef& host) -> bool;

/// The table that should replace @p table. Terms grow by one for each pool
/// whose primary or holder differs. Equal to @p table when nothing has to
/// change; the version is that of @p table.
auto PlanTable(const DomainTable& table,
               const PlanInput& input,
               const PoolChart& chart) -> DomainTable;

/// Moves up to @p input.m_balance_moves roles in @p pools, each of which makes
/// the spread over hosts strictly more even.
auto BalancePools(std::map<PoolId, PoolAssignment>& pools,
                  const PlanInput& input) -> void;

/// Number of roles of each host that may get more, primaries and all.
struct RoleCount {
  int m_primaries = 0;
  int m_roles = 0;
  bool m_has_disk = false;
};
auto CountRoles(const std::map<PoolId, PoolAssignment>& pools,
                const PlanInput& input) -> std::map<HostId, RoleCount>;

/// Roles that a host with a disk holds more than others before these are
/// preferred as copy holders.
inline constexpr auto kDiskAdvantage = 2;
/// The load that counts when a copy holder is chosen.
auto HolderLoad(const RoleCount& count) -> int;

/// True when both tables say the same, versions aside.
auto SameContent(const DomainTable& left, const DomainTable& right) -> bool;

/// Stable pseudo-random order of (pool, host) pairs and the like.
auto MixHash(std::string_view left, std::string_view right) -> std::uint64_t;

}  // namespace dotterelshed::pvt

#endif  // DOTTERELSHED_LIBCORE_OWNERSHIP_PLAN_H_
