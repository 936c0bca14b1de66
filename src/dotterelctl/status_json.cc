#include <nlohmann/json.hpp>

#include "status_print.h"

namespace dotterelshed::ctl {

namespace {

using Json = nlohmann::ordered_json;

auto DomainsJson(const StatusReport& report) -> Json {
  auto domains = Json::object();
  for (const auto& id : report.m_domains) {
    domains[id.value()] = {{"in_force", 0}, {"reported", false}};
  }
  for (const auto& status : report.m_platform.m_statuses) {
    auto& domain = domains[status.m_domain.value()];
    domain["in_force"] = status.m_in_force.value();
    domain["reported"] = true;
    domain["behind"] = Json::array();
    for (const auto& host : status.m_behind) {
      domain["behind"].push_back(host.value());
    }
  }
  for (const auto& table : report.m_platform.m_tables) {
    auto& domain = domains[table.m_domain.value()];
    domain["lead"] = table.m_lead.m_host.value();
    domain["lead_term"] = table.m_lead_term.value();
    domain["hosts"] = Json::array();
    for (const auto& [host, member] : table.m_members) {
      domain["hosts"].push_back(host.value());
    }
  }
  return domains;
}

auto PoolsJson(const StatusReport& report) -> Json {
  auto pools = Json::object();
  for (const auto& table : report.m_platform.m_tables) {
    for (const auto& [id, pool] : table.m_pools) {
      pools[id.value()] = {{"domain", table.m_domain.value()},
                           {"term", pool.m_term.value()},
                           {"primary", pool.m_primary.m_host.value()},
                           {"holder", pool.m_holder.m_host.value()}};
    }
  }
  return pools;
}

auto HostJson(const HostView& host) -> Json {
  Json json{{"host", host.m_name},
            {"domain", host.m_domain},
            {"address", host.m_address},
            {"answers", host.m_error.empty()},
            {"generation", host.m_generation.value()},
            {"draining", host.m_draining},
            {"platform_reachable", host.m_platform_reachable},
            {"open_requests", host.m_open_requests}};
  json["pools"] = Json::object();
  for (const auto& [id, pool] : host.m_pools) {
    json["pools"][id] = {{"role", pool.m_role},
                         {"copied", pool.m_copied},
                         {"programs", pool.m_programs},
                         {"open_calls", pool.m_open_calls}};
  }
  return json;
}

auto EndpointsJson(const StatusReport& report) -> Json {
  auto endpoints = Json::object();
  for (const auto& host : report.m_hosts) {
    for (const auto& [id, endpoint] : host.m_endpoints) {
      endpoints[id] = {{"state", endpoint.m_state},
                       {"leaving", endpoint.m_leaving},
                       {"running", endpoint.m_running},
                       {"limit", endpoint.m_limit}};
    }
  }
  return endpoints;
}

auto QuarantinedJson(const StatusReport& report) -> Json {
  std::set<std::string> digests;
  for (const auto& host : report.m_hosts) {
    digests.insert(host.m_quarantined.begin(), host.m_quarantined.end());
  }
  return digests;
}

}  // namespace

auto StatusJson(const StatusReport& report) -> std::string {
  Json json{
      {"holds", report.m_problems.empty()},
      {"problems", report.m_problems},
      {"generation", report.m_platform.m_desk.m_config.m_generation.value()},
      {"domains", DomainsJson(report)},
      {"pools", PoolsJson(report)},
      {"hosts", Json::array()},
      {"endpoints", EndpointsJson(report)},
      {"leaving_hosts", report.m_platform.m_leaving_hosts},
      {"leaving_endpoints", report.m_platform.m_leaving_endpoints},
      {"quarantined", QuarantinedJson(report)},
      {"unknown_actions", Json::array()}};
  for (const auto& host : report.m_hosts) {
    json["hosts"].push_back(HostJson(host));
  }
  for (const auto& claim : report.m_unknown) {
    json["unknown_actions"].push_back(claim.m_key.value());
  }
  return json.dump(2, ' ', false, Json::error_handler_t::replace);
}

}  // namespace dotterelshed::ctl
