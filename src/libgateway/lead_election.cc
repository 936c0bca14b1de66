#include "lead_election.h"

#include "dotterelshed/steady_time.h"
#include "peer_call.h"

namespace dotterelshed {

namespace {

/// A domain without lead gets one after this time at the latest; hosts wait
/// for different parts of it, so that mostly one of them tries.
constexpr Duration kMaxElectionDelay = std::chrono::milliseconds(1500);
/// A handover stops the domain's turns for some 100 ms, so it has to pay.
constexpr double kMinCapacityRatio = 2.0;
/// Longest wait for a lead that gives way; its last write takes a part of it.
constexpr Duration kYieldTimeout = std::chrono::milliseconds(1200);
/// Time between two questions to a lead that didn't give way.
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
  // The store may still name this host's process of before.
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
             // Without an answer the next question tries again.
             if (reply) {
               m_lead.TakeOver(lead);
             }
           });
}

}  // namespace dotterelshed
