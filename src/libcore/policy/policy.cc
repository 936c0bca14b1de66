#include "dotterelshed/policy.h"

#include <algorithm>
#include <nlohmann/json.hpp>

#include "policy/policy_admission.h"
#include "policy/policy_ejection.h"
#include "policy/policy_endpoint.h"
#include "policy/policy_hedging.h"
#include "policy/policy_order.h"
#include "policy/policy_quarantine.h"
#include "policy/policy_retention.h"

namespace dotterelshed {

namespace {

/// Rates assumed until the first calls have been measured.
constexpr double kInitialTokenGapS = 0.02;
constexpr double kInitialPrefillS = 0.0003;
/// Divisor for the reported load of other clients, which is out of date.
constexpr int kExternalLoadDivisor = 2;
/// An endpoint counts as restarted if a report without the leaving flag arrives
/// this long after it was last marked as leaving. Earlier reports may have been
/// sent before that mark.
constexpr Duration kRestartDelay = std::chrono::seconds(10);

auto AddEndpoint(PoolPolicy& policy, const EndpointConfig& config) -> void {
  const auto [found, added] = policy.m_endpoints.try_emplace(config.m_id);
  auto& endpoint = found->second;
  endpoint.m_config = config;
  endpoint.m_configured = true;
  if (added) {
    endpoint.m_token_gap_s = kInitialTokenGapS;
    endpoint.m_prefill_s = kInitialPrefillS;
  }
  endpoint.m_limit = std::max(1, config.m_max_concurrency);
}

/// Moves queued calls away from an endpoint that gets no new work.
auto StopNewWork(PoolPolicy& policy, pvt::ScheduledEndpoint& endpoint) -> void {
  pvt::MoveWarmCallsToSharedQueue(policy, endpoint);
  pvt::UpdateFree(policy, endpoint);
}

auto DumpEndpoint(const pvt::ScheduledEndpoint& endpoint)
    -> nlohmann::ordered_json {
  return {
      {"state", ToString(endpoint.m_state)},
      {"configured", endpoint.m_configured},
      {"leaving", endpoint.m_leaving},
      {"running", endpoint.m_running.size()},
      {"limit", endpoint.m_limit},
      {"waiting_warm",
       endpoint.m_warm.m_short.size() + endpoint.m_warm.m_long.size()},
      {"token_gap_us", static_cast<std::int64_t>(endpoint.m_token_gap_s * 1e6)},
      {"held_tokens", endpoint.m_held_memory},
      {"holds", endpoint.m_holds.size()}};
}

}  // namespace

auto MakePoolPolicy(const PolicyOptions& options)
    -> std::shared_ptr<PoolPolicy> {
  auto policy = std::make_shared<PoolPolicy>();
  policy->m_options = options;
  policy->m_retry_budget = pvt::RetryReserve();
  return policy;
}

auto SetPoolConfig(PoolPolicy& policy,
                   const DeskConfig& config,
                   const std::vector<EndpointConfig>& endpoints,
                   TimePoint /*now*/) -> void {
  policy.m_short_share_percent =
      policy.m_options.m_short_share ? config.m_short_share_percent : 0;
  policy.m_retry_share_percent = config.m_retry_share_percent;
  for (const auto& [id, entry] : config.m_classes) {
    policy.m_classes[id].m_weight = entry.m_weight;
  }
  for (auto& [id, endpoint] : policy.m_endpoints) {
    endpoint.m_configured = false;
  }
  for (const auto& entry : endpoints) {
    AddEndpoint(policy, entry);
  }
  for (auto& [id, endpoint] : policy.m_endpoints) {
    if (!endpoint.m_configured) {
      StopNewWork(policy, endpoint);
    }
    pvt::UpdateFree(policy, endpoint);
  }
  std::erase_if(policy.m_endpoints, [](const auto& entry) {
    const auto& endpoint = entry.second;
    return !endpoint.m_configured && endpoint.m_running.empty() &&
           endpoint.m_holds.empty() && endpoint.m_isolated.empty();
  });
}

auto ApplyLoadReport(PoolPolicy& policy,
                     const LoadReport& report,
                     TimePoint now) -> void {
  const auto found = policy.m_endpoints.find(report.m_endpoint);
  if (found == policy.m_endpoints.end()) {
    return;
  }
  auto& endpoint = found->second;
  endpoint.m_models = report.m_models;
  const auto others = report.m_running + report.m_waiting -
                      static_cast<int>(endpoint.m_running.size());
  endpoint.m_external_load = std::max(0, others) / kExternalLoadDivisor;
  endpoint.m_reported_at = now;
  if (report.m_leaving) {
    MarkEndpointLeaving(policy, report.m_endpoint, now);
  } else if (endpoint.m_leaving && !endpoint.m_listed_leaving &&
             now - endpoint.m_left_at > kRestartDelay) {
    endpoint.m_leaving = false;
  }
  pvt::UpdateFree(policy, endpoint);
}

auto ApplyCacheReport(PoolPolicy& policy,
                      const CacheReport& report,
                      TimePoint /*now*/) -> void {
  for (const auto& hold : report.m_evicted) {
    const auto program = pvt::ProgramOfHold(hold);
    const auto* prefix = pvt::FindPrefix(policy, program);
    if (prefix != nullptr && prefix->m_hold == hold) {
      pvt::DropPrefix(policy, program);
    }
  }
}

auto SetEndpointListedLeaving(PoolPolicy& policy,
                              const EndpointId& endpoint,
                              bool leaving,
                              TimePoint now) -> void {
  const auto found = policy.m_endpoints.find(endpoint);
  if (found == policy.m_endpoints.end()) {
    return;
  }
  found->second.m_listed_leaving = leaving;
  if (leaving) {
    MarkEndpointLeaving(policy, endpoint, now);
  }
}

auto MarkEndpointLeaving(PoolPolicy& policy,
                         const EndpointId& endpoint,
                         TimePoint now) -> void {
  const auto found = policy.m_endpoints.find(endpoint);
  if (found == policy.m_endpoints.end()) {
    return;
  }
  found->second.m_leaving = true;
  found->second.m_left_at = now;
  StopNewWork(policy, found->second);
}

auto NoteQuarantined(PoolPolicy& policy, const Digest& content) -> void {
  pvt::AddQuarantined(policy, content);
}

auto EndProgram(PoolPolicy& policy, const ProgramId& program)
    -> std::vector<HoldRecord> {
  auto holds = pvt::DropPrefix(policy, program);
  pvt::ForgetProgram(policy, program);
  return holds;
}

auto DumpPolicy(const PoolPolicy& policy, TimePoint /*now*/) -> std::string {
  nlohmann::ordered_json out;
  out["queued"] = policy.m_queued;
  out["queued_by_level"] = policy.m_queued_by_level;
  out["running"] = policy.m_attempts.size();
  out["programs"] = policy.m_programs.size();
  out["headroom"] = Headroom(policy);
  out["retry_budget"] = static_cast<int>(policy.m_retry_budget);
  out["suspects"] = policy.m_suspects.size();
  out["quarantined"] = policy.m_quarantined.size();
  out["endpoints"] = nlohmann::ordered_json::object();
  for (const auto& [id, endpoint] : policy.m_endpoints) {
    out["endpoints"][id.value()] = DumpEndpoint(endpoint);
  }
  return out.dump();
}

}  // namespace dotterelshed
