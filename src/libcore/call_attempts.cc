#include "call_attempts.h"

#include <algorithm>

#include "claims/call_claims.h"
#include "core_route.h"
#include "program/hold_reclaim.h"
#include "replication/change_replication.h"
#include "replication/turn_primary.h"

namespace dotterelshed::pvt {

namespace {

auto FindService(const HostCore& core, const ServiceId& service)
    -> const ServiceConfig* {
  const auto found = core.m_config->m_services.find(service);
  return found == core.m_config->m_services.end() ? nullptr : &found->second;
}

auto Configure(StepContext& step,
               PoolState& pool,
               const ServiceId& service,
               PoolPolicy& policy) -> void {
  const auto endpoints = PoolEndpoints(*step.m_core.m_ownership,
                                       pool.m_assignment.m_pool, service);
  SetPoolConfig(policy, *step.m_core.m_config, endpoints, step.m_now);
  for (const auto& endpoint : ListedLeaving(*step.m_core.m_ownership)) {
    SetEndpointListedLeaving(policy, endpoint, true, step.m_now);
  }
}

/// Price of an attempt's usage.
auto PriceOf(const HostCore& core, const CallRequest& call, const Usage& usage)
    -> Cost {
  const auto* service = FindService(core, call.m_service);
  if (service == nullptr) {
    return call.m_cost_bound;
  }
  return service->m_price_per_call +
         service->m_price_per_prompt_token * usage.m_prompt.value() +
         service->m_price_per_generated_token * usage.m_generated.value();
}

/// Cost of an attempt; the call's bound if the cost can't be known.
auto CostOf(const HostCore& core,
            const CallRequest& call,
            const AttemptResult& result) -> Cost {
  if (CannotHaveRun(result.m_end)) {
    return Cost(0);
  }
  const auto known = result.m_end == AttemptEnd::kCompleted ||
                     result.m_end == AttemptEnd::kRejected;
  if (!known) {
    return call.m_cost_bound;
  }
  const auto price =
      std::max(PriceOf(core, call, result.m_usage), result.m_usage.m_cost);
  return price;
}

auto OutcomeOf(const PendingCall& call, AttemptEnd end) -> OutcomeKind {
  switch (end) {
    case AttemptEnd::kCompleted:
      return OutcomeKind::kDone;
    case AttemptEnd::kRejected:
    case AttemptEnd::kErrored:
      return OutcomeKind::kFailed;
    case AttemptEnd::kRefused:
    case AttemptEnd::kLeaving:
    case AttemptEnd::kFenced:
      return call.m_may_have_run ? OutcomeKind::kUnknown : OutcomeKind::kNotRun;
    case AttemptEnd::kLost:
    case AttemptEnd::kTimedOut:
    case AttemptEnd::kCancelled:
      return OutcomeKind::kUnknown;
  }
  return OutcomeKind::kUnknown;
}

auto ReasonOf(AttemptEnd end) -> ReasonCode {
  switch (end) {
    case AttemptEnd::kCompleted:
      return ReasonCode::kNone;
    case AttemptEnd::kTimedOut:
      return ReasonCode::kTimedOut;
    case AttemptEnd::kRefused:
    case AttemptEnd::kLeaving:
    case AttemptEnd::kFenced:
      return ReasonCode::kNoEndpoint;
    default:
      return ReasonCode::kEndpointError;
  }
}

auto AnswerOf(const PendingCall& call, const AttemptResult& result)
    -> CallAnswer {
  return {.m_outcome = OutcomeOf(call, result.m_end),
          .m_reason = ReasonOf(result.m_end),
          .m_message = result.m_message,
          .m_body = result.m_body,
          .m_http_status = result.m_http_status};
}

auto CancelAll(StepContext& step, const std::vector<AttemptId>& attempts)
    -> void {
  for (const auto& attempt : attempts) {
    step.m_out.push_back(CancelAttempt{attempt});
    step.m_core.m_attempts.erase(attempt);
  }
}

auto Quarantine(StepContext& step, const Digest& content) -> void {
  auto& core = step.m_core;
  const auto limit = static_cast<std::size_t>(core.m_options.m_max_quarantined);
  if (core.m_quarantined.size() < limit) {
    core.m_quarantined.insert(content);
  }
  AnnounceQuarantine(*core.m_ownership, content);
  step.m_out.push_back(WriteLog{LogEventId::kContentQuarantined,
                                {{"content", content.value()}}});
}

auto ApplyVerdict(StepContext& step,
                  PoolState& pool,
                  PendingCall& call,
                  const FinishVerdict& verdict,
                  const AttemptResult& result) -> void {
  CancelAll(step, verdict.m_cancel);
  switch (verdict.m_kind) {
    case FinishVerdict::Kind::kIgnore:
    case FinishVerdict::Kind::kRetry:
      return;
    case FinishVerdict::Kind::kFinal:
      DecideCall(step, pool, call, AnswerOf(call, result));
      return;
    case FinishVerdict::Kind::kQuarantine:
      Quarantine(step, verdict.m_quarantined);
      DecideCall(step, pool, call,
                 {.m_outcome = OutcomeKind::kFailed,
                  .m_reason = ReasonCode::kQuarantined,
                  .m_message = "the request's content is quarantined because "
                               "it crashed endpoints",
                  .m_http_status = 0});
      return;
  }
}

auto FinishAttempt(StepContext& step,
                   PoolState& pool,
                   const AttemptId& attempt,
                   const AttemptOwner& owner,
                   const AttemptResult& result) -> void {
  const auto policy = pool.m_policies.find(owner.m_service);
  if (policy == pool.m_policies.end()) {
    return;
  }
  const auto verdict = Finish(*policy->second, attempt, result, step.m_now);
  const auto found = pool.m_calls.find(owner.m_request);
  if (found == pool.m_calls.end()) {
    return;
  }
  auto& call = found->second;
  call.m_running.erase(attempt);
  call.m_cost += CostOf(step.m_core, call.m_call, result);
  call.m_usage = result.m_usage;
  call.m_usage.m_cost = call.m_cost;
  if (!CannotHaveRun(result.m_end)) {
    call.m_may_have_run = true;
  }
  if (call.m_needs_claim && call.m_state == CallState::kRunning) {
    const auto answer = AnswerOf(call, result);
    RecordClaimEnd(step, call, answer);
    DecideCall(step, pool, call, answer);
  } else {
    ApplyVerdict(step, pool, call, verdict, result);
  }
}

/// Starts one attempt.
auto Start(StepContext& step,
           PoolState& pool,
           PendingCall& call,
           const Dispatched& ready) -> void {
  ++call.m_started_attempts;
  call.m_running.insert(ready.m_attempt);
  if (!ready.m_hold.empty()) {
    auto& record = pool.m_store.m_programs.at(call.m_call.m_program).m_record;
    record.m_holds.push_back({.m_id = ready.m_hold,
                              .m_endpoint = ready.m_endpoint,
                              .m_program = call.m_call.m_program});
  }
  step.m_out.push_back(
      StartAttempt{.m_attempt = ready.m_attempt,
                   .m_endpoint = ready.m_endpoint,
                   .m_call = call.m_call,
                   .m_fence = FencingNumber(*step.m_core.m_ownership),
                   .m_hold = ready.m_hold,
                   .m_priority = ready.m_priority,
                   .m_send_by = call.m_send_by});
}

/// Starts or queues one attempt that the policy selected.
auto HandleDispatched(StepContext& step,
                      PoolState& pool,
                      const ServiceId& service,
                      const Dispatched& ready) -> void {
  for (const auto& hold : ready.m_release) {
    ReleaseRecord(step, hold);
  }
  step.m_core.m_attempts[ready.m_attempt] = {.m_pool = pool.m_assignment.m_pool,
                                             .m_service = service,
                                             .m_request = ready.m_request,
                                             .m_endpoint = ready.m_endpoint};
  const auto found = pool.m_calls.find(ready.m_request);
  if (found == pool.m_calls.end()) {
    const AttemptResult cancelled{.m_end = AttemptEnd::kCancelled};
    OnAttemptFinished(step, {ready.m_attempt, cancelled});
    return;
  }
  auto& call = found->second;
  call.m_ready.push_back(ready);
  const auto claim = call.m_needs_claim &&
                     step.m_core.m_options.m_mechanisms.m_claim_before_send;
  AdvanceCall(step, pool, call,
              claim ? CallEvent::kClaimNeeded : CallEvent::kDispatched);
}

auto ExpireCall(StepContext& step, PoolState& pool, const RequestId& request)
    -> void {
  const auto found = pool.m_calls.find(request);
  if (found == pool.m_calls.end()) {
    return;
  }
  auto answer = MakeRefusal(found->second, ReasonCode::kDeadlineTooClose,
                            "the call can no longer meet its deadline");
  RefuseCall(step, pool, found->second, answer);
}

}  // namespace

auto PolicyOf(StepContext& step, PoolState& pool, const ServiceId& service)
    -> PoolPolicy* {
  const auto found = pool.m_policies.find(service);
  if (found != pool.m_policies.end()) {
    return found->second.get();
  }
  if (FindService(step.m_core, service) == nullptr) {
    return nullptr;
  }
  auto policy = MakePoolPolicy(
      {.m_seed = step.m_core.m_options.m_seed,
       .m_endpoint_chart = step.m_core.m_endpoint_state_machine,
       .m_max_queued = step.m_core.m_options.m_max_queued_calls,
       .m_max_quarantined = step.m_core.m_options.m_max_quarantined});
  Configure(step, pool, service, *policy);
  for (const auto& content : step.m_core.m_quarantined) {
    NoteQuarantined(*policy, content);
  }
  pool.m_policies[service] = policy;
  return policy.get();
}

auto ConfigurePolicies(StepContext& step, PoolState& pool) -> void {
  for (const auto& [service, policy] : pool.m_policies) {
    Configure(step, pool, service, *policy);
  }
}

auto AdmitCall(StepContext& step, PoolState& pool, PendingCall& call) -> void {
  const auto& request = call.m_call;
  auto* policy = PolicyOf(step, pool, request.m_service);
  if (policy == nullptr) {
    RefuseCall(step, pool, call,
               MakeRefusal(call, ReasonCode::kUnknownService,
                           "the service is not configured"));
    return;
  }
  const auto refusal = Admit(*policy,
                             {.m_request = request.m_request,
                              .m_program = request.m_program,
                              .m_root = request.m_root,
                              .m_class = request.m_class,
                              .m_service = request.m_service,
                              .m_model = request.m_model,
                              .m_turn = request.m_turn,
                              .m_prompt_tokens = request.m_prompt_tokens,
                              .m_max_tokens = request.m_max_tokens,
                              .m_content = request.m_content,
                              .m_deadline = request.m_deadline,
                              .m_repeatable = !call.m_needs_claim,
                              .m_last = request.m_end_program,
                              .m_expected_pause = request.m_expected_pause},
                             step.m_now);
  if (refusal) {
    auto answer = MakeRefusal(call, refusal->m_reason,
                              "refused at admission; the call did not run");
    answer.m_retry_after = refusal->m_retry_after;
    RefuseCall(step, pool, call, answer);
  }
}

auto DispatchCalls(StepContext& step, PoolState& pool) -> void {
  const auto policies = pool.m_policies;
  for (const auto& [service, policy] : policies) {
    for (const auto& request : Expire(*policy, step.m_now)) {
      ExpireCall(step, pool, request);
    }
    for (const auto& ready : Dispatch(*policy, step.m_now)) {
      HandleDispatched(step, pool, service, ready);
    }
  }
  RemoveReleasedCalls(pool);
}

auto StartAttempts(StepContext& step, PoolState& pool, PendingCall& call)
    -> void {
  while (!call.m_ready.empty() &&
         call.m_started_attempts < call.m_reserved_attempts) {
    const auto ready = call.m_ready.front();
    call.m_ready.erase(call.m_ready.begin());
    Start(step, pool, call, ready);
  }
  if (call.m_ready.empty() || pool.m_changes.contains(call.m_call.m_program)) {
    return;  // The pending reservation starts them once it is confirmed.
  }
  const auto more = static_cast<int>(call.m_ready.size());
  if (ReserveAttempts(step, pool, call, more)) {
    return;
  }
  const auto refused = std::move(call.m_ready);
  call.m_ready.clear();
  for (const auto& ready : refused) {
    OnAttemptFinished(
        step, {ready.m_attempt,
               {.m_end = AttemptEnd::kCancelled,
                .m_message = "the budget does not cover another attempt"}});
  }
}

auto OnAttemptProgressed(StepContext& step, const AttemptProgressed& event)
    -> void {
  const auto found = step.m_core.m_attempts.find(event.m_attempt);
  if (found == step.m_core.m_attempts.end()) {
    return;
  }
  auto& pool = step.m_core.m_pools[found->second.m_pool];
  const auto policy = pool.m_policies.find(found->second.m_service);
  if (policy != pool.m_policies.end()) {
    Progress(*policy->second, event.m_attempt, event.m_generated, step.m_now);
  }
}

auto OnAttemptFinished(StepContext& step, const AttemptFinished& event)
    -> void {
  const auto found = step.m_core.m_attempts.find(event.m_attempt);
  if (found == step.m_core.m_attempts.end()) {
    return;
  }
  const auto owner = found->second;
  step.m_core.m_attempts.erase(found);
  auto& pool = step.m_core.m_pools[owner.m_pool];
  FinishAttempt(step, pool, event.m_attempt, owner, event.m_result);
}

auto DecideCall(StepContext& step,
                PoolState& pool,
                PendingCall& call,
                CallAnswer answer) -> void {
  answer.m_request = call.m_call.m_request;
  answer.m_program = call.m_call.m_program;
  answer.m_turn = call.m_call.m_turn;
  answer.m_usage = call.m_usage;
  const auto record =
      answer.m_outcome == OutcomeKind::kDone ||
      (call.m_needs_claim && answer.m_outcome != OutcomeKind::kNotRun &&
       answer.m_reason != ReasonCode::kKeyUnreadable);
  StopAttempts(step, pool, call);
  if (!record) {
    RefuseCall(step, pool, call, answer);
    return;
  }
  call.m_answer = std::move(answer);
  call.m_record_turn = true;
  AdvanceCall(step, pool, call, CallEvent::kAnswered);
}

auto StopAttempts(StepContext& step, PoolState& pool, PendingCall& call)
    -> void {
  const auto policy = pool.m_policies.find(call.m_call.m_service);
  if (policy != pool.m_policies.end()) {
    CancelAll(step, Cancel(*policy->second, call.m_call.m_request, step.m_now));
  }
  for (const auto& attempt : call.m_running) {
    if (step.m_core.m_attempts.contains(attempt)) {
      CancelAll(step, {attempt});
    }
  }
  for (const auto& ready : call.m_ready) {
    step.m_core.m_attempts.erase(ready.m_attempt);
  }
  call.m_ready.clear();
  call.m_may_have_run = call.m_may_have_run || !call.m_running.empty();
}

}  // namespace dotterelshed::pvt
