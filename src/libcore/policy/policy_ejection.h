#ifndef DOTTERELSHED_LIBCORE_POLICY_POLICY_EJECTION_H_
#define DOTTERELSHED_LIBCORE_POLICY_POLICY_EJECTION_H_

#include "policy/policy_state.h"

/// @file
/// Measured rates of endpoints, and ejection, probing and readmission of slow
/// or failing ones. The state machine is src/charts/endpoint.jsonc.

namespace dotterelshed::pvt {

/// Records a time between tokens; may eject or readmit @p endpoint.
auto RecordTokenGap(PoolPolicy& policy,
                    ScheduledEndpoint& endpoint,
                    double gap_s,
                    TimePoint now) -> void;

/// Updates the prefill rate with the time to the first token.
auto RecordFirstToken(ScheduledEndpoint& endpoint,
                      const ScheduledAttempt& attempt,
                      Duration took) -> void;

/// Applies an event to the endpoint's state machine and runs the actions of
/// the transition. An event that would eject too many endpoints is dropped.
auto ApplyEndpointEvent(PoolPolicy& policy,
                        ScheduledEndpoint& endpoint,
                        EndpointEvent event,
                        TimePoint now) -> void;

/// Starts probing ejected endpoints whose back-off has ended.
auto StartProbes(PoolPolicy& policy, TimePoint now) -> void;

/// Moves the calls in the endpoint's warm queue to the shared queues.
auto MoveWarmCallsToSharedQueue(PoolPolicy& policy, ScheduledEndpoint& endpoint)
    -> void;

/// Number of endpoints that may be ejected at once as slow or failing.
auto MaxEjected(const PoolPolicy& policy) -> int;

/// Median seconds between tokens over the pool's endpoints; 0 if there are
/// fewer than two.
auto ReferenceGap(PoolPolicy& policy, TimePoint now) -> double;

}  // namespace dotterelshed::pvt

#endif  // DOTTERELSHED_LIBCORE_POLICY_POLICY_EJECTION_H_
