#ifndef DOTTERELSHED_LIBCORE_POLICY_ENDPOINT_H_
#define DOTTERELSHED_LIBCORE_POLICY_ENDPOINT_H_

#include "policy_state.h"

/// @file
/// Choice of endpoint by expected completion, from our own outstanding work
/// and the rates that we see; load reports correct it while they are fresh.

namespace dotterelshed::pvt {

/// Prefix that is kept for @p program, or null.
auto FindPrefix(const PoolPolicy& policy, const ProgramId& program)
    -> const PrefixState*;

/// Whether the endpoint takes calls like this one, free slot or not.
auto AcceptsCall(const ScheduledEndpoint& endpoint, const ScheduledCall& call)
    -> bool;

/// Whether a slot is free for a call of this length; long calls leave a share
/// of each endpoint's slots to short ones.
auto HasSlot(const PoolPolicy& policy,
             const ScheduledEndpoint& endpoint,
             bool is_long) -> bool;

/// Prompt tokens that @p endpoint would have to prefill for @p call.
auto UncachedTokens(const PoolPolicy& policy,
                    const ScheduledEndpoint& endpoint,
                    const ScheduledCall& call) -> std::int64_t;

/// Tokens that a call is expected to generate.
auto ExpectedGenerated(const PoolPolicy& policy, const ScheduledCall& call)
    -> double;

/// Prompt tokens that the endpoint prefills before those of a new call;
/// engines that honour priorities do short calls first.
auto PendingAhead(const ScheduledEndpoint& endpoint, bool is_long)
    -> std::int64_t;

/// Counts or discounts prompt tokens that wait for their prefill.
auto AddPending(ScheduledEndpoint& endpoint, bool is_long, std::int64_t tokens)
    -> void;

/// Seconds until @p call would be done if it started on @p endpoint now.
auto ExpectedCompletion(const PoolPolicy& policy,
                        const ScheduledEndpoint& endpoint,
                        const ScheduledCall& call) -> double;

/// The best endpoint with a free slot, or null. @p avoid is left out.
auto FindFreeEndpoint(PoolPolicy& policy,
                      const ScheduledCall& call,
                      const EndpointId& avoid = EndpointId())
    -> ScheduledEndpoint*;

/// Brings the index of free endpoints up to date after a change.
auto UpdateFree(PoolPolicy& policy, ScheduledEndpoint& endpoint) -> void;

}  // namespace dotterelshed::pvt

#endif  // DOTTERELSHED_LIBCORE_POLICY_ENDPOINT_H_
