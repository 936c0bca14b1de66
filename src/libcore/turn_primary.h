#ifndef DOTTERELSHED_LIBCORE_TURN_PRIMARY_H_
#define DOTTERELSHED_LIBCORE_TURN_PRIMARY_H_

#include "core_state.h"

/// @file
/// Calls at their home: sequencing, reservation, answer. The life of a call
/// follows charts/program.jsonc.

namespace dotterelshed::pvt {

/// True if this host serves calls of the pool now, as primary or provisionally.
auto ServesCalls(const HostCore& core, const PoolState& pool, TimePoint now)
    -> bool;
/// True while it does so as copy holder, the primary being lost in an outage.
auto ServesProvisionally(const HostCore& core,
                         const PoolState& pool,
                         TimePoint now) -> bool;

auto OnCallArrived(StepContext& step, const CallRequest& call) -> void;
auto OnCallCancelled(StepContext& step, const RequestId& request) -> void;
auto OnAnswerAsked(StepContext& step, const AnswerRequested& event) -> void;
auto OnProgramEndAsked(StepContext& step, const ProgramId& program) -> void;

/// Refuses a call that this host can't serve now.
auto RefuseArrival(StepContext& step,
                   PoolState& pool,
                   const CallRequest& request,
                   ReasonCode reason) -> void;

/// Takes calls that waited for the pool to be ready.
auto ServeWaiting(StepContext& step, PoolState& pool) -> void;

/// Moves a call along its chart. False if the chart has no such transition.
auto AdvanceCall(StepContext& step,
                 PoolState& pool,
                 PendingCall& call,
                 CallEvent event) -> bool;

/// Decides a call that will not be answered from an attempt.
auto RefuseCall(StepContext& step,
                PoolState& pool,
                PendingCall& call,
                const CallAnswer& answer) -> void;

/// Refuses a call with a reason.
auto Refuse(StepContext& step,
            PoolState& pool,
            PendingCall& call,
            ReasonCode reason,
            const std::string& message) -> void;
/// The same, with word to ask again in a moment.
auto RefuseRetryable(StepContext& step,
                     PoolState& pool,
                     PendingCall& call,
                     ReasonCode reason,
                     const std::string& message) -> void;
/// Gives @p answer to @p request.
auto SendAnswer(StepContext& step,
                const RequestId& request,
                const CallAnswer& answer) -> void;

/// An answer that says why a call was refused. Its outcome is kNotRun only if
/// the call can't have run under its key before.
auto MakeRefusal(const PendingCall& call,
                 ReasonCode reason,
                 const std::string& message) -> CallAnswer;

/// The chain of a fetched program arrived, or nobody had it.
auto ResumeAfterFetch(StepContext& step, PoolState& pool, PendingCall& call)
    -> void;

/// Removes calls that were released.
auto RemoveReleasedCalls(PoolState& pool) -> void;

}  // namespace dotterelshed::pvt

#endif  // DOTTERELSHED_LIBCORE_TURN_PRIMARY_H_
