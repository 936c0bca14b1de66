#include "status_report.h"

#include <algorithm>
#include <set>

#include "dotterelshed/config_text.h"

namespace dotterelshed::ctl {

namespace {

/// Time for the answer to be written after the call has timed out.
constexpr auto kResultMargin = std::chrono::seconds(30);

/// Adds what does not hold to a report.
class ProblemFinder {
 public:
  ProblemFinder(StatusReport& report, const std::set<DomainId>& domains)
      : m_report(report), m_domains(domains) {}

  auto Run() -> void {
    FindPlatformProblems();
    FindLaggingDomains();
    FindIdleDomains();
    FindPoolProblems();
    for (const auto& host : m_report.m_hosts) {
      FindHostProblems(host);
    }
    FindQuarantined();
    FindUnknownActions();
  }

 private:
  auto Report(const std::string& problem) -> void {
    m_report.m_problems.push_back(problem);
  }

  auto FindPlatformProblems() -> void {
    const auto& platform = m_report.m_platform;
    if (!platform.m_error.empty()) {
      Report("the platform can't be read: " + platform.m_error);
    } else if (platform.m_desk.m_config.m_generation == Generation(0)) {
      Report("no text was ever accepted; dotterelctl apply FILE");
    }
  }

  auto FindLaggingDomains() -> void {
    if (!m_report.m_platform.m_error.empty()) {
      return;
    }
    const auto& platform = m_report.m_platform;
    for (const auto& domain :
         FindLagging(m_domains, platform.m_statuses,
                     platform.m_desk.m_config.m_generation)) {
      Report(Describe(domain));
    }
  }

  /// Domains of the text whose table gives no pool to anybody.
  auto FindIdleDomains() -> void {
    for (const auto& domain : m_domains) {
      const auto& tables = m_report.m_platform.m_tables;
      const auto owned = std::any_of(
          tables.begin(), tables.end(), [&domain](const DomainTable& table) {
            return table.m_domain == domain && !table.m_pools.empty();
          });
      if (!owned) {
        Report("domain " + domain.value() + " has no pool with an owner");
      }
    }
  }

  auto FindPoolProblems() -> void {
    for (const auto& table : m_report.m_platform.m_tables) {
      for (const auto& [id, pool] : table.m_pools) {
        if (pool.m_primary.m_host.empty()) {
          Report("pool " + id.value() + " has no primary");
        } else if (pool.m_holder.m_host.empty()) {
          Report("pool " + id.value() + " has no copy holder");
        }
      }
    }
  }

  auto FindHostProblems(const HostView& host) -> void {
    const auto name = host.m_name.empty() ? host.m_address : host.m_name;
    if (!host.m_error.empty()) {
      Report("host " + name + ": " + host.m_error);
      return;
    }
    if (!host.m_platform_reachable) {
      Report("host " + name + " can't reach the platform");
    }
    for (const auto& [id, pool] : host.m_pools) {
      if (IsPrimary(pool) && !pool.m_copied) {
        Report("pool " + id + " has unconfirmed copies on host " + name);
      }
    }
    for (const auto& [id, endpoint] : host.m_endpoints) {
      FindEndpointProblems(id, endpoint);
    }
  }

  auto FindEndpointProblems(const std::string& id, const HostEndpoint& endpoint)
      -> void {
    if (endpoint.m_leaving) {
      Report("endpoint " + id + " is leaving");
    } else if (endpoint.m_state == "ejected" || endpoint.m_state == "probing") {
      Report("endpoint " + id + " is " + endpoint.m_state);
    }
  }

  auto FindQuarantined() -> void {
    std::set<std::string> digests;
    for (const auto& host : m_report.m_hosts) {
      digests.insert(host.m_quarantined.begin(), host.m_quarantined.end());
    }
    for (const auto& digest : digests) {
      Report("requests with content " + digest +
             " crashed endpoints and are refused");
    }
  }

  auto FindUnknownActions() -> void {
    for (const auto& claim : m_report.m_unknown) {
      Report("action " + claim.m_key.value() +
             " has an unknown outcome; look whether it ran");
    }
  }

  StatusReport& m_report;
  const std::set<DomainId>& m_domains;
};

/// Takes the newest tables that hosts know where the platform gave none.
auto TakeTablesFromHosts(StatusReport& report) -> void {
  if (!report.m_platform.m_tables.empty()) {
    return;
  }
  std::map<DomainId, DomainTable> newest;
  for (const auto& host : report.m_hosts) {
    for (const auto& table : host.m_tables) {
      auto& known = newest[table.m_domain];
      if (known.m_domain.empty() || known.m_lead_term <= table.m_lead_term) {
        known = table;
      }
    }
  }
  for (auto& [domain, table] : newest) {
    report.m_platform.m_tables.push_back(std::move(table));
  }
}

}  // namespace

auto IsPrimary(const HostPool& pool) -> bool {
  return pool.m_role == "primary";
}

auto UnknownAfter(const StoredDesk& desk) -> Duration {
  const auto check = CheckConfigText(desk.m_config.m_text, Generation(0));
  Duration longest{0};
  for (const auto& [id, service] : check.m_config.m_services) {
    if (!service.m_repeatable) {
      longest = std::max(longest, service.m_timeout);
    }
  }
  return longest + kResultMargin;
}

auto BuildStatusReport(PlatformView platform,
                       std::vector<HostView> hosts,
                       std::int64_t wall_clock_s) -> StatusReport {
  StatusReport report{.m_platform = std::move(platform),
                      .m_hosts = std::move(hosts)};
  const auto& desk = report.m_platform.m_desk;
  const auto check = CheckConfigText(desk.m_config.m_text, Generation(0));
  const auto domains = DomainsOf(check.m_config);
  report.m_domains.assign(domains.begin(), domains.end());
  const auto limit = UnknownAfter(desk);
  for (const auto& claim : report.m_platform.m_open_claims) {
    const auto age = wall_clock_s - claim.m_claimed_at_s;
    if (std::chrono::seconds(age) > limit) {
      report.m_unknown.push_back(claim);
    }
  }
  TakeTablesFromHosts(report);
  ProblemFinder(report, domains).Run();
  return report;
}

}  // namespace dotterelshed::ctl
