#include "experiments.h"

#include <algorithm>

namespace dotterelshed::bench {

namespace {

constexpr double kVandstandLoad = 0.70;
constexpr double kLagosLoad = 0.65;

// Bounds of the goals.
constexpr double kProgramRatio = 0.25;
constexpr double kShortCallRatio = 1.1;
constexpr double kWastedPercent = 5;
constexpr double kCrestRatio = 0.95;
constexpr double kSlowedRatio = 1.25;
constexpr double kFirstTokenS = 0.61;
constexpr double kTokenGapS = 0.047;
constexpr double kExtraAttemptsPercent = 10;
/// A long program takes at most this many times its least possible latency.
constexpr double kLongSlowdown = 4;

auto RunOn(const Trace& trace,
           const Scheduler& scheduler,
           const GeneratorOptions& options) -> Summary {
  return Summarize(RunReplay(trace, scheduler, {}), options);
}

/// Divides, with 1 for equal values, infinite ones included.
auto Ratio(double value, double by) -> double {
  return value == by ? 1 : value / by;
}

}  // namespace

auto FullDeployments() -> std::vector<Deployment> {
  return {{VandstandOptions(), kVandstandLoad}, {LagosOptions(), kLagosLoad}};
}

auto SampleDeployments() -> std::vector<Deployment> {
  constexpr int kEndpoints = 5;
  constexpr Duration kLength = std::chrono::seconds(30);
  auto out = FullDeployments();
  for (auto& deployment : out) {
    deployment.m_options = Scaled(deployment.m_options, kEndpoints, kLength);
    deployment.m_options.m_crest_length = std::chrono::seconds(5);
    deployment.m_options.m_crash_programs = 1;
  }
  return out;
}

auto MakeTraces(const Deployment& deployment) -> ExperimentTraces {
  auto options = deployment.m_options;
  options.m_load = deployment.m_load;
  auto without_long = options;
  without_long.m_without_long = true;
  auto slowed = options;
  slowed.m_slowdowns = true;
  return {.m_options = options,
          .m_plain = GenerateTrace(options),
          .m_without_long = GenerateTrace(without_long),
          .m_slowed = GenerateTrace(slowed)};
}

auto RunPolicyExperiments(const ExperimentTraces& traces,
                          const PolicyOptions& policy) -> ExperimentRuns {
  const auto run = [&](const Trace& trace) {
    return RunOn(trace, MakePolicyScheduler(trace, policy), traces.m_options);
  };
  return {.m_policy = run(traces.m_plain),
          .m_policy_without_long = run(traces.m_without_long),
          .m_policy_slowed = run(traces.m_slowed)};
}

auto RunExperiments(const ExperimentTraces& traces, const PolicyOptions& policy)
    -> ExperimentRuns {
  auto runs = RunPolicyExperiments(traces, policy);
  const auto& options = traces.m_options;
  const auto endpoints = options.m_endpoints;
  const auto slots = traces.m_plain.m_header.m_engine_slots;
  runs.m_least_outstanding =
      RunOn(traces.m_plain, MakeLeastOutstanding(endpoints), options);
  runs.m_least_outstanding_slowed =
      RunOn(traces.m_slowed, MakeLeastOutstanding(endpoints), options);
  runs.m_round_robin =
      RunOn(traces.m_plain, MakeRoundRobin(endpoints), options);
  runs.m_oracle = RunOn(traces.m_plain, MakeOracle(endpoints, slots), options);
  runs.m_oracle_without_long =
      RunOn(traces.m_without_long, MakeOracle(endpoints, slots), options);
  auto fewer = traces.m_plain;
  fewer.m_header.m_endpoints -= std::max(1, endpoints / 5);
  const auto left = fewer.m_header.m_endpoints;
  runs.m_policy_fewer =
      RunOn(fewer, MakePolicyScheduler(fewer, policy), options);
  runs.m_oracle_fewer = RunOn(fewer, MakeOracle(left, slots), options);
  return runs;
}

auto IsReached(const Goal& goal) -> bool {
  return goal.m_at_least ? goal.m_value >= goal.m_bound
                         : goal.m_value <= goal.m_bound;
}

auto GoalsOf(const ExperimentRuns& runs) -> std::vector<Goal> {
  const auto& own = runs.m_policy;
  const auto& slowed = runs.m_policy_slowed;
  const auto baseline = std::min(runs.m_least_outstanding.m_programs.m_p95,
                                 runs.m_round_robin.m_programs.m_p95);
  const auto oracle =
      std::max(1.0, static_cast<double>(runs.m_oracle.m_crest_in_time));
  return {
      {"program_p95", "program p95 / best baseline's", "",
       own.m_programs.m_p95 / baseline, kProgramRatio},
      {"short_p99_with_long", "short calls' p99, with / without long", "",
       Ratio(own.m_short_calls.m_p99,
             runs.m_policy_without_long.m_short_calls.m_p99),
       kShortCallRatio},
      {"wasted_cache", "wasted cache", "%", own.m_wasted_percent,
       kWastedPercent},
      {"crest_in_time", "crest in time / oracle's", "",
       own.m_crest_in_time / oracle, kCrestRatio, true},
      {"program_p99_slowed", "program p99, slowed / not", "",
       Ratio(slowed.m_programs.m_p99, own.m_programs.m_p99), kSlowedRatio},
      {"short_p99_slowed", "short calls' p99, slowed / not", "",
       Ratio(slowed.m_short_calls.m_p99, own.m_short_calls.m_p99),
       kSlowedRatio},
      {"first_token", "first token p95, where feasible", "s",
       own.m_first_token_feasible_p95_s, kFirstTokenS},
      {"between_tokens", "between tokens p95", "s", own.m_token_gap_p95_s,
       kTokenGapS},
      {"long_slowdown", "worst long program / least latency", "",
       own.m_long_slowdown_worst, kLongSlowdown},
      {"extra_attempts", "retries and hedges, slowed", "%",
       slowed.m_extra_attempts_percent, kExtraAttemptsPercent},
  };
}

auto Ablations() -> std::vector<Ablation> {
  return {
      {"attained service order",
       [](PolicyOptions& o) { o.m_attained_service_order = false; }},
      {"short share", [](PolicyOptions& o) { o.m_short_share = false; }},
      {"cache in the choice", [](PolicyOptions& o) { o.m_cache_cost = false; }},
      {"warm queues", [](PolicyOptions& o) { o.m_warm_queues = false; }},
      {"ejection", [](PolicyOptions& o) { o.m_ejection = false; }},
      {"hedging", [](PolicyOptions& o) { o.m_hedging = false; }},
      {"early refusal", [](PolicyOptions& o) { o.m_early_refusal = false; }},
      {"retention", [](PolicyOptions& o) { o.m_retention = false; }},
  };
}

}  // namespace dotterelshed::bench
