#ifndef DOTTERELSHED_LIBCORE_REPLICATION_TURN_PRIMARY_H_
#define DOTTERELSHED_LIBCORE_REPLICATION_TURN_PRIMARY_H_

#include "core_state.h"

/// @file
/// Calls at the host that serves their pool: sequencing, reservation and
/// answer. The state machine of a call is charts/program.jsonc.

namespace dotterelshed::pvt {

/// True if this host serves calls of the pool, as primary or provisionally.
auto ServesCalls(const HostCore& core, const PoolState& pool, TimePoint now)
    -> bool;
/// True if this host serves calls as copy holder because the primary was lost
/// in a platform outage.
auto ServesProvisionally(const HostCore& core,
                         const PoolState& pool,
                         TimePoint now) -> bool;

auto OnCallArrived(StepContext& step, const CallRequest& call) -> void;
auto OnCallCancelled(StepContext& step, const RequestId& request) -> void;
auto OnAnswerAsked(StepContext& step, const AnswerRequested& event) -> void;
auto OnProgramEndAsked(StepContext& step, const ProgramId& program) -> void;

/// Refuses an arriving call that this host can't serve now; the caller may
/// retry.
auto RefuseArrival(StepContext& step,
                   PoolState& pool,
                   const CallRequest& request,
                   ReasonCode reason) -> void;

/// Starts calls that waited until the pool was ready.
auto ServeWaiting(StepContext& step, PoolState& pool) -> void;

/// Applies an event to a call's state machine. Returns false if its state has
/// no such transition.
auto AdvanceCall(StepContext& step,
                 PoolState& pool,
                 PendingCall& call,
                 CallEvent event) -> bool;

/// Ends a call with @p answer and without recording a turn.
auto RefuseCall(StepContext& step,
                PoolState& pool,
                PendingCall& call,
                const CallAnswer& answer) -> void;

/// Refuses a call with a reason and a message.
auto Refuse(StepContext& step,
            PoolState& pool,
            PendingCall& call,
            ReasonCode reason,
            const std::string& message) -> void;
/// The same, and lets the caller retry after 200 ms.
auto RefuseRetryable(StepContext& step,
                     PoolState& pool,
                     PendingCall& call,
                     ReasonCode reason,
                     const std::string& message) -> void;
/// Sends @p answer as the answer to @p request.
auto SendAnswer(StepContext& step,
                const RequestId& request,
                const CallAnswer& answer) -> void;

/// Answer for a refused call. Its outcome is kNotRun only if the call can't
/// have run before, else kUnknown.
auto MakeRefusal(const PendingCall& call,
                 ReasonCode reason,
                 const std::string& message) -> CallAnswer;

/// Continues a call once its program's history has arrived or no host had it.
auto ResumeAfterFetch(StepContext& step, PoolState& pool, PendingCall& call)
    -> void;

/// Removes calls that were released.
auto RemoveReleasedCalls(PoolState& pool) -> void;

}  // namespace dotterelshed::pvt

#endif  // DOTTERELSHED_LIBCORE_REPLICATION_TURN_PRIMARY_H_
