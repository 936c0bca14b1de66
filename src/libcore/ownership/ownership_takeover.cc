#include <algorithm>

#include "ownership/ownership_state.h"

/// @file
/// Failure detection and replacement of the lead by the other hosts.

namespace dotterelshed::pvt {

namespace {

/// While the lead can't reach the platform, the other hosts probe it in turn,
/// one per interval.
constexpr auto kProbeInterval = std::chrono::seconds(5);
/// A lead that still can't reach the platform this long after the probe of
/// another host succeeded is replaced by that host.
constexpr auto kProbeTakeoverDelay = std::chrono::milliseconds(2500);

/// Position of this host among the candidates for the lead. The order depends
/// only on the lead term and is the same on all hosts; a leaving host is last.
auto Rank(const Ownership& ownership) -> int {
  const auto& table = *ownership.m_table;
  const auto term = std::to_string(table.m_lead_term.value());
  const auto& self = ownership.m_options.m_self.m_host;
  const auto own_hash = HashPair(term, self.value());
  auto rank = 0;
  auto hosts = 0;
  for (const auto& [id, record] : table.m_members) {
    const auto known = ownership.m_members.find(id);
    const auto down =
        known != ownership.m_members.end() &&
        (!known->second.m_info.m_alive || known->second.m_info.m_draining);
    if (id == table.m_lead.m_host || id == self || down) {
      continue;
    }
    ++hosts;
    rank += HashPair(term, id.value()) < own_hash ? 1 : 0;
  }
  return IsLeaving(ownership) ? hosts + 1 : rank;
}

auto SuspectLead(Ownership& ownership, TimePoint now, OwnershipStep& step)
    -> void {
  auto& lead = ownership.m_lead;
  if (lead.m_suspected || now - lead.m_last_heard <= DownAfter(ownership)) {
    return;
  }
  lead.m_suspected = true;
  lead.m_table_fresh = false;
  lead.m_takeover_at = now + ownership.m_options.m_rank_delay * Rank(ownership);
  ownership.m_next_heartbeat = now;
  AddLog(step, LogEventId::kHostSuspected,
         {{"host", ownership.m_table->m_lead.m_host.value()}});
}

auto TakeOver(Ownership& ownership, TimePoint now, OwnershipStep& step)
    -> void {
  auto& lead = ownership.m_lead;
  if (!lead.m_suspected || now < lead.m_takeover_at) {
    return;
  }
  if (lead.m_table_fresh) {
    lead.m_table_fresh = false;
    StartPut(ownership, WithSelfAsLead(ownership, *ownership.m_table), now,
             step);
  } else if (now >= ownership.m_platform.m_next_read ||
             ownership.m_platform.m_reachable) {
    StartRead(ownership, now, step);
  }
}

/// Takes the lead over at once when the table names an earlier incarnation of
/// this host as the lead, since that process has ended.
auto ReplaceOwnEarlierIncarnation(Ownership& ownership,
                                  TimePoint now,
                                  OwnershipStep& step) -> void {
  const auto& lead = ownership.m_table->m_lead;
  const auto& self = ownership.m_options.m_self;
  if (lead.m_host == self.m_host && lead.m_incarnation < self.m_incarnation) {
    StartPut(ownership, WithSelfAsLead(ownership, *ownership.m_table), now,
             step);
  }
}

auto IsProbeTurn(const Ownership& ownership, TimePoint now) -> bool {
  const auto& members = ownership.m_table->m_members;
  const auto self = members.find(ownership.m_options.m_self.m_host);
  if (self == members.end()) {
    return false;
  }
  const auto since = now - ownership.m_platform.m_reachability_changed;
  const auto slot = since / kProbeInterval;
  const auto index = std::distance(members.begin(), self);
  return slot > 0 && slot % static_cast<Duration::rep>(members.size()) == index;
}

/// Replaces a lead that alone can't reach the platform: probes the platform in
/// turn, and takes over if the lead still can't reach it after the delay.
auto ProbePlatform(Ownership& ownership, TimePoint now, OwnershipStep& step)
    -> void {
  auto& lead = ownership.m_lead;
  if (ownership.m_platform.m_reachable || lead.m_suspected ||
      IsLeaving(ownership)) {
    return;
  }
  if (lead.m_probed_at && now - *lead.m_probed_at > kProbeTakeoverDelay) {
    lead.m_probed_at.reset();
    StartPut(ownership, WithSelfAsLead(ownership, *ownership.m_table), now,
             step);
    return;
  }
  if (!lead.m_probed_at && now >= lead.m_next_probe &&
      IsProbeTurn(ownership, now)) {
    lead.m_next_probe = now + kProbeInterval;
    StartRead(ownership, now, step);
  }
}

}  // namespace

auto TickFollower(Ownership& ownership, TimePoint now, OwnershipStep& step)
    -> void {
  DropTimedOutRequest(ownership, now);
  if (!ownership.m_table) {
    if (now >= ownership.m_platform.m_next_read) {
      StartRead(ownership, now, step);
    }
    return;
  }
  ReplaceOwnEarlierIncarnation(ownership, now, step);
  SuspectLead(ownership, now, step);
  TakeOver(ownership, now, step);
  ProbePlatform(ownership, now, step);
}

}  // namespace dotterelshed::pvt
