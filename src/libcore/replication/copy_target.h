#ifndef DOTTERELSHED_LIBCORE_REPLICATION_COPY_TARGET_H_
#define DOTTERELSHED_LIBCORE_REPLICATION_COPY_TARGET_H_

#include "core_state.h"

/// @file
/// Choice of the host that must confirm changes: the copy holder or, if that is
/// lost in a platform outage, another live host (a spare). A copy holder that
/// serves provisionally also uses a spare.

namespace dotterelshed::pvt {

/// Chooses the host that confirms changes. If it changes, pending changes are
/// sent to the new host.
auto ChooseTarget(StepContext& step, PoolState& pool) -> void;

}  // namespace dotterelshed::pvt

#endif  // DOTTERELSHED_LIBCORE_REPLICATION_COPY_TARGET_H_
