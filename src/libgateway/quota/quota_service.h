#ifndef DOTTERELSHED_QUOTA_SERVICE_H_
#define DOTTERELSHED_QUOTA_SERVICE_H_

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "dotterelshed/quota_holding.h"
#include "dotterelshed/quota_ledger.h"
#include "entry_context.h"
#include "lead/lead_service.h"
#include "quota/quota_messages.h"

/// @file
/// A lead's side of quotas: answers hosts that ask for tokens from its domain's
/// share, and where that is exhausted borrows from the leads of other domains.

namespace dotterelshed {

class QuotaService {
 public:
  using Respond = std::function<void(const QuotaAnswerMessage&)>;

  QuotaService(EntryContext& context, LeadService& lead);

  /// Responds at once, or within kMaxAnswerTime if other leads are asked.
  auto HandleAsk(const QuotaAskMessage& message, Respond respond) -> void;
  /// Call before a configuration with other accounts comes into force.
  auto ChangeAccounts(const AccountTable* after) -> void;

  /// Longest time that a question takes when other leads are asked.
  static constexpr Duration kMaxAnswerTime = std::chrono::milliseconds(180);

 private:
  /// A question that can't be answered from the own share alone.
  struct PendingAsk {
    QuotaAskMessage m_message;
    QuotaAnswerMessage m_answer;
    Respond m_respond;
    TimePoint m_since;
    /// Domains that were not asked yet, the next one last.
    std::vector<DomainId> m_domains;
  };
  /// What is known of another domain's lead.
  struct Lender {
    /// It did not answer; it isn't asked again before this moment.
    TimePoint m_silent_until;
    /// Accounts of which it has no tokens before these moments.
    std::map<AccountId, TimePoint> m_exhausted;
  };

  auto accounts() const -> const AccountTable*;
  /// Starts with empty buckets if this host has become lead since the last
  /// call.
  auto BeginTerm() -> void;
  auto GrantOwn(PendingAsk& pending, TimePoint now) -> void;
  /// Takes tokens on loan; returns true if nothing more is needed.
  auto TakeLoans(PendingAsk& pending, TimePoint now) -> bool;
  auto Borrow(const std::shared_ptr<PendingAsk>& pending) -> void;
  /// The questions that another domain's lead may be able to answer.
  auto LoanAsks(const PendingAsk& pending, const Lender& lender, TimePoint now)
      -> std::vector<QuotaAsk>;
  auto OnLoan(const DomainId& domain,
              const std::vector<QuotaAsk>& asks,
              TimePoint sent_at,
              const Result<QuotaAnswerMessage>& answer) -> void;
  auto Finish(PendingAsk& pending) -> void;
  auto OtherDomains() -> std::vector<DomainId>;

  EntryContext& m_context;
  LeadService& m_lead;
  QuotaLedger m_ledger;
  /// Store version of the entry that made this host lead.
  ResourceVersion m_term;
  std::map<AccountId, QuotaHolding> m_loans;
  std::map<DomainId, Lender> m_lenders;
};

/// Returns the bound on quotas that the settings state.
auto QuotaBoundOf(const EntrySettings& settings) -> QuotaBound;

}  // namespace dotterelshed

#endif  // DOTTERELSHED_QUOTA_SERVICE_H_
