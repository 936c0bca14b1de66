#include "peer_request_handler.h"

#include <utility>

#include "dotterelshed/http_status.h"
#include "dotterelshed/steady_time.h"
#include "peer_call.h"

namespace dotterelshed {

namespace {

/// Passes a peer's message to @p take, or responds with 400 if it is invalid.
template <typename T, typename Take>
auto HandleMessage(const std::shared_ptr<ServerConnection>& connection,
                   const Result<T>& message,
                   Take take) -> void {
  if (message) {
    take(*message);
  } else {
    connection->Answer(kStatusBadRequest, {}, message.error().m_message);
  }
}

}  // namespace

PeerRequestHandler::PeerRequestHandler(EntryContext& context,
                                       LeadService& lead,
                                       QuotaService& quotas,
                                       CrashLedgerSync& crash_ledger_sync,
                                       RelayService& relays,
                                       WatcherLookup watcher_for)
    : m_context(context),
      m_lead(lead),
      m_quotas(quotas),
      m_crash_ledger_sync(crash_ledger_sync),
      m_relays(relays),
      m_watcher_for(std::move(watcher_for)) {}

auto PeerRequestHandler::Handle(
    const std::shared_ptr<ServerConnection>& connection,
    const IncomingRequest& request) -> void {
  const auto& target = request.m_head.m_target;
  const auto handled =
      HandleAccountRequest(connection, target, request.m_body) ||
      HandleQuotaRequest(connection, target, request.m_body) ||
      HandleLeadRequest(connection, target, request.m_body) ||
      HandleViewRequest(connection, target, request.m_body) ||
      HandleRelayRequest(connection, request);
  if (!handled) {
    connection->Answer(kStatusNotFound, {}, "");
  }
}

auto PeerRequestHandler::HandleAccountRequest(
    const std::shared_ptr<ServerConnection>& connection,
    std::string_view target,
    const std::string& body) -> bool {
  if (target == kGrantPath) {
    HandleMessage(connection, DecodeTurnGrantRequest(body),
                  [this, &connection](const TurnGrantRequest& message) {
                    m_lead.RequestTurn(
                        message,
                        [connection](const TurnGrantResponse& response) {
                          connection->Answer(kStatusOk, {},
                                             EncodeTurnGrantResponse(response));
                        });
                  });
  } else if (target == kSettlePath) {
    HandleMessage(connection, DecodeSettlements(body),
                  [this, &connection](const SettlementBatch& batch) {
                    OnSettlements(connection, batch);
                  });
  } else if (target == kLimitPath) {
    HandleMessage(connection, DecodeLimitAsk(body, SteadyTime()),
                  [this, &connection](const LimitAsk& ask) {
                    connection->Answer(
                        kStatusOk, {},
                        EncodeLimitAnswer(m_lead.AskPermit(ask), SteadyTime()));
                  });
  } else if (target == kFindPath) {
    HandleMessage(connection, DecodeFindAccountRequest(body),
                  [this, &connection](const FindAccountRequest& message) {
                    connection->Answer(
                        kStatusOk, {},
                        EncodeFindAccountResponse(m_lead.FindAccount(message)));
                  });
  } else {
    return false;
  }
  return true;
}

auto PeerRequestHandler::OnSettlements(
    const std::shared_ptr<ServerConnection>& connection,
    const SettlementBatch& batch) -> void {
  if (!m_lead.Settle(batch.m_settlements)) {
    connection->Answer(kStatusConflict, {}, "");
    return;
  }
  const auto judgement = batch.m_report
                             ? m_lead.TakeEndpointReport(*batch.m_report)
                             : std::nullopt;
  connection->Answer(kStatusOk, {},
                     judgement ? EncodeDomainJudgement(*judgement) : "");
}

auto PeerRequestHandler::HandleQuotaRequest(
    const std::shared_ptr<ServerConnection>& connection,
    std::string_view target,
    const std::string& body) -> bool {
  if (target != kQuotaPath) {
    return false;
  }
  HandleMessage(connection, DecodeQuotaAsk(body),
                [this, &connection](const QuotaAskMessage& message) {
                  m_quotas.HandleAsk(
                      message, [connection](const QuotaAnswerMessage& answer) {
                        connection->Answer(kStatusOk, {},
                                           EncodeQuotaAnswer(answer));
                      });
                });
  return true;
}

auto PeerRequestHandler::HandleLeadRequest(
    const std::shared_ptr<ServerConnection>& connection,
    std::string_view target,
    const std::string& body) -> bool {
  if (target == kLeadPath) {
    HandleMessage(connection, DecodeKnownLead(body),
                  [this, &connection](const KnownLead& lead) {
                    m_lead.OnLeadUpdate(lead);
                    connection->Answer(kStatusOk, {},
                                       m_lead.MakeHandover(lead));
                  });
  } else if (target == kStepDownPath) {
    HandleMessage(connection, DecodeKnownLead(body),
                  [this, &connection](const KnownLead& lead) {
                    OnStepDownRequest(connection, lead);
                  });
  } else if (target == kYieldPath) {
    HandleMessage(connection, DecodeKnownLead(body),
                  [this, &connection](const KnownLead& lead) {
                    OnYieldRequest(connection, lead);
                  });
  } else {
    return false;
  }
  return true;
}

auto PeerRequestHandler::HandleViewRequest(
    const std::shared_ptr<ServerConnection>& connection,
    std::string_view target,
    const std::string& body) -> bool {
  if (target == kViewPath) {
    HandleMessage(connection, DecodeViewRequest(body),
                  [this, &connection](const ViewRequest& message) {
                    OnViewRequest(connection, message);
                  });
  } else if (target == kCrashUpdatePath) {
    HandleMessage(connection, DecodeCrashUpdate(body, SteadyTime()),
                  [this, &connection](const CrashUpdate& update) {
                    m_crash_ledger_sync.ApplyUpdate(update);
                    connection->Answer(kStatusOk, {}, "");
                  });
  } else if (target == kCrashUpdateRequestPath) {
    HandleMessage(connection, DecodeCrashUpdateRequest(body),
                  [this, &connection](const CrashUpdateRequest& message) {
                    m_crash_ledger_sync.HandleRequest(
                        message, [connection](const std::string& update) {
                          connection->Answer(kStatusOk, {}, update);
                        });
                  });
  } else {
    return false;
  }
  return true;
}

auto PeerRequestHandler::HandleRelayRequest(
    const std::shared_ptr<ServerConnection>& connection,
    const IncomingRequest& request) -> bool {
  if (request.m_head.m_target == kRelayPath) {
    m_relays.Handle(connection, request);
  } else if (request.m_head.m_target == kRelayListPath) {
    m_relays.HandleListRequest(connection);
  } else {
    return false;
  }
  return true;
}

auto PeerRequestHandler::OnViewRequest(
    const std::shared_ptr<ServerConnection>& connection,
    const ViewRequest& request) -> void {
  if (!request.m_host_address.empty()) {
    NoteRelayHost(m_context.m_relay_directory, request.m_host_address,
                  request.m_can_relay, SteadyTime());
  }
  m_watcher_for(request.m_kind)
      .HandleRequest(
          request, [connection](const Result<std::string>& response) {
            connection->Answer(response ? kStatusOk : kStatusConflict, {},
                               response.value_or(std::string()));
          });
}

auto PeerRequestHandler::OnYieldRequest(
    const std::shared_ptr<ServerConnection>& connection,
    const KnownLead& lead) -> void {
  if (!m_context.IsCurrentLead(lead.m_domain, lead)) {
    connection->Answer(kStatusConflict, {}, "");
    return;
  }
  m_lead.Yield("larger_host", [connection](bool done) {
    connection->Answer(done ? kStatusOk : kStatusConflict, {}, "");
  });
}

auto PeerRequestHandler::OnStepDownRequest(
    const std::shared_ptr<ServerConnection>& connection,
    const KnownLead& lead) -> void {
  const auto done =
      m_context.IsCurrentLead(lead.m_domain, lead) && m_lead.StepDown();
  connection->Answer(done ? kStatusOk : kStatusConflict, {}, "");
}

}  // namespace dotterelshed
