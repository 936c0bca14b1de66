#ifndef DOTTERELSHED_STEADY_TIME_H_
#define DOTTERELSHED_STEADY_TIME_H_

#include <ctime>

#include "dotterelshed/units.h"

/// @file
/// The clock of a process. The decision code never reads it: time is passed
/// in.

namespace dotterelshed {

/// Time on a clock that never jumps, in the decision code's type. It goes on
/// while the machine is suspended, so that what has expired is seen to have.
inline auto SteadyTime() -> TimePoint {
  timespec now{};
  clock_gettime(CLOCK_BOOTTIME, &now);
  return TimePoint(std::chrono::duration_cast<Duration>(
      std::chrono::seconds(now.tv_sec) +
      std::chrono::nanoseconds(now.tv_nsec)));
}

}  // namespace dotterelshed

#endif  // DOTTERELSHED_STEADY_TIME_H_
