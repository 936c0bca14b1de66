#ifndef DOTTERELSHED_LIBCORE_CORE_STATE_MACHINES_H_
#define DOTTERELSHED_LIBCORE_CORE_STATE_MACHINES_H_

#include <string>

#include "dotterelshed/error.h"
#include "replication/pool_state.h"

/// @file
/// The state machines of calls and of a host's role in a pool, bound to their
/// enums.

namespace dotterelshed::pvt {

auto LoadCallStateMachine(const std::string& directory)
    -> Result<CallStateMachine>;
auto LoadPoolStateMachine(const std::string& directory)
    -> Result<PoolRoleStateMachine>;

/// Names as in the state machine files.
auto ToString(CallState state) -> std::string_view;
auto ToString(PoolRole role) -> std::string_view;

}  // namespace dotterelshed::pvt

#endif  // DOTTERELSHED_LIBCORE_CORE_STATE_MACHINES_H_
