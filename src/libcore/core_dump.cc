#include <nlohmann/json.hpp>

#include "core_state.h"
#include "core_state_machines.h"
#include "program/budget_ledger.h"

namespace dotterelshed {

namespace {

using Json = nlohmann::ordered_json;

constexpr std::size_t kMaxDumpedCalls = 200;

auto ToJson(const HostRef& host) -> Json {
  return {{"host", host.m_host.value()},
          {"incarnation", host.m_incarnation.value()}};
}

auto ToString(pvt::CopyMode mode) -> std::string {
  switch (mode) {
    case pvt::CopyMode::kHolder:
      return "holder";
    case pvt::CopyMode::kSpare:
      return "spare";
    case pvt::CopyMode::kAlone:
      return "alone";
  }
  return "";
}

auto CallsToJson(const pvt::PoolState& pool, TimePoint now) -> Json {
  auto calls = Json::array();
  for (const auto& [request, call] : pool.m_calls) {
    if (calls.size() >= kMaxDumpedCalls) {
      break;
    }
    calls.push_back({{"request", request.value()},
                     {"program", call.m_call.m_program.value()},
                     {"turn", call.m_call.m_turn.value()},
                     {"state", pvt::ToString(call.m_state)},
                     {"age_ms", (now - call.m_since).count() / 1000},
                     {"attempts", call.m_started_attempts}});
  }
  return calls;
}

auto PoolToJson(const pvt::PoolState& pool, TimePoint now) -> Json {
  Json out;
  out["role"] = pvt::ToString(pool.m_role);
  out["term"] = pool.m_assignment.m_term.value();
  out["highest_term"] = pool.m_highest.value();
  out["primary"] = ToJson(pool.m_assignment.m_primary);
  out["holder"] = ToJson(pool.m_assignment.m_holder);
  out["copies"] = {{"mode", ToString(pool.m_mode)},
                   {"target", ToJson(pool.m_target)},
                   {"complete", pool.m_complete},
                   {"unconfirmed_changes", pool.m_changes.size()}};
  out["programs"] = pool.m_store.m_programs.size();
  out["budget_ledgers"] = pool.m_store.m_ledgers.size();
  out["waiting_calls"] = pool.m_waiting.size();
  out["open_calls"] = pool.m_calls.size();
  out["calls"] = CallsToJson(pool, now);
  for (const auto& [service, policy] : pool.m_policies) {
    out["scheduling"][service.value()] =
        Json::parse(DumpPolicy(*policy, now), nullptr, false);
  }
  return out;
}

}  // namespace

auto DumpCore(const HostCore& core, TimePoint now) -> std::string {
  Json out;
  out["host"] = ToJson(core.m_options.m_self);
  out["domain"] = core.m_options.m_domain.value();
  out["generation"] = core.m_config ? core.m_config->m_generation.value() : 0;
  out["platform_reachable"] = core.m_platform_reachable;
  out["draining"] = core.m_draining;
  out["running_attempts"] = core.m_attempts.size();
  out["unconfirmed_releases"] = core.m_releases.size();
  out["quarantined"] = core.m_quarantined.size();
  out["pools"] = Json::object();
  for (const auto& [id, pool] : core.m_pools) {
    out["pools"][id.value()] = PoolToJson(pool, now);
  }
  out["ownership"] =
      Json::parse(DumpOwnership(*core.m_ownership, now), nullptr, false);
  out["actions"] = Json::parse(DumpClaims(*core.m_claims, now), nullptr, false);
  out["rollout"] =
      Json::parse(DumpRollout(*core.m_rollout, now), nullptr, false);
  return out.dump(2, ' ', false, Json::error_handler_t::replace);
}

}  // namespace dotterelshed
