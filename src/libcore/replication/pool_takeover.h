#ifndef DOTTERELSHED_LIBCORE_REPLICATION_POOL_TAKEOVER_H_
#define DOTTERELSHED_LIBCORE_REPLICATION_POOL_TAKEOVER_H_

#include "core_state.h"

/// @file
/// Ownership changes of a pool: collecting state from other hosts, copying it
/// to a new copy holder, stepping down. The state machine is
/// src/charts/pool_role.jsonc.

namespace dotterelshed::pvt {

auto OnRoleChange(StepContext& step, const RoleChange& change) -> void;
auto OnStateCopyReply(StepContext& step, const StateCopyReply& reply) -> void;
auto OnCollectReply(StepContext& step, const CollectReply& reply) -> void;

/// Resends unanswered collect requests and copy parts. Stops collecting after
/// the heartbeat time-out.
auto TickTakeover(StepContext& step, PoolState& pool) -> void;

/// Records the term of a received message. If it is above this host's own, the
/// host stops serving until the domain table names the pool's owners.
auto ObserveTerm(StepContext& step, PoolState& pool, Term term) -> void;

/// Sends the whole state to a copy holder that can be reached again, since it
/// has missed changes.
auto RecopyToHolder(StepContext& step, PoolState& pool) -> void;

/// Sends all histories of one program to the host that confirms changes.
auto CopyProgram(StepContext& step, PoolState& pool, const ProgramId& program)
    -> void;

/// Requests the call's history from the holders named in its token.
auto FetchHistory(StepContext& step, PoolState& pool, PendingCall& call)
    -> void;

/// Returns a live host other than primary and copy holder, with a disk if there
/// is one; empty if there is none.
auto ChooseSpare(const HostCore& core, const PoolState& pool) -> HostRef;

}  // namespace dotterelshed::pvt

#endif  // DOTTERELSHED_LIBCORE_REPLICATION_POOL_TAKEOVER_H_
