#ifndef DOTTERELSHED_LIBCORE_COPY_TARGET_H_
#define DOTTERELSHED_LIBCORE_COPY_TARGET_H_

#include "core_state.h"

/// @file
/// The host that has to confirm changes: the copy holder, or in an outage
/// without it another live host.

namespace dotterelshed::pvt {

/// Chooses who confirms changes now; on a change of mind pending ones are sent
/// to the new one.
auto ChooseTarget(StepContext& step, PoolState& pool) -> void;

/// A live host besides primary and copy holder, with a disk if there is one;

}  // namespace dotterelshed::pvt

#endif  // DOTTERELSHED_LIBCORE_COPY_TARGET_H_
