#ifndef DOTTERELSHED_LIBCORE_POLICY_EJECTION_H_
#define DOTTERELSHED_LIBCORE_POLICY_EJECTION_H_

#include "policy_state.h"

/// @file
/// Rates of endpoints, ejection of the slow and failing ones, and probing
/// them back. The transitions are those of src/charts/endpoint.jsonc.

namespace dotterelshed::pvt {

/// Takes a time between tokens, seen on @p endpoint.
auto RecordTokenGap(PoolPolicy& policy,
                    ScheduledEndpoint& endpoint,
                    double gap_s,
                    TimePoint now) -> void;

/// Takes a time to the first token.
auto RecordFirstToken(ScheduledEndpoint& endpoint,
                      const ScheduledAttempt& attempt,
                      Duration took) -> void;

/// Hands an event to the endpoint's chart and does what it says. An event
/// that would eject more endpoints than the floor allows is dropped.
auto ApplyEndpointEvent(PoolPolicy& policy,
                        ScheduledEndpoint& endpoint,
                        EndpointEvent event,
                        TimePoint now) -> void;

/// Lets ejected endpoints whose wait is over take a probe.
auto StartProbes(PoolPolicy& policy, TimePoint now) -> void;

/// Moves what waits for this endpoint's cache to the common queue.
auto MoveWarmCallsToSharedQueue(PoolPolicy& policy, ScheduledEndpoint& endpoint)
    -> void;

/// Endpoints that may be out of service at once.
auto MaxEjected(const PoolPolicy& policy) -> int;

/// Typical time between tokens in the pool; 0 while nothing is known.
auto ReferenceGap(PoolPolicy& policy, TimePoint now) -> double;

}  // namespace dotterelshed::pvt

#endif  // DOTTERELSHED_LIBCORE_POLICY_EJECTION_H_
