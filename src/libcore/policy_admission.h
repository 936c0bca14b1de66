#ifndef DOTTERELSHED_LIBCORE_POLICY_ADMISSION_H_
#define DOTTERELSHED_LIBCORE_POLICY_ADMISSION_H_

#include "policy_state.h"

/// @file
/// Refusal before a call runs, and overflow headroom. A refusal is truthful:
/// nothing of the call has been sent.

namespace dotterelshed::pvt {

/// Seconds that a call of @p level is expected to wait.
auto ExpectedWait(const PoolPolicy& policy, int level) -> double;

/// Slots of endpoints in service.
auto ServingSlots(const PoolPolicy& policy) -> double;

/// Makes or finds the program and its root.
auto RegisterCall(PoolPolicy& policy, const PolicyCall& call, TimePoint now)
    -> void;

/// Takes an open call off its program's count.
auto CloseCall(PoolPolicy& policy, const ProgramId& program, TimePoint now)
    -> void;

/// Forgets a program that has no open calls.
auto ForgetProgram(PoolPolicy& policy, const ProgramId& program) -> void;

}  // namespace dotterelshed::pvt

#endif  // DOTTERELSHED_LIBCORE_POLICY_ADMISSION_H_
