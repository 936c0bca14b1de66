#ifndef DOTTERELSHED_BENCH_REPLAY_EVENTS_H_
#define DOTTERELSHED_BENCH_REPLAY_EVENTS_H_

#include <cstdint>
#include <tuple>
#include <variant>

#include "dotterelshed/policy.h"

/// @file
/// What happens in a replay, ordered by virtual time.

namespace dotterelshed::bench {

struct CallDue {
  std::size_t m_node = 0;
};
struct SubmitDue {
  Dispatched m_dispatched;
};
struct StepDue {
  std::size_t m_engine = 0;
  std::uint64_t m_epoch = 0;
};
struct FinishDue {
  AttemptId m_attempt;
  AttemptResult m_result;
};
struct ReportDue {};
struct ReportArrives {
  LoadReport m_report;
};
struct SlowdownDue {
  std::size_t m_engine = 0;
  double m_factor = 1;
};
struct WakeUp {};

using Happening = std::variant<CallDue,
                               SubmitDue,
                               StepDue,
                               FinishDue,
                               ReportDue,
                               ReportArrives,
                               SlowdownDue,
                               WakeUp>;

struct Scheduled {
  TimePoint m_at;
  std::uint64_t m_order = 0;
  Happening m_what;
};

struct Later {
  auto operator()(const Scheduled& left, const Scheduled& right) const -> bool {
    return std::tie(left.m_at, left.m_order) >
           std::tie(right.m_at, right.m_order);
  }
};

}  // namespace dotterelshed::bench

#endif  // DOTTERELSHED_BENCH_REPLAY_EVENTS_H_
