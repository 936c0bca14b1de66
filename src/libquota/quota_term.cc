#include "dotterelshed/quota_term.h"

#include <algorithm>

namespace dotterelshed {

auto MayGrant(TimePoint confirmed_at, TimePoint now) -> bool {
  return now - confirmed_at < kQuotaAuthority;
}

auto SoleFrom(const TermStart& start, TimePoint now) -> TimePoint {
  if (start.m_first) {
    return now;
  }
  if (start.m_wait_left) {
    return now + *start.m_wait_left;
  }
  return now + (start.m_fenced ? kQuotaAuthority : kUnfencedWait);
}

auto WaitAfterHandover(const std::optional<TimePoint>& sole_from, TimePoint now)
    -> std::optional<Duration> {
  if (!sole_from) {
    return std::nullopt;
  }
  return std::max(*sole_from - now, Duration{0});
}

}  // namespace dotterelshed
