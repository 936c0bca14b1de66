#include "claims/call_claims.h"

#include "call_attempts.h"
#include "replication/turn_primary.h"

namespace dotterelshed::pvt {

namespace {

/// Answer to the caller if the claim was not granted.
auto AnswerOf(const ClaimDecision& decision) -> CallAnswer {
  const auto& record = decision.m_record;
  switch (decision.m_verdict) {
    case ClaimDecision::Verdict::kGranted:
      break;
    case ClaimDecision::Verdict::kHasResult:
      return {.m_outcome = record.m_outcome,
              .m_body = record.m_answer,
              .m_http_status = record.m_http_status};
    case ClaimDecision::Verdict::kUnknown:
      return {.m_outcome = OutcomeKind::kUnknown,
              .m_reason = ReasonCode::kClaimedElsewhere,
              .m_message =
                  "sent before with an unknown outcome; an operator has to "
                  "resolve it"};
    case ClaimDecision::Verdict::kContentMismatch:
      return {.m_outcome = OutcomeKind::kNotRun,
              .m_reason = ReasonCode::kBadRequest,
              .m_message = "the idempotency key was used for another call"};
    case ClaimDecision::Verdict::kNotClaimed:
      return {.m_outcome = OutcomeKind::kNotRun,
              .m_reason = ReasonCode::kNoPlatform,
              .m_message = "the claim could not be written",
              .m_retry_after = std::chrono::seconds(1)};
    case ClaimDecision::Verdict::kIndeterminate:
      return {.m_outcome = OutcomeKind::kUnknown,
              .m_reason = ReasonCode::kKeyUnreadable,
              .m_message = "the idempotency key's record can't be read now",
              .m_retry_after = std::chrono::seconds(1)};
  }
  return {};
}

auto ApplyClaimDecision(StepContext& step,
                        PoolState& pool,
                        PendingCall& call,
                        const ClaimDecision& decision) -> void {
  if (decision.m_verdict != ClaimDecision::Verdict::kGranted) {
    DecideCall(step, pool, call, AnswerOf(decision));
    return;
  }
  call.m_send_by = decision.m_send_by;
  AdvanceCall(step, pool, call, CallEvent::kDispatched);
}

/// Releases a granted claim whose call no longer exists, so it is never sent.
auto ReleaseClaim(StepContext& step, const ClaimDecision& decision) -> void {
  if (decision.m_verdict == ClaimDecision::Verdict::kGranted) {
    ApplyClaimStep(step,
                   RecordClaimResult(*step.m_core.m_claims, decision.m_request,
                                     OutcomeKind::kNotRun, 0, "", step.m_now));
  }
}

}  // namespace

auto RequestCallClaim(StepContext& step, PendingCall& call) -> void {
  if (!call.m_call.m_key) {
    call.m_call.m_key =
        IdempotencyKey(call.m_call.m_program.value() + "/" +
                       std::to_string(call.m_call.m_turn.value()));
  } else {
    call.m_first = false;
  }
  ApplyClaimStep(step, RequestClaim(*step.m_core.m_claims, call.m_call,
                                    call.m_first, step.m_now));
}

auto RecordClaimEnd(StepContext& step,
                    const PendingCall& call,
                    const CallAnswer& answer) -> void {
  ApplyClaimStep(step,
                 RecordClaimResult(*step.m_core.m_claims, call.m_call.m_request,
                                   answer.m_outcome, answer.m_http_status,
                                   answer.m_body, step.m_now));
}

auto ApplyClaimStep(StepContext& step, const ClaimStep& result) -> void {
  step.m_out.insert(step.m_out.end(), result.m_effects.begin(),
                    result.m_effects.end());
  for (const auto& decision : result.m_decisions) {
    auto known = false;
    for (auto& [id, pool] : step.m_core.m_pools) {
      const auto found = pool.m_calls.find(decision.m_request);
      if (found != pool.m_calls.end() &&
          found->second.m_state == CallState::kClaiming) {
        ApplyClaimDecision(step, pool, found->second, decision);
        known = true;
      }
    }
    if (!known) {
      ReleaseClaim(step, decision);
    }
  }
}

}  // namespace dotterelshed::pvt
