#ifndef DOTTERELSHED_BENCH_SUMMARY_H_
#define DOTTERELSHED_BENCH_SUMMARY_H_

#include <set>
#include <string>
#include <vector>

#include "generator.h"
#include "replay.h"

/// @file
/// Figures drawn from a replay.

namespace dotterelshed::bench {

/// Seconds; infinite where the percentile falls on a program that was not
/// served, since refusing a program must not improve a figure.
struct Percentiles {
  double m_p50 = 0;
  double m_p95 = 0;
  double m_p99 = 0;
};

struct Summary {
  std::string m_scheduler;
  /// Whole programs, those not served counted as infinitely late.
  Percentiles m_programs;
  /// Calls of the short classes.
  Percentiles m_short_calls;
  double m_mean_wait_s = 0;
  double m_mean_run_s = 0;
  /// Wait of calls that came before the crest, after the pool had filled.
  double m_steady_wait_p95_s = 0;
  double m_wasted_percent = 0;
  int m_crest_programs = 0;
  int m_crest_in_time = 0;
  int m_programs_total = 0;
  int m_programs_in_time = 0;
  int m_not_served = 0;
  double m_first_token_p95_s = 0;
  /// Of calls whose prefill an engine can do in time.
  double m_first_token_feasible_p95_s = 0;
  double m_token_gap_p95_s = 0;
  /// Of long programs: latency over the least possible one.
  double m_long_slowdown_p50 = 0;
  double m_long_slowdown_worst = 0;
  /// Retries and hedges in percent of calls.
  double m_extra_attempts_percent = 0;
};

/// Classes of the kinds that are marked long.
auto LongClasses(const GeneratorOptions& options) -> std::set<ClassId>;

auto Summarize(const ReplayResult& result, const GeneratorOptions& options)
    -> Summary;

/// The value below which @p share of @p values lie; 0 for none.
auto Quantile(std::vector<double> values, double share) -> double;

}  // namespace dotterelshed::bench

#endif  // DOTTERELSHED_BENCH_SUMMARY_H_
