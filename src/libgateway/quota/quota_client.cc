#include "quota/quota_client.h"

#include <algorithm>
#include <utility>

#include "call/call_access.h"
#include "dotterelshed/log_events.h"
#include "dotterelshed/metrics.h"
#include "dotterelshed/steady_time.h"
#include "peer_call.h"

namespace dotterelshed {

namespace {

/// Requests that arrive within this time share a question.
constexpr Duration kBatchTime = std::chrono::milliseconds(1);
/// Timeout of a question to a lead, which may have to ask others.
constexpr Duration kAskTimeout =
    QuotaService::kMaxAnswerTime + std::chrono::milliseconds(70);
/// Timeout of a question over all leads that are tried.
constexpr Duration kBatchTimeout = std::chrono::milliseconds(500);
/// A lead that didn't answer is tried again after this time.
constexpr Duration kSilence = std::chrono::milliseconds(400);
/// A lead that is alive but doesn't lead is soon followed by another one.
constexpr Duration kNotLeadSilence = std::chrono::milliseconds(100);
/// Time without any answer of the own domain's lead after which this host tries
/// to take over.
constexpr Duration kMaxLeadSilence = std::chrono::milliseconds(3000);
/// Shortest time for which an exhausted account's requests are refused without
/// a question. It is spread, so that hosts don't ask at the same time.
constexpr Duration kMinExhausted = std::chrono::milliseconds(100);
/// Longest such time; a limit may be raised meanwhile.
constexpr Duration kMaxExhausted = std::chrono::milliseconds(1000);
constexpr Duration kUnavailableRetryAfter = std::chrono::milliseconds(300);
constexpr Duration kLogInterval = std::chrono::seconds(1);

}  // namespace

auto ToString(QuotaVerdict verdict) -> std::string_view {
  switch (verdict) {
    case QuotaVerdict::kAdmitted:
      return "admitted";
    case QuotaVerdict::kRefused:
      return "over_quota";
    case QuotaVerdict::kUnavailable:
      return "quota_unavailable";
  }
  return "quota_unavailable";
}

QuotaClient::QuotaClient(EntryContext& context,
                         LeadService& lead,
                         QuotaService& service)
    : m_context(context),
      m_lead(lead),
      m_service(service),
      m_flush_timer(context.m_loop) {}

auto QuotaClient::Admit(const AccountId& account, Respond respond) -> void {
  const auto* table =
      m_context.m_routes ? m_context.m_routes->m_accounts.get() : nullptr;
  if (FindQuota(table, account) == nullptr) {
    respond({});
    return;
  }
  const auto now = SteadyTime();
  auto& state = m_accounts[account];
  if (state.m_waiting.empty()) {
    const auto lease = QuotaBoundOf(m_context.m_settings).m_lease;
    if (const auto token = TakeToken(state.m_holding, lease, now)) {
      CountMetric(MetricId::kQuotaDecisions, ToString(QuotaVerdict::kAdmitted));
      respond({.m_token = token});
      return;
    }
    if (now < state.m_holding.m_exhausted_until) {
      Refuse(state, respond, QuotaVerdict::kRefused);
      return;
    }
  }
  state.m_waiting.push_back(std::move(respond));
  ScheduleFlush();
}

auto QuotaClient::GiveBack(const AccountId& account, TimePoint token) -> void {
  ReturnToken(m_accounts[account].m_holding, token, SteadyTime());
}

// Questions to leads.

auto QuotaClient::ScheduleFlush() -> void {
  if (std::exchange(m_flush_scheduled, true)) {
    return;
  }
  m_flush_timer.expires_after(kBatchTime);
  m_flush_timer.async_wait([this](const boost::system::error_code& error) {
    if (!error) {
      m_flush_scheduled = false;
      Flush();
    }
  });
}

auto QuotaClient::Flush() -> void {
  const auto now = SteadyTime();
  const auto lease = QuotaBoundOf(m_context.m_settings).m_lease;
  auto batch = std::make_shared<Batch>();
  batch->m_deadline = now + kBatchTimeout;
  for (auto& [account, state] : m_accounts) {
    const auto need = static_cast<int>(state.m_waiting.size()) - state.m_asked;
    if (need <= 0) {
      continue;
    }
    const auto expected = ExpectedUse(state.m_holding, lease, now);
    batch->m_asks.push_back({.m_account = account,
                             .m_need = need,
                             .m_extra = std::max(expected - need, 0)});
    state.m_asked += need;
  }
  const auto& own = m_context.m_settings.m_domain;
  for (const auto& [domain, lead] : m_context.m_leads) {
    if (domain != own) {
      batch->m_domains.push_back(domain);
    }
  }
  std::shuffle(batch->m_domains.begin(), batch->m_domains.end(),
               m_context.m_random);
  batch->m_domains.push_back(own);
  Send(batch);
}

auto QuotaClient::Send(const std::shared_ptr<Batch>& batch) -> void {
  const auto now = SteadyTime();
  while (!batch->m_domains.empty() && now < batch->m_deadline) {
    const auto lead = m_context.LeadOf(batch->m_domains.back());
    batch->m_domains.pop_back();
    if (!lead || m_silent_until[lead->m_domain] > now) {
      continue;
    }
    const auto own = lead->m_domain == m_context.m_settings.m_domain;
    const QuotaAskMessage message{.m_loan = !own, .m_asks = batch->m_asks};
    if (own && lead->m_entry.m_host == m_context.m_settings.m_host) {
      m_service.HandleAsk(message, [this, batch, lead = *lead,
                                    now](const QuotaAnswerMessage& answer) {
        OnReply(batch, lead, now, answer);
      });
      return;
    }
    CallPeer(
        m_context.m_loop, m_context.m_peer_connections,
        lead->m_entry.m_peer_address, kQuotaPath, EncodeQuotaAsk(message),
        kAskTimeout,
        [this, batch, lead = *lead, now](const Result<std::string>& reply) {
          OnReply(batch, lead, now, reply.and_then(DecodeQuotaAnswer));
        });
    return;
  }
  for (const auto& ask : batch->m_asks) {
    Apply(ask, {}, false, now);
  }
}

auto QuotaClient::OnReply(const std::shared_ptr<Batch>& batch,
                          const KnownLead& lead,
                          TimePoint sent_at,
                          const Result<QuotaAnswerMessage>& answer) -> void {
  const auto& asks = batch->m_asks;
  const auto valid =
      answer && answer->m_leads && answer->m_answers.size() == asks.size();
  CountMetric(MetricId::kQuotaQuestions, valid ? "answered" : "silent");
  if (!valid) {
    NoteSilence(lead, answer ? nullptr : &answer.error());
    if (!answer && answer.error().m_code == ErrorCode::kTimeout) {
      // The lead is overloaded or gone. Asking the others too would make them
      // overloaded as well; later questions go to them for a while.
      batch->m_domains.clear();
    }
    Send(batch);
    return;
  }
  if (lead.m_domain == m_context.m_settings.m_domain) {
    m_silent_since.reset();
  }
  for (std::size_t i = 0; i < asks.size(); ++i) {
    Apply(asks[i], answer->m_answers[i], answer->m_grants, sent_at);
  }
}

/// @param error  Nothing if the host answered that it doesn't lead.
auto QuotaClient::NoteSilence(const KnownLead& lead, const Error* error)
    -> void {
  const auto now = SteadyTime();
  m_silent_until[lead.m_domain] =
      now + (error == nullptr ? kNotLeadSilence : kSilence);
  if (error == nullptr || lead.m_domain != m_context.m_settings.m_domain) {
    return;
  }
  const auto same_silence = m_silent_lead == lead.m_version &&
                            now - m_last_silence < 2 * kMaxLeadSilence;
  if (!m_silent_since || !same_silence) {
    m_silent_since = now;
  }
  m_silent_lead = lead.m_version;
  m_last_silence = now;
  // A busy lead refuses connections too, and each change of lead costs the
  // domain its share for a while.
  if (now - *m_silent_since >= kMaxLeadSilence) {
    m_silent_since.reset();
    m_lead.TakeOverSilent(lead);
  }
}

auto QuotaClient::Apply(const QuotaAsk& ask,
                        const QuotaAnswer& answer,
                        bool decided,
                        TimePoint sent_at) -> void {
  const auto now = SteadyTime();
  const auto lease = QuotaBoundOf(m_context.m_settings).m_lease;
  auto& state = m_accounts[ask.m_account];
  state.m_asked -= ask.m_need;
  AddTokens(state.m_holding, answer.m_tokens,
            sent_at + std::min(answer.m_lease, lease));
  auto left = ask.m_need;
  while (left > 0 && !state.m_waiting.empty()) {
    const auto token = TakeToken(state.m_holding, lease, now);
    if (!token) {
      break;
    }
    --left;
    const auto respond = std::move(state.m_waiting.front());
    state.m_waiting.pop_front();
    CountMetric(MetricId::kQuotaDecisions, ToString(QuotaVerdict::kAdmitted));
    respond({.m_token = token});
  }
  // Tokens may also have lapsed on their way.
  const auto exhausted = decided && answer.m_tokens < ask.m_need;
  if (exhausted) {
    const auto hold = std::clamp(answer.m_next, kMinExhausted, kMaxExhausted);
    state.m_holding.m_exhausted_until =
        now +
        FromSeconds(ToSeconds(hold) * (1 + m_context.RandomFraction() / 2));
    state.m_retry_after = answer.m_retry_after;
  }
  RefuseWaiting(
      ask.m_account, left,
      exhausted ? QuotaVerdict::kRefused : QuotaVerdict::kUnavailable);
}

// Refusals.

auto QuotaClient::RefuseWaiting(const AccountId& account,
                                int count,
                                QuotaVerdict verdict) -> void {
  auto& state = m_accounts[account];
  for (; count > 0 && !state.m_waiting.empty(); --count) {
    const auto respond = std::move(state.m_waiting.front());
    state.m_waiting.pop_front();
    Refuse(state, respond, verdict);
  }
}

auto QuotaClient::Refuse(AccountState& state,
                         const Respond& respond,
                         QuotaVerdict verdict) -> void {
  ++state.m_refusals[verdict];
  CountMetric(MetricId::kQuotaDecisions, ToString(verdict));
  const auto wait = verdict == QuotaVerdict::kRefused ? state.m_retry_after
                                                      : kUnavailableRetryAfter;
  // Spread, so that callers that were refused together don't come together.
  respond({.m_verdict = verdict,
           .m_retry_after = FromSeconds(ToSeconds(wait) *
                                        (1 + m_context.RandomFraction()))});
}

auto QuotaClient::LogRefusals() -> void {
  for (auto& [account, state] : m_accounts) {
    for (const auto& [verdict, count] : std::exchange(state.m_refusals, {})) {
      CountMetric(MetricId::kQuotaRefusals, AccountLabel(m_context, account),
                  count);
      LogEvent(LogEventId::kQuotaRefused,
               {{"account", account.value()},
                {"reason", std::string(ToString(verdict))},
                {"count", std::to_string(count)},
                {"retry_ms", FormatMs(state.m_retry_after)},
                {"config",
                 std::to_string(m_context.m_routes->m_generation.value())}});
    }
  }
}

auto QuotaClient::Tick(TimePoint now) -> void {
  if (now - m_last_log < kLogInterval) {
    return;
  }
  m_last_log = now;
  LogRefusals();
  const auto lease = QuotaBoundOf(m_context.m_settings).m_lease;
  std::erase_if(m_accounts, [now, lease](const auto& item) {
    const auto& [account, state] = item;
    return state.m_waiting.empty() && state.m_asked == 0 &&
           now >= state.m_holding.m_exhausted_until &&
           HeldTokens(state.m_holding, now) == 0 &&
           ExpectedUse(state.m_holding, lease, now) == 0;
  });
}

}  // namespace dotterelshed
