#ifndef DOTTERELSHED_QUOTA_CLIENT_H_
#define DOTTERELSHED_QUOTA_CLIENT_H_

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "dotterelshed/quota_holding.h"
#include "entry_context.h"
#include "quota/quota_messages.h"
#include "quota/quota_service.h"

/// @file
/// A host's side of quotas: admits requests of accounts with a quota by tokens
/// that it gets from the lead of its domain, in batches. If that lead doesn't
/// answer, the leads of other domains are asked. While an account is known to
/// be exhausted, its requests are refused without a message.

namespace dotterelshed {

enum class QuotaVerdict {
  kAdmitted,
  kRefused,      ///< The quota is exceeded; the request must not run.
  kUnavailable,  ///< Can't be decided now; the request must not run.
};

/// Stable lower-case name, in metrics and logs.
auto ToString(QuotaVerdict verdict) -> std::string_view;

struct QuotaDecision {
  QuotaVerdict m_verdict = QuotaVerdict::kAdmitted;
  /// With kAdmitted: end of the lease of the token, if one was needed.
  std::optional<TimePoint> m_token;
  /// With the others: time after which the request may be sent again.
  Duration m_retry_after{0};
};

class QuotaClient {
 public:
  using Respond = std::function<void(const QuotaDecision&)>;

  QuotaClient(EntryContext& context, LeadService& lead, QuotaService& service);

  /// Decides whether a request may run: at once if the account has no quota, if
  /// a token is held or if the account is exhausted, else within about half a
  /// second.
  auto Admit(const AccountId& account, Respond respond) -> void;
  /// Returns the token of a request that no endpoint got.
  auto GiveBack(const AccountId& account, TimePoint token) -> void;
  auto Tick(TimePoint now) -> void;

 private:
  /// What this host knows of one account.
  struct AccountState {
    QuotaHolding m_holding;
    /// Requests that wait for a token, oldest first.
    std::deque<Respond> m_waiting;
    /// Number of them for which a question is on its way.
    int m_asked = 0;
    /// Of the last answer with too few tokens.
    Duration m_retry_after{0};
    /// Refusals since the last log line.
    std::map<QuotaVerdict, int> m_refusals;
  };
  /// A question and its attempts at several leads.
  struct Batch {
    std::vector<QuotaAsk> m_asks;
    TimePoint m_deadline;
    /// Domains whose leads were not asked yet, the next one last.
    std::vector<DomainId> m_domains;
  };

  auto ScheduleFlush() -> void;
  auto Flush() -> void;
  auto Send(const std::shared_ptr<Batch>& batch) -> void;
  auto OnReply(const std::shared_ptr<Batch>& batch,
               const KnownLead& lead,
               TimePoint sent_at,
               const Result<QuotaAnswerMessage>& answer) -> void;
  auto NoteSilence(const KnownLead& lead, const Error* error) -> void;
  auto Apply(const QuotaAsk& ask,
             const QuotaAnswer& answer,
             bool decided,
             TimePoint sent_at) -> void;
  /// Answers the oldest waiting requests with the same verdict.
  auto RefuseWaiting(const AccountId& account, int count, QuotaVerdict verdict)
      -> void;
  auto Refuse(AccountState& state, const Respond& respond, QuotaVerdict verdict)
      -> void;
  auto LogRefusals() -> void;

  EntryContext& m_context;
  LeadService& m_lead;
  QuotaService& m_service;
  std::map<AccountId, AccountState> m_accounts;
  boost::asio::steady_timer m_flush_timer;
  bool m_flush_scheduled = false;
  /// Leads that didn't answer; not asked again before these moments.
  std::map<DomainId, TimePoint> m_silent_until;
  /// First question since its last answer that the own domain's lead didn't
  /// answer.
  std::optional<TimePoint> m_silent_since;
  /// Version of the lead that was silent then.
  ResourceVersion m_silent_lead;
  TimePoint m_last_silence;
  TimePoint m_last_log;
};

}  // namespace dotterelshed

#endif  // DOTTERELSHED_QUOTA_CLIENT_H_
