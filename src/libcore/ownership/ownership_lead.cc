#include <algorithm>
#include <utility>

#include "ownership/ownership_state.h"

/// @file
/// The lead's part of ownership: failure detection of the other hosts and the
/// planning of pool assignments. The lead is the elected host of a failure
/// domain that plans the domain table and answers the heartbeats.

namespace dotterelshed::pvt {

namespace {

constexpr auto kPlanInterval = std::chrono::milliseconds(100);
/// Heartbeat intervals that a new domain waits for hosts to join before its
/// pools are assigned, so that the first host does not get them all.
constexpr auto kJoinWaitIntervals = 3;
/// A host that is down for longer than this is removed from the table.
constexpr auto kMemberRemovalDelay = std::chrono::minutes(1);
/// Pools are rebalanced only after no host joined or left for this long.
constexpr auto kStableTime = std::chrono::seconds(5);
constexpr auto kBalanceInterval = std::chrono::seconds(10);
constexpr auto kMovesPerBalance = 2;

auto RefreshSelf(Ownership& ownership, TimePoint now) -> void {
  const auto& options = ownership.m_options;
  const auto& announced = ownership.m_announced;
  auto& member = ownership.m_members[options.m_self.m_host];
  const auto leaving = IsLeaving(ownership);
  const auto changed =
      member.m_update_number == 0 || member.m_info.m_draining != leaving;
  member.m_info = {.m_host = options.m_self,
                   .m_addresses = options.m_addresses,
                   .m_alive = true,
                   .m_draining = leaving,
                   .m_has_disk = options.m_has_disk,
                   .m_generation = announced.m_generation,
                   .m_headroom = announced.m_headroom};
  member.m_last_heard = now;
  member.m_reported = true;
  member.m_table_version = ownership.m_table->m_version;
  member.m_unconfirmed = announced.m_unconfirmed;
  member.m_pinned = announced.m_pinned;
  if (changed) {
    member.m_update_number = NextUpdateNumber(ownership);
  }
}

auto DetectDownHosts(Ownership& ownership, TimePoint now, OwnershipStep& step)
    -> void {
  const auto limit = DownAfter(ownership);
  for (auto& [id, member] : ownership.m_members) {
    if (!member.m_info.m_alive || now - member.m_last_heard <= limit) {
      continue;
    }
    member.m_info.m_alive = false;
    member.m_down_since = now;
    member.m_update_number = NextUpdateNumber(ownership);
    ownership.m_membership_stable_since = now;
    ownership.m_next_plan = now;
    AddLog(step, LogEventId::kHostSuspected, {{"host", id.value()}});
  }
}

auto RemoveDownMembers(Ownership& ownership, TimePoint now) -> void {
  const auto& recorded = ownership.m_table->m_members;
  std::erase_if(ownership.m_members, [&](const auto& entry) {
    const auto& [id, member] = entry;
    return !member.m_info.m_alive &&
           now - member.m_down_since > 2 * kMemberRemovalDelay &&
           !recorded.contains(id);
  });
}

/// Gathers the pools without a confirmed copy. Only the report of a pool's
/// current primary counts.
auto CollectUnconfirmed(Ownership& ownership) -> void {
  ownership.m_unconfirmed.clear();
  const auto& pools = ownership.m_table->m_pools;
  for (const auto& [id, member] : ownership.m_members) {
    for (const auto& pool : member.m_unconfirmed) {
      const auto found = pools.find(pool);
      if (found != pools.end() &&
          found->second.m_primary == member.m_info.m_host) {
        ownership.m_unconfirmed.insert(pool);
      }
    }
  }
}

/// Makes another live host that is not leaving the lead in @p table, chosen by
/// rendezvous hashing. Leaves @p table unchanged if there is none.
auto TransferLead(const Ownership& ownership, DomainTable& table) -> void {
  const MemberInfo* chosen = nullptr;
  auto best = std::uint64_t{0};
  for (const auto& [id, member] : ownership.m_members) {
    if (!member.m_info.m_alive || member.m_info.m_draining ||
        ownership.m_listed_leaving.contains(id)) {
      continue;
    }
    const auto weight = HashPair(table.m_domain.value(), id.value());
    if (chosen == nullptr || weight > best) {
      chosen = &member.m_info;
      best = weight;
    }
  }
  if (chosen != nullptr) {
    table.m_lead = chosen->m_host;
    table.m_lead_term = table.m_lead_term.Next();
  }
}

auto WaitingForHosts(const Ownership& ownership, TimePoint now) -> bool {
  const auto wait =
      ownership.m_options.m_heartbeat_interval * kJoinWaitIntervals;
  return ownership.m_table->m_pools.empty() &&
         now < ownership.m_lead_since + wait;
}

auto Propose(Ownership& ownership, TimePoint now, OwnershipStep& step) -> void {
  const auto input = MakePlanInput(ownership, now);
  auto planned =
      PlanTable(*ownership.m_table, input, ownership.m_state_machines.m_pool);
  if (IsLeaving(ownership)) {
    TransferLead(ownership, planned);
  }
  if (SameContent(planned, *ownership.m_table)) {
    return;
  }
  if (input.m_balance_moves > 0) {
    ownership.m_next_balance = now + kBalanceInterval;
  }
  StartPut(ownership, std::move(planned), now, step);
}

auto PollTable(Ownership& ownership, TimePoint now, OwnershipStep& step)
    -> void {
  const auto lost = DropTimedOutRequest(ownership, now);
  if (lost || now >= ownership.m_platform.m_next_read) {
    StartRead(ownership, now, step);
  }
}

/// Pins the pools whose primary has not yet reported on the newest table. It
/// may have calls in progress, or wait for a copy, unknown to this lead.
auto PinUnreported(const Ownership& ownership, PlanInput& input) -> void {
  const auto version = ownership.m_table->m_version;
  for (const auto& [id, pool] : ownership.m_table->m_pools) {
    const auto primary = ownership.m_members.find(pool.m_primary.m_host);
    if (primary != ownership.m_members.end() &&
        (!primary->second.m_reported ||
         primary->second.m_table_version < version)) {
      input.m_pinned.insert(id);
    }
  }
}

}  // namespace

auto BecomeLead(Ownership& ownership, TimePoint now) -> void {
  for (const auto& [id, record] : ownership.m_table->m_members) {
    auto& info = ownership.m_members[id].m_info;
    // The table may record a later incarnation than the last digest did.
    const HostRef recorded{.m_host = id, .m_incarnation = record.m_incarnation};
    info.m_host = std::max(info.m_host, recorded);
    info.m_addresses = record.m_addresses;
  }
  for (auto& [id, member] : ownership.m_members) {
    member.m_info.m_alive = true;
    member.m_last_heard = now;
    member.m_updates_seen = 0;
    member.m_reported = false;
    member.m_table_version = ResourceVersion();
    member.m_update_number = NextUpdateNumber(ownership);
  }
  for (auto& [domain, remote] : ownership.m_remote) {
    remote.m_update_number = NextUpdateNumber(ownership);
  }
  for (auto& [content, changed] : ownership.m_quarantined) {
    changed = NextUpdateNumber(ownership);
  }
  for (auto& [endpoint, listed] : ownership.m_endpoints) {
    listed.m_update_number = NextUpdateNumber(ownership);
  }
  for (const auto& content : ownership.m_announced.m_quarantined) {
    ownership.m_quarantined[content] = NextUpdateNumber(ownership);
  }
  ownership.m_announced.m_quarantined.clear();
  ownership.m_lead_since = now;
  ownership.m_membership_stable_since = now;
  ownership.m_next_plan = now;
}

auto MakePlanInput(const Ownership& ownership, TimePoint now) -> PlanInput {
  PlanInput input{.m_generation = ownership.m_config_generation,
                  .m_desired_pools = ownership.m_desired_pools,
                  .m_unconfirmed = ownership.m_unconfirmed};
  for (const auto& [id, member] : ownership.m_members) {
    const auto& info = member.m_info;
    input.m_members[id] = {
        .m_host = info.m_host,
        .m_addresses = info.m_addresses,
        .m_alive = info.m_alive,
        .m_leaving = info.m_draining || ownership.m_listed_leaving.contains(id),
        .m_has_disk = info.m_has_disk,
        .m_removable =
            !info.m_alive && now - member.m_down_since > kMemberRemovalDelay};
    input.m_pinned.insert(member.m_pinned.begin(), member.m_pinned.end());
  }
  PinUnreported(ownership, input);
  const auto stable = now - ownership.m_membership_stable_since > kStableTime;
  if (stable && now >= ownership.m_next_balance) {
    input.m_balance_moves = kMovesPerBalance;
  }
  return input;
}

auto TickLead(Ownership& ownership, TimePoint now, OwnershipStep& step)
    -> void {
  RefreshSelf(ownership, now);
  DetectDownHosts(ownership, now, step);
  RemoveDownMembers(ownership, now);
  CollectUnconfirmed(ownership);
  PollTable(ownership, now, step);
  if (std::exchange(ownership.m_push_pending, false)) {
    PushDigests(ownership, step);
  }
  const auto may_put = ownership.m_platform.m_reachable &&
                       ownership.m_platform.m_request == TableRequest::kNone;
  if (!may_put || now < ownership.m_next_plan ||
      WaitingForHosts(ownership, now)) {
    return;
  }
  ownership.m_next_plan = now + kPlanInterval;
  Propose(ownership, now, step);
}

}  // namespace dotterelshed::pvt
