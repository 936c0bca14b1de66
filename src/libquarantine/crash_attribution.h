#ifndef DOTTERELSHED_CRASH_ATTRIBUTION_H_
#define DOTTERELSHED_CRASH_ATTRIBUTION_H_

#include <optional>
#include <vector>

#include "dotterelshed/crash_ledger.h"

/// @file
/// Attributes an endpoint's crash to one of the requests that were lost in it.

namespace dotterelshed {

/// A content as sent by one caller.
struct CallerLosses {
  const SuspectContent* m_content;
  CallerDigest m_caller;
};

/// Number of crashes in which a request was lost, whichever request caused
/// them.
auto CountCrashesInvolved(const CallerLosses& lost) -> int;

/// True while a quarantine applies to a caller of the content: also after its
/// time has run out, until it is cleared.
auto IsQuarantined(const SuspectContent& content, CallerDigest caller) -> bool;

/// The crashes attributed to a content, in order of time: those of one caller,
/// or, without @p caller, of all callers since it was last served to any.
auto AttributedCrashes(const CrashLedger& ledger,
                       const SuspectContent& content,
                       std::optional<CallerDigest> caller,
                       TimePoint now) -> std::vector<const LostAttempt*>;

}  // namespace dotterelshed

#endif  // DOTTERELSHED_CRASH_ATTRIBUTION_H_
