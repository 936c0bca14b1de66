#include "lead/grant_client.h"

#include <algorithm>
#include <memory>
#include <utility>

#include "dotterelshed/log_events.h"
#include "dotterelshed/steady_time.h"
#include "peer_call.h"

namespace dotterelshed {

namespace {

/// Timeout of one request to a lead, which responds within 550 ms.
constexpr Duration kLeadTimeout = std::chrono::milliseconds(750);
/// Timeout of a grant request over all leads that are tried.
constexpr Duration kRequestTimeout = std::chrono::milliseconds(1500);
/// Maximum number of kNotLead responses before this host tries to take over.
constexpr int kMaxNotLeadResponses = 4;
/// Maximum number of redirects to other domains. Two leads may each have heard
/// only of the other's account and redirect to each other.
constexpr int kMaxRedirects = 2;
/// Number of unanswered requests before another domain's lead is asked.
constexpr int kMaxUnansweredRequests = 2;
constexpr Duration kRetryDelay = std::chrono::milliseconds(60);
/// Time left from which a lead may answer that it hasn't decided yet: enough
/// for that answer and one more request.
constexpr Duration kMinRetryTime = std::chrono::milliseconds(1200);
/// Interval between batches of settlements; until then a budget may count a
/// turn at its maximum.
constexpr Duration kSettleInterval = std::chrono::milliseconds(100);
constexpr Duration kSettleTimeout = std::chrono::milliseconds(1000);
constexpr Duration kAccountDomainRetention = std::chrono::seconds(75);
constexpr Duration kSweepInterval = std::chrono::seconds(5);
/// Maximum number of settlements queued for an unreachable lead. Further ones
/// are dropped, and their turns count at their maximum.
constexpr std::size_t kMaxSettlements = 500;

}  // namespace

/// One grant request in progress.
struct GrantClient::PendingRequest {
  explicit PendingRequest(EventLoop& loop) : m_timer(loop) {}

  TurnGrantRequest m_request;
  ResponseCallback m_respond;
  TimePoint m_deadline;
  DomainId m_domain;
  /// Lead that the last request was sent to, if one was known.
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
  const auto left = pending->m_deadline - SteadyTime();
  pending->m_request.m_may_retry = left >= kMinRetryTime;
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
  switch (response.m_verdict) {
    case GrantVerdict::kNotLead:
      OnNotLead(pending, response.m_lead);
      return;
    case GrantVerdict::kRetry:
      RetryLater(pending);
      return;
    case GrantVerdict::kNoStore:
      OnNoStore(pending);
      return;
    case GrantVerdict::kElsewhere:
      Redirect(pending, response.m_domain);
      return;
    case GrantVerdict::kGranted:
    case GrantVerdict::kBudgetSpent:
    case GrantVerdict::kUnavailable:
      break;
  }
  pending->m_respond(response);
}

/// The host is alive but has restarted or was replaced as lead.
auto GrantClient::OnNotLead(const std::shared_ptr<PendingRequest>& pending,
                            const std::optional<KnownLead>& lead) -> void {
  if (lead && m_own_lead.OnLeadUpdate(*lead)) {
    SendToLead(pending);
  } else if (++pending->m_not_lead_responses > kMaxNotLeadResponses) {
    OnNoResponse(pending);
  } else {
    RetryLater(pending);
  }
}

/// A host that can reach the store may replace the lead.
auto GrantClient::OnNoStore(const std::shared_ptr<PendingRequest>& pending)
    -> void {
  const auto replaceable = pending->m_domain == m_context.m_settings.m_domain &&
                           !m_own_lead.leading() && m_context.m_store_reachable;
  if (replaceable) {
    OnNoResponse(pending);
  } else {
    GiveUp(*pending);
  }
}

auto GrantClient::Redirect(const std::shared_ptr<PendingRequest>& pending,
                           const DomainId& domain) -> void {
  if (++pending->m_redirects > kMaxRedirects) {
    GiveUp(*pending);
    return;
  }
  m_account_domains[pending->m_request.m_grant.m_program] = {domain,
                                                             SteadyTime()};
  pending->m_domain = domain;
  SendToLead(pending);
}

auto GrantClient::OnNoResponse(const std::shared_ptr<PendingRequest>& pending)
    -> void {
  const auto& own = m_context.m_settings.m_domain;
  if (!m_context.IsCurrentLead(pending->m_domain, pending->m_asked_lead)) {
    RetryLater(pending);
    return;
  }
  if (pending->m_domain == own) {
    m_own_lead.TakeOverSilent(pending->m_asked_lead);
    if (++pending->m_unanswered_requests >= kMaxUnansweredRequests) {
      pending->m_domain = FallbackDomain(pending->m_request.m_grant.m_program);
    }
  }
  RetryLater(pending);
}

/// Returns another domain, the same for all turns of a program. Its lead can
/// grant what an unverified account allows.
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
  // The grant response may have been lost: the turn is settled with no tokens,
  // since it will not run.
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

auto GrantClient::settled() const -> bool {
  return m_unanswered_settlements == 0 &&
         std::all_of(m_settlements.begin(), m_settlements.end(),
                     [](const auto& item) { return item.second.empty(); });
}

auto GrantClient::SendSettlements(const DomainId& domain) -> void {
  const auto lead = m_context.m_leads.find(domain);
  if (lead == m_context.m_leads.end()) {
    return;
  }
  SettlementBatch batch{.m_settlements =
                            std::exchange(m_settlements[domain], {})};
  AddReport(domain, batch);
  const auto& entry = lead->second.m_entry;
  if (entry.m_host == m_context.m_settings.m_host) {
    SettleHere(domain, std::move(batch));
    return;
  }
  const auto body = EncodeSettlements(batch);
  const auto messages = batch.m_settlements.empty() ? 0 : 1;
  m_unanswered_settlements += messages;
  CallPeer(m_context.m_loop, m_context.m_peer_connections, entry.m_peer_address,
           kSettlePath, body, kSettleTimeout,
           [this, domain, messages, batch = std::move(batch)](
               const Result<std::string>& reply) mutable {
             m_unanswered_settlements -= messages;
             if (!reply) {
               RequeueSettlements(domain, std::move(batch.m_settlements));
             }
             OnSettleReply(reply, batch.m_report.has_value());
           });
}

auto GrantClient::SettleHere(const DomainId& domain, SettlementBatch batch)
    -> void {
  if (batch.m_report) {
    if (auto judgement = m_own_lead.TakeEndpointReport(*batch.m_report)) {
      TakeDomainJudgement(m_context.m_judgement, std::move(*judgement),
                          SteadyTime());
    }
  }
  if (!m_own_lead.Settle(batch.m_settlements)) {
    RequeueSettlements(domain, std::move(batch.m_settlements));
  }
}

/// A report that isn't answered is not repeated: it is old by then, and this
/// host judges by its own outcomes.
auto GrantClient::OnSettleReply(const Result<std::string>& reply, bool reported)
    -> void {
  if (!reported || !reply || reply->empty()) {
    return;
  }
  if (auto judgement = DecodeDomainJudgement(*reply)) {
    TakeDomainJudgement(m_context.m_judgement, std::move(*judgement),
                        SteadyTime());
  } else {
    LogEvent(LogEventId::kJudgementRejected,
             {{"reason", judgement.error().m_message}});
  }
}

auto GrantClient::AddReport(const DomainId& domain, SettlementBatch& batch)
    -> void {
  auto& judgement = m_context.m_judgement;
  // What fails while this host's own links may be failing is held back.
  const auto suspect = IsSuspect(m_context.m_endpoint_link, SteadyTime());
  if (judgement.m_enabled && domain == m_context.m_settings.m_domain &&
      !suspect) {
    batch.m_report = EndpointReport{
        .m_host = m_context.m_settings.m_host,
        .m_outcomes = TakeUnreported(judgement, SteadyTime()),
        .m_slowness = std::exchange(judgement.m_unreported_slowness, {})};
  }
}

auto GrantClient::IsSettlementDue(const DomainId& domain, TimePoint now) const
    -> bool {
  const auto found = m_settlements.find(domain);
  return (found != m_settlements.end() && !found->second.empty()) ||
         (domain == m_context.m_settings.m_domain &&
          IsReportDue(m_context.m_judgement, now));
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
    m_settlements.try_emplace(m_context.m_settings.m_domain);
    for (const auto& [domain, list] : m_settlements) {
      if (IsSettlementDue(domain, now)) {
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
