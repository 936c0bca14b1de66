#ifndef DOTTERELSHED_LIBCORE_PROGRAM_HOLD_RECLAIM_H_
#define DOTTERELSHED_LIBCORE_PROGRAM_HOLD_RECLAIM_H_

#include "core_state.h"

/// @file
/// Release of KV cache memory that endpoints hold for programs: releases are
/// repeated until confirmed, and a sweep finds holds without an owner.

namespace dotterelshed::pvt {

/// Releases @p hold; the request is repeated until the endpoint confirms it.
auto ReleaseRecord(StepContext& step, const HoldRecord& hold) -> void;
/// Releases all holds of an ended program.
auto ReleaseProgramHolds(StepContext& step,
                         PoolState& pool,
                         ProgramEntry& entry) -> void;
auto OnHoldReleased(StepContext& step, const HoldReleased& event) -> void;
/// Releases listed holds of this host's pools that no live program owns.
auto OnHoldsListed(StepContext& step, const HoldsListed& event) -> void;
/// Repeats unconfirmed releases and lists the holds once per sweep interval.
auto TickHolds(StepContext& step) -> void;

}  // namespace dotterelshed::pvt

#endif  // DOTTERELSHED_LIBCORE_PROGRAM_HOLD_RECLAIM_H_
