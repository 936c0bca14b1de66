#ifndef DOTTERELSHED_LIBCORE_POLICY_HEDGING_H_
#define DOTTERELSHED_LIBCORE_POLICY_HEDGING_H_

#include "policy_state.h"

/// @file
/// Retry budget and hedging. Retries and hedges draw on one budget, a share of
/// the calls admitted plus a fixed reserve, so that they can't multiply the
/// load while everything fails.

namespace dotterelshed::pvt {

/// Attempts in the budget's fixed reserve.
auto RetryReserve() -> double;

/// Earns the budget's share for an admitted call.
auto EarnRetryBudget(PoolPolicy& policy) -> void;

/// Takes one attempt out of the budget; false when it is used up.
auto SpendRetryBudget(PoolPolicy& policy) -> bool;

/// A call to hedge and where to run its second attempt.
struct Hedge {
  RequestId m_request;
  EndpointId m_endpoint;
};

/// Looks at attempts whose check is due; stalls count against their endpoint.
auto FindHedges(PoolPolicy& policy, TimePoint now) -> std::vector<Hedge>;

/// Sets the time at which a new attempt is first looked at.
auto ArmAttemptTimer(PoolPolicy& policy, const AttemptId& id, TimePoint now)
    -> void;

}  // namespace dotterelshed::pvt

#endif  // DOTTERELSHED_LIBCORE_POLICY_HEDGING_H_
