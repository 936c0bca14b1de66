#include <algorithm>

#include "ownership/ownership_state.h"

/// @file
/// Heartbeats and digests. The lead numbers its changes in sequence and sends
/// each again until a heartbeat acknowledges its number, so that lost messages
/// do no harm.

namespace dotterelshed {

namespace pvt {

namespace {

constexpr auto kMaxRecentSenders = std::size_t{256};
constexpr auto kMaxQuarantined = std::size_t{1024};
/// Limit on remembered endpoint listings; further ones are ignored. A new lead
/// reads the platform's list again.
constexpr auto kMaxListedEndpoints = std::size_t{4096};

/// Remembers the addresses of hosts that send them, for replies.
auto RecordSender(Ownership& ownership, const Heartbeat& message) -> void {
  if (message.m_addresses.m_peer.empty()) {
    return;
  }
  auto& sender = ownership.m_recent_senders[message.m_from.m_host];
  if (message.m_from.m_incarnation < sender.m_incarnation) {
    return;
  }
  sender = {message.m_from.m_incarnation, message.m_addresses};
  if (ownership.m_recent_senders.size() > kMaxRecentSenders) {
    ownership.m_recent_senders.erase(ownership.m_recent_senders.begin());
  }
}

/// A host sends its addresses only until the table records them.
auto AddressesFrom(const Ownership& ownership, const Heartbeat& message)
    -> HostAddresses {
  if (!message.m_addresses.m_peer.empty()) {
    return message.m_addresses;
  }
  const auto& members = ownership.m_table->m_members;
  const auto found = members.find(message.m_from.m_host);
  return found == members.end() ? HostAddresses{} : found->second.m_addresses;
}

/// @return false when the message is from an earlier incarnation of its host
auto UpdateMember(Ownership& ownership, const Heartbeat& message, TimePoint now)
    -> bool {
  auto& member = ownership.m_members[message.m_from.m_host];
  auto& info = member.m_info;
  if (message.m_from.m_incarnation < info.m_host.m_incarnation) {
    return false;
  }
  const auto changed = member.m_update_number == 0 || !info.m_alive ||
                       info.m_host != message.m_from ||
                       info.m_draining != message.m_draining;
  info = {.m_host = message.m_from,
          .m_addresses = AddressesFrom(ownership, message),
          .m_alive = true,
          .m_draining = message.m_draining,
          .m_has_disk = message.m_has_disk,
          .m_generation = message.m_generation,
          .m_headroom = message.m_headroom};
  member.m_last_heard = now;
  member.m_reported = true;
  member.m_updates_seen = message.m_updates_seen;
  member.m_table_version = message.m_table_version;
  member.m_unconfirmed = message.m_unconfirmed;
  member.m_pinned = message.m_pinned;
  if (changed) {
    member.m_update_number = NextUpdateNumber(ownership);
    ownership.m_membership_stable_since = now;
    ownership.m_next_plan = std::min(ownership.m_next_plan, now);
  }
  return true;
}

auto HandleHeartbeatAsLead(Ownership& ownership,
                           const Heartbeat& message,
                           TimePoint now,
                           OwnershipStep& step) -> void {
  if (!UpdateMember(ownership, message, now)) {
    return;
  }
  AddQuarantined(ownership, message.m_quarantined, step);
  if (message.m_table_version > ownership.m_table->m_version) {
    StartRead(ownership, now, step);
  }
  step.m_effects.emplace_back(SendPeer{
      message.m_from.m_host,
      MakeDigest(ownership, message.m_table_version, message.m_updates_seen)});
}

/// A host that suspects its lead, or knows no table, sends heartbeats to other
/// hosts too; they reply with the table but without the lead's updates.
auto HandleHeartbeatAsFollower(const Ownership& ownership,
                               const Heartbeat& message,
                               OwnershipStep& step) -> void {
  if (!ownership.m_table) {
    return;
  }
  auto digest = MakeDigest(ownership, message.m_table_version, 0);
  step.m_effects.emplace_back(
      SendPeer{message.m_from.m_host, std::move(digest)});
}

/// Replies to a host of another domain whose table is missing or older with the
/// table of its domain, if known here.
auto HandleForeignHeartbeat(const Ownership& ownership,
                            const Heartbeat& message,
                            OwnershipStep& step) -> void {
  const auto found = ownership.m_remote.find(message.m_domain);
  if (found == ownership.m_remote.end() ||
      found->second.m_table.m_version <= message.m_table_version) {
    return;
  }
  DomainDigest digest{.m_from = ownership.m_options.m_self,
                      .m_remote_tables = {found->second.m_table},
                      .m_lead_heard = false};
  step.m_effects.emplace_back(
      SendPeer{message.m_from.m_host, std::move(digest)});
}

auto FindOldTable(const Ownership& ownership, ResourceVersion version)
    -> const DomainTable* {
  const auto& tables = ownership.m_old_tables;
  const auto found = std::find_if(
      tables.begin(), tables.end(),
      [version](const auto& table) { return table.m_version == version; });
  return found == tables.end() ? nullptr : &*found;
}

auto Same(const PoolAssignment& left, const PoolAssignment& right) -> bool {
  return left.m_term == right.m_term && left.m_primary == right.m_primary &&
         left.m_holder == right.m_holder;
}

auto Same(const MemberRecord& left, const MemberRecord& right) -> bool {
  return left.m_incarnation == right.m_incarnation &&
         left.m_addresses.m_peer == right.m_addresses.m_peer &&
         left.m_addresses.m_http == right.m_addresses.m_http;
}

/// Removes from @p target the entries that are the same in @p base, and adds
/// the keys that only @p base has to @p removed.
template <typename Map, typename Key>
auto Subtract(Map& target, const Map& base, std::vector<Key>& removed) -> void {
  for (const auto& [key, value] : base) {
    const auto found = target.find(key);
    if (found == target.end()) {
      removed.push_back(key);
    } else if (Same(found->second, value)) {
      target.erase(found);
    }
  }
}

auto AddTable(DomainDigest& digest,
              const Ownership& ownership,
              ResourceVersion seen) -> void {
  digest.m_table_version = ownership.m_table->m_version;
  if (seen >= digest.m_table_version) {
    return;
  }
  digest.m_table = ownership.m_table;
  const auto* base = FindOldTable(ownership, seen);
  if (base == nullptr) {
    return;
  }
  digest.m_table_base = seen;
  Subtract(digest.m_table->m_pools, base->m_pools, digest.m_removed_pools);
  Subtract(digest.m_table->m_members, base->m_members,
           digest.m_removed_members);
}

auto AddUpdates(DomainDigest& digest,
                const Ownership& ownership,
                std::int64_t seen) -> void {
  digest.m_update_number = ownership.m_update_number;
  digest.m_all_members = seen == 0;
  for (const auto& [id, member] : ownership.m_members) {
    if (member.m_update_number > seen) {
      digest.m_members.push_back(member.m_info);
    }
  }
  for (const auto& [domain, remote] : ownership.m_remote) {
    if (remote.m_update_number > seen) {
      digest.m_remote_tables.push_back(remote.m_table);
    }
  }
  for (const auto& [content, changed] : ownership.m_quarantined) {
    if (changed > seen) {
      digest.m_quarantined.push_back(content);
    }
  }
  for (const auto& [endpoint, listed] : ownership.m_endpoints) {
    if (listed.m_update_number > seen) {
      auto& list = listed.m_leaving ? digest.m_leaving_endpoints
                                    : digest.m_staying_endpoints;
      list.push_back(endpoint);
    }
  }
  digest.m_unconfirmed.assign(ownership.m_unconfirmed.begin(),
                              ownership.m_unconfirmed.end());
}

/// Returns the whole table of a digest, or nothing when the digest has none or
/// the base of its difference is not the table known here.
auto TableFrom(const Ownership& ownership, const DomainDigest& message)
    -> std::optional<DomainTable> {
  if (!message.m_table || !message.m_table_base) {
    return message.m_table;
  }
  const auto& have = ownership.m_table;
  if (!have || have->m_version != *message.m_table_base) {
    return std::nullopt;
  }
  auto table = *message.m_table;
  table.m_pools.insert(have->m_pools.begin(), have->m_pools.end());
  table.m_members.insert(have->m_members.begin(), have->m_members.end());
  for (const auto& pool : message.m_removed_pools) {
    table.m_pools.erase(pool);
  }
  for (const auto& host : message.m_removed_members) {
    table.m_members.erase(host);
  }
  return table;
}

auto ApplyMembers(Ownership& ownership, const DomainDigest& message) -> void {
  if (message.m_all_members) {
    ownership.m_members.clear();
  }
  for (const auto& info : message.m_members) {
    ownership.m_members[info.m_host.m_host].m_info = info;
  }
}

auto ApplyLeadUpdates(Ownership& ownership,
                      const DomainDigest& message,
                      TimePoint now,
                      OwnershipStep& step) -> void {
  ownership.m_lead.m_last_heard = now;
  ownership.m_lead.m_suspected = false;
  SetPlatformReachable(ownership, message.m_platform_reachable, now, step);
  if (message.m_platform_reachable) {
    ownership.m_lead.m_probed_at.reset();
  }
  // Ignores a digest that arrives after a newer one from the same lead.
  if (message.m_from == ownership.m_updates_from &&
      message.m_update_number < ownership.m_updates_seen) {
    return;
  }
  ApplyMembers(ownership, message);
  ownership.m_updates_from = message.m_from;
  ownership.m_updates_seen = message.m_update_number;
  ownership.m_unconfirmed = {message.m_unconfirmed.begin(),
                             message.m_unconfirmed.end()};
  for (const auto& content : message.m_quarantined) {
    ownership.m_announced.m_quarantined.erase(content);
  }
  for (const auto& endpoint : message.m_leaving_endpoints) {
    ApplyEndpointListing(ownership, {endpoint, true}, step);
  }
  for (const auto& endpoint : message.m_staying_endpoints) {
    ApplyEndpointListing(ownership, {endpoint, false}, step);
  }
}

/// Postpones the takeover by two heartbeat intervals: another host still
/// receives digests from the lead, so only the link to this host has failed.
auto DelayTakeover(Ownership& ownership, TimePoint now) -> void {
  const auto until = now + ownership.m_options.m_heartbeat_interval * 2;
  ownership.m_lead.m_takeover_at =
      std::max(ownership.m_lead.m_takeover_at, until);
}

}  // namespace

auto MakeHeartbeat(const Ownership& ownership) -> Heartbeat {
  const auto& options = ownership.m_options;
  const auto& announced = ownership.m_announced;
  Heartbeat heartbeat{.m_from = options.m_self,
                      .m_domain = options.m_domain,
                      .m_addresses = options.m_addresses,
                      .m_generation = announced.m_generation,
                      .m_has_disk = options.m_has_disk,
                      .m_draining = IsLeaving(ownership),
                      .m_quarantined = {announced.m_quarantined.begin(),
                                        announced.m_quarantined.end()},
                      .m_headroom = announced.m_headroom,
                      .m_unconfirmed = announced.m_unconfirmed,
                      .m_pinned = announced.m_pinned};
  if (!ownership.m_table) {
    return heartbeat;
  }
  const auto& table = *ownership.m_table;
  heartbeat.m_table_version = table.m_version;
  if (ownership.m_updates_from == table.m_lead) {
    heartbeat.m_updates_seen = ownership.m_updates_seen;
  }
  const auto record = table.m_members.find(options.m_self.m_host);
  if (record != table.m_members.end() &&
      record->second.m_incarnation == options.m_self.m_incarnation) {
    heartbeat.m_addresses = {};
  }
  return heartbeat;
}

auto MakeDigest(const Ownership& ownership,
                ResourceVersion table_seen,
                std::int64_t updates_seen) -> DomainDigest {
  const auto self_leads = IsSelfLead(ownership);
  DomainDigest digest{
      .m_from = ownership.m_options.m_self,
      .m_generation = ownership.m_announced.m_generation,
      .m_lead_heard = self_leads || !ownership.m_lead.m_suspected,
      .m_platform_reachable = ownership.m_platform.m_reachable};
  AddTable(digest, ownership, table_seen);
  if (self_leads) {
    AddUpdates(digest, ownership, updates_seen);
  }
  return digest;
}

auto PushDigests(Ownership& ownership, OwnershipStep& step) -> void {
  const auto& self = ownership.m_options.m_self.m_host;
  for (const auto& [host, member] : ownership.m_members) {
    if (host != self && member.m_info.m_alive) {
      step.m_effects.emplace_back(
          SendPeer{host, MakeDigest(ownership, member.m_table_version,
                                    member.m_updates_seen)});
    }
  }
}

auto ApplyEndpointListing(Ownership& ownership,
                          const EndpointListingChanged& listed,
                          OwnershipStep& step) -> void {
  const auto found = ownership.m_endpoints.find(listed.m_endpoint);
  const auto known =
      found != ownership.m_endpoints.end() && found->second.m_leaving;
  const auto full = found == ownership.m_endpoints.end() &&
                    ownership.m_endpoints.size() >= kMaxListedEndpoints;
  if (known == listed.m_leaving || full) {
    return;
  }
  ownership.m_endpoints[listed.m_endpoint] = {listed.m_leaving,
                                              NextUpdateNumber(ownership)};
  step.m_endpoints.push_back(listed);
}

auto RecordQuarantined(Ownership& ownership, const Digest& content) -> void {
  auto& known = ownership.m_quarantined;
  known[content] = NextUpdateNumber(ownership);
  if (known.size() > kMaxQuarantined) {
    known.erase(std::min_element(known.begin(), known.end(),
                                 [](const auto& left, const auto& right) {
                                   return left.second < right.second;
                                 }));
  }
}

auto AddQuarantined(Ownership& ownership,
                    const std::vector<Digest>& contents,
                    OwnershipStep& step) -> void {
  for (const auto& content : contents) {
    if (!ownership.m_quarantined.contains(content)) {
      RecordQuarantined(ownership, content);
      step.m_quarantined.push_back(content);
    }
  }
}

}  // namespace pvt

auto OnHeartbeat(Ownership& ownership, const Heartbeat& message, TimePoint now)
    -> OwnershipStep {
  OwnershipStep step;
  pvt::RecordSender(ownership, message);
  if (message.m_domain != ownership.m_options.m_domain) {
    pvt::HandleForeignHeartbeat(ownership, message, step);
  } else if (message.m_from.m_host == ownership.m_options.m_self.m_host) {
    return step;
  } else if (pvt::IsSelfLead(ownership)) {
    pvt::HandleHeartbeatAsLead(ownership, message, now, step);
  } else {
    pvt::HandleHeartbeatAsFollower(ownership, message, step);
  }
  return step;
}

auto OnDigest(Ownership& ownership, const DomainDigest& message, TimePoint now)
    -> OwnershipStep {
  OwnershipStep step;
  const auto table = pvt::TableFrom(ownership, message);
  if (table && table->m_domain == ownership.m_options.m_domain) {
    pvt::AdoptTable(ownership, *table, now, step);
  }
  for (const auto& remote : message.m_remote_tables) {
    if (remote.m_domain == ownership.m_options.m_domain) {
      pvt::AdoptTable(ownership, remote, now, step);
    } else {
      pvt::AdoptRemoteTable(ownership, remote);
    }
  }
  pvt::AddQuarantined(ownership, message.m_quarantined, step);
  const auto self_leads = pvt::IsSelfLead(ownership);
  if (ownership.m_table && !self_leads &&
      message.m_from == ownership.m_table->m_lead) {
    pvt::ApplyLeadUpdates(ownership, message, now, step);
  } else if (!self_leads && message.m_lead_heard) {
    pvt::DelayTakeover(ownership, now);
  }
  return step;
}

}  // namespace dotterelshed
