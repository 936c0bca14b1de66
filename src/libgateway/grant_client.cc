#include "grant_client.h"

#include <memory>
#include <utility>

#include "dotterelshed/log_events.h"
#include "dotterelshed/steady_time.h"
#include "peer_call.h"

namespace dotterelshed {

namespace {

/// Longest wait for one answer of a lead, which answers within 550 ms.
constexpr Duration kLeadTimeout = std::chrono::milliseconds(750);
/// Longest time from the question to the answer, over several leads.
constexpr Duration kAskTime = std::chrono::milliseconds(1500);
/// Answers of hosts that no longer lead, before one's own takes over.
constexpr int kMaxNotLead = 4;
/// Domains that a question is sent on to; two leads may each have heard of the
/// other's account only.
constexpr int kMaxSentOn = 2;
/// Questions without answer, before another domain's lead is asked.
constexpr int kMaxUnanswered = 2;
constexpr Duration kAskAgainWait = std::chrono::milliseconds(60);
/// Settlements are sent together after this time; budgets may count a turn at
/// its most until then.
constexpr Duration kSettleInterval = std::chrono::milliseconds(100);
constexpr Duration kSettleTimeout = std::chrono::milliseconds(1000);
constexpr Duration kHomeRetention = std::chrono::seconds(75);
constexpr Duration kSweepInterval = std::chrono::seconds(5);
/// Settlements kept for a lead that can't be reached; more are dropped, and
/// their turns count at their most.
constexpr std::size_t kMaxSettlements = 500;

}  // namespace

/// One question on its way.
struct GrantClient::Asking {
  explicit Asking(EventLoop& loop) : m_timer(loop) {}

  GrantQuestion m_question;
  Answered m_answered;
  TimePoint m_deadline;
  DomainId m_domain;
  /// The lead that was asked last, if one was known.
  std::optional<KnownLead> m_asked;
  int m_sent_on = 0;
  int m_not_lead = 0;
  int m_unanswered = 0;
  boost::asio::steady_timer m_timer;
};

GrantClient::GrantClient(EntryContext& context, LeadService& own_lead)
    : m_context(context), m_own_lead(own_lead) {}

auto GrantClient::HomeOf(const ProgramId& program) const -> DomainId {
  const auto home = m_homes.find(program);
  return home == m_homes.end() ? m_context.m_settings.m_domain
                               : home->second.m_domain;
}

auto GrantClient::Ask(const GrantQuestion& question, Answered answered)
    -> void {
  auto asking = std::make_shared<Asking>(m_context.m_loop);
  asking->m_question = question;
  asking->m_answered = std::move(answered);
  asking->m_deadline = SteadyTime() + kAskTime;
  asking->m_domain = HomeOf(question.m_grant.m_program);
  AskLead(asking);
}

auto GrantClient::AskLead(const std::shared_ptr<Asking>& asking) -> void {
  const auto own = asking->m_domain == m_context.m_settings.m_domain;
  asking->m_asked = m_context.LeadOf(asking->m_domain);
  if (!asking->m_asked) {
    OnNoAnswer(asking);
    return;
  }
  const auto& entry = asking->m_asked->m_entry;
  if (own && entry.m_host == m_context.m_settings.m_host) {
    m_own_lead.Ask(asking->m_question,
                   [this, asking](const GrantAnswer& answer) {
                     OnAnswer(asking, answer);
                   });
    return;
  }
  CallPeer(m_context.m_loop, m_context.m_peers, entry.m_peer_address,
           kGrantPath, EncodeGrantQuestion(asking->m_question), kLeadTimeout,
           [this, asking](const Result<std::string>& reply) {
             const auto answer = reply.and_then(DecodeGrantAnswer);
             if (answer) {
               OnAnswer(asking, *answer);
             } else {
               OnNoAnswer(asking);
             }
           });
}

auto GrantClient::OnAnswer(const std::shared_ptr<Asking>& asking,
                           const GrantAnswer& answer) -> void {
  if (answer.m_verdict == GrantVerdict::kNotLead) {
    // It lives and has restarted or been replaced.
    if (answer.m_lead && m_own_lead.NoteLead(*answer.m_lead)) {
      AskLead(asking);
      return;
    }
    if (++asking->m_not_lead > kMaxNotLead) {
      OnNoAnswer(asking);
    } else {
      AskAgain(asking);
    }
    return;
  }
  if (answer.m_verdict == GrantVerdict::kNoStore) {
    // A host that reaches the store can do better than the lead.
    const auto replaceable =
        asking->m_domain == m_context.m_settings.m_domain &&
        !m_own_lead.leading() && m_context.m_store_reached;
    if (replaceable) {
      OnNoAnswer(asking);
    } else {
      GiveUp(*asking);
    }
    return;
  }
  if (answer.m_verdict == GrantVerdict::kElsewhere) {
    if (++asking->m_sent_on > kMaxSentOn) {
      GiveUp(*asking);
      return;
    }
    m_homes[asking->m_question.m_grant.m_program] = {answer.m_domain,
                                                     SteadyTime()};
    asking->m_domain = answer.m_domain;
    AskLead(asking);
    return;
  }
  asking->m_answered(answer);
}

auto GrantClient::OnNoAnswer(const std::shared_ptr<Asking>& asking) -> void {
  const auto& own = m_context.m_settings.m_domain;
  if (!m_context.IsNewest(asking->m_domain, asking->m_asked)) {
    AskAgain(asking);
    return;
  }
  if (asking->m_domain == own) {
    m_own_lead.TakeOver(asking->m_asked);
    if (++asking->m_unanswered >= kMaxUnanswered) {
      asking->m_domain = FallbackDomain(asking->m_question.m_grant.m_program);
    }
  }
  AskAgain(asking);
}

/// Another domain's lead, the same for all turns of a program: it can grant
/// what a blind account allows.
auto GrantClient::FallbackDomain(const ProgramId& program) const -> DomainId {
  std::vector<DomainId> others;
  for (const auto& [domain, lead] : m_context.m_leads) {
    if (domain != m_context.m_settings.m_domain) {
      others.push_back(domain);
    }
  }
  if (others.empty()) {
    return m_context.m_settings.m_domain;
  }
  return others[std::hash<ProgramId>{}(program) % others.size()];
}

auto GrantClient::AskAgain(const std::shared_ptr<Asking>& asking) -> void {
  if (SteadyTime() + kAskAgainWait > asking->m_deadline) {
    GiveUp(*asking);
    return;
  }
  asking->m_timer.expires_after(kAskAgainWait);
  asking->m_timer.async_wait(
      [this, asking](const boost::system::error_code& error) {
        if (!error) {
          AskLead(asking);
        }
      });
}

auto GrantClient::GiveUp(const Asking& asking) -> void {
  // A lead may have granted the turn without being heard: it won't run.
  const auto& grant = asking.m_question.m_grant;
  Settle({.m_program = grant.m_program, .m_request = grant.m_request});
  asking.m_answered({.m_verdict = GrantVerdict::kUnavailable});
}

auto GrantClient::Settle(const TurnSettlement& settlement) -> void {
  auto& list = m_settlements[HomeOf(settlement.m_program)];
  if (list.size() < kMaxSettlements) {
    list.push_back(settlement);
  }
}

auto GrantClient::SendSettlements(const DomainId& domain) -> void {
  const auto lead = m_context.m_leads.find(domain);
  if (lead == m_context.m_leads.end()) {
    return;
  }
  auto list = std::exchange(m_settlements[domain], {});
  const auto& entry = lead->second.m_entry;
  if (entry.m_host == m_context.m_settings.m_host) {
    if (!m_own_lead.Settle(list)) {
      KeepSettlements(domain, std::move(list));
    }
    return;
  }
  const auto body = EncodeSettlements(list);
  CallPeer(m_context.m_loop, m_context.m_peers, entry.m_peer_address,
           kSettlePath, body, kSettleTimeout,
           [this, domain,
            list = std::move(list)](const Result<std::string>& reply) mutable {
             if (!reply) {
               KeepSettlements(domain, std::move(list));
             }
           });
}

auto GrantClient::KeepSettlements(const DomainId& domain,
                                  std::vector<TurnSettlement> list) -> void {
  auto& kept = m_settlements[domain];
  for (auto& one : list) {
    if (kept.size() < kMaxSettlements) {
      kept.push_back(std::move(one));
    }
  }
}

auto GrantClient::Tick(TimePoint now) -> void {
  if (now - m_last_settled >= kSettleInterval) {
    m_last_settled = now;
    for (const auto& [domain, list] : m_settlements) {
      if (!list.empty()) {
        SendSettlements(domain);
      }
    }
  }
  if (now - m_last_sweep >= kSweepInterval) {
    m_last_sweep = now;
    std::erase_if(m_homes, [now](const auto& item) {
      return now - item.second.m_last_used > kHomeRetention;
    });
  }
}

}  // namespace dotterelshed
