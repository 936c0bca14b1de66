#include <utility>

#include "call/call_exchange.h"
#include "dotterelshed/http_status.h"

/// @file
/// The quota of a request's account.

namespace dotterelshed {

auto CallExchange::RequestQuota(const AccountId& account) -> void {
  m_quotas.Admit(account,
                 [self = shared_from_this()](const QuotaDecision& decision) {
                   self->OnQuotaDecision(decision);
                 });
}

auto CallExchange::OnQuotaDecision(const QuotaDecision& decision) -> void {
  m_quota_token = decision.m_token;
  if (m_finished) {
    GiveBackQuota();
    return;
  }
  const auto reason = ToString(decision.m_verdict);
  switch (decision.m_verdict) {
    case QuotaVerdict::kAdmitted:
      BeginWork();
      return;
    case QuotaVerdict::kRefused:
      RespondLocally(kStatusTooMany, reason, decision.m_retry_after);
      return;
    case QuotaVerdict::kUnavailable:
      RespondLocally(kStatusUnavailable, reason, decision.m_retry_after);
      return;
  }
}

auto CallExchange::GiveBackQuota() -> void {
  const auto token = std::exchange(m_quota_token, std::nullopt);
  if (token && m_account && !m_may_have_run) {
    m_quotas.GiveBack(*m_account, *token);
  }
}

}  // namespace dotterelshed
