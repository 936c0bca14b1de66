#include <algorithm>
#include <nlohmann/json.hpp>

#include "ownership/ownership_state.h"

/// @file
/// Read-only queries and the JSON dump of ownership.

namespace dotterelshed {

namespace {

using Json = nlohmann::json;

auto ToJson(const HostRef& host) -> Json {
  return {{"host", host.m_host.value()},
          {"incarnation", host.m_incarnation.value()}};
}

auto ToJson(const DomainTable& table) -> Json {
  auto pools = Json::object();
  for (const auto& [id, pool] : table.m_pools) {
    pools[id.value()] = {{"term", pool.m_term.value()},
                         {"primary", ToJson(pool.m_primary)},
                         {"holder", ToJson(pool.m_holder)}};
  }
  auto members = Json::object();
  for (const auto& [id, record] : table.m_members) {
    members[id.value()] = {{"incarnation", record.m_incarnation.value()},
                           {"peer", record.m_addresses.m_peer},
                           {"http", record.m_addresses.m_http}};
  }
  return {{"version", table.m_version.value()},
          {"lead", ToJson(table.m_lead)},
          {"lead_term", table.m_lead_term.value()},
          {"generation", table.m_generation.value()},
          {"pools", pools},
          {"members", members}};
}

auto MembersToJson(const Ownership& ownership) -> Json {
  auto members = Json::object();
  for (const auto& [id, member] : ownership.m_members) {
    const auto& info = member.m_info;
    members[id.value()] = {{"incarnation", info.m_host.m_incarnation.value()},
                           {"alive", info.m_alive},
                           {"draining", info.m_draining},
                           {"has_disk", info.m_has_disk},
                           {"generation", info.m_generation.value()}};
  }
  return members;
}

auto FindTable(const Ownership& ownership, const DomainId& domain)
    -> const DomainTable* {
  if (domain == ownership.m_options.m_domain) {
    return ownership.m_table ? &*ownership.m_table : nullptr;
  }
  const auto found = ownership.m_remote.find(domain);
  return found == ownership.m_remote.end() ? nullptr : &found->second.m_table;
}

auto FindIn(const DomainTable& table, const HostId& host) -> MemberRecord {
  const auto found = table.m_members.find(host);
  return found == table.m_members.end() ? MemberRecord{} : found->second;
}

/// Replaces @p newest by @p other if that is of a later incarnation. Records
/// without addresses are ignored.
auto ReplaceIfNewer(MemberRecord& newest, const MemberRecord& other) -> void {
  if (other.m_addresses.m_peer.empty()) {
    return;
  }
  if (newest.m_addresses.m_peer.empty() ||
      other.m_incarnation > newest.m_incarnation) {
    newest = other;
  }
}

}  // namespace

auto FindPool(const Ownership& ownership, const PoolId& pool)
    -> const PoolAssignment* {
  if (ownership.m_table) {
    const auto found = ownership.m_table->m_pools.find(pool);
    if (found != ownership.m_table->m_pools.end()) {
      return &found->second;
    }
  }
  for (const auto& [domain, remote] : ownership.m_remote) {
    const auto found = remote.m_table.m_pools.find(pool);
    if (found != remote.m_table.m_pools.end()) {
      return &found->second;
    }
  }
  return nullptr;
}

auto FencingNumber(const Ownership& ownership) -> Term {
  return ownership.m_table ? ownership.m_table->m_highest_term : Term();
}

auto PoolsOf(const Ownership& ownership, const DomainId& domain)
    -> std::vector<PoolId> {
  std::vector<PoolId> pools;
  const auto* table = FindTable(ownership, domain);
  if (table == nullptr) {
    return pools;
  }
  for (const auto& [id, pool] : table->m_pools) {
    pools.push_back(id);
  }
  // The ids differ only in their numbers, of which shorter ones are smaller.
  std::stable_sort(pools.begin(), pools.end(),
                   [](const PoolId& left, const PoolId& right) {
                     return left.value().size() < right.value().size();
                   });
  return pools;
}

auto PoolEndpoints(const Ownership& ownership,
                   const PoolId& pool,
                   const ServiceId& service) -> std::vector<EndpointConfig> {
  const auto found = ownership.m_partition.find({pool, service});
  return found == ownership.m_partition.end() ? std::vector<EndpointConfig>{}
                                              : found->second;
}

auto ListedLeaving(const Ownership& ownership) -> std::vector<EndpointId> {
  std::vector<EndpointId> endpoints;
  for (const auto& [endpoint, listed] : ownership.m_endpoints) {
    if (listed.m_leaving) {
      endpoints.push_back(endpoint);
    }
  }
  return endpoints;
}

auto FindAddresses(const Ownership& ownership, const HostId& host)
    -> std::optional<HostAddresses> {
  if (host == ownership.m_options.m_self.m_host) {
    return ownership.m_options.m_addresses;
  }
  // The tables still record the earlier incarnation of a host that restarted
  // while the platform is down, so the host's own messages are newer.
  MemberRecord newest;
  const auto member = ownership.m_members.find(host);
  if (member != ownership.m_members.end()) {
    const auto& info = member->second.m_info;
    newest = {info.m_host.m_incarnation, info.m_addresses};
  }
  const auto sender = ownership.m_recent_senders.find(host);
  if (sender != ownership.m_recent_senders.end()) {
    ReplaceIfNewer(newest, sender->second);
  }
  if (ownership.m_table) {
    ReplaceIfNewer(newest, FindIn(*ownership.m_table, host));
  }
  for (const auto& [domain, remote] : ownership.m_remote) {
    ReplaceIfNewer(newest, FindIn(remote.m_table, host));
  }
  if (newest.m_addresses.m_peer.empty()) {
    return std::nullopt;
  }
  return newest.m_addresses;
}

auto LiveMembers(const Ownership& ownership, TimePoint /*now*/)
    -> std::vector<MemberInfo> {
  const auto& options = ownership.m_options;
  std::vector<MemberInfo> live;
  live.push_back({.m_host = options.m_self,
                  .m_addresses = options.m_addresses,
                  .m_alive = true,
                  .m_draining = pvt::IsLeaving(ownership),
                  .m_has_disk = options.m_has_disk,
                  .m_generation = ownership.m_announced.m_generation,
                  .m_headroom = ownership.m_announced.m_headroom});
  for (const auto& [id, member] : ownership.m_members) {
    const auto suspected = ownership.m_lead.m_suspected && ownership.m_table &&
                           ownership.m_table->m_lead.m_host == id;
    if (id != options.m_self.m_host && member.m_info.m_alive && !suspected) {
      live.push_back(member.m_info);
    }
  }
  return live;
}

auto IsLead(const Ownership& ownership) -> bool {
  return pvt::IsSelfLead(ownership);
}

auto SeedHeartbeat(const Ownership& ownership) -> std::optional<Heartbeat> {
  if (ownership.m_table) {
    return std::nullopt;
  }
  return pvt::MakeHeartbeat(ownership);
}

auto PlatformReachable(const Ownership& ownership) -> bool {
  return ownership.m_platform.m_reachable;
}

auto DumpOwnership(const Ownership& ownership, TimePoint /*now*/)
    -> std::string {
  Json json{{"state", pvt::ToString(ownership.m_state)},
            {"domain", ownership.m_options.m_domain.value()},
            {"self", ToJson(ownership.m_options.m_self)},
            {"platform_reachable", ownership.m_platform.m_reachable},
            {"lead_suspected", ownership.m_lead.m_suspected},
            {"members", MembersToJson(ownership)}};
  if (ownership.m_table) {
    json["table"] = ToJson(*ownership.m_table);
  }
  json["remote_tables"] = Json::object();
  for (const auto& [domain, remote] : ownership.m_remote) {
    json["remote_tables"][domain.value()] = ToJson(remote.m_table);
  }
  json["quarantined"] = Json::array();
  for (const auto& [content, changed] : ownership.m_quarantined) {
    json["quarantined"].push_back(content.value());
  }
  json["unconfirmed_copies"] = Json::array();
  for (const auto& pool : ownership.m_unconfirmed) {
    json["unconfirmed_copies"].push_back(pool.value());
  }
  json["leaving_by_list"] = Json::array();
  for (const auto& host : ownership.m_listed_leaving) {
    json["leaving_by_list"].push_back(host.value());
  }
  return json.dump();
}

}  // namespace dotterelshed
