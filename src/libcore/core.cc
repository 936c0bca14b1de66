#include "dotterelshed/core.h"

#include <algorithm>

#include "call_attempts.h"
#include "claims/call_claims.h"
#include "core_route.h"
#include "core_state.h"
#include "core_state_machines.h"
#include "program/hold_reclaim.h"
#include "program/program_limits.h"
#include "replication/change_replication.h"
#include "replication/copy_holder.h"
#include "replication/copy_target.h"
#include "replication/pool_takeover.h"
#include "replication/turn_primary.h"

namespace dotterelshed {

namespace pvt {

namespace {

auto Append(Effects& out, const Effects& more) -> void {
  out.insert(out.end(), more.begin(), more.end());
}

auto ForEachPolicy(HostCore& core, auto function) -> void {
  for (auto& [id, pool] : core.m_pools) {
    for (const auto& [service, policy] : pool.m_policies) {
      function(*policy);
    }
  }
}

auto ApplyOwnership(StepContext& step, const OwnershipStep& result) -> void {
  Append(step.m_out, result.m_effects);
  step.m_core.m_live = LiveMembers(*step.m_core.m_ownership, step.m_now);
  step.m_core.m_platform_reachable =
      PlatformReachable(*step.m_core.m_ownership);
  for (const auto& change : result.m_changes) {
    OnRoleChange(step, change);
  }
  for (const auto& listed : result.m_endpoints) {
    ForEachPolicy(step.m_core, [&](PoolPolicy& policy) {
      SetEndpointListedLeaving(policy, listed.m_endpoint, listed.m_leaving,
                               step.m_now);
    });
  }
  for (const auto& content : result.m_quarantined) {
    step.m_core.m_quarantined.insert(content);
    ForEachPolicy(step.m_core, [&content](PoolPolicy& policy) {
      NoteQuarantined(policy, content);
    });
  }
}

auto ApplyRollout(StepContext& step, const RolloutStep& result) -> void {
  Append(step.m_out, result.m_effects);
  if (!result.m_adopted) {
    return;
  }
  auto& core = step.m_core;
  core.m_config = result.m_adopted;
  AnnounceGeneration(*core.m_ownership, core.m_config->m_generation);
  ApplyOwnership(
      step, SetOwnershipConfig(*core.m_ownership, *core.m_config, step.m_now));
  for (auto& [id, pool] : core.m_pools) {
    ConfigurePolicies(step, pool);
  }
}

auto NoteGeneration(StepContext& step, const HostRef& from, Generation seen)
    -> void {
  ApplyRollout(
      step, OnGenerationSeen(*step.m_core.m_rollout, from, seen, step.m_now));
}

/// Dispatches peer messages by type.
struct PeerHandler {
  StepContext& m_step;

  auto operator()(const ReserveRequest& message) -> void {
    OnReserveRequest(m_step, message);
  }
  auto operator()(const ReserveReply& message) -> void {
    OnReserveReply(m_step, message);
  }
  auto operator()(const AppendRequest& message) -> void {
    OnAppendRequest(m_step, message);
  }
  auto operator()(const AppendReply& message) -> void {
    OnAppendReply(m_step, message);
  }
  auto operator()(const StateCopy& message) -> void {
    OnStateCopy(m_step, message);
  }
  auto operator()(const StateCopyReply& message) -> void {
    OnStateCopyReply(m_step, message);
  }
  auto operator()(const CollectRequest& message) -> void {
    OnCollectRequest(m_step, message);
  }
  auto operator()(const CollectReply& message) -> void {
    OnCollectReply(m_step, message);
  }
  auto operator()(const Heartbeat& message) -> void {
    ApplyOwnership(
        m_step, OnHeartbeat(*m_step.m_core.m_ownership, message, m_step.m_now));
    NoteGeneration(m_step, message.m_from, message.m_generation);
  }
  auto operator()(const DomainDigest& message) -> void {
    ApplyOwnership(m_step,
                   OnDigest(*m_step.m_core.m_ownership, message, m_step.m_now));
    NoteGeneration(m_step, message.m_from, message.m_generation);
  }
  auto operator()(const ConfigRequest& message) -> void {
    ApplyRollout(m_step, OnConfigRequest(*m_step.m_core.m_rollout, message,
                                         m_step.m_now));
  }
  auto operator()(const ConfigOffer& message) -> void {
    ApplyRollout(
        m_step, OnConfigOffer(*m_step.m_core.m_rollout, message, m_step.m_now));
  }
};

/// Asks the seed peers for the configuration or the domain table while this
/// host has none, once per heartbeat interval.
auto QuerySeedPeers(StepContext& step) -> void {
  auto& core = step.m_core;
  if (step.m_now <
      core.m_last_seed_request + core.m_options.m_heartbeat_interval) {
    return;
  }
  core.m_last_seed_request = step.m_now;
  if (const auto request = SeedConfigRequest(*core.m_rollout)) {
    step.m_out.push_back(SendToSeedPeers{*request});
  }
  if (const auto heartbeat = SeedHeartbeat(*core.m_ownership)) {
    step.m_out.push_back(SendToSeedPeers{*heartbeat});
  }
}

/// Announces to the lead which pools have no confirmed copy, which have open
/// calls, and the spare capacity.
auto AnnouncePools(HostCore& core) -> void {
  std::vector<PoolId> unconfirmed;
  std::vector<PoolId> pinned;
  auto headroom = 0;
  for (const auto& [id, pool] : core.m_pools) {
    if (!pool.m_open.empty()) {
      pinned.push_back(id);
    }
    if (pool.m_role < PoolRole::kCollecting) {
      continue;
    }
    const auto confirmed =
        pool.m_role == PoolRole::kPrimary && pool.m_mode == CopyMode::kHolder;
    if (!confirmed) {
      unconfirmed.push_back(id);
    }
    for (const auto& [service, policy] : pool.m_policies) {
      headroom += Headroom(*policy);
    }
  }
  AnnounceUnconfirmed(*core.m_ownership, std::move(unconfirmed));
  AnnouncePinned(*core.m_ownership, std::move(pinned));
  AnnounceHeadroom(*core.m_ownership, headroom);
}

auto TickPools(StepContext& step) -> void {
  for (auto& [id, pool] : step.m_core.m_pools) {
    if (pool.m_role == PoolRole::kNone) {
      continue;
    }
    TickTakeover(step, pool);
    ChooseTarget(step, pool);
    ResendChanges(step, pool);
    TickCalls(step, pool);
    TickPrograms(step, pool);
  }
}

auto TickDrain(StepContext& step) -> void {
  auto& core = step.m_core;
  if (!core.m_draining || core.m_drain_reported) {
    return;
  }
  const auto busy = std::any_of(
      core.m_pools.begin(), core.m_pools.end(), [](const auto& item) {
        return !item.second.m_calls.empty() || !item.second.m_waiting.empty();
      });
  if (!busy && IsDrained(*core.m_ownership) &&
      !HasPendingClaims(*core.m_claims)) {
    core.m_drain_reported = true;
    step.m_out.push_back(DrainFinished{});
  }
}

auto OnTick(StepContext& step) -> void {
  auto& core = step.m_core;
  AnnouncePools(core);
  ApplyOwnership(step, TickOwnership(*core.m_ownership, step.m_now));
  ApplyRollout(step, TickRollout(*core.m_rollout, step.m_now));
  if (IsLead(*core.m_ownership)) {
    ApplyRollout(step, ReportRollout(*core.m_rollout, core.m_live,
                                     core.m_platform_reachable, step.m_now));
  }
  QuerySeedPeers(step);
  ApplyClaimStep(step, TickClaims(*core.m_claims, step.m_now));
  TickPools(step);
  TickHolds(step);
  TickDrain(step);
}

/// Dispatches events by type.
struct EventHandler {
  StepContext& m_step;

  auto operator()(const CallArrived& event) -> void {
    OnCallArrived(m_step, event.m_call);
  }
  auto operator()(const CallCancelled& event) -> void {
    OnCallCancelled(m_step, event.m_request);
  }
  auto operator()(const ProgramEndRequested& event) -> void {
    OnProgramEndAsked(m_step, event.m_program);
  }
  auto operator()(const AnswerRequested& event) -> void {
    OnAnswerAsked(m_step, event);
  }
  auto operator()(const PeerArrived& event) -> void {
    std::visit(PeerHandler{m_step}, event.m_message);
  }
  auto operator()(const AttemptProgressed& event) -> void {
    OnAttemptProgressed(m_step, event);
  }
  auto operator()(const AttemptFinished& event) -> void {
    OnAttemptFinished(m_step, event);
  }
  auto operator()(const TableArrived& event) -> void {
    ApplyOwnership(m_step, OnTableArrived(*m_step.m_core.m_ownership, event,
                                          m_step.m_now));
  }
  auto operator()(const ClaimShardArrived& event) -> void {
    ApplyClaimStep(m_step, OnClaimShardArrived(*m_step.m_core.m_claims, event,
                                               m_step.m_now));
  }
  auto operator()(const ConfigArrived& event) -> void {
    ApplyRollout(
        m_step, OnConfigArrived(*m_step.m_core.m_rollout, event, m_step.m_now));
  }
  auto operator()(const HostListingChanged& event) -> void {
    ApplyOwnership(m_step, OnHostListingChanged(*m_step.m_core.m_ownership,
                                                event, m_step.m_now));
  }
  auto operator()(const EndpointListingChanged& event) -> void {
    ApplyOwnership(m_step,
                   OnEndpointListingChanged(*m_step.m_core.m_ownership, event));
  }
  auto operator()(const LoadReported& event) -> void {
    ForEachPolicy(m_step.m_core, [&](PoolPolicy& policy) {
      ApplyLoadReport(policy, event.m_report, m_step.m_now);
    });
  }
  auto operator()(const CacheReported& event) -> void {
    ForEachPolicy(m_step.m_core, [&](PoolPolicy& policy) {
      ApplyCacheReport(policy, event.m_report, m_step.m_now);
    });
  }
  auto operator()(const HoldsListed& event) -> void {
    OnHoldsListed(m_step, event);
  }
  auto operator()(const HoldReleased& event) -> void {
    OnHoldReleased(m_step, event);
  }
  auto operator()(const DrainRequested& /*event*/) -> void {
    m_step.m_core.m_draining = true;
    ApplyOwnership(m_step,
                   StartDrain(*m_step.m_core.m_ownership, m_step.m_now));
  }
  auto operator()(const Tick& /*event*/) -> void { OnTick(m_step); }
};

/// Suspends conclusions from missing messages after a pause of this process,
/// during which it could not receive any.
auto DetectPause(HostCore& core, TimePoint now) -> void {
  const auto limit =
      core.m_options.m_heartbeat_interval * core.m_options.m_missed_heartbeats;
  if (now > core.m_last_step + limit) {
    core.m_failure_detection_resumes = now + limit;
  }
  core.m_last_step = now;
}

}  // namespace

}  // namespace pvt

auto MakeCore(const CoreOptions& options) -> Result<std::shared_ptr<HostCore>> {
  auto call_state_machine = pvt::LoadCallStateMachine(options.m_charts_dir);
  auto pool_state_machine = pvt::LoadPoolStateMachine(options.m_charts_dir);
  auto endpoint_state_machine = LoadEndpointChart(options.m_charts_dir);
  auto ownership =
      MakeOwnership({.m_self = options.m_self,
                     .m_domain = options.m_domain,
                     .m_addresses = options.m_addresses,
                     .m_has_disk = options.m_has_disk,
                     .m_seed = options.m_seed,
                     .m_heartbeat_interval = options.m_heartbeat_interval,
                     .m_missed_heartbeats = options.m_missed_heartbeats,
                     .m_rank_delay = options.m_rank_delay,
                     .m_charts_dir = options.m_charts_dir});
  auto claims =
      MakeClaimManager({.m_self = options.m_self,
                        .m_seed = options.m_seed,
                        .m_shard_count = options.m_claim_shard_count,
                        .m_wall_clock_offset = options.m_wall_clock_offset,
                        .m_charts_dir = options.m_charts_dir});
  auto rollout = MakeRollout({.m_self = options.m_self,
                              .m_domain = options.m_domain,
                              .m_charts_dir = options.m_charts_dir});
  for (const auto* failed :
       {call_state_machine ? nullptr : &call_state_machine.error(),
        pool_state_machine ? nullptr : &pool_state_machine.error(),
        endpoint_state_machine ? nullptr : &endpoint_state_machine.error(),
        ownership ? nullptr : &ownership.error(),
        claims ? nullptr : &claims.error(),
        rollout ? nullptr : &rollout.error()}) {
    if (failed != nullptr) {
      return tl::unexpected<Error>(*failed);
    }
  }
  auto core = std::make_shared<HostCore>();
  core->m_options = options;
  core->m_call_state_machine = std::move(*call_state_machine);
  core->m_pool_state_machine = std::move(*pool_state_machine);
  core->m_endpoint_state_machine = std::move(*endpoint_state_machine);
  core->m_ownership = std::move(*ownership);
  core->m_claims = std::move(*claims);
  core->m_rollout = std::move(*rollout);
  return core;
}

auto Step(HostCore& core, const Event& event, TimePoint now) -> Effects {
  Effects out;
  pvt::DetectPause(core, now);
  pvt::StepContext step{.m_core = core, .m_now = now, .m_out = out};
  std::visit(pvt::EventHandler{step}, event);
  for (auto& [id, pool] : core.m_pools) {
    pvt::DispatchCalls(step, pool);
  }
  return out;
}

}  // namespace dotterelshed
