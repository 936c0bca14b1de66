#include "replication/copy_target.h"

#include "core_route.h"
#include "replication/change_replication.h"
#include "replication/pool_takeover.h"
#include "replication/turn_primary.h"

namespace dotterelshed::pvt {

namespace {

/// Marks turns that the lost copy holder did not confirm as provisional: a
/// spare or no host confirms them, and the copy holder may return with another
/// answer.
auto MarkProvisional(PoolState& pool) -> void {
  for (auto& [program, change] : pool.m_changes) {
    auto* append = std::get_if<AppendRequest>(&change.m_message);
    if (append == nullptr || !append->m_record) {
      continue;
    }
    append->m_record->m_provisional = true;
    auto& turns = pool.m_store.m_programs.at(program).m_record.m_turns;
    turns.back().m_provisional = true;
    const auto open = pool.m_open.find(program);
    if (open != pool.m_open.end()) {
      pool.m_calls.at(open->second).m_answer->m_provisional = true;
    }
  }
}

/// Repeats reservations that the lost copy holder did not confirm, now from
/// this host's escrow.
auto MoveReservationsToEscrow(StepContext& step, PoolState& pool) -> void {
  std::vector<RequestId> unconfirmed;
  for (const auto& [program, request] : pool.m_open) {
    if (pool.m_calls.at(request).m_state == CallState::kReserving) {
      unconfirmed.push_back(request);
    }
  }
  for (const auto& request : unconfirmed) {
    auto& call = pool.m_calls.at(request);
    pool.m_store.m_programs.at(call.m_call.m_program).m_record.m_open.reset();
    call.m_reserved_attempts = 0;
    if (!ReserveAttempts(step, pool, call, 1)) {
      auto answer =
          MakeRefusal(call, ReasonCode::kBudgetExceeded,
                      "the budget share available during an outage is used up");
      RefuseCall(step, pool, call, answer);
    }
  }
}

}  // namespace

auto ChooseTarget(StepContext& step, PoolState& pool) -> void {
  auto& core = step.m_core;
  const auto& holder = pool.m_assignment.m_holder;
  const auto primary = pool.m_role != PoolRole::kHolder;
  const auto silent = !core.m_platform_reachable &&
                      step.m_now >= core.m_failure_detection_resumes &&
                      !IsAlive(core, holder);
  auto mode = CopyMode::kAlone;
  HostRef target;
  if (primary && !holder.m_host.empty() && !silent) {
    mode = CopyMode::kHolder;
    target = holder;
  } else if (!primary || !holder.m_host.empty()) {
    target = ChooseSpare(core, pool);
    mode = target.m_host.empty() ? CopyMode::kAlone : CopyMode::kSpare;
  }
  if (mode == pool.m_mode && target == pool.m_target) {
    return;
  }
  const auto lost_holder = pool.m_mode == CopyMode::kHolder;
  const auto back = mode == CopyMode::kHolder && primary;
  pool.m_mode = mode;
  pool.m_target = target;
  if (back && pool.m_role == PoolRole::kPrimary) {
    RecopyToHolder(step, pool);
    return;
  }
  if (lost_holder && mode != CopyMode::kHolder) {
    MarkProvisional(pool);
    MoveReservationsToEscrow(step, pool);
  }
  SendAllChanges(step, pool);
  RemoveReleasedCalls(pool);
}

auto ChooseSpare(const HostCore& core, const PoolState& pool) -> HostRef {
  HostRef spare;
  auto disk = false;
  for (const auto& member : core.m_live) {
    const auto usable = member.m_alive &&
                        member.m_host != core.m_options.m_self &&
                        member.m_host != pool.m_assignment.m_primary &&
                        member.m_host != pool.m_assignment.m_holder;
    if (usable && (spare.m_host.empty() || (member.m_has_disk && !disk))) {
      spare = member.m_host;
      disk = member.m_has_disk;
    }
  }
  return spare;
}

}  // namespace dotterelshed::pvt
