#ifndef DOTTERELSHED_LIBCORE_CALL_ATTEMPTS_H_
#define DOTTERELSHED_LIBCORE_CALL_ATTEMPTS_H_

#include "core_state.h"

/// @file
/// Admission and dispatch of calls, and how the end of an attempt decides its
/// call. An attempt is one execution of a call on an endpoint.

namespace dotterelshed::pvt {

/// Scheduling policy of @p service in this pool; null if the service is not
/// configured.
auto PolicyOf(StepContext& step, PoolState& pool, const ServiceId& service)
    -> PoolPolicy*;
/// Applies the configured endpoints and limits to the pool's policies.
auto ConfigurePolicies(StepContext& step, PoolState& pool) -> void;

/// Queues a reserved call, or refuses it.
auto AdmitCall(StepContext& step, PoolState& pool, PendingCall& call) -> void;
/// Starts the attempts that the policies select, and refuses calls that can't
/// meet their deadline.
auto DispatchCalls(StepContext& step, PoolState& pool) -> void;
/// Starts waiting attempts up to the number covered by the call's reservation;
/// requests a larger reservation for the rest.
auto StartAttempts(StepContext& step, PoolState& pool, PendingCall& call)
    -> void;

auto OnAttemptProgressed(StepContext& step, const AttemptProgressed& event)
    -> void;
auto OnAttemptFinished(StepContext& step, const AttemptFinished& event) -> void;

/// Decides a call with @p answer. The answer is recorded as the program's turn
/// if the call was done, or if it is non-idempotent and must not run again.
auto DecideCall(StepContext& step,
                PoolState& pool,
                PendingCall& call,
                CallAnswer answer) -> void;

/// Cancels all attempts of a call and removes it from the queue.
auto StopAttempts(StepContext& step, PoolState& pool, PendingCall& call)
    -> void;

}  // namespace dotterelshed::pvt

#endif  // DOTTERELSHED_LIBCORE_CALL_ATTEMPTS_H_
