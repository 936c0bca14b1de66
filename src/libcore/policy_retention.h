#ifndef DOTTERELSHED_LIBCORE_POLICY_RETENTION_H_
#define DOTTERELSHED_LIBCORE_POLICY_RETENTION_H_

#include "policy_state.h"

/// @file
/// Prefixes kept on endpoints between the calls of a program. A hold promises
/// that the prefix stays; when memory runs short, the one needed last goes.

namespace dotterelshed::pvt {

/// Tokens of memory that a call is expected to take.
auto MemoryNeed(const PoolPolicy& policy, const ScheduledCall& call)
    -> std::int64_t;

/// Hold to ask for with a call; empty when its prefix is not to be kept.
auto ChooseHold(const PoolPolicy& policy,
                const ScheduledEndpoint& endpoint,
                const ScheduledCall& call) -> HoldId;

/// Frees what must go before @p call starts on @p endpoint: the program's
/// prefix elsewhere, and prefixes of others until there is room.
auto ReleaseForStart(PoolPolicy& policy,
                     ScheduledEndpoint& endpoint,
                     const ScheduledCall& call) -> std::vector<HoldRecord>;

/// The call that starts on @p endpoint takes over its program's prefix there.
auto UsePrefix(PoolPolicy& policy,
               ScheduledEndpoint& endpoint,
               const ProgramId& program) -> void;

/// Prompt tokens of others that would have to go for @p call to fit.
auto MemoryOverflow(const PoolPolicy& policy,
                    const ScheduledEndpoint& endpoint,
                    const ScheduledCall& call) -> std::int64_t;

/// Takes note of the prefix that a finished call leaves behind, under the
/// hold that its attempt asked for.
auto KeepPrefix(PoolPolicy& policy,
                ScheduledEndpoint& endpoint,
                const ScheduledCall& call,
                const HoldId& hold,
                Tokens context,
                TimePoint now) -> void;

/// Forgets the program's prefix; gives its hold, if any, to be freed.
auto DropPrefix(PoolPolicy& policy, const ProgramId& program)
    -> std::vector<HoldRecord>;

/// Program of a hold made by ChooseHold.
auto ProgramOfHold(const HoldId& hold) -> ProgramId;

}  // namespace dotterelshed::pvt

#endif  // DOTTERELSHED_LIBCORE_POLICY_RETENTION_H_
