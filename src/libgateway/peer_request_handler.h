#ifndef DOTTERELSHED_PEER_REQUEST_HANDLER_H_
#define DOTTERELSHED_PEER_REQUEST_HANDLER_H_

#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "crash/crash_ledger_sync.h"
#include "dotterelshed/http_listener.h"
#include "entry_context.h"
#include "lead/lead_service.h"
#include "quota/quota_service.h"
#include "relay/relay_service.h"
#include "view/object_watcher.h"

/// @file
/// Handles the requests that hosts send to each other: grants and searches of
/// programs' accounts, quotas of client accounts, changes of a domain's lead,
/// views of the store and the crash ledger.

namespace dotterelshed {

class PeerRequestHandler {
 public:
  /// Returns the watcher of a kind that hosts may request from each other.
  using WatcherLookup = std::function<ObjectWatcher&(ObjectKind)>;

  PeerRequestHandler(EntryContext& context,
                     LeadService& lead,
                     QuotaService& quotas,
                     CrashLedgerSync& crash_ledger_sync,
                     RelayService& relays,
                     WatcherLookup watcher_for);

  /// Answers a request of another host: 404 for an unknown target, 400 for an
  /// invalid message.
  auto Handle(const std::shared_ptr<ServerConnection>& connection,
              const IncomingRequest& request) -> void;

 private:
  // Handlers by topic; they return false if the target is another one.

  /// Grants, settlements and searches of programs' accounts; permits for
  /// endpoints with limits.
  auto HandleAccountRequest(const std::shared_ptr<ServerConnection>& connection,
                            std::string_view target,
                            const std::string& body) -> bool;
  auto OnSettlements(const std::shared_ptr<ServerConnection>& connection,
                     const SettlementBatch& batch) -> void;
  /// Tokens of client accounts' quotas.
  auto HandleQuotaRequest(const std::shared_ptr<ServerConnection>& connection,
                          std::string_view target,
                          const std::string& body) -> bool;
  /// Changes of a domain's lead.
  auto HandleLeadRequest(const std::shared_ptr<ServerConnection>& connection,
                         std::string_view target,
                         const std::string& body) -> bool;
  /// Views of the store, and the crash ledger.
  auto HandleViewRequest(const std::shared_ptr<ServerConnection>& connection,
                         std::string_view target,
                         const std::string& body) -> bool;
  /// Attempts of hosts that reach no endpoint.
  auto HandleRelayRequest(const std::shared_ptr<ServerConnection>& connection,
                          const IncomingRequest& request) -> bool;
  auto OnViewRequest(const std::shared_ptr<ServerConnection>& connection,
                     const ViewRequest& request) -> void;
  auto OnYieldRequest(const std::shared_ptr<ServerConnection>& connection,
                      const KnownLead& lead) -> void;
  auto OnStepDownRequest(const std::shared_ptr<ServerConnection>& connection,
                         const KnownLead& lead) -> void;

  EntryContext& m_context;
  LeadService& m_lead;
  QuotaService& m_quotas;
  CrashLedgerSync& m_crash_ledger_sync;
  RelayService& m_relays;
  WatcherLookup m_watcher_for;
};

}  // namespace dotterelshed

#endif  // DOTTERELSHED_PEER_REQUEST_HANDLER_H_
