#ifndef DOTTERELSHED_LIBCORE_CALL_CHECK_H_
#define DOTTERELSHED_LIBCORE_CALL_CHECK_H_

#include "core_state.h"

/// @file
/// Classifies a call by its program's record: a new turn, a repeat, or out of
/// order.

namespace dotterelshed::pvt {

/// Compares @p call with the program's record and accepts it, answers it, joins
/// it to a running call or refuses it. State machine action check_call.
auto CheckCall(StepContext& step, PoolState& pool, PendingCall& call) -> void;

/// Answers @p request with the stored answer of a finished turn.
auto AnswerFromRecord(StepContext& step,
                      const PoolState& pool,
                      const ProgramRecord& record,
                      const TurnRecord& turn,
                      const RequestId& request) -> void;

}  // namespace dotterelshed::pvt

#endif  // DOTTERELSHED_LIBCORE_CALL_CHECK_H_
