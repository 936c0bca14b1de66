#ifndef DOTTERELSHED_LIBCORE_POLICY_ORDER_H_
#define DOTTERELSHED_LIBCORE_POLICY_ORDER_H_

#include "policy_state.h"

/// @file
/// Order of calls: least attained service in levels. A call's rank is the time
/// of its arrival plus a penalty for its level, so that waiting makes up for
/// the level and nothing starves.

namespace dotterelshed::pvt {

/// Level of a root program that has had @p attained service.
auto LevelOf(std::int64_t attained) -> int;

/// Service in generated tokens; prefilled tokens count by their cost.
auto ServiceOf(std::int64_t uncached, std::int64_t generated) -> std::int64_t;

/// Sets level, length and key of a call that is about to wait.
auto RankCall(PoolPolicy& policy, ScheduledCall& call) -> void;

/// Puts a call into the queue where it belongs.
auto Enqueue(PoolPolicy& policy, ScheduledCall& call, TimePoint now) -> void;

/// Takes a call out of the queue that it is in.
auto Dequeue(PoolPolicy& policy, ScheduledCall& call) -> void;

/// Lets a call that waits for a warm endpoint run anywhere.
auto MoveToSharedQueue(PoolPolicy& policy, ScheduledCall& call) -> void;

/// Lets warm calls go elsewhere that have waited long enough.
auto MoveOverdueWarmCalls(PoolPolicy& policy, TimePoint now) -> void;

}  // namespace dotterelshed::pvt

#endif  // DOTTERELSHED_LIBCORE_POLICY_ORDER_H_
