#ifndef DOTTERELSHED_GRANT_CLIENT_H_
#define DOTTERELSHED_GRANT_CLIENT_H_

#include <functional>
#include <map>
#include <string>
#include <vector>

#include "entry_context.h"
#include "lead_messages.h"
#include "lead_service.h"

/// @file
/// A host's way to the lead: asks for grants, reports turns that have ended,
/// and takes over when the lead of its domain doesn't answer.

namespace dotterelshed {

class GrantClient {
 public:
  using ResponseCallback = std::function<void(const TurnGrantResponse&)>;

  GrantClient(EntryContext& context, LeadService& own_lead);

  /// Asks the lead that keeps the program's account. Answers kGranted,
  /// kBudgetSpent or kUnavailable, within about 1.5 s.
  auto RequestTurn(const TurnGrantRequest& request, ResponseCallback respond)
      -> void;
  /// Reports the end of a granted turn; sent together with others.
  auto Settle(const TurnSettlement& settlement) -> void;
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
  auto OnNoResponse(const std::shared_ptr<PendingRequest>& pending) -> void;
  auto RetryLater(const std::shared_ptr<PendingRequest>& pending) -> void;
  auto FallbackDomain(const ProgramId& program) const -> DomainId;
  auto GiveUp(const PendingRequest& pending) -> void;
  auto AccountDomainOf(const ProgramId& program) const -> DomainId;
  /// Keeps what a lead didn't take, for the next try.
  auto RequeueSettlements(const DomainId& domain,
                          std::vector<TurnSettlement> list) -> void;
  auto SendSettlements(const DomainId& domain) -> void;

  EntryContext& m_context;
  LeadService& m_own_lead;
  /// Programs whose account another domain's lead keeps.
  std::map<ProgramId, AccountDomain> m_account_domains;
  std::map<DomainId, std::vector<TurnSettlement>> m_settlements;
  TimePoint m_last_settlement;
  TimePoint m_last_sweep;
};

}  // namespace dotterelshed

#endif  // DOTTERELSHED_GRANT_CLIENT_H_
