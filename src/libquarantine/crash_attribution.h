#ifndef DOTTERELSHED_CRASH_ATTRIBUTION_H_
#define DOTTERELSHED_CRASH_ATTRIBUTION_H_

#include <optional>
#include <vector>

#include "dotterelshed/crash_ledger.h"

/// @file
/// Which request an endpoint's end is put down to, of all that were lost at it.

namespace dotterelshed {

/// A request of one caller and what was lost of it.
struct CallerLosses {
  const SuspectContent* m_content;
  CallerDigest m_caller;
};

/// All ends that a request was lost at, whoever caused them.
auto CountCrashesInvolved(const CallerLosses& lost) -> int;

/// True while a quarantine holds for a caller of the content, or has ended
/// without a trial.
auto IsQuarantined(const SuspectContent& content, CallerDigest caller) -> bool;

/// The ends that are put down to a content, in order of time: of one caller, or
/// of all callers since it was last served to any of them.
auto AttributedCrashes(const CrashLedger& ledger,
                       const SuspectContent& content,
                       std::optional<CallerDigest> caller,
                       TimePoint now) -> std::vector<const LostAttempt*>;

}  // namespace dotterelshed

#endif  // DOTTERELSHED_CRASH_ATTRIBUTION_H_
