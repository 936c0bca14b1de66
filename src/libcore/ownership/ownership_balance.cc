#include <optional>

#include "ownership/ownership_plan.h"

namespace dotterelshed::pvt {

namespace {

using Counts = std::map<HostId, RoleCount>;

/// Primaries weigh more than copy holders, since they do more work.
constexpr auto kPrimaryWeight = 2;
constexpr auto kRoleWeight = 1;

/// One change of a pool's roles: a swap of its two hosts or a new copy holder.
struct Move {
  PoolId m_pool;
  /// Empty for a swap of primary and holder.
  std::optional<HostId> m_new_holder;
  int m_gain = 0;
};

/// Decrease of the sum of squared counts when one unit moves from a host with
/// @p from units to a host with @p to units.
auto Gain(int from, int to) -> int {
  return 2 * (from - to - 1);
}

auto SwapGain(const PoolAssignment& pool, const Counts& counts) -> int {
  return kPrimaryWeight * Gain(counts.at(pool.m_primary.m_host).m_primaries,
                               counts.at(pool.m_holder.m_host).m_primaries);
}

auto HolderGain(const PoolAssignment& pool,
                const HostId& to,
                const Counts& counts) -> int {
  return kRoleWeight * Gain(HolderLoad(counts.at(pool.m_holder.m_host)),
                            HolderLoad(counts.at(to)));
}

class Balancer {
 public:
  Balancer(std::map<PoolId, PoolAssignment>& pools, const PlanInput& input)
      : m_pools(pools), m_input(input) {}

  /// @return false when no move makes the distribution more even
  auto MoveOne() -> bool {
    const auto counts = CountRoles(m_pools, m_input);
    Move best;
    for (const auto& [id, pool] : m_pools) {
      if (MayMove(pool, counts)) {
        Consider(pool, counts, best);
      }
    }
    if (best.m_gain <= 0) {
      return false;
    }
    Apply(best);
    return true;
  }

 private:
  auto MayMove(const PoolAssignment& pool, const Counts& counts) const -> bool {
    return counts.contains(pool.m_primary.m_host) &&
           counts.contains(pool.m_holder.m_host) &&
           !m_moved.contains(pool.m_pool) &&
           !m_input.m_pinned.contains(pool.m_pool) &&
           !m_input.m_unconfirmed.contains(pool.m_pool);
  }

  static auto Consider(const PoolAssignment& pool,
                       const Counts& counts,
                       Move& best) -> void {
    const auto swap = SwapGain(pool, counts);
    if (swap > best.m_gain) {
      best = {.m_pool = pool.m_pool, .m_gain = swap};
    }
    for (const auto& [host, count] : counts) {
      if (host == pool.m_primary.m_host || host == pool.m_holder.m_host) {
        continue;
      }
      const auto gain = HolderGain(pool, host, counts);
      if (gain > best.m_gain) {
        best = {.m_pool = pool.m_pool, .m_new_holder = host, .m_gain = gain};
      }
    }
  }

  auto Apply(const Move& move) -> void {
    auto& pool = m_pools.at(move.m_pool);
    if (move.m_new_holder) {
      pool.m_holder = m_input.m_members.at(*move.m_new_holder).m_host;
    } else {
      std::swap(pool.m_primary, pool.m_holder);
    }
    m_moved.insert(move.m_pool);
  }

  std::map<PoolId, PoolAssignment>& m_pools;
  const PlanInput& m_input;
  /// A pool moves at most once per plan: its new holder needs a copy first.
  std::set<PoolId> m_moved;
};

}  // namespace

auto BalancePools(std::map<PoolId, PoolAssignment>& pools,
                  const PlanInput& input) -> void {
  Balancer balancer(pools, input);
  for (auto i = 0; i < input.m_balance_moves; ++i) {
    if (!balancer.MoveOne()) {
      return;
    }
  }
}

}  // namespace dotterelshed::pvt
