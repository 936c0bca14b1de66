#ifndef DOTTERELSHED_ENTRY_HOST_H_
#define DOTTERELSHED_ENTRY_HOST_H_

#include <memory>
#include <string>
#include <unordered_set>

#include "call_exchange.h"
#include "crash_ledger_sync.h"
#include "dotterelshed/http_listener.h"
#include "endpoint_view.h"
#include "entry_context.h"
#include "grant_client.h"
#include "lead_election.h"
#include "lead_service.h"
#include "object_watcher.h"

/// @file
/// One entry host: listens for callers, for the balancer's readiness questions
/// and for other hosts, follows the platform's store, and stops gracefully.

namespace dotterelshed {

class EntryHost {
 public:
  EntryHost(EventLoop& loop, const EntrySettings& settings);

  /// Errors: kUnavailable when an address can't be bound.
  auto Start() -> Status;
  /// True when it may take callers' requests.
  auto ready() const -> bool;
  /// True when it leads its failure domain.
  auto leads() const -> bool { return m_lead.active(); }
  auto caller_address() const -> TcpAddress {
    return m_callers.local_address();
  }
  /// Begins a planned stop; the loop ends when it is over.
  auto Stop() -> void;

 private:
  auto MakeWatchers() -> void;
  auto OnCallerRequest(const std::shared_ptr<ServerConnection>& connection,
                       IncomingRequest request) -> void;
  auto OnReadinessRequest(const std::shared_ptr<ServerConnection>& connection,
                          const IncomingRequest& request) -> void;
  auto OnPeerRequest(const std::shared_ptr<ServerConnection>& connection,
                     const IncomingRequest& request) -> void;
  /// The follower of a kind that hosts may ask each other for.
  auto WatcherFor(ObjectKind kind) -> ObjectWatcher&;
  auto OnViewRequest(const std::shared_ptr<ServerConnection>& connection,
                     const ViewRequest& question) -> void;
  auto OnYieldRequest(const std::shared_ptr<ServerConnection>& connection,
                      const KnownLead& lead) -> void;
  /// Sets the metrics that are read off the host's state: how old its views of
  /// the store are, and how many requests it suspects.
  auto UpdateStateMetrics() const -> void;
  auto Refuse(const std::shared_ptr<ServerConnection>& connection,
              const IncomingRequest& request,
              int status,
              std::string_view reason) -> void;

  auto ApplyConfig(const StoredObject& object) -> void;
  auto ApplyLimits() -> void;

  auto Tick() -> void;
  auto ContinueStop(TimePoint now) -> void;
  auto ArmTick() -> void;

  EntryContext m_context;
  EndpointView m_endpoint_view;
  LeadService m_lead;
  LeadElection m_election;
  GrantClient m_grants;
  CrashLedgerSync m_crash_ledger_sync;
  HttpListener m_callers;
  HttpListener m_readiness;
  HttpListener m_peers;
  std::shared_ptr<ObjectWatcher> m_config_watcher;
  std::shared_ptr<ObjectWatcher> m_lead_watcher;
  std::unordered_set<std::shared_ptr<CallExchange>> m_exchanges;
  boost::asio::steady_timer m_tick_timer;
  TimePoint m_stop_started_at;
  TimePoint m_last_flush;
  TimePoint m_last_crash_sweep;
  bool m_stopping = false;
};

}  // namespace dotterelshed

#endif  // DOTTERELSHED_ENTRY_HOST_H_
