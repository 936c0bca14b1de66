#ifndef DOTTERELSHED_LIBCORE_POLICY_POLICY_ENDPOINT_H_
#define DOTTERELSHED_LIBCORE_POLICY_POLICY_ENDPOINT_H_

#include "policy/policy_state.h"

/// @file
/// Endpoint selection by expected completion time, based on the attempts of
/// this scheduler, the measured rates and the load of other clients in the
/// last load report.

namespace dotterelshed::pvt {

/// Returns the prefix cached for @p program, or null.
auto FindPrefix(const PoolPolicy& policy, const ProgramId& program)
    -> const PrefixState*;

/// Whether the endpoint accepts the call, regardless of free slots.
auto AcceptsCall(const ScheduledEndpoint& endpoint, const ScheduledCall& call)
    -> bool;

/// Whether a slot is free for a short or a long call. A share of each
/// endpoint's slots is reserved for short calls.
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

/// Prompt tokens that the endpoint prefills before those of a new call.
/// Engines that support priorities prefill short calls first.
auto PendingAhead(const ScheduledEndpoint& endpoint, bool is_long)
    -> std::int64_t;

/// Adds to the prompt tokens that await prefill; @p tokens may be negative.
auto AddPending(ScheduledEndpoint& endpoint, bool is_long, std::int64_t tokens)
    -> void;

/// Expected run time of @p call on @p endpoint if it started now, in seconds.
auto ExpectedCompletion(const PoolPolicy& policy,
                        const ScheduledEndpoint& endpoint,
                        const ScheduledCall& call) -> double;

/// Returns the endpoint with a free slot that is expected to complete the call
/// first, or null. @p avoid is excluded.
auto FindFreeEndpoint(PoolPolicy& policy,
                      const ScheduledCall& call,
                      const EndpointId& avoid = EndpointId())
    -> ScheduledEndpoint*;

/// Updates the endpoint's entry in PoolPolicy::m_free.
auto UpdateFree(PoolPolicy& policy, ScheduledEndpoint& endpoint) -> void;

}  // namespace dotterelshed::pvt

#endif  // DOTTERELSHED_LIBCORE_POLICY_POLICY_ENDPOINT_H_
