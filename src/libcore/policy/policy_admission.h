#ifndef DOTTERELSHED_LIBCORE_POLICY_POLICY_ADMISSION_H_
#define DOTTERELSHED_LIBCORE_POLICY_POLICY_ADMISSION_H_

#include "policy/policy_state.h"

/// @file
/// Admission control and overflow headroom. No part of a call that is refused
/// here has been sent to an endpoint.

namespace dotterelshed::pvt {

/// Expected queueing time of a call of @p level, in seconds.
auto ExpectedWait(const PoolPolicy& policy, int level) -> double;

/// Number of slots of serving endpoints, at least 1.
auto ServingSlots(const PoolPolicy& policy) -> double;

/// Adds an open call to its program; creates the program and root if needed.
auto RegisterCall(PoolPolicy& policy, const PolicyCall& call, TimePoint now)
    -> void;

/// Removes an open call from its program, which may become idle.
auto CloseCall(PoolPolicy& policy, const ProgramId& program, TimePoint now)
    -> void;

/// Removes a program, unless it has open calls.
auto ForgetProgram(PoolPolicy& policy, const ProgramId& program) -> void;

}  // namespace dotterelshed::pvt

#endif  // DOTTERELSHED_LIBCORE_POLICY_POLICY_ADMISSION_H_
