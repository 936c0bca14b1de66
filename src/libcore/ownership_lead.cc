#include <algorithm>
#include <utility>

#include "ownership_state.h"

/// @file
/// What the lead of a failure domain does.

namespace dotterelshed::pvt {

namespace {

constexpr auto kPlanInterval = std::chrono::milliseconds(100);
/// A new domain waits this many heartbeat intervals for hosts to join before
/// it gives out its pools, so that the first host does not get them all.
constexpr auto kSettleIntervals = 3;
/// A host that is down this long is forgotten by the table.
constexpr auto kForgetAfter = std::chrono::minutes(1);
/// Pools move for balance only when no host came or went for this long.
constexpr auto kQuietTime = std::chrono::seconds(5);
constexpr auto kBalanceInterval = std::chrono::seconds(10);
constexpr auto kMovesPerBalance = 2;

auto RefreshSelf(Ownership& ownership, TimePoint now) -> void {
  const auto& options = ownership.m_options;
  const auto& announced = ownership.m_announced;
  auto& member = ownership.m_members[options.m_self.m_host];
  const auto leaving = IsLeaving(ownership);
  const auto changed =
      member.m_changed == 0 || member.m_info.m_draining != leaving;
  member.m_info = {.m_host = options.m_self,
                   .m_addresses = options.m_addresses,
                   .m_alive = true,
                   .m_draining = leaving,
                   .m_has_disk = options.m_has_disk,
                   .m_generation = announced.m_generation,
                   .m_headroom = announced.m_headroom};
  member.m_heard = now;
  member.m_reported = true;
  member.m_table_version = ownership.m_table->m_version;
  member.m_unconfirmed = announced.m_unconfirmed;
  member.m_pinned = announced.m_pinned;
  if (changed) {
    member.m_changed = NextNews(ownership);
  }
}

auto FindDown(Ownership& ownership, TimePoint now, OwnershipStep& step)
    -> void {
  const auto limit = DownAfter(ownership);
  for (auto& [id, member] : ownership.m_members) {
    if (!member.m_info.m_alive || now - member.m_heard <= limit) {
      continue;
    }
    member.m_info.m_alive = false;
    member.m_down_since = now;
    member.m_changed = NextNews(ownership);
    ownership.m_membership_stable_since = now;
    ownership.m_next_plan = now;
    AddLog(step, LogEventId::kHostSuspected, {{"host", id.value()}});
  }
}

auto ForgetMembers(Ownership& ownership, TimePoint now) -> void {
  const auto& recorded = ownership.m_table->m_members;
  std::erase_if(ownership.m_members, [&](const auto& entry) {
    const auto& [id, member] = entry;
    return !member.m_info.m_alive &&
           now - member.m_down_since > 2 * kForgetAfter &&
           !recorded.contains(id);
  });
}

/// A pool's copy is confirmed when its primary says so.
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

/// The lead gives its duty to another host before it stops.
auto HandLeadOver(const Ownership& ownership, DomainTable& table) -> void {
  const MemberInfo* chosen = nullptr;
  auto best = std::uint64_t{0};
  for (const auto& [id, member] : ownership.m_members) {
    if (!member.m_info.m_alive || member.m_info.m_draining ||
        ownership.m_listed_leaving.contains(id)) {
      continue;
    }
    const auto weight = MixHash(table.m_domain.value(), id.value());
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

auto Settling(const Ownership& ownership, TimePoint now) -> bool {
  const auto settle =
      ownership.m_options.m_heartbeat_interval * kSettleIntervals;
  return ownership.m_table->m_pools.empty() &&
         now < ownership.m_lead_since + settle;
}

auto Propose(Ownership& ownership, TimePoint now, OwnershipStep& step) -> void {
  const auto input = MakePlanInput(ownership, now);
  auto planned =
      PlanTable(*ownership.m_table, input, ownership.m_charts.m_pool);
  if (IsLeaving(ownership)) {
    HandLeadOver(ownership, planned);
  }
  if (SameContent(planned, *ownership.m_table)) {
    return;
  }
  if (input.m_balance_moves > 0) {
    ownership.m_next_balance = now + kBalanceInterval;
  }
  StartPut(ownership, std::move(planned), now, step);
}

auto CheckCall(Ownership& ownership, TimePoint now, OwnershipStep& step)
    -> void {
  const auto lost = DropLostCall(ownership, now);
  if (lost || now >= ownership.m_platform.m_next_read) {
    StartRead(ownership, now, step);
  }
}

/// A primary that has not reported on the newest table may be busy, or wait for
/// a copy, without this lead knowing: its pools don't move by plan.
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
    // The table may know of a later start than the last digest did.
    const HostRef recorded{.m_host = id, .m_incarnation = record.m_incarnation};
    info.m_host = std::max(info.m_host, recorded);
    info.m_addresses = record.m_addresses;
  }
  for (auto& [id, member] : ownership.m_members) {
    member.m_info.m_alive = true;
    member.m_heard = now;
    member.m_news_seen = 0;
    member.m_reported = false;
    member.m_table_version = ResourceVersion();
    member.m_changed = NextNews(ownership);
  }
  for (auto& [domain, remote] : ownership.m_remote) {
    remote.m_changed = NextNews(ownership);
  }
  for (auto& [content, changed] : ownership.m_quarantined) {
    changed = NextNews(ownership);
  }
  for (auto& [endpoint, listed] : ownership.m_endpoints) {
    listed.m_changed = NextNews(ownership);
  }
  for (const auto& content : ownership.m_announced.m_quarantined) {
    ownership.m_quarantined[content] = NextNews(ownership);
  }
  ownership.m_announced.m_quarantined.clear();
  ownership.m_lead_since = now;
  ownership.m_membership_stable_since = now;
  ownership.m_next_plan = now;
}

auto MakePlanInput(const Ownership& ownership, TimePoint now) -> PlanInput {
  PlanInput input{.m_generation = ownership.m_config_generation,
                  .m_wanted = ownership.m_wanted,
                  .m_unconfirmed = ownership.m_unconfirmed};
  for (const auto& [id, member] : ownership.m_members) {
    const auto& info = member.m_info;
    input.m_members[id] = {
        .m_host = info.m_host,
        .m_addresses = info.m_addresses,
        .m_alive = info.m_alive,
        .m_leaving = info.m_draining || ownership.m_listed_leaving.contains(id),
        .m_has_disk = info.m_has_disk,
        .m_forgettable =
            !info.m_alive && now - member.m_down_since > kForgetAfter};
    input.m_pinned.insert(member.m_pinned.begin(), member.m_pinned.end());
  }
  PinUnreported(ownership, input);
  const auto quiet = now - ownership.m_membership_stable_since > kQuietTime;
  if (quiet && now >= ownership.m_next_balance) {
    input.m_balance_moves = kMovesPerBalance;
  }
  return input;
}

auto TickLead(Ownership& ownership, TimePoint now, OwnershipStep& step)
    -> void {
  RefreshSelf(ownership, now);
  FindDown(ownership, now, step);
  ForgetMembers(ownership, now);
  CollectUnconfirmed(ownership);
  CheckCall(ownership, now, step);
  if (std::exchange(ownership.m_push_due, false)) {
    PushDigests(ownership, step);
  }
  const auto may_put = ownership.m_platform.m_reachable &&
                       ownership.m_platform.m_call == TableCall::kNone;
  if (!may_put || now < ownership.m_next_plan || Settling(ownership, now)) {
    return;
  }
  ownership.m_next_plan = now + kPlanInterval;
  Propose(ownership, now, step);
}

}  // namespace dotterelshed::pvt
