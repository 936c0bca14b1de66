#include <cstdio>
#include <cstring>
#include <string>

#include "experiments.h"

namespace dotterelshed::bench {
namespace {

auto PrintHead() -> void {
  std::printf(
      "%-28s %7s %7s %7s | %6s %6s | %6s | %9s | %6s %5s | %5s %5s | %5s %5s\n",
      "", "prog50", "prog95", "prog99", "shrt95", "shrt99", "waste%", "crest",
      "first", "gapms", "lng50", "lngmx", "lost", "extra");
}

auto PrintRow(const std::string& name, const Summary& s) -> void {
  std::printf(
      "%-28s %7.2f %7.2f %7.2f | %6.2f %6.2f | %6.2f | %4d/%4d | %6.2f %5.0f | "
      "%5.2f %5.2f | %5d %5.2f\n",
      name.c_str(), s.m_programs.m_p50, s.m_programs.m_p95, s.m_programs.m_p99,
      s.m_short_calls.m_p95, s.m_short_calls.m_p99, s.m_wasted_percent,
      s.m_crest_in_time, s.m_crest_programs, s.m_first_token_feasible_p95_s,
      s.m_token_gap_p95_s * 1000, s.m_long_slowdown_p50,
      s.m_long_slowdown_worst, s.m_not_served, s.m_extra_attempts_percent);
  std::fflush(stdout);
}

auto PrintRuns(const ExperimentRuns& runs) -> void {
  PrintHead();
  PrintRow("dotterelshed", runs.m_policy);
  PrintRow("  without long programs", runs.m_policy_without_long);
  PrintRow("  one in five slowed", runs.m_policy_slowed);
  PrintRow("least outstanding", runs.m_least_outstanding);
  PrintRow("  one in five slowed", runs.m_least_outstanding_slowed);
  PrintRow("round robin", runs.m_round_robin);
  PrintRow("oracle", runs.m_oracle);
}

auto PrintGoals(const std::vector<Goal>& goals) -> void {
  for (const auto& goal : goals) {
    std::printf("%-40s %8.3f%-2s  goal %s %.3f  %s\n", goal.m_name.c_str(),
                goal.m_value, goal.m_unit.c_str(),
                goal.m_at_least ? ">=" : "<=", goal.m_bound,
                IsReached(goal) ? "reached" : "NOT REACHED");
  }
}

auto PrintAblations(const ExperimentTraces& traces) -> void {
  for (const auto& ablation : Ablations()) {
    PolicyOptions options;
    ablation.m_turn_off(options);
    const auto runs = RunPolicyExperiments(traces, options);
    PrintRow("no " + ablation.m_name, runs.m_policy);
    PrintRow("  without long programs", runs.m_policy_without_long);
    PrintRow("  one in five slowed", runs.m_policy_slowed);
  }
}

auto Report(const Deployment& deployment, bool ablations) -> void {
  std::printf("\n%s at load %.2f, %d endpoints\n",
              deployment.m_options.m_name.c_str(), deployment.m_load,
              deployment.m_options.m_endpoints);
  const auto traces = MakeTraces(deployment);
  const auto runs = RunExperiments(traces, {});
  PrintRuns(runs);
  PrintGoals(GoalsOf(runs));
  if (ablations) {
    PrintAblations(traces);
  }
}

}  // namespace
}  // namespace dotterelshed::bench

/// Usage: dotterelshed_replay [--small] [--ablations] [NAME]
auto main(int argc, char** argv) -> int {
  using namespace dotterelshed::bench;
  auto small = false;
  auto ablations = false;
  std::string only;
  for (auto i = 1; i < argc; ++i) {
    const std::string argument(argv[i]);
    if (argument == "--small") {
      small = true;
    } else if (argument == "--ablations") {
      ablations = true;
    } else {
      only = argument;
    }
  }
  for (const auto& deployment :
       small ? SmallDeployments() : FullDeployments()) {
    if (only.empty() || deployment.m_options.m_name == only) {
      Report(deployment, ablations);
    }
  }
  return 0;
}
