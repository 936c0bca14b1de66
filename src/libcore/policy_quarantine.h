#ifndef DOTTERELSHED_LIBCORE_POLICY_QUARANTINE_H_
#define DOTTERELSHED_LIBCORE_POLICY_QUARANTINE_H_

#include "policy_state.h"

/// @file
/// Content that crashes endpoints. What ran on an endpoint that crashed is
/// suspect and next runs alone; content that takes down a second endpoint is
/// quarantined. Crashes of several endpoints at once are blamed on the machines
/// and not on content.

namespace dotterelshed::pvt {

/// Takes an attempt that was lost with its endpoint. True when the content
/// has now crashed two endpoints.
auto RecordCrash(PoolPolicy& policy,
                 ScheduledCall& call,
                 const EndpointId& endpoint,
                 TimePoint now) -> bool;

/// A suspect ran to its end: it is cleared.
auto ClearSuspect(PoolPolicy& policy, ScheduledCall& call) -> void;

/// Whether this content crashed an endpoint before.
auto IsSuspect(const PoolPolicy& policy, const Digest& content) -> bool;

auto AddQuarantined(PoolPolicy& policy, const Digest& content) -> void;

/// A suspect and the empty endpoint on which it may start now.
struct IsolatedStart {
  RequestId m_request;
  EndpointId m_endpoint;
};

/// Reserves endpoints for waiting suspects and gives those that may start.
auto FindIsolatedStarts(PoolPolicy& policy) -> std::vector<IsolatedStart>;

/// Gives an endpoint back that was reserved for @p request.
auto EndIsolation(PoolPolicy& policy, const RequestId& request) -> void;

}  // namespace dotterelshed::pvt

#endif  // DOTTERELSHED_LIBCORE_POLICY_QUARANTINE_H_
