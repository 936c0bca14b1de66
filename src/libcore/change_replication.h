#ifndef DOTTERELSHED_LIBCORE_CHANGE_REPLICATION_H_
#define DOTTERELSHED_LIBCORE_CHANGE_REPLICATION_H_

#include "core_state.h"

/// @file
/// Changes of programs at their primary. A change is made here first and then
/// sent to the host that has to confirm it, until it does. A program has one
/// unconfirmed change at a time; a later one replaces it.

namespace dotterelshed::pvt {

/// Reserves money for @p attempts more attempts of @p call and sends the
/// reservation. False if the budget does not hold them.
auto ReserveAttempts(StepContext& step,
                     PoolState& pool,
                     PendingCall& call,
                     int attempts) -> bool;

/// Settles the reservation of @p call and records its turn if it was decided
/// with one.
auto SettleCall(StepContext& step, PoolState& pool, PendingCall& call) -> void;

/// Marks a program as ended and copies that.
auto EndProgramRecord(StepContext& step, PoolState& pool, ProgramEntry& entry)
    -> void;

/// Ends @p program and, if it is a root, its sub-agents, and frees the engine
/// memory kept for them.
auto EndTree(StepContext& step, PoolState& pool, const ProgramId& program)
    -> void;

/// Sends a program's pending change, or takes it as confirmed when there is
/// nobody to ask.
auto SendChange(StepContext& step, PoolState& pool, const ProgramId& program)
    -> void;

/// Sends every pending change.
auto SendAllChanges(StepContext& step, PoolState& pool) -> void;

/// Makes a change that only passes on what a fetched program holds, so that
/// the copy holder has it before anything is answered from it.
auto ReplicateProgram(StepContext& step, PoolState& pool, ProgramEntry& entry)
    -> void;

auto OnReserveReply(StepContext& step, const ReserveReply& reply) -> void;
auto OnAppendReply(StepContext& step, const AppendReply& reply) -> void;

/// Sends unconfirmed changes again.
auto ResendChanges(StepContext& step, PoolState& pool) -> void;

}  // namespace dotterelshed::pvt

#endif  // DOTTERELSHED_LIBCORE_CHANGE_REPLICATION_H_
