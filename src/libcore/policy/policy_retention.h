#ifndef DOTTERELSHED_LIBCORE_POLICY_POLICY_RETENTION_H_
#define DOTTERELSHED_LIBCORE_POLICY_POLICY_RETENTION_H_

#include "policy/policy_state.h"

/// @file
/// Retention of prefixes in the KV cache of endpoints between the calls of a
/// program. A hold pins a prefix; if memory runs short, the hold whose prefix
/// is expected to be reused last is released first.

namespace dotterelshed::pvt {

/// Expected KV cache memory of a call, in tokens.
auto MemoryNeed(const PoolPolicy& policy, const ScheduledCall& call)
    -> std::int64_t;

/// Returns the hold to request with a call; empty if its prefix is not kept.
auto ChooseHold(const PoolPolicy& policy,
                const ScheduledEndpoint& endpoint,
                const ScheduledCall& call) -> HoldId;

/// Returns the holds to release before @p call starts on @p endpoint: that of
/// the program's prefix on another endpoint, and those of other programs until
/// the call fits.
auto ReleaseForStart(PoolPolicy& policy,
                     ScheduledEndpoint& endpoint,
                     const ScheduledCall& call) -> std::vector<HoldRecord>;

/// Charges the program's prefix on @p endpoint to the call that starts there.
auto UsePrefix(PoolPolicy& policy,
               ScheduledEndpoint& endpoint,
               const ProgramId& program) -> void;

/// Tokens by which @p call exceeds the free KV cache memory of @p endpoint.
auto MemoryOverflow(const PoolPolicy& policy,
                    const ScheduledEndpoint& endpoint,
                    const ScheduledCall& call) -> std::int64_t;

/// Records the prefix that a finished call leaves on @p endpoint, under the
/// hold that its attempt requested.
auto KeepPrefix(PoolPolicy& policy,
                ScheduledEndpoint& endpoint,
                const ScheduledCall& call,
                const HoldId& hold,
                Tokens context,
                TimePoint now) -> void;

/// Removes the program's prefix and returns its hold, if any, to be released.
auto DropPrefix(PoolPolicy& policy, const ProgramId& program)
    -> std::vector<HoldRecord>;

/// Program encoded in a hold id that ChooseHold returned.
auto ProgramOfHold(const HoldId& hold) -> ProgramId;

}  // namespace dotterelshed::pvt

#endif  // DOTTERELSHED_LIBCORE_POLICY_POLICY_RETENTION_H_
