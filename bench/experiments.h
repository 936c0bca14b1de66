#ifndef DOTTERELSHED_BENCH_EXPERIMENTS_H_
#define DOTTERELSHED_BENCH_EXPERIMENTS_H_

#include <functional>
#include <string>
#include <vector>

#include "summary.h"

/// @file
/// The experiments behind the goals: which trace, which schedulers, which
/// figure is held against which bound.

namespace dotterelshed::bench {

/// A deployment with the load at which its figures are taken.
struct Deployment {
  GeneratorOptions m_options;
  double m_load = 1;
};

/// Vandstand and lagos at full size. Their loads are the first steps of 0.05
/// at which, with the better baseline, one call in twenty before the crest
/// waits longer than the average call runs.
auto FullDeployments() -> std::vector<Deployment>;

/// Half a minute of each on five endpoints, as checked in under bench/traces.
auto SampleDeployments() -> std::vector<Deployment>;

/// The traces that the experiments of one deployment share.
struct ExperimentTraces {
  GeneratorOptions m_options;
  Trace m_plain;
  Trace m_without_long;
  Trace m_slowed;
};

auto MakeTraces(const Deployment& deployment) -> ExperimentTraces;

/// Replays of one deployment.
struct ExperimentRuns {
  Summary m_policy;
  Summary m_policy_without_long;
  Summary m_policy_slowed;
  Summary m_least_outstanding;
  Summary m_least_outstanding_slowed;
  Summary m_round_robin;
  Summary m_oracle;
  Summary m_oracle_without_long;
  /// With the slowed fifth of the endpoints away altogether: what is left of
  /// the goals by lost capacity alone.
  Summary m_policy_fewer;
  Summary m_oracle_fewer;
};

auto RunExperiments(const ExperimentTraces& traces, const PolicyOptions& policy)
    -> ExperimentRuns;

/// Only the replays of our own policy; the others stay empty.
auto RunPolicyExperiments(const ExperimentTraces& traces,
                          const PolicyOptions& policy) -> ExperimentRuns;

/// A figure and the bound that the goals set for it.
struct Goal {
  /// Name in KNOWN-RED.txt.
  std::string m_key;
  std::string m_name;
  std::string m_unit;
  double m_value = 0;
  double m_bound = 0;
  /// True when the value must not be below the bound.
  bool m_at_least = false;
};

auto IsReached(const Goal& goal) -> bool;

auto GoalsOf(const ExperimentRuns& runs) -> std::vector<Goal>;

/// A mechanism of the policy that can be turned off.
struct Ablation {
  std::string m_name;
  std::function<void(PolicyOptions&)> m_turn_off;
};

auto Ablations() -> std::vector<Ablation>;

}  // namespace dotterelshed::bench

#endif  // DOTTERELSHED_BENCH_EXPERIMENTS_H_
