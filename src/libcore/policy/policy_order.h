#ifndef DOTTERELSHED_LIBCORE_POLICY_POLICY_ORDER_H_
#define DOTTERELSHED_LIBCORE_POLICY_POLICY_ORDER_H_

#include "policy/policy_state.h"

/// @file
/// Queue order: least attained service first, in levels. The rank of a call is
/// its arrival time plus a penalty for its level, so that no call starves.

namespace dotterelshed::pvt {

/// Level of a root program that has received @p attained service.
auto LevelOf(std::int64_t attained) -> int;

/// Service in units of generated tokens; prefilled tokens are converted by
/// their relative cost.
auto ServiceOf(std::int64_t uncached, std::int64_t generated) -> std::int64_t;

/// Sets level, length and queue key of a call.
auto RankCall(PoolPolicy& policy, ScheduledCall& call) -> void;

/// Adds a call to the isolation, warm or shared queue.
auto Enqueue(PoolPolicy& policy, ScheduledCall& call, TimePoint now) -> void;

/// Removes a call from its queue.
auto Dequeue(PoolPolicy& policy, ScheduledCall& call) -> void;

/// Moves a call from a warm queue to the shared queue of its model.
auto MoveToSharedQueue(PoolPolicy& policy, ScheduledCall& call) -> void;

/// Moves calls whose wait in a warm queue has expired to the shared queue, if
/// an endpoint is free for them.
auto MoveOverdueWarmCalls(PoolPolicy& policy, TimePoint now) -> void;

}  // namespace dotterelshed::pvt

#endif  // DOTTERELSHED_LIBCORE_POLICY_POLICY_ORDER_H_
