#ifndef DOTTERELSHED_LIBCORE_CALL_ATTEMPTS_H_
#define DOTTERELSHED_LIBCORE_CALL_ATTEMPTS_H_

#include "core_state.h"

/// @file
/// From the queue to the endpoint and back: admission, dispatch, and
/// what the end of an attempt means for its call.

namespace dotterelshed::pvt {

/// Scheduling of @p service in this pool; null if the service is unknown.
auto PolicyOf(StepContext& step, PoolState& pool, const ServiceId& service)
    -> PoolPolicy*;
/// Hands endpoints and limits to the pool's policies.
auto ConfigurePolicies(StepContext& step, PoolState& pool) -> void;

/// Queues a reserved call, or refuses it.
auto AdmitCall(StepContext& step, PoolState& pool, PendingCall& call) -> void;
/// Starts what the policies want started, and drops what can't be in time.
auto DispatchCalls(StepContext& step, PoolState& pool) -> void;
/// Starts attempts that wait, as far as they are paid for.
auto StartAttempts(StepContext& step, PoolState& pool, PendingCall& call)
    -> void;

auto OnAttemptProgressed(StepContext& step, const AttemptProgressed& event)
    -> void;
auto OnAttemptFinished(StepContext& step, const AttemptFinished& event) -> void;

/// Makes the decision stand: recorded as a turn if it was done, or if it is
/// the end of a call that is not to run again.
auto DecideCall(StepContext& step,
                PoolState& pool,
                PendingCall& call,
                CallAnswer answer) -> void;

/// Stops all attempts of a call and takes it out of the queue.
auto StopAttempts(StepContext& step, PoolState& pool, PendingCall& call)
    -> void;

}  // namespace dotterelshed::pvt

#endif  // DOTTERELSHED_LIBCORE_CALL_ATTEMPTS_H_
