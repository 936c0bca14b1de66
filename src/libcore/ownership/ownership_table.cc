#include <algorithm>

#include "ownership/ownership_state.h"

/// @file
/// Reads and conditional updates of the domain table, and its adoption.

namespace dotterelshed {

namespace pvt {

namespace {

/// Earlier tables kept as bases for differences in digests.
constexpr auto kOldTables = std::size_t{8};
/// Interval at which a lead reads its table, in addition to its watch.
constexpr auto kPollInterval = std::chrono::seconds(10);
constexpr auto kFirstBackoff = std::chrono::milliseconds(500);
constexpr auto kLongestBackoff = std::chrono::seconds(8);
/// Longest backoff of a lead while the platform does not answer.
constexpr auto kLeadBackoff = std::chrono::seconds(1);

auto SameOwners(const PoolAssignment& left, const PoolAssignment& right)
    -> bool {
  return left.m_term == right.m_term && left.m_primary == right.m_primary &&
         left.m_holder == right.m_holder;
}

auto HasRole(const PoolAssignment& pool, const HostRef& host) -> bool {
  return pool.m_primary == host || pool.m_holder == host;
}

auto RecordPoolChange(Ownership& ownership,
                      const PoolAssignment& before,
                      const PoolAssignment& after,
                      TimePoint now,
                      OwnershipStep& step) -> void {
  const auto& self = ownership.m_options.m_self;
  step.m_changes.push_back({.m_before = before, .m_after = after});
  ownership.m_roles_changed = now;
  if (IsLeaving(ownership) && HasRole(before, self) && !HasRole(after, self)) {
    ownership.m_transferred_pools.insert(before.m_pool);
  }
  if (HasRole(after, self)) {
    FireHostEvent(ownership, HostEvent::kRoleGiven, step);
  }
  AddLog(step, LogEventId::kPoolChanged,
         {{"pool", before.m_pool.value()},
          {"term", std::to_string(after.m_term.value())},
          {"primary", after.m_primary.m_host.value()},
          {"holder", after.m_holder.m_host.value()}});
}

/// Reports the pools whose term or owners differ between two tables.
auto RecordPoolChanges(Ownership& ownership,
                       const std::map<PoolId, PoolAssignment>& before,
                       const std::map<PoolId, PoolAssignment>& after,
                       TimePoint now,
                       OwnershipStep& step) -> void {
  for (const auto& [id, pool] : after) {
    const auto old = before.find(id);
    const auto previous =
        old == before.end() ? PoolAssignment{.m_pool = id} : old->second;
    if (!SameOwners(previous, pool)) {
      RecordPoolChange(ownership, previous, pool, now, step);
    }
  }
  for (const auto& [id, pool] : before) {
    if (!after.contains(id)) {
      RecordPoolChange(ownership, pool, PoolAssignment{.m_pool = id}, now,
                       step);
    }
  }
}

auto UpdateLead(Ownership& ownership,
                const HostRef& before,
                TimePoint now,
                OwnershipStep& step) -> void {
  const auto& lead = ownership.m_table->m_lead;
  const auto self_leads = IsSelfLead(ownership);
  FireHostEvent(ownership,
                self_leads ? HostEvent::kSelfLeads : HostEvent::kOtherLeads,
                step);
  if (lead == before) {
    return;
  }
  if (self_leads) {
    BecomeLead(ownership, now);
  }
  ownership.m_lead = {.m_last_heard = now};
  ownership.m_next_heartbeat = std::min(ownership.m_next_heartbeat, now);
  AddLog(step, LogEventId::kLeadChanged,
         {{"lead", lead.m_host.value()},
          {"term", std::to_string(ownership.m_table->m_lead_term.value())}});
}

auto NewTable(const Ownership& ownership) -> DomainTable {
  const auto& options = ownership.m_options;
  DomainTable table{.m_domain = options.m_domain};
  table.m_members[options.m_self.m_host] = {
      .m_incarnation = options.m_self.m_incarnation,
      .m_addresses = options.m_addresses};
  return table;
}

/// Returns true if this host judges from its own requests whether the platform
/// is reachable. Otherwise its lead's digests say so.
auto DecidesPlatformState(const Ownership& ownership) -> bool {
  return !ownership.m_table || IsSelfLead(ownership) ||
         ownership.m_lead.m_suspected;
}

auto ScheduleRead(Ownership& ownership, TimePoint now, Duration delay) -> void {
  ownership.m_platform.m_next_read = now + delay + ownership.m_jitter;
}

/// Creates the table object, which does not exist because the domain is new or
/// because it was deleted. With a known table, only the lead does so, or a host
/// that suspects the lead.
auto OnTableMissing(Ownership& ownership, TimePoint now, OwnershipStep& step)
    -> void {
  if (!ownership.m_table) {
    StartPut(ownership, WithSelfAsLead(ownership, NewTable(ownership)), now,
             step);
    return;
  }
  auto table = *ownership.m_table;
  table.m_version = ResourceVersion(0);
  if (IsSelfLead(ownership)) {
    StartPut(ownership, table, now, step);
  } else if (ownership.m_lead.m_suspected) {
    StartPut(ownership, WithSelfAsLead(ownership, table), now, step);
  }
}

auto OnTableError(Ownership& ownership,
                  const Error& error,
                  TimePoint now,
                  OwnershipStep& step) -> void {
  auto& platform = ownership.m_platform;
  platform.m_request = TableRequest::kNone;
  const auto answered = error.m_code == ErrorCode::kNotFound ||
                        error.m_code == ErrorCode::kConflict;
  if (DecidesPlatformState(ownership)) {
    SetPlatformReachable(ownership, answered, now, step);
  }
  if (error.m_code == ErrorCode::kNotFound) {
    OnTableMissing(ownership, now, step);
    return;
  }
  if (error.m_code == ErrorCode::kConflict) {
    StartRead(ownership, now, step);
    return;
  }
  const Duration longest =
      IsSelfLead(ownership) ? kLeadBackoff : kLongestBackoff;
  platform.m_backoff =
      std::clamp<Duration>(platform.m_backoff * 2, kFirstBackoff, longest);
  ScheduleRead(ownership, now, platform.m_backoff);
}

}  // namespace

auto WithSelfAsLead(const Ownership& ownership, DomainTable table)
    -> DomainTable {
  table.m_lead = ownership.m_options.m_self;
  table.m_lead_term = table.m_lead_term.Next();
  table.m_members[table.m_lead.m_host] = {
      .m_incarnation = table.m_lead.m_incarnation,
      .m_addresses = ownership.m_options.m_addresses};
  return table;
}

auto StartRead(Ownership& ownership, TimePoint now, OwnershipStep& step)
    -> void {
  auto& platform = ownership.m_platform;
  if (platform.m_request != TableRequest::kNone) {
    return;
  }
  platform.m_request = TableRequest::kRead;
  platform.m_request_since = now;
  step.m_effects.emplace_back(ReadTable{ownership.m_options.m_domain});
}

auto DropTimedOutRequest(Ownership& ownership, TimePoint now) -> bool {
  auto& platform = ownership.m_platform;
  const auto lost = platform.m_request != TableRequest::kNone &&
                    now - platform.m_request_since > kTableRequestTimeout;
  if (lost) {
    platform.m_request = TableRequest::kNone;
  }
  return lost;
}

auto StartPut(Ownership& ownership,
              DomainTable table,
              TimePoint now,
              OwnershipStep& step) -> void {
  auto& platform = ownership.m_platform;
  if (platform.m_request != TableRequest::kNone) {
    return;
  }
  platform.m_request = TableRequest::kPut;
  platform.m_request_since = now;
  step.m_effects.emplace_back(PutTable{std::move(table)});
}

auto AdoptTable(Ownership& ownership,
                const DomainTable& table,
                TimePoint now,
                OwnershipStep& step) -> void {
  if (ownership.m_table && table.m_version <= ownership.m_table->m_version) {
    return;
  }
  const auto was_lead = IsSelfLead(ownership);
  const auto before = ownership.m_table.value_or(DomainTable{});
  if (ownership.m_table) {
    ownership.m_old_tables.push_back(before);
  }
  if (ownership.m_old_tables.size() > kOldTables) {
    ownership.m_old_tables.pop_front();
  }
  ownership.m_table = table;
  UpdateLead(ownership, before.m_lead, now, step);
  RecordPoolChanges(ownership, before.m_pools, table.m_pools, now, step);
  if (was_lead || IsSelfLead(ownership)) {
    PushDigests(ownership, step);
  }
}

auto AdoptRemoteTable(Ownership& ownership, const DomainTable& table) -> void {
  auto& remote = ownership.m_remote[table.m_domain];
  if (remote.m_update_number != 0 &&
      table.m_version <= remote.m_table.m_version) {
    return;
  }
  remote.m_table = table;
  remote.m_update_number = NextUpdateNumber(ownership);
}

auto SetPlatformReachable(Ownership& ownership,
                          bool reachable,
                          TimePoint now,
                          OwnershipStep& step) -> void {
  auto& platform = ownership.m_platform;
  if (platform.m_reachable == reachable) {
    return;
  }
  platform.m_reachable = reachable;
  platform.m_reachability_changed = now;
  AddLog(step,
         reachable ? LogEventId::kPlatformBack : LogEventId::kPlatformLost, {});
}

}  // namespace pvt

auto OnTableArrived(Ownership& ownership,
                    const TableArrived& event,
                    TimePoint now) -> OwnershipStep {
  OwnershipStep step;
  if (event.m_domain != ownership.m_options.m_domain) {
    if (event.m_table) {
      pvt::AdoptRemoteTable(ownership, *event.m_table);
    }
    return step;
  }
  if (!event.m_table) {
    pvt::OnTableError(ownership, event.m_table.error(), now, step);
    return step;
  }
  auto& platform = ownership.m_platform;
  // An event of the watch may arrive before the response to a put, which is
  // then still in progress.
  if (event.m_from_put || platform.m_request == pvt::TableRequest::kRead) {
    platform.m_request = pvt::TableRequest::kNone;
  }
  platform.m_backoff = Duration(0);
  pvt::ScheduleRead(ownership, now, pvt::kPollInterval);
  ownership.m_lead.m_table_fresh = true;
  // Adopting the table sends digests. A host that becomes the lead by this
  // response must not report in them that the platform is unreachable, as the
  // previous lead found.
  const auto becomes_lead = event.m_table->m_lead == ownership.m_options.m_self;
  if (becomes_lead || pvt::DecidesPlatformState(ownership)) {
    pvt::SetPlatformReachable(ownership, true, now, step);
  } else {
    ownership.m_lead.m_probed_at = now;
  }
  pvt::AdoptTable(ownership, *event.m_table, now, step);
  if (pvt::DecidesPlatformState(ownership)) {
    // This host may have become the lead by adopting the table.
    pvt::SetPlatformReachable(ownership, true, now, step);
  }
  return step;
}

}  // namespace dotterelshed
