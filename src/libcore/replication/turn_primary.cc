#include "replication/turn_primary.h"

#include <algorithm>

#include "call_attempts.h"
#include "call_check.h"
#include "claims/call_claims.h"
#include "core_route.h"
#include "program/budget_ledger.h"
#include "program/hold_reclaim.h"
#include "program/pool_budget.h"
#include "program/program_limits.h"
#include "replication/change_replication.h"
#include "replication/pool_takeover.h"

namespace dotterelshed::pvt {

namespace {

constexpr auto kRetryAfter = std::chrono::milliseconds(200);

/// State machine action release_answer.
auto ReleaseAnswer(StepContext& step, PoolState& pool, PendingCall& call)
    -> void {
  DOTTERELSHED_CHECK(call.m_answer.has_value());
  const auto open = pool.m_open.find(call.m_call.m_program);
  if (open != pool.m_open.end() && open->second == call.m_call.m_request) {
    pool.m_open.erase(open);
  }
  FillBudget(pool, call.m_call.m_root, *call.m_answer);
  SendAnswer(step, call.m_call.m_request, *call.m_answer);
  for (const auto& waiter : call.m_waiters) {
    SendAnswer(step, waiter, *call.m_answer);
  }
}

auto RunAction(StepContext& step,
               PoolState& pool,
               PendingCall& call,
               CallAction action) -> void {
  switch (action) {
    case CallAction::kFetchHistory:
      FetchHistory(step, pool, call);
      return;
    case CallAction::kCheckCall:
      CheckCall(step, pool, call);
      return;
    case CallAction::kSendReservation:
      if (!ReserveAttempts(step, pool, call, 1)) {
        Refuse(step, pool, call, ReasonCode::kBudgetExceeded,
               "the remaining budget is below the cost bound of this call");
      }
      return;
    case CallAction::kAdmitCall:
      AdmitCall(step, pool, call);
      return;
    case CallAction::kRequestClaim:
      RequestCallClaim(step, call);
      return;
    case CallAction::kStartAttempts:
      StartAttempts(step, pool, call);
      return;
    case CallAction::kSendSettlement:
      SettleCall(step, pool, call);
      return;
    case CallAction::kReleaseAnswer:
      ReleaseAnswer(step, pool, call);
      return;
  }
}

auto BeginCall(StepContext& step, PoolState& pool, const CallRequest& request)
    -> void {
  if (pool.m_calls.contains(request.m_request)) {
    return;  // A duplicate message; the call is already in progress.
  }
  auto& call = pool.m_calls[request.m_request];
  call.m_call = request;
  call.m_since = step.m_now;
  call.m_needs_claim = NeedsClaim(request);
  CheckCall(step, pool, call);
  RemoveReleasedCalls(pool);
}

}  // namespace

auto ServesProvisionally(const HostCore& core,
                         const PoolState& pool,
                         TimePoint now) -> bool {
  return pool.m_role == PoolRole::kHolder && pool.m_complete &&
         pool.m_highest == pool.m_assignment.m_term &&
         !core.m_platform_reachable &&
         now >= core.m_failure_detection_resumes &&
         !IsAlive(core, pool.m_assignment.m_primary);
}

auto ServesCalls(const HostCore& core, const PoolState& pool, TimePoint now)
    -> bool {
  if (pool.m_highest > pool.m_assignment.m_term) {
    return false;
  }
  return pool.m_role == PoolRole::kPrimary ||
         ServesProvisionally(core, pool, now);
}

auto SendAnswer(StepContext& step,
                const RequestId& request,
                const CallAnswer& answer) -> void {
  auto copy = answer;
  copy.m_request = request;
  step.m_out.push_back(FinishCall{std::move(copy)});
}

auto Refuse(StepContext& step,
            PoolState& pool,
            PendingCall& call,
            ReasonCode reason,
            const std::string& message) -> void {
  RefuseCall(step, pool, call, MakeRefusal(call, reason, message));
}

auto RefuseRetryable(StepContext& step,
                     PoolState& pool,
                     PendingCall& call,
                     ReasonCode reason,
                     const std::string& message) -> void {
  auto answer = MakeRefusal(call, reason, message);
  answer.m_retry_after = kRetryAfter;
  RefuseCall(step, pool, call, answer);
}

auto MakeRefusal(const PendingCall& call,
                 ReasonCode reason,
                 const std::string& message) -> CallAnswer {
  const auto certain =
      (call.m_first || !call.m_needs_claim) && !call.m_may_have_run;
  return {.m_request = call.m_call.m_request,
          .m_program = call.m_call.m_program,
          .m_turn = call.m_call.m_turn,
          .m_outcome = certain ? OutcomeKind::kNotRun : OutcomeKind::kUnknown,
          .m_reason = reason,
          .m_message = message,
          .m_http_status = 0};
}

auto RefuseArrival(StepContext& step,
                   PoolState& pool,
                   const CallRequest& request,
                   ReasonCode reason) -> void {
  PendingCall call{.m_call = request, .m_since = step.m_now};
  call.m_needs_claim = NeedsClaim(request);
  auto answer = MakeRefusal(call, reason,
                            "the host can't serve the call now; retry shortly");
  answer.m_retry_after = kRetryAfter;
  FillBudget(pool, request.m_root, answer);
  SendAnswer(step, request.m_request, answer);
}

auto RefuseCall(StepContext& step,
                PoolState& pool,
                PendingCall& call,
                const CallAnswer& answer) -> void {
  if (step.m_core.m_call_state_machine.Find(call.m_state,
                                            CallEvent::kRefused) == nullptr) {
    return;
  }
  call.m_answer = answer;
  call.m_record_turn = false;
  AdvanceCall(step, pool, call, CallEvent::kRefused);
}

auto AdvanceCall(StepContext& step,
                 PoolState& pool,
                 PendingCall& call,
                 CallEvent event) -> bool {
  const auto* next = step.m_core.m_call_state_machine.Find(call.m_state, event);
  if (next == nullptr) {
    return false;
  }
  call.m_state = next->m_to;
  for (const auto action : next->m_actions) {
    RunAction(step, pool, call, action);
  }
  return true;
}

auto ResumeAfterFetch(StepContext& step, PoolState& pool, PendingCall& call)
    -> void {
  call.m_fetched = true;
  AdvanceCall(step, pool, call, CallEvent::kHistoryFetched);
}

auto RemoveReleasedCalls(PoolState& pool) -> void {
  std::erase_if(pool.m_calls, [](const auto& item) {
    return item.second.m_state == CallState::kReleased;
  });
}

auto OnCallArrived(StepContext& step, const CallRequest& call) -> void {
  const auto found =
      step.m_core.m_pools.find(HomePool(step.m_core, call.m_root));
  if (found == step.m_core.m_pools.end()) {
    PoolState none;
    RefuseArrival(step, none, call, ReasonCode::kNotOwner);
    return;
  }
  auto& pool = found->second;
  // A draining host starts no calls, so that its pools become idle and can be
  // handed over.
  if (!step.m_core.m_draining && ServesCalls(step.m_core, pool, step.m_now)) {
    BeginCall(step, pool, call);
    return;
  }
  const auto taking_over = pool.m_role >= PoolRole::kCollecting;
  const auto limit =
      static_cast<std::size_t>(step.m_core.m_options.m_max_queued_calls);
  if (taking_over && pool.m_waiting.size() < limit) {
    pool.m_waiting.push_back(call);
    return;
  }
  RefuseArrival(step, pool, call,
                taking_over ? ReasonCode::kOverLimit : ReasonCode::kNotOwner);
}

auto ServeWaiting(StepContext& step, PoolState& pool) -> void {
  auto waiting = std::move(pool.m_waiting);
  pool.m_waiting.clear();
  for (const auto& call : waiting) {
    if (ServesCalls(step.m_core, pool, step.m_now)) {
      BeginCall(step, pool, call);
    } else {
      RefuseArrival(step, pool, call, ReasonCode::kNotOwner);
    }
  }
}

auto OnCallCancelled(StepContext& step, const RequestId& request) -> void {
  for (auto& [id, pool] : step.m_core.m_pools) {
    std::erase_if(pool.m_waiting, [&request](const CallRequest& call) {
      return call.m_request == request;
    });
    const auto found = pool.m_calls.find(request);
    if (found == pool.m_calls.end() || !found->second.m_waiters.empty()) {
      continue;
    }
    auto& call = found->second;
    if (call.m_needs_claim && call.m_state >= CallState::kClaiming) {
      continue;  // It can't be repeated: let it finish and store its answer.
    }
    StopAttempts(step, pool, call);
    Refuse(step, pool, call, ReasonCode::kTimedOut,
           "the caller disconnected or cancelled the call");
    RemoveReleasedCalls(pool);
  }
}

auto OnAnswerAsked(StepContext& step, const AnswerRequested& event) -> void {
  for (auto& [id, pool] : step.m_core.m_pools) {
    if (pool.m_calls.contains(event.m_request)) {
      return;  // FinishCall is sent once the call is decided.
    }
    const auto* entry = FindProgram(pool.m_store, event.m_program);
    if (entry == nullptr || pool.m_role != PoolRole::kPrimary) {
      continue;
    }
    for (const auto& turn : entry->m_record.m_turns) {
      if (turn.m_request == event.m_request) {
        AnswerFromRecord(step, pool, entry->m_record, turn, event.m_request);
        return;
      }
    }
  }
  step.m_out.push_back(
      FinishCall{{.m_request = event.m_request,
                  .m_program = event.m_program,
                  .m_outcome = OutcomeKind::kUnknown,
                  .m_reason = ReasonCode::kNoRecord,
                  .m_message = "no answer to this request is stored here"}});
}

auto OnProgramEndAsked(StepContext& step, const ProgramId& program) -> void {
  for (auto& [id, pool] : step.m_core.m_pools) {
    auto* entry = FindProgram(pool.m_store, program);
    if (entry == nullptr || !ServesCalls(step.m_core, pool, step.m_now)) {
      continue;
    }
    EndTree(step, pool, program);
  }
}

}  // namespace dotterelshed::pvt
