#include "ownership/ownership_state_machines.h"

#include <array>

#include "dotterelshed/load_chart.h"

namespace dotterelshed::pvt {

namespace {

constexpr auto kHostStates = std::to_array<std::string_view>(
    {"starting", "member", "lead", "draining", "draining_lead", "drained"});
constexpr auto kHostEvents = std::to_array<std::string_view>(
    {"other_leads", "self_leads", "drain_asked", "roles_gone", "role_given"});
constexpr auto kHostActions =
    std::to_array<std::string_view>({"take_lead_duty", "drop_lead_duty"});

constexpr auto kPoolStates =
    std::to_array<std::string_view>({"vacant", "solo", "paired"});
constexpr auto kPoolEvents = std::to_array<std::string_view>(
    {"host_available", "primary_lost", "holder_lost", "primary_leaving",
     "holder_leaving"});
constexpr auto kPoolActions = std::to_array<std::string_view>(
    {"choose_primary", "choose_holder", "clear_primary", "promote_holder",
     "clear_holder", "swap_roles"});

}  // namespace

auto LoadOwnershipStateMachines(const std::string& directory)
    -> Result<OwnershipStateMachines> {
  auto host = LoadBoundChart<HostStateMachine>(
      directory, "host", {kHostStates, kHostEvents, kHostActions});
  if (!host) {
    return tl::unexpected<Error>(host.error());
  }
  auto pool = LoadBoundChart<PoolAssignmentStateMachine>(
      directory, "pool", {kPoolStates, kPoolEvents, kPoolActions});
  if (!pool) {
    return tl::unexpected<Error>(pool.error());
  }
  return OwnershipStateMachines{.m_host = std::move(*host),
                                .m_pool = std::move(*pool)};
}

auto ToString(HostState state) -> std::string_view {
  return kHostStates[static_cast<std::size_t>(state)];
}

}  // namespace dotterelshed::pvt
