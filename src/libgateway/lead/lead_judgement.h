#ifndef DOTTERELSHED_LEAD_JUDGEMENT_H_
#define DOTTERELSHED_LEAD_JUDGEMENT_H_

#include "dotterelshed/host_judgement.h"
#include "entry_context.h"
#include "lead/lead_messages.h"

/// @file
/// Judgement of endpoints by the lead of a domain, from the reports of its
/// hosts.

namespace dotterelshed {

class LeadJudgement {
 public:
  explicit LeadJudgement(EntryContext& context) : m_context(context) {}

  /// Returns what the reporting host is told.
  auto TakeReport(const EndpointReport& report, TimePoint now)
      -> DomainJudgement;
  /// Returns an endpoint of the service that the next turn is to probe.
  auto TakeTurnProbe(const ServiceId& service, TimePoint now)
      -> std::optional<EndpointId>;
  auto shares() const -> const EndpointShares& { return m_shares; }
  auto slowness() const -> const EndpointSlowness& { return m_slowness; }
  /// Number of hosts that reported recently.
  auto hosts() const -> std::size_t { return m_hosts.size(); }
  auto Tick(TimePoint now) -> void;
  /// This host no longer leads, or leads anew.
  auto Clear() -> void;

 private:
  auto HostProbe(TimePoint now) -> std::optional<ProbeOrder>;
  /// Brings what hosts are told up to date.
  auto Refresh(TimePoint now) -> void;

  EntryContext& m_context;
  EndpointJudgement m_judgement;
  EndpointShares m_shares;
  EndpointPaces m_paces;
  EndpointSlowness m_slowness;
  /// Hosts by the time of their last report.
  std::map<HostId, TimePoint> m_hosts;
  TimePoint m_last_refresh;
};

}  // namespace dotterelshed

#endif  // DOTTERELSHED_LEAD_JUDGEMENT_H_
