#ifndef DOTTERELSHED_ENTRY_HOST_H_
#define DOTTERELSHED_ENTRY_HOST_H_

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_set>

#include "call/call_exchange.h"
#include "crash/crash_ledger_sync.h"
#include "dotterelshed/http_listener.h"
#include "dotterelshed/steady_time.h"
#include "entry_context.h"
#include "history/history_client.h"
#include "lead/grant_client.h"
#include "lead/lead_election.h"
#include "lead/lead_service.h"
#include "limit/limit_client.h"
#include "peer_request_handler.h"
#include "quota/quota_client.h"
#include "quota/quota_service.h"
#include "relay/relay_client.h"
#include "relay/relay_service.h"
#include "stream/stream_origin_client.h"
#include "view/endpoint_view.h"
#include "view/object_watcher.h"

/// @file
/// Entry host: accepts client requests, the load balancer's readiness probes
/// and requests of other hosts, follows the platform's store, and shuts down
/// gracefully.

namespace dotterelshed {

class EntryHost {
 public:
  EntryHost(EventLoop& loop, const EntrySettings& settings);

  /// Errors: kUnavailable if an address cannot be bound.
  auto Start() -> Status;
  /// Returns true if the host can serve client requests.
  auto ready() const -> bool;
  /// Returns true if the host leads its failure domain.
  auto leads() const -> bool { return m_lead.active(); }
  /// Connections to endpoints, for tests.
  auto endpoint_connections() -> ConnectionPool& {
    return m_context.m_endpoint_connections;
  }
  auto caller_address() const -> TcpAddress {
    return m_callers.local_address();
  }
  /// Starts a graceful shutdown; the event loop stops when it is complete.
  auto Stop() -> void;

 private:
  auto MakeWatchers() -> void;
  /// Makes connections to endpoints go through other hosts if need be.
  auto ConnectRelays() -> void;
  auto OnCallerRequest(const std::shared_ptr<ServerConnection>& connection,
                       IncomingRequest request) -> void;
  auto OnReadinessRequest(const std::shared_ptr<ServerConnection>& connection,
                          const IncomingRequest& request) -> void;
  auto OnPeerRequest(const std::shared_ptr<ServerConnection>& connection,
                     const IncomingRequest& request) -> void;
  /// Returns the watcher of a kind that hosts may request from each other.
  auto WatcherFor(ObjectKind kind) -> ObjectWatcher&;
  /// Updates the metrics of the age of the store views and of the number of
  /// suspect requests.
  auto UpdateStateMetrics() const -> void;
  auto Refuse(const std::shared_ptr<ServerConnection>& connection,
              const IncomingRequest& request,
              int status,
              std::string_view reason,
              std::optional<Duration> retry_after) -> void;

  /// Starts to read configuration and endpoints, unless started before.
  auto StartViews() -> void;
  auto ApplyConfig(const StoredObject& object) -> void;
  auto ApplyLimits() -> void;

  auto Tick() -> void;
  /// Returns true if the process didn't run for a while before this tick. What
  /// has arrived meanwhile is handled before the next one, so that it isn't
  /// taken for silence.
  auto WasPaused(TimePoint now) -> bool;
  /// Periodic work of the host itself.
  auto TickHost(TimePoint now) -> void;
  auto ContinueStop(TimePoint now) -> void;
  /// Returns true if a stop has nothing left to wait for.
  /// @param since_stop  Time since SIGTERM.
  auto IsDrained(Duration since_stop) const -> bool;
  /// Logs and aborts what is still open, and stops the event loop.
  auto StopLoop() -> void;
  /// Time after SIGTERM for which new requests are still accepted.
  auto LameDuckTime() const -> Duration;
  /// Time after SIGTERM at which the process exits at the latest.
  auto ExitTime() const -> Duration;
  auto ForEachExchange(const std::function<void(CallExchange&)>& visit) -> void;
  auto ArmTick() -> void;

  EntryContext m_context;
  EndpointView m_endpoint_view;
  LeadService m_lead;
  LeadElection m_election;
  GrantClient m_grants;
  LimitClient m_limits;
  QuotaService m_quota_service;
  QuotaClient m_quotas;
  HistoryClient m_history;
  StreamOriginClient m_stream_origins;
  CrashLedgerSync m_crash_ledger_sync;
  RelayClient m_relay_client;
  RelayService m_relay_service;
  PeerRequestHandler m_peer_requests;
  HttpListener m_callers;
  HttpListener m_readiness;
  HttpListener m_peers;
  std::shared_ptr<ObjectWatcher> m_lead_watcher;
  std::unordered_set<std::shared_ptr<CallExchange>> m_exchanges;
  boost::asio::steady_timer m_tick_timer;
  TimePoint m_stop_started_at;
  TimePoint m_last_flush;
  TimePoint m_last_tick = SteadyTime();
  bool m_was_paused = false;
  TimePoint m_last_crash_sweep;
  bool m_views_started = false;
  bool m_stopping = false;
};

}  // namespace dotterelshed

#endif  // DOTTERELSHED_ENTRY_HOST_H_
