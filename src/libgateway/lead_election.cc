#include "lead_election.h"

#include "dotterelshed/steady_time.h"
#include "peer_call.h"

namespace dotterelshed {

namespace {

/// Upper bound of the random delay before a host claims a domain without a
/// lead. Different delays make it likely that only one host claims it.
constexpr Duration kMaxElectionDelay = std::chrono::milliseconds(1500);
/// Minimum ratio of processor shares for a handover, which stops the domain's
/// turns for about 100 ms.
constexpr double kMinCapacityRatio = 2.0;
/// Timeout of a yield request, which includes the lead's last write.
constexpr Duration kYieldTimeout = std::chrono::milliseconds(1200);
/// Minimum interval between yield requests to a lead that did not yield.
constexpr Duration kYieldRequestInterval = std::chrono::milliseconds(2000);

}  // namespace

LeadElection::LeadElection(EntryContext& context, LeadService& lead)
    : m_context(context),
      m_lead(lead),
      m_started_at(SteadyTime()),
      m_election_delay(FromSeconds(ToSeconds(kMaxElectionDelay) *
                                   m_context.RandomFraction())) {}

auto LeadElection::Tick(TimePoint now) -> void {
  if (m_lead.leading()) {
    return;
  }
  const auto lead = m_context.LeadOf(m_context.m_settings.m_domain);
  // The store may still name an earlier process of this host.
  const auto self = lead && lead->m_entry.m_host == m_context.m_settings.m_host;
  if (self || (!lead && now - m_started_at > m_election_delay)) {
    m_lead.TakeOver(lead);
    return;
  }
  if (lead && IsMuchSmaller(*lead) && now >= m_next_yield_request) {
    m_next_yield_request = now + kYieldRequestInterval +
                           FromSeconds(ToSeconds(kYieldRequestInterval) *
                                       m_context.RandomFraction());
    RequestYield(*lead);
  }
}

auto LeadElection::IsMuchSmaller(const KnownLead& lead) const -> bool {
  return m_context.m_store_reachable &&
         lead.m_entry.m_processor_share * kMinCapacityRatio <=
             m_context.m_settings.m_processor_share;
}

auto LeadElection::RequestYield(const KnownLead& lead) -> void {
  CallPeer(m_context.m_loop, m_context.m_peer_connections,
           lead.m_entry.m_peer_address, kYieldPath, EncodeKnownLead(lead),
           kYieldTimeout, [this, lead](const Result<std::string>& reply) {
             // Without a response, the next yield request retries.
             if (reply) {
               m_lead.TakeOver(lead);
             }
           });
}

}  // namespace dotterelshed
