#ifndef DOTTERELSHED_GRANT_CLIENT_H_
#define DOTTERELSHED_GRANT_CLIENT_H_

#include <functional>
#include <map>
#include <string>
#include <vector>

#include "entry_context.h"
#include "lead/lead_messages.h"
#include "lead/lead_service.h"

/// @file
/// Client side of token grants: requests grants from the lead, reports finished
/// turns, and starts a takeover when the lead of this domain does not respond.

namespace dotterelshed {

class GrantClient {
 public:
  using ResponseCallback = std::function<void(const TurnGrantResponse&)>;

  GrantClient(EntryContext& context, LeadService& own_lead);

  /// Requests a grant from the lead that holds the program's account. Responds
  /// with kGranted, kBudgetSpent or kUnavailable within about 1.5 s.
  auto RequestTurn(const TurnGrantRequest& request, ResponseCallback respond)
      -> void;
  /// Reports the end of a granted turn; reports are sent in batches.
  auto Settle(const TurnSettlement& settlement) -> void;
  /// Returns true if the leads have confirmed all settlements.
  auto settled() const -> bool;
  auto Tick(TimePoint now) -> void;

 private:
  struct PendingRequest;
  struct AccountDomain {
    DomainId m_domain;
    TimePoint m_last_used;
  };

  auto SendToLead(const std::shared_ptr<PendingRequest>& pending) -> void;
  auto OnResponse(const std::shared_ptr<PendingRequest>& pending,
                  const TurnGrantResponse& response) -> void;
  auto OnNotLead(const std::shared_ptr<PendingRequest>& pending,
                 const std::optional<KnownLead>& lead) -> void;
  auto OnNoStore(const std::shared_ptr<PendingRequest>& pending) -> void;
  /// Sends the request to the lead of the domain that holds the account.
  auto Redirect(const std::shared_ptr<PendingRequest>& pending,
                const DomainId& domain) -> void;
  auto OnNoResponse(const std::shared_ptr<PendingRequest>& pending) -> void;
  auto RetryLater(const std::shared_ptr<PendingRequest>& pending) -> void;
  auto FallbackDomain(const ProgramId& program) const -> DomainId;
  auto GiveUp(const PendingRequest& pending) -> void;
  auto AccountDomainOf(const ProgramId& program) const -> DomainId;
  /// Queues settlements that a lead did not accept for the next attempt.
  auto RequeueSettlements(const DomainId& domain,
                          std::vector<TurnSettlement> list) -> void;
  auto SendSettlements(const DomainId& domain) -> void;
  /// Passes a batch to this host, which is the lead.
  auto SettleHere(const DomainId& domain, SettlementBatch batch) -> void;
  auto OnSettleReply(const Result<std::string>& reply, bool reported) -> void;
  /// Adds what this host saw of endpoints, if the batch goes to its own lead.
  auto AddReport(const DomainId& domain, SettlementBatch& batch) -> void;
  /// Returns true if there is something to send to the domain's lead.
  auto IsSettlementDue(const DomainId& domain, TimePoint now) const -> bool;

  EntryContext& m_context;
  LeadService& m_own_lead;
  /// Programs whose account is held by another domain's lead.
  std::map<ProgramId, AccountDomain> m_account_domains;
  std::map<DomainId, std::vector<TurnSettlement>> m_settlements;
  /// Number of messages with settlements that are waiting for a reply.
  int m_unanswered_settlements = 0;
  TimePoint m_last_settlement;
  TimePoint m_last_sweep;
};

}  // namespace dotterelshed

#endif  // DOTTERELSHED_GRANT_CLIENT_H_
