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
constexpr Duration kRequestTimeout = std::chrono::milliseconds(1500);
/// Answers of hosts that no longer lead, before one's own takes over.
constexpr int kMaxNotLeadResponses = 4;
/// Domains that a question is sent on to; two leads may each have heard of the
/// other's account only.
constexpr int kMaxRedirects = 2;
/// Questions without answer, before another domain's lead is asked.
constexpr int kMaxUnansweredRequests = 2;
constexpr Duration kRetryDelay = std::chrono::milliseconds(60);
/// Settlements are sent together after this time; budgets may count a turn at
/// its most until then.
constexpr Duration kSettleInterval = std::chrono::milliseconds(100);
constexpr Duration kSettleTimeout = std::chrono::milliseconds(1000);
constexpr Duration kAccountDomainRetention = std::chrono::seconds(75);
constexpr Duration kSweepInterval = std::chrono::seconds(5);
/// Settlements kept for a lead that can't be reached; more are dropped, and
/// their turns count at their most.
constexpr std::size_t kMaxSettlements = 500;

}  // namespace

/// One question on its way.
struct GrantClient::PendingRequest {
  explicit PendingRequest(EventLoop& loop) : m_timer(loop) {}

  TurnGrantRequest m_request;
  ResponseCallback m_respond;
  TimePoint m_deadline;
  DomainId m_domain;
  /// The lead that was asked last, if one was known.
  std::optional<KnownLead> m_asked_lead;
  int m_redirects = 0;
  int m_not_lead_responses = 0;
  int m_unanswered_requests = 0;
  boost::asio::steady_timer m_timer;
};

GrantClient::GrantClient(EntryContext& context, LeadService& own_lead)
    : m_context(context), m_own_lead(own_lead) {}

auto GrantClient::AccountDomainOf(const ProgramId& program) const -> DomainId {
  const auto known = m_account_domains.find(program);
  return known == m_account_domains.end() ? m_context.m_settings.m_domain
                                          : known->second.m_domain;
}

auto GrantClient::RequestTurn(const TurnGrantRequest& request,
                              ResponseCallback respond) -> void {
  auto pending = std::make_shared<PendingRequest>(m_context.m_loop);
  pending->m_request = request;
  pending->m_respond = std::move(respond);
  pending->m_deadline = SteadyTime() + kRequestTimeout;
  pending->m_domain = AccountDomainOf(request.m_grant.m_program);
  SendToLead(pending);
}

auto GrantClient::SendToLead(const std::shared_ptr<PendingRequest>& pending)
    -> void {
  const auto own = pending->m_domain == m_context.m_settings.m_domain;
  pending->m_asked_lead = m_context.LeadOf(pending->m_domain);
  if (!pending->m_asked_lead) {
    OnNoResponse(pending);
    return;
  }
  const auto& entry = pending->m_asked_lead->m_entry;
  if (own && entry.m_host == m_context.m_settings.m_host) {
    m_own_lead.RequestTurn(pending->m_request,
                           [this, pending](const TurnGrantResponse& response) {
                             OnResponse(pending, response);
                           });
    return;
  }
  CallPeer(m_context.m_loop, m_context.m_peer_connections, entry.m_peer_address,
           kGrantPath, EncodeTurnGrantRequest(pending->m_request), kLeadTimeout,
           [this, pending](const Result<std::string>& reply) {
             const auto response = reply.and_then(DecodeTurnGrantResponse);
             if (response) {
               OnResponse(pending, *response);
             } else {
               OnNoResponse(pending);
             }
           });
}

auto GrantClient::OnResponse(const std::shared_ptr<PendingRequest>& pending,
                             const TurnGrantResponse& response) -> void {
  if (response.m_verdict == GrantVerdict::kNotLead) {
    // It lives and has restarted or been replaced.
    if (response.m_lead && m_own_lead.OnLeadUpdate(*response.m_lead)) {
      SendToLead(pending);
      return;
    }
    if (++pending->m_not_lead_responses > kMaxNotLeadResponses) {
      OnNoResponse(pending);
    } else {
      RetryLater(pending);
    }
    return;
  }
  if (response.m_verdict == GrantVerdict::kNoStore) {
    // A host that reaches the store can do better than the lead.
    const auto replaceable =
        pending->m_domain == m_context.m_settings.m_domain &&
        !m_own_lead.leading() && m_context.m_store_reachable;
    if (replaceable) {
      OnNoResponse(pending);
    } else {
      GiveUp(*pending);
    }
    return;
  }
  if (response.m_verdict == GrantVerdict::kElsewhere) {
    if (++pending->m_redirects > kMaxRedirects) {
      GiveUp(*pending);
      return;
    }
    m_account_domains[pending->m_request.m_grant.m_program] = {
        response.m_domain, SteadyTime()};
    pending->m_domain = response.m_domain;
    SendToLead(pending);
    return;
  }
  pending->m_respond(response);
}

auto GrantClient::OnNoResponse(const std::shared_ptr<PendingRequest>& pending)
    -> void {
  const auto& own = m_context.m_settings.m_domain;
  if (!m_context.IsCurrentLead(pending->m_domain, pending->m_asked_lead)) {
    RetryLater(pending);
    return;
  }
  if (pending->m_domain == own) {
    m_own_lead.TakeOver(pending->m_asked_lead);
    if (++pending->m_unanswered_requests >= kMaxUnansweredRequests) {
      pending->m_domain = FallbackDomain(pending->m_request.m_grant.m_program);
    }
  }
  RetryLater(pending);
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

auto GrantClient::RetryLater(const std::shared_ptr<PendingRequest>& pending)
    -> void {
  if (SteadyTime() + kRetryDelay > pending->m_deadline) {
    GiveUp(*pending);
    return;
  }
  pending->m_timer.expires_after(kRetryDelay);
  pending->m_timer.async_wait(
      [this, pending](const boost::system::error_code& error) {
        if (!error) {
          SendToLead(pending);
        }
      });
}

auto GrantClient::GiveUp(const PendingRequest& pending) -> void {
  // A lead may have granted the turn without being heard: it won't run.
  const auto& grant = pending.m_request.m_grant;
  Settle({.m_program = grant.m_program, .m_request = grant.m_request});
  pending.m_respond({.m_verdict = GrantVerdict::kUnavailable});
}

auto GrantClient::Settle(const TurnSettlement& settlement) -> void {
  auto& list = m_settlements[AccountDomainOf(settlement.m_program)];
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
      RequeueSettlements(domain, std::move(list));
    }
    return;
  }
  const auto body = EncodeSettlements(list);
  CallPeer(m_context.m_loop, m_context.m_peer_connections, entry.m_peer_address,
           kSettlePath, body, kSettleTimeout,
           [this, domain,
            list = std::move(list)](const Result<std::string>& reply) mutable {
             if (!reply) {
               RequeueSettlements(domain, std::move(list));
             }
           });
}

auto GrantClient::RequeueSettlements(const DomainId& domain,
                                     std::vector<TurnSettlement> list) -> void {
  auto& kept = m_settlements[domain];
  for (auto& one : list) {
    if (kept.size() < kMaxSettlements) {
      kept.push_back(std::move(one));
    }
  }
}

auto GrantClient::Tick(TimePoint now) -> void {
  if (now - m_last_settlement >= kSettleInterval) {
    m_last_settlement = now;
    for (const auto& [domain, list] : m_settlements) {
      if (!list.empty()) {
        SendSettlements(domain);
      }
    }
  }
  if (now - m_last_sweep >= kSweepInterval) {
    m_last_sweep = now;
    std::erase_if(m_account_domains, [now](const auto& item) {
      return now - item.second.m_last_used > kAccountDomainRetention;
    });
  }
}

}  // namespace dotterelshed
