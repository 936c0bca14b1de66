#include "summary.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace dotterelshed::bench {

namespace {

constexpr double kInfinity = std::numeric_limits<double>::infinity();
/// Prompt tokens that an engine with a full batch prefills within the
/// first-token goal of 0.61 s: 18 steps of 33 ms with 128 tokens each.
constexpr std::int64_t kFeasiblePrompt = 2304;
/// Time after the crest in which the pool still works off what it left.
constexpr Duration kCrestAftermath = std::chrono::seconds(20);

auto ToPercentiles(const std::vector<double>& values) -> Percentiles {
  return {.m_p50 = Quantile(values, 0.5),
          .m_p95 = Quantile(values, 0.95),
          .m_p99 = Quantile(values, 0.99)};
}

auto AddPrograms(const ReplayResult& result,
                 const std::set<ClassId>& long_classes,
                 Summary& out) -> void {
  std::vector<double> latencies;
  std::vector<double> slowdowns;
  for (const auto& program : result.m_programs) {
    if (program.m_crashes) {
      continue;
    }
    const auto in_time =
        program.m_latency && *program.m_latency <= program.m_deadline;
    out.m_not_served += program.m_latency ? 0 : 1;
    out.m_programs_in_time += in_time ? 1 : 0;
    out.m_crest_programs += program.m_in_crest ? 1 : 0;
    out.m_crest_in_time += program.m_in_crest && in_time ? 1 : 0;
    latencies.push_back(program.m_latency ? ToSeconds(*program.m_latency)
                                          : kInfinity);
    if (long_classes.contains(program.m_class)) {
      slowdowns.push_back(latencies.back() /
                          ToSeconds(program.m_least_latency));
    }
  }
  out.m_programs_total = static_cast<int>(latencies.size());
  out.m_programs = ToPercentiles(latencies);
  out.m_long_slowdown_p50 = Quantile(slowdowns, 0.5);
  out.m_long_slowdown_worst = Quantile(slowdowns, 1);
}

/// Whether an engine could give the first token in time.
auto IsFeasible(const CallResult& call, const GeneratorOptions& options)
    -> bool {
  const auto crest_end = options.m_crest_begin + options.m_crest_length;
  const auto in_crest = call.m_arrival >= options.m_crest_begin &&
                        call.m_arrival < crest_end + kCrestAftermath;
  return !in_crest && call.m_uncached <= kFeasiblePrompt;
}

auto AddCalls(const ReplayResult& result,
              const GeneratorOptions& options,
              const std::set<ClassId>& long_classes,
              Summary& out) -> void {
  std::vector<double> short_calls;
  std::vector<double> first_tokens;
  std::vector<double> feasible;
  auto wait = 0.0;
  auto run = 0.0;
  for (const auto& call : result.m_calls) {
    if (!long_classes.contains(call.m_class)) {
      short_calls.push_back(ToSeconds(call.m_latency));
    }
    first_tokens.push_back(ToSeconds(call.m_first_token));
    if (IsFeasible(call, options)) {
      feasible.push_back(first_tokens.back());
    }
    wait += ToSeconds(call.m_wait);
    run += ToSeconds(call.m_latency - call.m_wait);
  }
  const auto count =
      static_cast<double>(std::max<std::size_t>(1, result.m_calls.size()));
  out.m_short_calls = ToPercentiles(short_calls);
  out.m_first_token_p95_s = Quantile(first_tokens, 0.95);
  out.m_first_token_feasible_p95_s = Quantile(feasible, 0.95);
  out.m_mean_wait_s = wait / count;
  out.m_mean_run_s = run / count;
}

auto GapQuantile(const TokenGaps& gaps, double share) -> double {
  std::int64_t total = 0;
  for (const auto count : gaps) {
    total += count;
  }
  auto left = static_cast<std::int64_t>(static_cast<double>(total) * share);
  for (std::size_t ms = 0; ms < gaps.size(); ++ms) {
    left -= gaps.at(ms);
    if (left < 0) {
      return static_cast<double>(ms + 1) / 1000;
    }
  }
  return 0;
}

/// The pool is filled with long programs by half the time to the crest.
auto SteadyWait(const ReplayResult& result, const GeneratorOptions& options)
    -> double {
  std::vector<double> waits;
  for (const auto& call : result.m_calls) {
    if (call.m_arrival >= options.m_crest_begin / 2 &&
        call.m_arrival < options.m_crest_begin) {
      waits.push_back(ToSeconds(call.m_wait));
    }
  }
  return Quantile(waits, 0.95);
}

}  // namespace

auto LongClasses(const GeneratorOptions& options) -> std::set<ClassId> {
  std::set<ClassId> out;
  for (const auto& kind : options.m_kinds) {
    if (kind.m_long) {
      out.insert(ClassId(kind.m_class));
    }
  }
  return out;
}

auto Quantile(std::vector<double> values, double share) -> double {
  if (values.empty()) {
    return 0;
  }
  const auto last = static_cast<double>(values.size() - 1);
  const auto place = static_cast<std::ptrdiff_t>(std::ceil(last * share));
  std::nth_element(values.begin(), values.begin() + place, values.end());
  return values[static_cast<std::size_t>(place)];
}

auto Summarize(const ReplayResult& result, const GeneratorOptions& options)
    -> Summary {
  const auto long_classes = LongClasses(options);
  Summary out{.m_scheduler = result.m_scheduler};
  AddPrograms(result, long_classes, out);
  AddCalls(result, options, long_classes, out);
  out.m_steady_wait_p95_s = SteadyWait(result, options);
  out.m_wasted_percent =
      100.0 * static_cast<double>(result.m_wasted_tokens) /
      static_cast<double>(std::max<std::int64_t>(1, result.m_prefilled_tokens));
  out.m_token_gap_p95_s = GapQuantile(result.m_gaps, 0.95);
  out.m_extra_attempts_percent = 100.0 * (result.m_retries + result.m_hedges) /
                                 std::max(1, result.m_calls_arrived);
  return out;
}

}  // namespace dotterelshed::bench
