#ifndef DOTTERELSHED_LIBCORE_POLICY_POLICY_HEDGING_H_
#define DOTTERELSHED_LIBCORE_POLICY_POLICY_HEDGING_H_

#include "policy/policy_state.h"

/// @file
/// Retry budget and hedging. Retries and hedges draw on one budget, a share of
/// the admitted calls plus a fixed reserve, so that they cannot multiply the
/// load while all endpoints fail.

namespace dotterelshed::pvt {

/// Fixed reserve of the retry budget, in attempts.
auto RetryReserve() -> double;

/// Credits the retry budget for an admitted call.
auto EarnRetryBudget(PoolPolicy& policy) -> void;

/// Takes one attempt from the retry budget; false if the budget is used up.
auto SpendRetryBudget(PoolPolicy& policy) -> bool;

/// A call to hedge and the endpoint for its second attempt.
struct Hedge {
  RequestId m_request;
  EndpointId m_endpoint;
};

/// Runs the stall checks that are due and returns the hedges to start. A stall
/// counts as a slow step of the endpoint.
auto FindHedges(PoolPolicy& policy, TimePoint now) -> std::vector<Hedge>;

/// Schedules the first stall check of a new attempt.
auto ArmAttemptTimer(PoolPolicy& policy, const AttemptId& id, TimePoint now)
    -> void;

}  // namespace dotterelshed::pvt

#endif  // DOTTERELSHED_LIBCORE_POLICY_POLICY_HEDGING_H_
