#ifndef DOTTERELSHED_UNITS_H_
#define DOTTERELSHED_UNITS_H_

#include <chrono>

#include "dotterelshed/ids.h"

/// @file
/// Time, token, money and size units.

namespace dotterelshed {

/// All durations in the decision code, in microseconds.
using Duration = std::chrono::microseconds;

/// Clock of the decision code. It is never read there: the caller passes the
/// time in, from the steady clock in the daemon and from a counter in replay.
struct DecisionClock {
  using rep = Duration::rep;
  using period = Duration::period;
  using duration = Duration;
  using time_point = std::chrono::time_point<DecisionClock, Duration>;
  static constexpr bool is_steady = true;  // NOLINT: name set by std::chrono
};
using TimePoint = DecisionClock::time_point;

/// Tokens of a model's vocabulary, prompt or generated.
using Tokens = StrongCount<struct TokensTag>;
/// Money in millionths of the account's currency unit.
using Cost = StrongCount<struct CostTag>;
/// Sizes in bytes.
using Bytes = StrongCount<struct BytesTag>;

/// Seconds as a floating point number, for reports and estimates.
inline auto ToSeconds(Duration duration) -> double {
  return std::chrono::duration<double>(duration).count();
}

/// The nearest Duration to @p seconds.
inline auto FromSeconds(double seconds) -> Duration {
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(seconds));
}

}  // namespace dotterelshed

#endif  // DOTTERELSHED_UNITS_H_
