#include "dotterelshed/ownership.h"

#include <algorithm>

#include "ownership/ownership_state.h"

namespace dotterelshed {

namespace {

/// A gap between ticks above this many heartbeat intervals is treated as a
/// pause of the process, after which its view of other hosts is stale.
constexpr auto kPauseIntervals = 2;

/// Restarts the failure detection timers after a pause of this process, since
/// it could not receive heartbeats while it was paused.
auto ResetAfterPause(Ownership& ownership, TimePoint now, OwnershipStep& step)
    -> void {
  for (auto& [id, member] : ownership.m_members) {
    member.m_last_heard = now;
  }
  ownership.m_lead.m_last_heard = now;
  ownership.m_lead.m_suspected = false;
  ownership.m_platform.m_request = pvt::TableRequest::kNone;
  ownership.m_membership_stable_since = now;
  ownership.m_next_plan = now + pvt::DownAfter(ownership);
  pvt::StartRead(ownership, now, step);
}

/// Returns true if another live host that is not leaving can take over a role
/// of this host. @p other_owner holds the pool's other role and is excluded,
/// since one host cannot have both roles.
auto HasSuccessor(const Ownership& ownership, const HostId& other_owner)
    -> bool {
  const auto& self = ownership.m_options.m_self.m_host;
  const auto& members = ownership.m_members;
  return std::any_of(members.begin(), members.end(), [&](const auto& entry) {
    const auto& info = entry.second.m_info;
    return entry.first != self && entry.first != other_owner && info.m_alive &&
           !info.m_draining;
  });
}

/// Returns true while this host has a role that another host can take over. In
/// a domain of two hosts a leaving host stays copy holder until it stops: no
/// other host is available, and the primary has the same state.
auto HoldsTransferableRole(const Ownership& ownership) -> bool {
  if (!ownership.m_table) {
    return false;
  }
  const auto& self = ownership.m_options.m_self;
  const auto& pools = ownership.m_table->m_pools;
  const auto gives_lead =
      ownership.m_table->m_lead == self && HasSuccessor(ownership, HostId());
  return gives_lead ||
         std::any_of(pools.begin(), pools.end(), [&](const auto& entry) {
           const auto& pool = entry.second;
           const auto gives_primary =
               pool.m_primary == self && HasSuccessor(ownership, HostId());
           const auto gives_copy =
               pool.m_holder == self &&
               HasSuccessor(ownership, pool.m_primary.m_host);
           return gives_primary || gives_copy;
         });
}

/// Returns true once the new owners of the pools that this host transferred
/// have confirmed copies. Waits two heartbeat intervals after the last role
/// change for their reports to arrive.
auto CopiesConfirmed(const Ownership& ownership, TimePoint now) -> bool {
  if (ownership.m_transferred_pools.empty()) {
    return true;
  }
  const auto report_delay = ownership.m_options.m_heartbeat_interval * 2;
  return now - ownership.m_roles_changed >= report_delay &&
         std::none_of(ownership.m_transferred_pools.begin(),
                      ownership.m_transferred_pools.end(),
                      [&](const auto& pool) {
                        return ownership.m_unconfirmed.contains(pool);
                      });
}

auto CheckDrained(Ownership& ownership, TimePoint now, OwnershipStep& step)
    -> void {
  const auto state = ownership.m_state;
  if (state != pvt::HostState::kDraining &&
      state != pvt::HostState::kDrainingLead) {
    return;
  }
  const auto transferred =
      !HoldsTransferableRole(ownership) && CopiesConfirmed(ownership, now);
  const auto no_successor = !HasSuccessor(ownership, HostId());
  if (transferred || no_successor) {
    pvt::FireHostEvent(ownership, pvt::HostEvent::kRolesGone, step);
  }
}

auto SendHeartbeats(Ownership& ownership, TimePoint now, OwnershipStep& step)
    -> void {
  if (!ownership.m_table || now < ownership.m_next_heartbeat) {
    return;
  }
  ownership.m_next_heartbeat = now + ownership.m_options.m_heartbeat_interval;
  const auto heartbeat = pvt::MakeHeartbeat(ownership);
  const auto& self = ownership.m_options.m_self.m_host;
  if (!ownership.m_lead.m_suspected) {
    step.m_effects.emplace_back(
        SendPeer{ownership.m_table->m_lead.m_host, heartbeat});
    return;
  }
  for (const auto& [host, record] : ownership.m_table->m_members) {
    if (host != self) {
      step.m_effects.emplace_back(SendPeer{host, heartbeat});
    }
  }
}

}  // namespace

auto MakeOwnership(const OwnershipOptions& options)
    -> Result<std::shared_ptr<Ownership>> {
  auto state_machines = pvt::LoadOwnershipStateMachines(options.m_charts_dir);
  if (!state_machines) {
    return tl::unexpected<Error>(state_machines.error());
  }
  auto ownership = std::make_shared<Ownership>(Ownership{
      .m_options = options, .m_state_machines = std::move(*state_machines)});
  ownership->m_state = ownership->m_state_machines.m_host.initial();
  const auto hash = pvt::HashPair(options.m_self.m_host.value(),
                                  std::to_string(options.m_seed));
  const auto interval =
      static_cast<std::uint64_t>(options.m_heartbeat_interval.count());
  ownership->m_jitter = Duration(static_cast<Duration::rep>(hash % interval));
  return ownership;
}

auto SetOwnershipConfig(Ownership& ownership,
                        const DeskConfig& config,
                        TimePoint now) -> OwnershipStep {
  const auto& options = ownership.m_options;
  ownership.m_config_generation = config.m_generation;
  ownership.m_desired_pools =
      pvt::DesiredPools(config, options.m_domain, options.m_max_pool_endpoints);
  ownership.m_partition = pvt::PartitionIntoPools(config, options.m_domain,
                                                  ownership.m_desired_pools);
  ownership.m_next_plan = std::min(ownership.m_next_plan, now);
  return TickOwnership(ownership, now);
}

auto TickOwnership(Ownership& ownership, TimePoint now) -> OwnershipStep {
  OwnershipStep step;
  const auto pause = ownership.m_options.m_heartbeat_interval * kPauseIntervals;
  const auto last = ownership.m_last_tick.value_or(now);
  ownership.m_last_tick = now;
  if (now - last > pause) {
    ResetAfterPause(ownership, now, step);
  }
  if (pvt::IsSelfLead(ownership)) {
    pvt::TickLead(ownership, now, step);
  } else {
    SendHeartbeats(ownership, now, step);
    pvt::TickFollower(ownership, now, step);
  }
  CheckDrained(ownership, now, step);
  return step;
}

auto StartDrain(Ownership& ownership, TimePoint now) -> OwnershipStep {
  OwnershipStep step;
  pvt::FireHostEvent(ownership, pvt::HostEvent::kDrainAsked, step);
  // Sends a heartbeat at the next tick, so that the lead need not wait for the
  // next regular one.
  ownership.m_next_heartbeat = now;
  ownership.m_next_plan = now;
  return step;
}

auto IsDrained(const Ownership& ownership) -> bool {
  return ownership.m_state == pvt::HostState::kDrained;
}

auto OnHostListingChanged(Ownership& ownership,
                          const HostListingChanged& event,
                          TimePoint now) -> OwnershipStep {
  // The platform may keep listing hosts that were replaced long ago.
  constexpr auto kMaxListed = std::size_t{1024};
  auto& leaving = ownership.m_listed_leaving;
  if (event.m_leaving) {
    leaving.insert(event.m_host);
    if (leaving.size() > kMaxListed) {
      leaving.erase(leaving.begin());
    }
  } else {
    ownership.m_listed_leaving.erase(event.m_host);
  }
  ownership.m_next_plan = std::min(ownership.m_next_plan, now);
  return {};
}

auto OnEndpointListingChanged(Ownership& ownership,
                              const EndpointListingChanged& event)
    -> OwnershipStep {
  OwnershipStep step;
  pvt::ApplyEndpointListing(ownership, event, step);
  return step;
}

auto AnnounceQuarantine(Ownership& ownership, const Digest& content) -> void {
  if (ownership.m_quarantined.contains(content)) {
    return;
  }
  if (pvt::IsSelfLead(ownership)) {
    pvt::RecordQuarantined(ownership, content);
    return;
  }
  ownership.m_announced.m_quarantined.insert(content);
}

auto AnnounceUnconfirmed(Ownership& ownership, std::vector<PoolId> pools)
    -> void {
  ownership.m_announced.m_unconfirmed = std::move(pools);
}

auto AnnouncePinned(Ownership& ownership, std::vector<PoolId> pools) -> void {
  ownership.m_announced.m_pinned = std::move(pools);
}

auto AnnounceGeneration(Ownership& ownership, Generation generation) -> void {
  ownership.m_push_pending |= ownership.m_announced.m_generation < generation;
  ownership.m_announced.m_generation = generation;
}

auto AnnounceHeadroom(Ownership& ownership, int headroom) -> void {
  ownership.m_announced.m_headroom = headroom;
}

namespace pvt {

auto DownAfter(const Ownership& ownership) -> Duration {
  return ownership.m_options.m_heartbeat_interval *
         ownership.m_options.m_missed_heartbeats;
}

auto IsSelfLead(const Ownership& ownership) -> bool {
  return ownership.m_table &&
         ownership.m_table->m_lead == ownership.m_options.m_self;
}

auto IsLeaving(const Ownership& ownership) -> bool {
  return ownership.m_state == HostState::kDraining ||
         ownership.m_state == HostState::kDrainingLead ||
         ownership.m_state == HostState::kDrained;
}

auto FireHostEvent(Ownership& ownership, HostEvent event, OwnershipStep& step)
    -> void {
  const auto* transition =
      ownership.m_state_machines.m_host.Find(ownership.m_state, event);
  if (transition == nullptr) {
    return;
  }
  ownership.m_state = transition->m_to;
  for (const auto action : transition->m_actions) {
    const auto active = action == HostAction::kTakeLeadDuty;
    step.m_effects.emplace_back(SetLeadDuty{.m_active = active});
  }
}

auto NextUpdateNumber(Ownership& ownership) -> std::int64_t {
  return ++ownership.m_update_number;
}

auto AddLog(OwnershipStep& step, LogEventId id, std::vector<LogField> fields)
    -> void {
  step.m_effects.emplace_back(
      WriteLog{.m_id = id, .m_fields = std::move(fields)});
}

}  // namespace pvt

}  // namespace dotterelshed
