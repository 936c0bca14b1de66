#ifndef DOTTERELSHED_DOTTERELCTL_STATUS_REPORT_H_
#define DOTTERELSHED_DOTTERELCTL_STATUS_REPORT_H_

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "desk_store.h"
#include "dotterelshed/ids.h"
#include "dotterelshed/units.h"

/// @file
/// What holds in a desk and what does not, put together from the platform and
/// from what hosts say. Building the report does no I/O.

namespace dotterelshed::ctl {

/// One pool as a host with a role in it sees it.
struct HostPool {
  std::string m_role;
  /// Whether a copy holder has confirmed everything.
  bool m_copied = true;
  std::int64_t m_programs = 0;
  std::int64_t m_open_calls = 0;
};

/// Whether the host is the primary of this pool.
auto IsPrimary(const HostPool& pool) -> bool;

/// One endpoint as the host that schedules it sees it.
struct HostEndpoint {
  std::string m_state;
  bool m_leaving = false;
  std::int64_t m_running = 0;
  std::int64_t m_limit = 0;
};

/// One host's answer to GET /admin/status, or why there is none.
struct HostView {
  std::string m_name;
  std::string m_domain;
  std::string m_address;
  /// Set when the host did not answer or its answer could not be read.
  std::string m_error;
  Generation m_generation;
  bool m_draining = false;
  bool m_platform_reachable = true;
  std::int64_t m_open_requests = 0;
  std::map<std::string, HostPool> m_pools;
  std::map<std::string, HostEndpoint> m_endpoints;
  std::vector<std::string> m_quarantined;
  /// Domain tables that the host knows, for when the platform is away.
  std::vector<DomainTable> m_tables;
};

/// Reads the body of GET /admin/status. Never fails: what is missing keeps its
/// default, and a body that is no JSON sets m_error.
auto ParseHostView(const std::string& address, const std::string& body)
    -> HostView;

/// What could be read from the platform.
struct PlatformView {
  /// Set when the platform did not answer.
  std::string m_error;
  StoredDesk m_desk;
  std::vector<DomainStatus> m_statuses;
  std::vector<DomainTable> m_tables;
  std::vector<ClaimRecord> m_open_claims;
  std::vector<std::string> m_leaving_hosts;
  std::vector<std::string> m_leaving_endpoints;
};

struct StatusReport {
  PlatformView m_platform;
  std::vector<HostView> m_hosts;
  /// Domains of the accepted text.
  std::vector<DomainId> m_domains;
  /// Claims that no running call can finish any more.
  std::vector<ClaimRecord> m_unknown;
  /// What does not hold, each as one sentence for people.
  std::vector<std::string> m_problems;
};

/// Puts the views together. @p wall_clock_s is compared with claims' times.
auto BuildStatusReport(PlatformView platform,
                       std::vector<HostView> hosts,
                       std::int64_t wall_clock_s) -> StatusReport;

/// Age after which a claim without result can't belong to a running call: the
/// longest timeout of the services whose calls run at most once, and a margin.
auto UnknownAfter(const StoredDesk& desk) -> Duration;

}  // namespace dotterelshed::ctl

#endif  // DOTTERELSHED_DOTTERELCTL_STATUS_REPORT_H_
