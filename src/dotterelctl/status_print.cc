#include "status_print.h"

#include <ostream>

#include "table.h"

namespace dotterelshed::ctl {

namespace {

auto HostCell(const HostRef& host) -> std::string {
  return host.m_host.empty() ? "-" : host.m_host.value();
}

auto FindStatus(const StatusReport& report, const DomainId& domain)
    -> const DomainStatus* {
  for (const auto& status : report.m_platform.m_statuses) {
    if (status.m_domain == domain) {
      return &status;
    }
  }
  return nullptr;
}

auto PrintProblems(const StatusReport& report, std::ostream& out) -> void {
  if (report.m_problems.empty()) {
    out << "everything holds\n";
    return;
  }
  out << "what does not hold:\n";
  for (const auto& problem : report.m_problems) {
    out << "  " << problem << "\n";
  }
}

auto PrintDomains(const StatusReport& report, std::ostream& out) -> void {
  Table table{.m_header = {"DOMAIN", "IN FORCE", "LEAD", "TERM", "HOSTS"}};
  for (const auto& domain : report.m_platform.m_tables) {
    const auto* status = FindStatus(report, domain.m_domain);
    table.m_rows.push_back(
        {domain.m_domain.value(),
         status == nullptr ? "-" : std::to_string(status->m_in_force.value()),
         HostCell(domain.m_lead), std::to_string(domain.m_lead_term.value()),
         std::to_string(domain.m_members.size())});
  }
  out << "\naccepted generation: "
      << report.m_platform.m_desk.m_config.m_generation << "\n";
  PrintTable(table, out);
}

auto PrintPools(const StatusReport& report, std::ostream& out) -> void {
  Table table{.m_header = {"POOL", "TERM", "PRIMARY", "COPY HOLDER"}};
  for (const auto& domain : report.m_platform.m_tables) {
    for (const auto& [id, pool] : domain.m_pools) {
      table.m_rows.push_back({id.value(), std::to_string(pool.m_term.value()),
                              HostCell(pool.m_primary),
                              HostCell(pool.m_holder)});
    }
  }
  out << "\n";
  PrintTable(table, out);
}

auto HostState(const HostView& host) -> std::string {
  if (!host.m_error.empty()) {
    return "no answer";
  }
  return host.m_draining ? "draining" : "serving";
}

auto PrintHosts(const StatusReport& report, std::ostream& out) -> void {
  Table table{.m_header = {"HOST", "DOMAIN", "ADDRESS", "STATE", "GENERATION",
                           "PRIMARY OF", "OPEN"}};
  for (const auto& host : report.m_hosts) {
    auto owned = 0;
    for (const auto& [id, pool] : host.m_pools) {
      owned += IsPrimary(pool) ? 1 : 0;
    }
    table.m_rows.push_back(
        {host.m_name.empty() ? "-" : host.m_name,
         host.m_domain.empty() ? "-" : host.m_domain, host.m_address,
         HostState(host), std::to_string(host.m_generation.value()),
         std::to_string(owned), std::to_string(host.m_open_requests)});
  }
  out << "\n";
  PrintTable(table, out);
}

/// Endpoints that get no work, or less than their share.
auto PrintEndpoints(const StatusReport& report, std::ostream& out) -> void {
  Table table{.m_header = {"ENDPOINT", "STATE", "RUNNING", "LIMIT"}};
  auto total = std::size_t{0};
  for (const auto& host : report.m_hosts) {
    total += host.m_endpoints.size();
    for (const auto& [id, endpoint] : host.m_endpoints) {
      if (endpoint.m_leaving || endpoint.m_state != "serving") {
        table.m_rows.push_back(
            {id, endpoint.m_leaving ? "leaving" : endpoint.m_state,
             std::to_string(endpoint.m_running),
             std::to_string(endpoint.m_limit)});
      }
    }
  }
  out << "\nendpoints: " << total
      << ", of which out of service: " << table.m_rows.size() << "\n";
  if (!table.m_rows.empty()) {
    PrintTable(table, out);
  }
}

}  // namespace

auto PrintStatus(const StatusReport& report, std::ostream& out) -> void {
  PrintProblems(report, out);
  PrintDomains(report, out);
  PrintPools(report, out);
  PrintHosts(report, out);
  PrintEndpoints(report, out);
  out << "\nactions without a result: "
      << report.m_platform.m_open_claims.size()
      << ", of which unknown: " << report.m_unknown.size() << "\n";
}

}  // namespace dotterelshed::ctl
