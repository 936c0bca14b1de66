#include <fmt/format.h>

#include <utility>

#include "dotterelshed/steady_time.h"
#include "lead/lead_service.h"

/// @file
/// How a lead places turns on endpoints.

namespace dotterelshed {

auto LeadService::PlaceTurn(const TurnGrantRequest& request,
                            TurnGrantResponse& response,
                            TimePoint now) -> std::vector<LogField> {
  auto& hint = m_program_hints[request.m_grant.m_program];
  hint.m_last_used = now;
  const auto exhausted = m_limits.Exhausted(request.m_service, now);
  auto chosen = m_judgement.TakeTurnProbe(request.m_service, now);
  if (chosen && (exhausted.contains(*chosen) ||
                 !IsOfVersion(m_context.m_directory.m_entries.at(*chosen),
                              request.m_software))) {
    chosen.reset();
  }
  response.m_probe = chosen.has_value();
  if (!chosen) {
    chosen = ChooseEndpoint(m_context.m_directory, m_loads,
                            {.m_service = request.m_service,
                             .m_domain = m_context.m_settings.m_domain,
                             .m_software = request.m_software,
                             .m_excluded = exhausted,
                             .m_warm = hint.m_endpoint,
                             .m_shares = &m_judgement.shares(),
                             .m_share_draw = m_context.RandomFraction(),
                             .m_slowness = KnownSlowness(),
                             .m_sees_all_load = true,
                             .m_host = request.m_host,
                             .m_hosts = m_judgement.hosts(),
                             .m_draw = m_context.RandomFraction()},
                            now);
  }
  if (!chosen) {
    response.m_limit_wait = m_limits.ShortestWait(exhausted, now);
    return {};
  }
  response.m_endpoint = *chosen;
  response.m_permitted = m_limits.Take(*chosen, now);
  const auto kept = std::exchange(hint.m_endpoint, *chosen) == *chosen;
  auto placement = DescribePlacement(response, kept);
  ++m_loads[*chosen].m_outstanding;
  m_placed_turns[request.m_grant.m_request] = {*chosen, now};
  return placement;
}

auto LeadService::DescribePlacement(const TurnGrantResponse& response,
                                    bool kept) const -> std::vector<LogField> {
  const auto* slowness = KnownSlowness();
  if (slowness == nullptr) {
    return {};
  }
  const auto load = m_loads.find(response.m_endpoint);
  const auto outstanding =
      load == m_loads.end() ? 0 : load->second.m_outstanding;
  const auto found = slowness->find(response.m_endpoint);
  const auto times = found == slowness->end() ? 1 : found->second;
  return {{"endpoint", response.m_endpoint.value()},
          {"outstanding", std::to_string(outstanding)},
          {"slowness", fmt::format("{:.1f}", times)},
          {"kept", kept ? "yes" : "no"},
          {"probe", response.m_probe ? "yes" : "no"}};
}

/// Nothing where hosts don't judge endpoints: turns are then placed by the
/// places that are taken.
auto LeadService::KnownSlowness() const -> const EndpointSlowness* {
  return m_context.m_judgement.m_enabled ? &m_judgement.slowness() : nullptr;
}

auto LeadService::AskPermit(const LimitAsk& ask) -> LimitAnswer {
  if (m_phase != Phase::kActive) {
    return {};
  }
  return m_limits.HandleAsk(ask, SteadyTime());
}

auto LeadService::TellLimits(const LimitStatements& statements) -> void {
  if (m_phase == Phase::kActive) {
    m_limits.TellOtherLeads(statements, SteadyTime());
  }
}

auto LeadService::TakeEndpointReport(const EndpointReport& report)
    -> std::optional<DomainJudgement> {
  if (m_phase != Phase::kActive || !m_context.m_judgement.m_enabled) {
    return std::nullopt;
  }
  return m_judgement.TakeReport(report, SteadyTime());
}

}  // namespace dotterelshed
