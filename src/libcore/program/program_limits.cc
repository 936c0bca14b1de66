#include "program/program_limits.h"

#include "call_attempts.h"
#include "program/hold_reclaim.h"
#include "replication/change_replication.h"
#include "replication/turn_primary.h"

namespace dotterelshed::pvt {

namespace {

constexpr int kProgramsPerTick = 256;
constexpr int kFetchRetries = 4;
/// How long calls wait, while the host drains, for the handover of a pool that
/// runs no calls.
constexpr auto kDrainHandoverTimeout = std::chrono::seconds(3);

auto IdleLimit(const HostCore& core, const ClassId& id) -> Duration {
  const auto found = core.m_config->m_classes.find(id);
  return found == core.m_config->m_classes.end() ? ClassConfig{}.m_idle_limit
                                                 : found->second.m_idle_limit;
}

/// True for histories of a pool in which this host no longer has a role. They
/// are kept for collection, but only for a limited time.
auto IsOrphaned(const HostCore& core, const PoolState& pool, Duration idle)
    -> bool {
  return pool.m_role == PoolRole::kNone &&
         idle > core.m_options.m_ended_retention;
}

/// Checks one program; returns true if it should be removed.
auto CheckIdle(StepContext& step, PoolState& pool, ProgramEntry& entry)
    -> bool {
  auto& record = entry.m_record;
  const auto idle = step.m_now - entry.m_last_used;
  if (IsOrphaned(step.m_core, pool,
                 idle - IdleLimit(step.m_core, record.m_class))) {
    return true;
  }
  if (record.m_ended) {
    return idle > step.m_core.m_options.m_ended_retention &&
           !pool.m_changes.contains(record.m_program) &&
           !pool.m_open.contains(record.m_program);
  }
  const auto busy = pool.m_open.contains(record.m_program);
  if (!busy && ServesCalls(step.m_core, pool, step.m_now) &&
      idle > IdleLimit(step.m_core, record.m_class)) {
    EndTree(step, pool, record.m_program);
    entry.m_last_used = step.m_now;
  }
  return false;
}

auto IsStuck(const PendingCall& call, TimePoint now) -> bool {
  const auto waits = call.m_state == CallState::kReserving ||
                     call.m_state == CallState::kSettling ||
                     !call.m_ready.empty();
  return waits && now >= call.m_call.m_deadline;
}

/// Refuses waiting calls whose deadline passed before this host could serve
/// them, or whose pool was not handed over in time while draining.
auto ExpireWaiting(StepContext& step, PoolState& pool) -> void {
  const auto busy = !pool.m_open.empty();
  std::vector<CallRequest> expired;
  std::erase_if(pool.m_waiting, [&](const CallRequest& call) {
    const auto drain_stuck =
        step.m_core.m_draining && !busy &&
        step.m_now >= pool.m_no_open_call_since + kDrainHandoverTimeout;
    const auto late = step.m_now >= call.m_deadline || drain_stuck;
    if (late) {
      expired.push_back(call);
    }
    return late;
  });
  if (busy || pool.m_waiting.empty()) {
    pool.m_no_open_call_since = step.m_now;
  }
  for (const auto& call : expired) {
    RefuseArrival(step, pool, call,
                  step.m_core.m_draining ? ReasonCode::kDraining
                                         : ReasonCode::kDeadlineTooClose);
  }
}

}  // namespace

auto HasProgramCapacity(const HostCore& core) -> bool {
  std::size_t count = 0;
  for (const auto& [id, pool] : core.m_pools) {
    count += pool.m_store.m_programs.size();
  }
  return count < static_cast<std::size_t>(core.m_options.m_max_programs);
}

auto TickCalls(StepContext& step, PoolState& pool) -> void {
  ExpireWaiting(step, pool);
  const auto timeout = step.m_core.m_options.m_copy_retry * kFetchRetries;
  for (auto& [request, call] : pool.m_calls) {
    if (call.m_state == CallState::kFetching &&
        step.m_now >= call.m_since + timeout) {
      ResumeAfterFetch(step, pool, call);
    }
  }
  for (auto& [request, call] : pool.m_calls) {
    if (!IsStuck(call, step.m_now)) {
      continue;
    }
    call.m_may_have_run =
        call.m_may_have_run || call.m_state == CallState::kSettling;
    StopAttempts(step, pool, call);
    auto answer =
        MakeRefusal(call, ReasonCode::kTimedOut,
                    "no other host confirmed the call before its deadline");
    if (call.m_state == CallState::kSettling) {
      call.m_answer = std::move(answer);
      AdvanceCall(step, pool, call, CallEvent::kSuperseded);
    } else {
      RefuseCall(step, pool, call, answer);
    }
  }
  RemoveReleasedCalls(pool);
}

auto TickPrograms(StepContext& step, PoolState& pool) -> void {
  if (!step.m_core.m_config) {
    return;
  }
  auto& programs = pool.m_store.m_programs;
  auto next = programs.upper_bound(pool.m_idle_cursor);
  for (auto i = 0; i < kProgramsPerTick && next != programs.end(); ++i) {
    pool.m_idle_cursor = next->first;
    const auto remove = CheckIdle(step, pool, next->second);
    const auto id = next->first;
    ++next;
    if (remove) {
      RemoveProgram(pool.m_store, id);
    }
  }
  if (next == programs.end()) {
    pool.m_idle_cursor = ProgramId();
  }
}

}  // namespace dotterelshed::pvt
