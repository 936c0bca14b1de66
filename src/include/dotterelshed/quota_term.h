#ifndef DOTTERELSHED_QUOTA_TERM_H_
#define DOTTERELSHED_QUOTA_TERM_H_

#include <optional>

#include "dotterelshed/units.h"

/// @file
/// When the lead of a failure domain may grant quota tokens from the domain's
/// share. A lead that was replaced without noticing (it was paused or cut off)
/// and its successor must not grant at the same time: a lead grants only for a
/// short time after the last proof that it leads, and its successor waits for
/// that long unless the predecessor says that it has stopped.

namespace dotterelshed {

/// Time after the last confirmed write of its ledger for which a lead grants.
/// A write that is lost can be repeated, or made on the disk hosts, within it.
inline constexpr Duration kQuotaAuthority = std::chrono::seconds(2);
/// Wait of a lead that could not fence all disk hosts on which its predecessor
/// may still be confirming that it leads.
inline constexpr Duration kUnfencedWait = std::chrono::seconds(60);

/// How a lead's term began.
struct TermStart {
  /// The domain never had a lead before.
  bool m_first = false;
  /// No write of the predecessor can be confirmed any more.
  bool m_fenced = false;
  /// The predecessor is known to have stopped: what was left of its own wait
  /// when it wrote that.
  std::optional<Duration> m_wait_left;
};

/// Returns true if a lead whose last confirmed write was sent at
/// @p confirmed_at may grant.
auto MayGrant(TimePoint confirmed_at, TimePoint now) -> bool;

/// Returns the moment from which the new lead's share accrues.
/// @param now  Time at which its first write to the ledger was confirmed.
auto SoleFrom(const TermStart& start, TimePoint now) -> TimePoint;

/// Returns how long the successor of a lead that has stopped must still wait:
/// for the predecessor of that lead. Nothing if it isn't known.
/// @param sole_from  Of the lead that has stopped.
auto WaitAfterHandover(const std::optional<TimePoint>& sole_from, TimePoint now)
    -> std::optional<Duration>;

}  // namespace dotterelshed

#endif  // DOTTERELSHED_QUOTA_TERM_H_
