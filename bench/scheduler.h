#ifndef DOTTERELSHED_BENCH_SCHEDULER_H_
#define DOTTERELSHED_BENCH_SCHEDULER_H_

#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "dotterelshed/policy.h"
#include "dotterelshed/trace.h"

/// @file
/// What the replay asks of a scheduler, and the schedulers it compares.

namespace dotterelshed::bench {

/// A call as the replay hands it over. The lengths are known to the oracle
/// only.
struct ReplayCall {
  PolicyCall m_call;
  /// Tokens that the root program still has to prefill and generate, this
  /// call included.
  std::int64_t m_remaining_tokens = 0;
};

/// A scheduler as a set of functions. Empty ones are not called.
struct Scheduler {
  std::string m_name;
  /// Every engine has every prefix that any engine computed.
  bool m_shared_cache = false;
  std::function<std::optional<Refusal>(const ReplayCall&, TimePoint)> m_admit;
  std::function<std::vector<Dispatched>(TimePoint)> m_dispatch;
  std::function<void(const AttemptId&, Tokens, TimePoint)> m_progress;
  std::function<
      FinishVerdict(const AttemptId&, const AttemptResult&, TimePoint)>
      m_finish;
  std::function<std::vector<RequestId>(TimePoint)> m_expire;
  std::function<std::optional<TimePoint>()> m_next;
  std::function<void(const LoadReport&, TimePoint)> m_load;
  std::function<std::vector<HoldRecord>(const ProgramId&)> m_end_program;
};

/// The desk's own policy, through policy.h.
auto MakePolicyScheduler(const Trace& trace, const PolicyOptions& options)
    -> Scheduler;

/// Sends each call at once to the next endpoint; engines run them in order of
/// arrival.
auto MakeRoundRobin(int endpoints) -> Scheduler;

/// Sends each call at once to the endpoint with the fewest outstanding ones;
/// engines run them in order of arrival.
auto MakeLeastOutstanding(int endpoints) -> Scheduler;

/// A bound and no product: one queue in order of the shortest remaining work
/// of the whole program, which it knows; engines keep to that order too, and
/// share one prefix cache, so that every endpoint is as good as another.
auto MakeOracle(int endpoints, int slots) -> Scheduler;

/// Name of the endpoint at @p position.
auto EndpointName(int position) -> EndpointId;

}  // namespace dotterelshed::bench

#endif  // DOTTERELSHED_BENCH_SCHEDULER_H_
