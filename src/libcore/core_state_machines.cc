#include "core_state_machines.h"

#include <array>

#include "dotterelshed/load_chart.h"

namespace dotterelshed::pvt {

namespace {

constexpr auto kCallStates = std::to_array<std::string_view>(
    {"checking", "fetching", "reserving", "queued", "claiming", "running",
     "settling", "released"});
constexpr auto kCallEvents = std::to_array<std::string_view>(
    {"history_missing", "history_fetched", "accepted", "reserved",
     "claim_needed", "dispatched", "refused", "answered", "recorded",
     "superseded"});
constexpr auto kCallActions = std::to_array<std::string_view>(
    {"fetch_history", "check_call", "send_reservation", "admit_call",
     "request_claim", "start_attempts", "send_settlement", "release_answer"});

constexpr auto kPoolRoles = std::to_array<std::string_view>(
    {"none", "holder", "collecting", "copying", "primary"});
constexpr auto kPoolEvents =
    std::to_array<std::string_view>({"made_holder", "made_primary", "made_none",
                                     "holder_changed", "collected", "copied"});
constexpr auto kPoolActions = std::to_array<std::string_view>(
    {"collect_state", "settle_inherited", "copy_state", "serve_waiting",
     "drop_calls"});

}  // namespace

auto LoadCallStateMachine(const std::string& directory)
    -> Result<CallStateMachine> {
  return LoadBoundChart<CallStateMachine>(
      directory, "program", {kCallStates, kCallEvents, kCallActions});
}

auto LoadPoolStateMachine(const std::string& directory)
    -> Result<PoolRoleStateMachine> {
  return LoadBoundChart<PoolRoleStateMachine>(
      directory, "pool_role", {kPoolRoles, kPoolEvents, kPoolActions});
}

auto ToString(CallState state) -> std::string_view {
  return kCallStates[static_cast<std::size_t>(state)];
}

auto ToString(PoolRole role) -> std::string_view {
  return kPoolRoles[static_cast<std::size_t>(role)];
}

}  // namespace dotterelshed::pvt
