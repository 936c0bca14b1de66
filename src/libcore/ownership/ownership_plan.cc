#include "ownership/ownership_plan.h"

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <algorithm>
#include <optional>
#include <tuple>

namespace dotterelshed::pvt {

namespace {

auto MayServe(const PlanMember& member) -> bool {
  return member.m_alive && !member.m_leaving;
}

/// Takes one pool's assignment through its state machine.
class PoolPlanner {
 public:
  PoolPlanner(PoolAssignment& pool,
              std::map<PoolId, PoolAssignment>& pools,
              const PlanInput& input,
              const PoolAssignmentStateMachine& state_machine)
      : m_pool(pool),
        m_pools(pools),
        m_input(input),
        m_state_machine(state_machine) {}

  auto Run() -> void {
    // Bounds the loop. Each round fills or clears a role, so that no useful
    // plan needs more rounds.
    constexpr auto kMaxRounds = 6;
    for (auto round = 0; round < kMaxRounds; ++round) {
      const auto event = NextEvent();
      if (!event || !Fire(*event)) {
        return;
      }
    }
  }

 private:
  auto State() const -> PoolAssignmentState {
    if (m_pool.m_primary.m_host.empty()) {
      return PoolAssignmentState::kVacant;
    }
    return m_pool.m_holder.m_host.empty() ? PoolAssignmentState::kSolo
                                          : PoolAssignmentState::kPaired;
  }

  auto Leaving(const HostRef& host) const -> bool {
    const auto found = m_input.m_members.find(host.m_host);
    return found != m_input.m_members.end() && found->second.m_leaving;
  }

  auto MayMoveByPlan() const -> bool {
    return !m_new_holder && !m_input.m_unconfirmed.contains(m_pool.m_pool) &&
           !m_input.m_pinned.contains(m_pool.m_pool);
  }

  auto NextEvent() const -> std::optional<PoolAssignmentEvent> {
    const auto state = State();
    if (state != PoolAssignmentState::kVacant &&
        !IsUp(m_input, m_pool.m_primary)) {
      return PoolAssignmentEvent::kPrimaryLost;
    }
    if (state == PoolAssignmentState::kPaired &&
        !IsUp(m_input, m_pool.m_holder)) {
      return PoolAssignmentEvent::kHolderLost;
    }
    if (state != PoolAssignmentState::kPaired) {
      return Choose().has_value()
                 ? std::optional(PoolAssignmentEvent::kHostAvailable)
                 : std::nullopt;
    }
    return LeavingEvent();
  }

  auto LeavingEvent() const -> std::optional<PoolAssignmentEvent> {
    if (!MayMoveByPlan()) {
      return std::nullopt;
    }
    if (Leaving(m_pool.m_primary) && !Leaving(m_pool.m_holder)) {
      return PoolAssignmentEvent::kPrimaryLeaving;
    }
    // Without another host, a leaving copy holder is better than none.
    if (Leaving(m_pool.m_holder) && Choose().has_value()) {
      return PoolAssignmentEvent::kHolderLeaving;
    }
    return std::nullopt;
  }

  /// @return false when the state machine has no such transition
  auto Fire(PoolAssignmentEvent event) -> bool {
    const auto* transition = m_state_machine.Find(State(), event);
    if (transition == nullptr) {
      return false;
    }
    for (const auto action : transition->m_actions) {
      Apply(action);
    }
    return true;
  }

  auto Apply(PoolAssignmentAction action) -> void {
    switch (action) {
      case PoolAssignmentAction::kChoosePrimary:
        m_pool.m_primary = *Choose();
        return;
      case PoolAssignmentAction::kChooseHolder:
        m_pool.m_holder = *Choose();
        m_new_holder = true;
        return;
      case PoolAssignmentAction::kClearPrimary:
        m_pool.m_primary = {};
        return;
      case PoolAssignmentAction::kPromoteHolder:
        m_pool.m_primary = m_pool.m_holder;
        m_pool.m_holder = {};
        return;
      case PoolAssignmentAction::kClearHolder:
        m_pool.m_holder = {};
        return;
      case PoolAssignmentAction::kSwapRoles:
        std::swap(m_pool.m_primary, m_pool.m_holder);
        return;
    }
  }

  /// Least loaded host for the missing role. Ties are broken by hash.
  auto Choose() const -> std::optional<HostRef> {
    const auto for_holder = State() != PoolAssignmentState::kVacant;
    const auto counts = CountRoles(m_pools, m_input);
    std::optional<std::tuple<int, int, std::uint64_t>> best;
    std::optional<HostRef> chosen;
    for (const auto& [id, member] : m_input.m_members) {
      if (!MayServe(member) || id == m_pool.m_primary.m_host ||
          id == m_pool.m_holder.m_host) {
        continue;
      }
      const auto& count = counts.at(id);
      const auto load = for_holder ? HolderLoad(count) : count.m_primaries;
      const auto cost = std::tuple(load, count.m_roles,
                                   HashPair(m_pool.m_pool.value(), id.value()));
      if (!best || cost < *best) {
        best = cost;
        chosen = member.m_host;
      }
    }
    return chosen;
  }

  PoolAssignment& m_pool;
  std::map<PoolId, PoolAssignment>& m_pools;
  const PlanInput& m_input;
  const PoolAssignmentStateMachine& m_state_machine;
  /// Set when the holder was chosen in this plan and thus has no copy yet.
  bool m_new_holder = false;
};

auto HasDesiredPools(const DomainTable& table, const PlanInput& input) -> bool {
  return std::equal(
      table.m_pools.begin(), table.m_pools.end(), input.m_desired_pools.begin(),
      input.m_desired_pools.end(),
      [](const auto& entry, const PoolId& id) { return entry.first == id; });
}

/// Makes the set of pools that of the configuration. The table also takes the
/// new generation, but only if the set differs: a configuration with the same
/// pools needs no write.
auto ApplyDesiredPools(DomainTable& table, const PlanInput& input) -> void {
  if (input.m_generation < table.m_generation ||
      HasDesiredPools(table, input)) {
    return;
  }
  table.m_generation = input.m_generation;
  std::erase_if(table.m_pools, [&input](const auto& entry) {
    return !input.m_desired_pools.contains(entry.first);
  });
  for (const auto& id : input.m_desired_pools) {
    table.m_pools[id].m_pool = id;
  }
}

auto UpdateMembers(DomainTable& table, const PlanInput& input) -> void {
  for (const auto& [id, member] : input.m_members) {
    if (member.m_alive) {
      table.m_members[id] = {.m_incarnation = member.m_host.m_incarnation,
                             .m_addresses = member.m_addresses};
    } else if (member.m_removable) {
      table.m_members.erase(id);
    }
  }
}

auto SameOwners(const PoolAssignment& left, const PoolAssignment& right)
    -> bool {
  return left.m_primary == right.m_primary && left.m_holder == right.m_holder;
}

auto SameAddresses(const HostAddresses& left, const HostAddresses& right)
    -> bool {
  return left.m_peer == right.m_peer && left.m_http == right.m_http;
}

auto SamePool(const PoolAssignment& left, const PoolAssignment& right) -> bool {
  return SameOwners(left, right) && left.m_term == right.m_term &&
         left.m_pool == right.m_pool;
}

auto SameMember(const MemberRecord& left, const MemberRecord& right) -> bool {
  return left.m_incarnation == right.m_incarnation &&
         SameAddresses(left.m_addresses, right.m_addresses);
}

template <typename Map, typename Same>
auto SameMap(const Map& left, const Map& right, const Same& same) -> bool {
  if (left.size() != right.size()) {
    return false;
  }
  auto other = right.begin();
  for (const auto& [key, value] : left) {
    if (key != other->first || !same(value, other->second)) {
      return false;
    }
    ++other;
  }
  return true;
}

/// Gives a pool the domain's next term whenever its owners change. When the
/// number of pools changes, every pool gets a new term, since endpoints then
/// move between pools with different terms.
auto AssignTerms(DomainTable& planned, const DomainTable& table) -> void {
  const auto partition_changed = planned.m_pools.size() != table.m_pools.size();
  for (auto& [id, pool] : planned.m_pools) {
    const auto before = table.m_pools.find(id);
    if (partition_changed || before == table.m_pools.end() ||
        !SameOwners(pool, before->second)) {
      planned.m_highest_term = planned.m_highest_term.Next();
      pool.m_term = planned.m_highest_term;
      const auto same = before != table.m_pools.end() &&
                        before->second.m_primary == pool.m_primary;
      pool.m_primary_since =
          same ? before->second.m_primary_since : pool.m_term;
    }
  }
}

}  // namespace

auto HashPair(std::string_view left, std::string_view right) -> std::uint64_t {
  const auto seed = XXH3_64bits(left.data(), left.size());
  return XXH3_64bits_withSeed(right.data(), right.size(), seed);
}

auto IsUp(const PlanInput& input, const HostRef& host) -> bool {
  const auto found = input.m_members.find(host.m_host);
  return found != input.m_members.end() && found->second.m_alive &&
         found->second.m_host == host;
}

auto CountRoles(const std::map<PoolId, PoolAssignment>& pools,
                const PlanInput& input) -> std::map<HostId, RoleCount> {
  std::map<HostId, RoleCount> counts;
  for (const auto& [id, member] : input.m_members) {
    if (MayServe(member)) {
      counts[id] = {.m_has_disk = member.m_has_disk};
    }
  }
  for (const auto& [id, pool] : pools) {
    const auto primary = counts.find(pool.m_primary.m_host);
    if (primary != counts.end()) {
      ++primary->second.m_primaries;
      ++primary->second.m_roles;
    }
    const auto holder = counts.find(pool.m_holder.m_host);
    if (holder != counts.end()) {
      ++holder->second.m_roles;
    }
  }
  return counts;
}

auto HolderLoad(const RoleCount& count) -> int {
  return count.m_roles - (count.m_has_disk ? kDiskAdvantage : 0);
}

auto SameContent(const DomainTable& left, const DomainTable& right) -> bool {
  return left.m_domain == right.m_domain &&
         left.m_lead_term == right.m_lead_term && left.m_lead == right.m_lead &&
         left.m_generation == right.m_generation &&
         SameMap(left.m_pools, right.m_pools, SamePool) &&
         SameMap(left.m_members, right.m_members, SameMember);
}

auto PlanTable(const DomainTable& table,
               const PlanInput& input,
               const PoolAssignmentStateMachine& state_machine) -> DomainTable {
  auto planned = table;
  ApplyDesiredPools(planned, input);
  UpdateMembers(planned, input);
  for (auto& [id, pool] : planned.m_pools) {
    PoolPlanner(pool, planned.m_pools, input, state_machine).Run();
  }
  // Balances only if no owner changed above: a new copy holder needs its copy
  // before a role may move again.
  if (SameMap(planned.m_pools, table.m_pools, SameOwners)) {
    BalancePools(planned.m_pools, input);
  }
  AssignTerms(planned, table);
  return planned;
}

}  // namespace dotterelshed::pvt
