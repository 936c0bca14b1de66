#include "lead/lead_judgement.h"

#include "judgement/judgement_log.h"

namespace dotterelshed {

namespace {

/// A host without a report for this time no longer counts.
constexpr Duration kHostSilence = std::chrono::seconds(30);
/// A refresh visits all endpoints that hosts reported of.
constexpr Duration kRefreshInterval = std::chrono::milliseconds(200);

}  // namespace

auto LeadJudgement::TakeReport(const EndpointReport& report, TimePoint now)
    -> DomainJudgement {
  const auto changes =
      dotterelshed::TakeReport(m_judgement, m_context.m_directory,
                               report.m_host, report.m_outcomes, now);
  m_hosts[report.m_host] = now;
  TakeSlowness(m_paces, report.m_slowness, now);
  if (!changes.empty()) {
    ReportJudgement(changes, "lead");
    m_shares = SharesOf(m_judgement, m_context.m_directory);
  }
  return {.m_shares = m_shares,
          .m_slowness = m_slowness,
          .m_hosts = m_hosts.size(),
          .m_probe = HostProbe(now)};
}

/// Endpoints of services that turns run on are probed with turns, which this
/// lead places, unless none come.
auto LeadJudgement::HostProbe(TimePoint now) -> std::optional<ProbeOrder> {
  EndpointShares with_turns;
  for (const auto& id : m_judgement.m_unusual) {
    const auto* entry = FindEndpoint(m_context.m_directory, id);
    const auto since = now - m_judgement.m_endpoints.at(id).m_state_since;
    const auto engine =
        entry != nullptr && m_context.m_routes &&
        TraitsOf(*m_context.m_routes, entry->m_service).m_engine;
    if (engine && since < m_judgement.m_options.m_any_probe_wait) {
      with_turns.emplace(id, 0);
    }
  }
  return TakeProbe(m_judgement, m_context.m_directory,
                   {.m_skipped = &with_turns}, now);
}

auto LeadJudgement::TakeTurnProbe(const ServiceId& service, TimePoint now)
    -> std::optional<EndpointId> {
  const auto probe = TakeProbe(m_judgement, m_context.m_directory,
                               {.m_service = service}, now);
  return probe ? std::optional(probe->m_endpoint) : std::nullopt;
}

auto LeadJudgement::Tick(TimePoint now) -> void {
  if (now - m_last_refresh >= kRefreshInterval) {
    Refresh(now);
  }
}

auto LeadJudgement::Refresh(TimePoint now) -> void {
  m_last_refresh = now;
  ReportJudgement(AdvanceJudgement(m_judgement, m_context.m_directory, now),
                  "lead");
  m_shares = SharesOf(m_judgement, m_context.m_directory);
  m_slowness = CollectSlowness(m_paces, now);
  std::erase_if(m_hosts, [now](const auto& item) {
    return now - item.second > kHostSilence;
  });
}

auto LeadJudgement::Clear() -> void {
  m_judgement = {};
  m_shares.clear();
  m_paces.clear();
  m_slowness.clear();
  m_hosts.clear();
}

}  // namespace dotterelshed
