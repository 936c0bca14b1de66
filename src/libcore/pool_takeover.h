#ifndef DOTTERELSHED_LIBCORE_POOL_TAKEOVER_H_
#define DOTTERELSHED_LIBCORE_POOL_TAKEOVER_H_

#include "core_state.h"

/// @file
/// Changes of a pool's owners: collecting what other hosts hold, copying to a
/// new holder, stepping down. Follows charts/pool_role.jsonc.

namespace dotterelshed::pvt {

auto OnRoleChange(StepContext& step, const RoleChange& change) -> void;
auto OnStateCopyReply(StepContext& step, const StateCopyReply& reply) -> void;
auto OnCollectReply(StepContext& step, const CollectReply& reply) -> void;

/// Sends unanswered collections and copies again; gives up on hosts that do
/// not answer.
auto TickTakeover(StepContext& step, PoolState& pool) -> void;

/// A message showed a term above this host's own: it stops serving until the
/// table says who owns the pool.
auto ObserveTerm(StepContext& step, PoolState& pool, Term term) -> void;

/// The copy holder of this term can be reached again: it gets the whole state
/// anew, since it missed changes.
auto RecopyToHolder(StepContext& step, PoolState& pool) -> void;

/// Sends all histories of one program to the host that confirms changes.
auto CopyProgram(StepContext& step, PoolState& pool, const ProgramId& program)
    -> void;

/// Asks the holders that the call's token names for its history.
auto FetchHistory(StepContext& step, PoolState& pool, PendingCall& call)
    -> void;

/// empty if there is none.
auto ChooseSpare(const HostCore& core, const PoolState& pool) -> HostRef;

}  // namespace dotterelshed::pvt

#endif  // DOTTERELSHED_LIBCORE_POOL_TAKEOVER_H_
