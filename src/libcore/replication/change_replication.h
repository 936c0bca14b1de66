#ifndef DOTTERELSHED_LIBCORE_REPLICATION_CHANGE_REPLICATION_H_
#define DOTTERELSHED_LIBCORE_REPLICATION_CHANGE_REPLICATION_H_

#include "core_state.h"

/// @file
/// Replication of program changes from the primary. A change is applied locally
/// and then sent to the host that must confirm it, repeatedly until it does. A
/// program has at most one unconfirmed change; a later one replaces it.

namespace dotterelshed::pvt {

/// Reserves budget for @p attempts more attempts of @p call and sends the
/// reservation. Returns false if the budget does not cover them.
auto ReserveAttempts(StepContext& step,
                     PoolState& pool,
                     PendingCall& call,
                     int attempts) -> bool;

/// Settles the reservation of @p call and records its turn if the call finished
/// one.
auto SettleCall(StepContext& step, PoolState& pool, PendingCall& call) -> void;

/// Marks a program as ended and replicates that.
auto EndProgramRecord(StepContext& step, PoolState& pool, ProgramEntry& entry)
    -> void;

/// Ends @p program and, if it is a root, its sub-agents, and releases the KV
/// memory held for them.
auto EndTree(StepContext& step, PoolState& pool, const ProgramId& program)
    -> void;

/// Sends a program's pending change, or treats it as confirmed if there is no
/// host to confirm it.
auto SendChange(StepContext& step, PoolState& pool, const ProgramId& program)
    -> void;

/// Sends every pending change.
auto SendAllChanges(StepContext& step, PoolState& pool) -> void;

/// Replicates a program as it is, without a new turn. Used for fetched
/// programs, so that the copy holder has the history before answers are given
/// from it.
auto ReplicateProgram(StepContext& step, PoolState& pool, ProgramEntry& entry)
    -> void;

auto OnReserveReply(StepContext& step, const ReserveReply& reply) -> void;
auto OnAppendReply(StepContext& step, const AppendReply& reply) -> void;

/// Resends unconfirmed changes whose retry interval has elapsed.
auto ResendChanges(StepContext& step, PoolState& pool) -> void;

}  // namespace dotterelshed::pvt

#endif  // DOTTERELSHED_LIBCORE_REPLICATION_CHANGE_REPLICATION_H_
