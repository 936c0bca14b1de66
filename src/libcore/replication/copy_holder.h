#ifndef DOTTERELSHED_LIBCORE_REPLICATION_COPY_HOLDER_H_
#define DOTTERELSHED_LIBCORE_REPLICATION_COPY_HOLDER_H_

#include "core_state.h"

/// @file
/// Receiving side of reservations, appended turns, state copies and collection
/// requests. The copy holder is the backup replica of a pool.

namespace dotterelshed::pvt {

auto OnReserveRequest(StepContext& step, const ReserveRequest& message) -> void;
auto OnAppendRequest(StepContext& step, const AppendRequest& message) -> void;
auto OnStateCopy(StepContext& step, const StateCopy& message) -> void;
auto OnCollectRequest(StepContext& step, const CollectRequest& message) -> void;

}  // namespace dotterelshed::pvt

#endif  // DOTTERELSHED_LIBCORE_REPLICATION_COPY_HOLDER_H_
