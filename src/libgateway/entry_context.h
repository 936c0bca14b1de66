#ifndef DOTTERELSHED_ENTRY_CONTEXT_H_
#define DOTTERELSHED_ENTRY_CONTEXT_H_

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
#include "dotterelshed/route_table.h"
#include "entry_settings.h"
#include "lead_messages.h"
#include "object_watcher.h"
#include "platform/object_store.h"

/// @file
/// What the parts of one host share. One thread runs the event loop, and only
/// it touches this.

namespace dotterelshed {

/// An attempt of a request under which endpoints have ended before.
struct SuspectAttempt {
  EndpointId m_endpoint;
  int m_crash_count = 0;
  // NOLINTNEXTLINE(modernize-use-nullptr): clang-tidy 14 misreads <=>.
  auto operator<=>(const SuspectAttempt&) const = default;
};

struct EntryContext {
  EventLoop& m_loop;
  EntrySettings m_settings;
  /// Differs for each start of the process.
  Incarnation m_incarnation;
  ObjectStore m_store;
  /// Newest configuration; empty until one has arrived.
  std::shared_ptr<const RouteTable> m_routes;
  EndpointDirectory m_directory;
  /// Keeps the directory up to date.
  std::shared_ptr<ObjectWatcher> m_endpoint_watcher;
  /// This host's own attempts.
  EndpointLoads m_loads;
  /// Requests under which endpoints ended, as all hosts have seen.
  CrashLedger m_crash_ledger;
  std::multiset<SuspectAttempt> m_suspect_attempts;
  ConnectionPool m_endpoint_connections;
  ConnectionPool m_peer_connections;
  std::map<DomainId, KnownLead> m_leads;
  /// True while this host's calls to the store succeed.
  bool m_store_reachable = true;
  std::mt19937_64 m_random;

  /// The lead of a domain, if one is known.
  auto LeadOf(const DomainId& domain) const -> std::optional<KnownLead> {
    const auto found = m_leads.find(domain);
    return found == m_leads.end() ? std::nullopt : std::optional(found->second);
  }

  /// True when no other lead of the domain is known than @p lead.
  auto IsCurrentLead(const DomainId& domain,
                     const std::optional<KnownLead>& lead) const -> bool {
    const auto known = LeadOf(domain);
    return known.has_value() == lead.has_value() &&
           (!known || known->m_version == lead->m_version);
  }

  /// Takes a lead that the store or another host names. Returns false when it
  /// is older than what is known.
  auto UpdateLead(const KnownLead& lead) -> bool {
    const auto known = LeadOf(lead.m_domain);
    if (known && known->m_version >= lead.m_version) {
      return false;
    }
    m_leads[lead.m_domain] = lead;
    return true;
  }

  /// The lead of this host's domain reads the store for the other hosts there.
  auto MakeViewReader() -> ViewReader {
    return {
        .m_peers = m_peer_connections, .m_address = [this]() -> std::string {
          const auto lead = LeadOf(m_settings.m_domain);
          const auto other = lead && lead->m_entry.m_host != m_settings.m_host;
          return other ? lead->m_entry.m_peer_address : std::string();
        }};
  }

  /// Uniform in [0, 1).
  auto RandomFraction() -> double {
    return std::uniform_real_distribution<double>()(m_random);
  }
};

}  // namespace dotterelshed

#endif  // DOTTERELSHED_ENTRY_CONTEXT_H_
