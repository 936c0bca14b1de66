#ifndef DOTTERELSHED_STEADY_TIME_H_
#define DOTTERELSHED_STEADY_TIME_H_

#include <chrono>

#include "dotterelshed/units.h"

/// @file
/// The clock of a process. The decision code never reads it: time is passed
/// in.

namespace dotterelshed {

/// Time on the steady clock, in the decision code's type.
inline auto SteadyTime() -> TimePoint {
  return TimePoint(std::chrono::duration_cast<Duration>(
      std::chrono::steady_clock::now().time_since_epoch()));
}

}  // namespace dotterelshed

#endif  // DOTTERELSHED_STEADY_TIME_H_
