#ifndef DOTTERELSHED_ENTRY_CONTEXT_H_
#define DOTTERELSHED_ENTRY_CONTEXT_H_

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>

#include "connection_pool.h"
#include "dotterelshed/byte_stream.h"
#include "dotterelshed/crash_ledger.h"
#include "dotterelshed/endpoint_choice.h"
#include "dotterelshed/endpoint_directory.h"
#include "dotterelshed/endpoint_limits.h"
#include "dotterelshed/endpoint_link.h"
#include "dotterelshed/host_judgement.h"
#include "dotterelshed/route_table.h"
#include "dotterelshed/steady_time.h"
#include "entry_settings.h"
#include "lead/lead_messages.h"
#include "platform/object_store.h"
#include "relay/relay_directory.h"
#include "view/object_watcher.h"

/// @file
/// State shared by the components of one host. Only the event loop's single
/// thread accesses it.

namespace dotterelshed {

/// Running attempt of a request under which endpoints have crashed before.
struct SuspectAttempt {
  EndpointId m_endpoint;
  int m_crash_count = 0;
  // NOLINTNEXTLINE(modernize-use-nullptr): clang-tidy 14 misreads <=>.
  auto operator<=>(const SuspectAttempt&) const = default;
};

struct EntryContext {
  EventLoop& m_loop;
  EntrySettings m_settings;
  /// Random number of this start of the process.
  Incarnation m_incarnation;
  ObjectStore m_store;
  /// Newest configuration; empty until one has been received.
  std::shared_ptr<const RouteTable> m_routes;
  /// Accounts of m_routes that have a label of their own in metrics.
  std::set<AccountId> m_labelled_accounts;
  /// Watches the store for a newer configuration.
  std::shared_ptr<ObjectWatcher> m_config_watcher;
  EndpointDirectory m_directory;
  /// Watches the store for changes of m_directory.
  std::shared_ptr<ObjectWatcher> m_endpoint_watcher;
  /// Called when an endpoint says in an answer that it is leaving.
  std::function<void(const EndpointId&)> m_on_leave_announced;
  /// Brings m_directory up to date with the store: calls @p done when it is, or
  /// after EndpointView::kMaxListingWait.
  std::function<void(std::function<void()> done)> m_refresh_endpoints;
  /// Load of the endpoints as seen by this host's own attempts.
  EndpointLoads m_loads;
  /// Which endpoints are out of use.
  HostJudgement m_judgement;
  /// Limits that endpoints stated, and those that were withdrawn.
  LimitStatements m_limits;
  /// Number of changes of m_limits so far, and of the lead's as it last said.
  std::int64_t m_limit_changes = 0;
  std::int64_t m_lead_limit_changes = 0;
  /// Requests under which endpoints crashed, as observed by all hosts.
  CrashLedger m_crash_ledger;
  std::multiset<SuspectAttempt> m_suspect_attempts;
  /// Endpoints that are being checked for whether they have ended.
  std::set<EndpointId> m_checked_for_end;
  ConnectionPool m_endpoint_connections;
  /// Whether this host reaches endpoints by itself.
  EndpointLink m_endpoint_link;
  /// Passes a connection to an endpoint, through another host if need be; see
  /// RelayClient::Acquire.
  std::function<void(const EndpointId& endpoint,
                     const std::string& address,
                     Duration max_idle,
                     ConnectionPool::AcquireCallback on_acquired)>
      m_connect_endpoint;
  /// Returns true if no endpoint can be reached, not even through other hosts.
  std::function<bool()> m_cut_off;
  /// Hosts that pass other hosts' attempts on.
  RelayDirectory m_relay_directory;
  /// Returns true if this host is one of them.
  std::function<bool()> m_can_relay;
  /// Delay of the last tick of the event loop.
  Duration m_loop_delay{0};
  ConnectionPool m_peer_connections;
  std::map<DomainId, KnownLead> m_leads;
  /// Times at which m_leads learned of them.
  std::map<DomainId, TimePoint> m_leads_known_since;
  /// False from a failed read of the endpoints until the next successful one.
  bool m_store_reachable = true;
  /// Time of the first failed read; nothing while the endpoints can be read.
  std::optional<TimePoint> m_store_lost_at;
  /// End of the last outage; see IsOutage.
  std::optional<TimePoint> m_store_back_at;
  std::mt19937_64 m_random;

  /// Returns the lead of a domain, if one is known.
  auto LeadOf(const DomainId& domain) const -> std::optional<KnownLead> {
    const auto found = m_leads.find(domain);
    return found == m_leads.end() ? std::nullopt : std::optional(found->second);
  }

  /// Returns true if @p lead is the newest known lead of the domain, or if both
  /// are absent.
  auto IsCurrentLead(const DomainId& domain,
                     const std::optional<KnownLead>& lead) const -> bool {
    const auto known = LeadOf(domain);
    return known.has_value() == lead.has_value() &&
           (!known || known->m_version == lead->m_version);
  }

  /// Records a lead reported by the store or by another host. Returns false if
  /// a lead of the same or a higher version is known.
  auto UpdateLead(const KnownLead& lead) -> bool {
    const auto known = LeadOf(lead.m_domain);
    if (known && known->m_version >= lead.m_version) {
      return false;
    }
    m_leads[lead.m_domain] = lead;
    m_leads_known_since[lead.m_domain] = SteadyTime();
    return true;
  }

  /// Returns true in an outage of the store and for @p time afterwards.
  auto WasOutOfTouch(Duration time) const -> bool {
    const auto now = SteadyTime();
    return IsOutage(now) || (m_store_back_at && now - *m_store_back_at < time);
  }
  /// Returns true in an outage of the store that lasts for half of the time for
  /// which views may be used; shorter failures have many causes.
  auto IsOutage(TimePoint now) const -> bool {
    return m_store_lost_at &&
           now - *m_store_lost_at >= m_settings.m_view_max_age / 2;
  }

  /// Returns true if this host learned of the domain's lead within the last
  /// @p time.
  auto IsNewLead(const DomainId& domain, Duration time) const -> bool {
    const auto since = m_leads_known_since.find(domain);
    return since != m_leads_known_since.end() &&
           SteadyTime() - since->second < time;
  }

  /// Returns the source of this host's views: the lead of its domain, which
  /// reads the store for the other hosts of the domain.
  auto MakeViewReader() -> ViewReader {
    return {
        .m_peers = m_peer_connections, .m_address = [this]() -> std::string {
          const auto lead = LeadOf(m_settings.m_domain);
          const auto other = lead && lead->m_entry.m_host != m_settings.m_host;
          return other ? lead->m_entry.m_peer_address : std::string();
        }};
  }

  /// Returns a uniform random number in [0, 1).
  auto RandomFraction() -> double {
    return std::uniform_real_distribution<double>()(m_random);
  }
};

}  // namespace dotterelshed

#endif  // DOTTERELSHED_ENTRY_CONTEXT_H_
