#ifndef DOTTERELSHED_LIBCORE_PROGRAM_LIMITS_H_
#define DOTTERELSHED_LIBCORE_PROGRAM_LIMITS_H_

#include "core_state.h"

/// @file
/// Time limits of calls and programs, and what is forgotten when.

namespace dotterelshed::pvt {

/// True while this host may take one more program, over all its pools.
auto HasProgramCapacity(const HostCore& core) -> bool;

/// Gives up on calls whose deadline passed while they wait for other hosts.
auto TickCalls(StepContext& step, PoolState& pool) -> void;

/// Ends idle programs and forgets those that ended long ago. Looks at a part
/// of the programs on each call.
auto TickPrograms(StepContext& step, PoolState& pool) -> void;

}  // namespace dotterelshed::pvt

#endif  // DOTTERELSHED_LIBCORE_PROGRAM_LIMITS_H_
