#ifndef DOTTERELSHED_LIBCORE_HOLD_RECLAIM_H_
#define DOTTERELSHED_LIBCORE_HOLD_RECLAIM_H_

#include "core_state.h"

/// @file
/// KV memory that endpoints keep for programs: who holds what, release until
/// confirmed, and a sweep for what nobody remembers.

namespace dotterelshed::pvt {

/// Frees @p hold; asks again until the endpoint confirms.
auto ReleaseRecord(StepContext& step, const HoldRecord& hold) -> void;
/// Frees everything that is held for an ended program.
auto ReleaseProgramHolds(StepContext& step,
                         PoolState& pool,
                         ProgramEntry& entry) -> void;
auto OnHoldReleased(StepContext& step, const HoldReleased& event) -> void;
/// Frees listed holds of this host's pools that no live program owns.
auto OnHoldsListed(StepContext& step, const HoldsListed& event) -> void;
/// Asks again for unconfirmed releases and lists holds from time to time.
auto TickHolds(StepContext& step) -> void;

}  // namespace dotterelshed::pvt

#endif  // DOTTERELSHED_LIBCORE_HOLD_RECLAIM_H_
