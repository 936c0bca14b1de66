#include "program/hold_reclaim.h"

#include <algorithm>

#include "core_route.h"

namespace dotterelshed::pvt {

namespace {

/// Whether a live program of @p pool owns @p hold.
auto IsOwnedByLiveProgram(const PoolState& pool, const HoldRecord& hold)
    -> bool {
  const auto found = pool.m_store.m_programs.find(hold.m_program);
  if (found == pool.m_store.m_programs.end() ||
      found->second.m_record.m_ended) {
    return false;
  }
  const auto& holds = found->second.m_record.m_holds;
  return std::any_of(
      holds.begin(), holds.end(),
      [&hold](const HoldRecord& ours) { return ours.m_id == hold.m_id; });
}

auto Serves(const PoolState& pool) -> bool {
  return pool.m_role == PoolRole::kPrimary &&
         pool.m_highest <= pool.m_assignment.m_term;
}

auto HasEndpoint(const HostCore& core,
                 const PoolId& pool,
                 const EndpointId& endpoint) -> bool {
  const auto endpoints = EndpointsOf(core, pool);
  return std::any_of(endpoints.begin(), endpoints.end(),
                     [&endpoint](const EndpointConfig& config) {
                       return config.m_id == endpoint;
                     });
}

/// Returns the pool that records what @p endpoint holds for @p program, or null
/// if this host does not serve it. If pools share the endpoint, the program's
/// id decides. The id of a sub-agent may select another pool than that of its
/// root; this can release its prefix but does not affect answers.
auto ResponsiblePool(HostCore& core,
                     const EndpointId& endpoint,
                     const ProgramId& program) -> PoolState* {
  std::vector<PoolId> users;
  for (const auto& id : PoolsOf(*core.m_ownership, core.m_options.m_domain)) {
    if (HasEndpoint(core, id, endpoint)) {
      users.push_back(id);
    }
  }
  for (const auto& id : users) {
    const auto found = core.m_pools.find(id);
    if (found == core.m_pools.end() || !Serves(found->second)) {
      continue;
    }
    const auto known = found->second.m_store.m_programs.contains(program);
    if (known || users.size() == 1 || HomePool(core, program) == id) {
      return &found->second;
    }
  }
  return nullptr;
}

auto ForgetHold(PoolState& pool, const HoldId& hold, const ProgramId& program)
    -> void {
  const auto found = pool.m_store.m_programs.find(program);
  if (found != pool.m_store.m_programs.end()) {
    std::erase_if(
        found->second.m_record.m_holds,
        [&hold](const HoldRecord& record) { return record.m_id == hold; });
  }
}

auto RequestHoldLists(StepContext& step) -> void {
  for (const auto& [id, pool] : step.m_core.m_pools) {
    if (!Serves(pool)) {
      continue;
    }
    for (const auto& endpoint : EndpointsOf(step.m_core, id)) {
      step.m_out.push_back(ListHolds{endpoint.m_id});
    }
  }
}

}  // namespace

auto ReleaseRecord(StepContext& step, const HoldRecord& hold) -> void {
  auto& releases = step.m_core.m_releases;
  const auto limit =
      static_cast<std::size_t>(step.m_core.m_options.m_max_releases);
  if (releases.contains(hold.m_id)) {
    return;
  }
  if (releases.size() < limit) {
    releases[hold.m_id] = {.m_endpoint = hold.m_endpoint,
                           .m_program = hold.m_program,
                           .m_sent = step.m_now};
  }
  step.m_out.push_back(ReleaseHold{hold.m_id, hold.m_endpoint});
}

auto ReleaseProgramHolds(StepContext& step,
                         PoolState& pool,
                         ProgramEntry& entry) -> void {
  auto& record = entry.m_record;
  for (const auto& [service, policy] : pool.m_policies) {
    for (const auto& hold : EndProgram(*policy, record.m_program)) {
      ReleaseRecord(step, hold);
    }
  }
  for (auto& hold : record.m_holds) {
    hold.m_release_pending = true;
    ReleaseRecord(step, hold);
  }
}

auto OnHoldReleased(StepContext& step, const HoldReleased& event) -> void {
  auto& releases = step.m_core.m_releases;
  const auto found = releases.find(event.m_hold);
  if (found == releases.end()) {
    return;
  }
  const auto retry = step.m_core.m_options.m_mechanisms.m_retry_release;
  if (!event.m_released && retry) {
    return;  // TickHolds sends the release again.
  }
  for (auto& [id, pool] : step.m_core.m_pools) {
    ForgetHold(pool, event.m_hold, found->second.m_program);
  }
  releases.erase(found);
}

auto OnHoldsListed(StepContext& step, const HoldsListed& event) -> void {
  if (!step.m_core.m_options.m_mechanisms.m_sweep_holds) {
    return;
  }
  for (const auto& hold : event.m_holds) {
    const auto* pool =
        ResponsiblePool(step.m_core, event.m_endpoint, hold.m_program);
    if (pool != nullptr && !IsOwnedByLiveProgram(*pool, hold)) {
      auto record = hold;
      record.m_endpoint = event.m_endpoint;
      ReleaseRecord(step, record);
    }
  }
}

auto TickHolds(StepContext& step) -> void {
  auto& core = step.m_core;
  for (auto& [hold, release] : core.m_releases) {
    if (core.m_options.m_mechanisms.m_retry_release &&
        step.m_now >= release.m_sent + core.m_options.m_release_retry) {
      release.m_sent = step.m_now;
      step.m_out.push_back(ReleaseHold{hold, release.m_endpoint});
    }
  }
  if (step.m_now >= core.m_last_sweep + core.m_options.m_sweep_interval) {
    core.m_last_sweep = step.m_now;
    RequestHoldLists(step);
  }
}

}  // namespace dotterelshed::pvt
