#ifndef DOTTERELSHED_LIBCORE_CALL_CLAIMS_H_
#define DOTTERELSHED_LIBCORE_CALL_CLAIMS_H_

#include "core_state.h"

/// @file
/// Claims of non-idempotent calls: asked for before a call is sent, decided by
/// claims.h, closed with the call's end.

namespace dotterelshed::pvt {

/// Asks for the right to send a non-idempotent call.
auto RequestCallClaim(StepContext& step, PendingCall& call) -> void;

/// Tells the claims how a call ended that was allowed to be sent once.
auto RecordClaimEnd(StepContext& step,
                    const PendingCall& call,
                    const CallAnswer& answer) -> void;

/// Takes effects and decisions of the claims.
auto ApplyClaimStep(StepContext& step, const ClaimStep& result) -> void;

}  // namespace dotterelshed::pvt

#endif  // DOTTERELSHED_LIBCORE_CALL_CLAIMS_H_
