#ifndef DOTTERELSHED_LIBCORE_POLICY_POLICY_QUARANTINE_H_
#define DOTTERELSHED_LIBCORE_POLICY_POLICY_QUARANTINE_H_

#include "policy/policy_state.h"

/// @file
/// Quarantine of requests that crash endpoints. Content that ran on a crashed
/// endpoint is suspect and runs alone next time; content that crashes a second
/// endpoint is quarantined. Simultaneous crashes of several endpoints are
/// attributed to the machines, not to the content.

namespace dotterelshed::pvt {

/// Records that @p endpoint crashed while it ran @p call. Returns true if the
/// content has now crashed two endpoints.
auto RecordCrash(PoolPolicy& policy,
                 ScheduledCall& call,
                 const EndpointId& endpoint,
                 TimePoint now) -> bool;

/// Removes the suspicion from a call that ran to completion.
auto ClearSuspect(PoolPolicy& policy, ScheduledCall& call) -> void;

/// Whether this content was running on an endpoint that crashed.
auto IsSuspect(const PoolPolicy& policy, const Digest& content) -> bool;

auto AddQuarantined(PoolPolicy& policy, const Digest& content) -> void;

/// A suspect call and the idle endpoint on which it may start now.
struct IsolatedStart {
  RequestId m_request;
  EndpointId m_endpoint;
};

/// Reserves endpoints for queued suspects and returns those that may start.
auto FindIsolatedStarts(PoolPolicy& policy) -> std::vector<IsolatedStart>;

/// Cancels the reservation of an endpoint for @p request.
auto EndIsolation(PoolPolicy& policy, const RequestId& request) -> void;

}  // namespace dotterelshed::pvt

#endif  // DOTTERELSHED_LIBCORE_POLICY_POLICY_QUARANTINE_H_
