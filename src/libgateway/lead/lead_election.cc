#include "lead/lead_election.h"

#include "dotterelshed/log_events.h"
#include "dotterelshed/steady_time.h"
#include "peer_call.h"

namespace dotterelshed {

namespace {

/// Upper bound of the random delay before a host claims a domain without a
/// lead. Different delays make it likely that only one host claims it.
constexpr Duration kMaxElectionDelay = std::chrono::milliseconds(1500);
/// Timeout of a request to stop leading, which includes the lead's last write.
constexpr Duration kRequestTimeout = std::chrono::milliseconds(1200);
/// Minimum interval between requests to a lead that did not stop.
constexpr Duration kRequestInterval = std::chrono::milliseconds(2000);
/// A lead that serves no views is replaced after this time at the earliest, so
/// that short outages of the store change no lead.
constexpr Duration kMinReaderOutage = std::chrono::milliseconds(1500);
/// Upper bound of the random delay that makes it likely that only one host
/// replaces a lead.
constexpr Duration kMaxReplacementDelay = std::chrono::milliseconds(1000);
/// A host that is smaller than the lead waits this much longer for the others.
constexpr Duration kSmallHostDelay = std::chrono::milliseconds(1000);

/// Why a request of the path is sent, for the log.
auto ReasonOf(std::string_view path) -> std::string {
  return path == kYieldPath ? "smaller" : "store_lost";
}

}  // namespace

LeadElection::LeadElection(EntryContext& context, LeadService& lead)
    : m_context(context),
      m_lead(lead),
      m_started_at(SteadyTime()),
      m_election_delay(FromSeconds(ToSeconds(kMaxElectionDelay) *
                                   m_context.RandomFraction())),
      m_replacement_delay(kMinReaderOutage +
                          FromSeconds(ToSeconds(kMaxReplacementDelay) *
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
  if (!lead || !m_context.m_store_reachable) {
    return;
  }
  const auto due = now >= m_next_request;
  if (IsMuchSmaller(lead->m_entry.m_processor_share,
                    m_context.m_settings.m_processor_share)) {
    // Small leads may replace each other faster than a request is due.
    if (due || lead->m_version != m_asked_term) {
      RequestLead(*lead, kYieldPath);
    }
  } else if (due && HasLostStore(*lead, now)) {
    RequestLead(*lead, kStepDownPath);
  }
}

auto LeadElection::HasLostStore(const KnownLead& lead, TimePoint now) const
    -> bool {
  const auto since = m_context.m_endpoint_watcher->reader_failed_since();
  const auto smaller =
      m_context.m_settings.m_processor_share < lead.m_entry.m_processor_share;
  const auto delay =
      m_replacement_delay + (smaller ? kSmallHostDelay : Duration{0});
  return since && now - *since >= delay;
}

auto LeadElection::RequestLead(const KnownLead& lead, std::string_view path)
    -> void {
  m_asked_term = lead.m_version;
  m_next_request =
      SteadyTime() + kRequestInterval +
      FromSeconds(ToSeconds(kRequestInterval) * m_context.RandomFraction());
  CallPeer(
      m_context.m_loop, m_context.m_peer_connections,
      lead.m_entry.m_peer_address, path, EncodeKnownLead(lead), kRequestTimeout,
      [this, lead, path](const Result<std::string>& reply) {
        LogEvent(LogEventId::kLeadAsked,
                 {{"domain", lead.m_domain.value()},
                  {"lead", lead.m_entry.m_host.value()},
                  {"term", std::to_string(lead.m_version.value())},
                  {"reason", ReasonOf(path)},
                  {"outcome", reply ? "gave_way" : reply.error().m_message}});
        // A small lead that doesn't respond in time is overloaded, and so would
        // the next small one be.
        const auto overloaded = path == kYieldPath && !reply &&
                                reply.error().m_code == ErrorCode::kTimeout;
        if (reply || overloaded) {
          m_lead.TakeOver(lead);
        }
      });
}

}  // namespace dotterelshed
