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
  using Answered = std::function<void(const GrantAnswer&)>;

  GrantClient(EntryContext& context, LeadService& own_lead);

  /// Asks the lead that keeps the program's account. Answers kGranted,
  /// kBudgetSpent or kUnavailable, within about 1.5 s.
  auto Ask(const GrantQuestion& question, Answered answered) -> void;
  /// Reports the end of a granted turn; sent together with others.
  auto Settle(const TurnSettlement& settlement) -> void;
  auto Tick(TimePoint now) -> void;

 private:
  struct Asking;
  struct Home {
    DomainId m_domain;
    TimePoint m_last_used;
  };

  auto AskLead(const std::shared_ptr<Asking>& asking) -> void;
  auto OnAnswer(const std::shared_ptr<Asking>& asking,
                const GrantAnswer& answer) -> void;
  auto OnNoAnswer(const std::shared_ptr<Asking>& asking) -> void;
  auto AskAgain(const std::shared_ptr<Asking>& asking) -> void;
  auto FallbackDomain(const ProgramId& program) const -> DomainId;
  auto GiveUp(const Asking& asking) -> void;
  auto HomeOf(const ProgramId& program) const -> DomainId;
  /// Keeps what a lead didn't take, for the next try.
  auto KeepSettlements(const DomainId& domain, std::vector<TurnSettlement> list)
      -> void;
  auto SendSettlements(const DomainId& domain) -> void;

  EntryContext& m_context;
  LeadService& m_own_lead;
  /// Programs whose account another domain's lead keeps.
  std::map<ProgramId, Home> m_homes;
  std::map<DomainId, std::vector<TurnSettlement>> m_settlements;
  TimePoint m_last_settled;
  TimePoint m_last_sweep;
};

}  // namespace dotterelshed

#endif  // DOTTERELSHED_GRANT_CLIENT_H_
