#include "quota/quota_service.h"

#include <algorithm>
#include <utility>

#include "dotterelshed/log_events.h"
#include "dotterelshed/metrics.h"
#include "dotterelshed/steady_time.h"
#include "peer_call.h"

namespace dotterelshed {

namespace {

/// Timeout of a question to another domain's lead.
constexpr Duration kLoanTimeout = std::chrono::milliseconds(100);
/// No further lead is asked after this time.
constexpr Duration kLastLoan = QuotaService::kMaxAnswerTime - kLoanTimeout;
/// A lead that didn't answer is tried again after this time, by one question.
constexpr Duration kSilence = std::chrono::milliseconds(500);
/// Shortest time for which a lead isn't asked again for an account of which it
/// had too few tokens.
constexpr Duration kMinExhausted = std::chrono::milliseconds(50);
/// Longest such time; a limit may be raised meanwhile.
constexpr Duration kMaxExhausted = std::chrono::milliseconds(1000);
constexpr Duration kMinRetryAfter = std::chrono::milliseconds(100);
constexpr Duration kMaxRetryAfter = std::chrono::seconds(2);

}  // namespace

auto QuotaBoundOf(const EntrySettings& settings) -> QuotaBound {
  return {
      .m_window = settings.m_quota_window,
      .m_over = settings.m_quota_over,
      .m_slack = settings.m_quota_slack,
      .m_domains = std::max(static_cast<int>(settings.m_domains.size()), 1)};
}

QuotaService::QuotaService(EntryContext& context, LeadService& lead)
    : m_context(context), m_lead(lead) {}

auto QuotaService::accounts() const -> const AccountTable* {
  return m_context.m_routes ? m_context.m_routes->m_accounts.get() : nullptr;
}

auto QuotaService::ChangeAccounts(const AccountTable* after) -> void {
  const AccountTable none;
  if (const auto* before = accounts()) {
    ChangeQuotas(m_ledger, *before, after == nullptr ? none : *after,
                 SteadyTime());
  }
}

auto QuotaService::BeginTerm() -> void {
  const auto term = m_lead.term();
  if (term != m_term) {
    m_term = term;
    m_ledger = {.m_bound = QuotaBoundOf(m_context.m_settings)};
    m_loans.clear();
    m_lenders.clear();
  }
  m_ledger.m_sole_from = m_lead.quota_sole_from().value_or(TimePoint::max());
}

auto QuotaService::HandleAsk(const QuotaAskMessage& message, Respond respond)
    -> void {
  if (!m_lead.active()) {
    respond({});
    return;
  }
  BeginTerm();
  const auto now = SteadyTime();
  auto pending = std::make_shared<PendingAsk>(PendingAsk{
      .m_message = message,
      .m_respond = std::move(respond),
      .m_since = now,
      .m_domains = message.m_loan ? std::vector<DomainId>() : OtherDomains()});
  pending->m_answer.m_leads = true;
  pending->m_answer.m_answers.resize(message.m_asks.size());
  GrantOwn(*pending, now);
  Borrow(pending);
}

auto QuotaService::GrantOwn(PendingAsk& pending, TimePoint now) -> void {
  if (!m_lead.MayGrantQuotas(now)) {
    return;
  }
  pending.m_answer.m_grants = now >= m_ledger.m_sole_from;
  for (std::size_t i = 0; i < pending.m_message.m_asks.size(); ++i) {
    const auto& ask = pending.m_message.m_asks[i];
    if (const auto* quota = FindQuota(accounts(), ask.m_account)) {
      pending.m_answer.m_answers[i] = {
          .m_tokens = GrantTokens(m_ledger, *quota, ask, now),
          .m_lease = m_ledger.m_bound.m_lease};
    } else if (m_context.m_routes != nullptr) {
      // The configuration of this lead has no limit for the account, that of
      // the asking host has one: it is about to be lifted or to begin.
      pending.m_answer.m_answers[i] = {.m_tokens = std::max(ask.m_need, 0),
                                       .m_lease = m_ledger.m_bound.m_lease};
    }
  }
}

auto QuotaService::TakeLoans(PendingAsk& pending, TimePoint now) -> bool {
  const auto lease = m_ledger.m_bound.m_lease;
  auto done = true;
  for (std::size_t i = 0; i < pending.m_message.m_asks.size(); ++i) {
    const auto& ask = pending.m_message.m_asks[i];
    auto& answer = pending.m_answer.m_answers[i];
    while (answer.m_tokens < ask.m_need) {
      const auto until = TakeToken(m_loans[ask.m_account], lease, now);
      if (!until) {
        done = false;
        break;
      }
      const auto left = *until - now;
      answer.m_lease =
          answer.m_tokens == 0 ? left : std::min(answer.m_lease, left);
      ++answer.m_tokens;
    }
  }
  return done;
}

// Loans from other domains.

auto QuotaService::OtherDomains() -> std::vector<DomainId> {
  std::vector<DomainId> domains;
  for (const auto& [domain, lead] : m_context.m_leads) {
    if (domain != m_context.m_settings.m_domain) {
      domains.push_back(domain);
    }
  }
  std::shuffle(domains.begin(), domains.end(), m_context.m_random);
  return domains;
}

auto QuotaService::LoanAsks(const PendingAsk& pending,
                            const Lender& lender,
                            TimePoint now) -> std::vector<QuotaAsk> {
  std::vector<QuotaAsk> asks;
  for (std::size_t i = 0; i < pending.m_message.m_asks.size(); ++i) {
    const auto& ask = pending.m_message.m_asks[i];
    const auto missing = ask.m_need - pending.m_answer.m_answers[i].m_tokens;
    const auto exhausted = lender.m_exhausted.find(ask.m_account);
    const auto may_have =
        exhausted == lender.m_exhausted.end() || exhausted->second <= now;
    if (missing > 0 && may_have) {
      const auto expected =
          ExpectedUse(m_loans[ask.m_account], m_ledger.m_bound.m_lease, now);
      asks.push_back({.m_account = ask.m_account,
                      .m_need = missing,
                      .m_extra = std::max(expected - missing, 0)});
    }
  }
  return asks;
}

auto QuotaService::Borrow(const std::shared_ptr<PendingAsk>& pending) -> void {
  const auto now = SteadyTime();
  if (TakeLoans(*pending, now) || now - pending->m_since > kLastLoan) {
    Finish(*pending);
    return;
  }
  while (!pending->m_domains.empty()) {
    const auto domain = pending->m_domains.back();
    pending->m_domains.pop_back();
    const auto lead = m_context.LeadOf(domain);
    const auto& lender = m_lenders[domain];
    auto asks = LoanAsks(*pending, lender, now);
    if (!lead || lender.m_silent_until > now || asks.empty()) {
      continue;
    }
    const auto body = EncodeQuotaAsk({.m_loan = true, .m_asks = asks});
    CallPeer(m_context.m_loop, m_context.m_peer_connections,
             lead->m_entry.m_peer_address, kQuotaPath, body, kLoanTimeout,
             [this, pending, domain, asks = std::move(asks),
              now](const Result<std::string>& reply) {
               OnLoan(domain, asks, now, reply.and_then(DecodeQuotaAnswer));
               Borrow(pending);
             });
    return;
  }
  Finish(*pending);
}

auto QuotaService::OnLoan(const DomainId& domain,
                          const std::vector<QuotaAsk>& asks,
                          TimePoint sent_at,
                          const Result<QuotaAnswerMessage>& answer) -> void {
  const auto now = SteadyTime();
  auto& lender = m_lenders[domain];
  const auto valid =
      answer && answer->m_leads && answer->m_answers.size() == asks.size();
  CountMetric(MetricId::kQuotaLoans, valid ? "answered" : "silent");
  if (!valid) {
    lender.m_silent_until = now + kSilence;
    return;
  }
  for (std::size_t i = 0; i < asks.size(); ++i) {
    const auto& one = answer->m_answers[i];
    AddTokens(m_loans[asks[i].m_account], one.m_tokens,
              sent_at + std::min(one.m_lease, m_ledger.m_bound.m_lease));
    if (one.m_tokens < asks[i].m_need) {
      lender.m_exhausted[asks[i].m_account] =
          now + std::clamp(one.m_next, kMinExhausted, kMaxExhausted);
    }
  }
}

auto QuotaService::Finish(PendingAsk& pending) -> void {
  const auto now = SteadyTime();
  for (std::size_t i = 0; i < pending.m_message.m_asks.size(); ++i) {
    const auto& ask = pending.m_message.m_asks[i];
    auto& answer = pending.m_answer.m_answers[i];
    const auto* quota = FindQuota(accounts(), ask.m_account);
    CountMetric(MetricId::kQuotaTokens,
                pending.m_message.m_loan ? "lent" : "granted", answer.m_tokens);
    if (answer.m_tokens >= ask.m_need || quota == nullptr) {
      continue;
    }
    const auto size = DomainBucket(*quota, m_ledger.m_bound);
    answer.m_next = TimeToTokens(m_ledger, ask.m_account, *quota, 1, now);
    answer.m_retry_after = std::clamp(
        TimeToTokens(m_ledger, ask.m_account, *quota, size.m_capacity / 2, now),
        kMinRetryAfter, kMaxRetryAfter);
  }
  pending.m_respond(pending.m_answer);
}

}  // namespace dotterelshed
