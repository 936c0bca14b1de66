#ifndef DOTTERELSHED_LIBCORE_POLICY_LIMIT_H_
#define DOTTERELSHED_LIBCORE_POLICY_LIMIT_H_

#include "policy_state.h"

/// @file
/// Concurrency limit of an endpoint. It rises while first tokens come when the
/// prefill before them explains it, and falls when they come later: then calls
/// queue inside the engine, where the order is not ours.

namespace dotterelshed::pvt {

/// Limit to begin with, for an endpoint that nothing is known of.
auto StartLimit(const PolicyOptions& options, const EndpointConfig& config)
    -> double;

/// Whether a first token that came @p took after the start is later than the
/// prefill before it explains.
auto IsLate(const AttemptState& attempt, Duration took) -> bool;

/// Takes a first token that came @p took after the start of @p attempt.
auto AdaptLimit(PoolPolicy& policy,
                EndpointWork& endpoint,
                const AttemptState& attempt,
                Duration took,
                TimePoint now) -> void;

}  // namespace dotterelshed::pvt

#endif  // DOTTERELSHED_LIBCORE_POLICY_LIMIT_H_
