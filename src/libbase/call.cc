#include "dotterelshed/call.h"

namespace dotterelshed {

auto ToString(OutcomeKind kind) -> std::string_view {
  switch (kind) {
    case OutcomeKind::kDone:
      return "done";
    case OutcomeKind::kFailed:
      return "failed";
    case OutcomeKind::kNotRun:
      return "not_run";
    case OutcomeKind::kUnknown:
      return "unknown";
  }
  return "unknown";
}

auto ToString(ReasonCode code) -> std::string_view {
  switch (code) {
    case ReasonCode::kNone:
      return "none";
    case ReasonCode::kBadRequest:
      return "bad_request";
    case ReasonCode::kUnknownService:
      return "unknown_service";
    case ReasonCode::kBadToken:
      return "bad_token";
    case ReasonCode::kTurnOutOfOrder:
      return "turn_out_of_order";
    case ReasonCode::kBudgetExceeded:
      return "budget_exceeded";
    case ReasonCode::kOverLimit:
      return "over_limit";
    case ReasonCode::kDeadlineTooClose:
      return "deadline_too_close";
    case ReasonCode::kNotOwner:
      return "not_owner";
    case ReasonCode::kNoEndpoint:
      return "no_endpoint";
    case ReasonCode::kNoPlatform:
      return "no_platform";
    case ReasonCode::kHomeUnreachable:
      return "home_unreachable";
    case ReasonCode::kDraining:
      return "draining";
    case ReasonCode::kQuarantined:
      return "quarantined";
    case ReasonCode::kLoopDetected:
      return "loop_detected";
    case ReasonCode::kProgramEnded:
      return "program_ended";
    case ReasonCode::kTimedOut:
      return "timed_out";
    case ReasonCode::kEndpointError:
      return "endpoint_error";
    case ReasonCode::kClaimedElsewhere:
      return "claimed_elsewhere";
    case ReasonCode::kKeyUnreadable:
      return "key_unreadable";
    case ReasonCode::kNoRecord:
      return "no_record";
  }
  return "none";
}

}  // namespace dotterelshed
