#ifndef DOTTERELSHED_LIBCORE_PROGRAM_PROGRAM_LIMITS_H_
#define DOTTERELSHED_LIBCORE_PROGRAM_PROGRAM_LIMITS_H_

#include "core_state.h"

/// @file
/// Time limits and retention of calls and programs.

namespace dotterelshed::pvt {

/// True while this host may store one more program, counted over all its pools.
auto HasProgramCapacity(const HostCore& core) -> bool;

/// Ends calls whose deadline passed while they wait for other hosts.
auto TickCalls(StepContext& step, PoolState& pool) -> void;

/// Ends idle programs and removes those past their retention. Each call checks
/// at most 256 programs.
auto TickPrograms(StepContext& step, PoolState& pool) -> void;

}  // namespace dotterelshed::pvt

#endif  // DOTTERELSHED_LIBCORE_PROGRAM_PROGRAM_LIMITS_H_
