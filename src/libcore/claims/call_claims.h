#ifndef DOTTERELSHED_LIBCORE_CLAIMS_CALL_CLAIMS_H_
#define DOTTERELSHED_LIBCORE_CLAIMS_CALL_CLAIMS_H_

#include "core_state.h"

/// @file
/// Connects calls to claims.h: a non-idempotent call needs a granted claim
/// before it is sent, and its result closes the claim.

namespace dotterelshed::pvt {

/// Requests the claim for a non-idempotent call. Without a key from the caller,
/// the key is derived from program and turn.
auto RequestCallClaim(StepContext& step, PendingCall& call) -> void;

/// Records the outcome of a call whose claim was granted.
auto RecordClaimEnd(StepContext& step,
                    const PendingCall& call,
                    const CallAnswer& answer) -> void;

/// Applies the effects and decisions of a claim step.
auto ApplyClaimStep(StepContext& step, const ClaimStep& result) -> void;

}  // namespace dotterelshed::pvt

#endif  // DOTTERELSHED_LIBCORE_CLAIMS_CALL_CLAIMS_H_
