#ifndef DOTTERELSHED_LIBCORE_CALL_CHECK_H_
#define DOTTERELSHED_LIBCORE_CALL_CHECK_H_

#include "core_state.h"

/// @file
/// Comparison of a call with its program's record: a new turn, a repeat, or
/// out of order.

namespace dotterelshed::pvt {

/// Compares @p call with what is on record and accepts, answers, joins or
/// refuses it; the chart's action check_call.
auto CheckCall(StepContext& step, PoolState& pool, PendingCall& call) -> void;

/// Gives the stored answer of a finished turn again.
auto AnswerFromRecord(StepContext& step,
                      const PoolState& pool,
                      const ProgramRecord& record,
                      const TurnRecord& turn,
                      const RequestId& request) -> void;

}  // namespace dotterelshed::pvt

#endif  // DOTTERELSHED_LIBCORE_CALL_CHECK_H_
