#include <cstdio>
#include <fstream>
#include <iterator>
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
  PrintRow("  without long programs", runs.m_oracle_without_long);
  PrintRow("dotterelshed, a fifth away", runs.m_policy_fewer);
  PrintRow("oracle, a fifth away", runs.m_oracle_fewer);
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
  std::printf("\n%s at load %.2f, %d endpoints, seed %llu\n",
              deployment.m_options.m_name.c_str(), deployment.m_load,
              deployment.m_options.m_endpoints,
              static_cast<unsigned long long>(deployment.m_options.m_seed));
  const auto traces = MakeTraces(deployment);
  const auto runs = RunExperiments(traces, {});
  PrintRuns(runs);
  PrintGoals(GoalsOf(runs));
  if (ablations) {
    PrintAblations(traces);
  }
}

auto ReadFile(const std::string& path) -> std::string {
  std::ifstream in(path);
  return {std::istreambuf_iterator<char>(in), std::istreambuf_iterator<char>()};
}

/// Holds every goal against its bound. Goals listed in the file of known
/// failures are printed and passed over.
auto Check(const Deployment& deployment, const std::string& known_red_file)
    -> bool {
  const auto known = ReadFile(known_red_file);
  auto passed = true;
  for (const auto& goal : GoalsOf(RunExperiments(MakeTraces(deployment), {}))) {
    const auto name =
        "replay:" + deployment.m_options.m_name + ":" + goal.m_key;
    const auto listed = known.find(name + " ") != std::string::npos;
    const auto* verdict =
        IsReached(goal)
            ? (listed ? "reached, but listed as known red" : "reached")
            : (listed ? "KNOWN RED" : "FAILED");
    passed = passed && IsReached(goal) != listed;
    std::printf("%-45s %9.3f, bound %s %.3f: %s\n", name.c_str(), goal.m_value,
                goal.m_at_least ? ">=" : "<=", goal.m_bound, verdict);
  }
  return passed;
}

/// Rows of load and program p95 for each scheduler, for the plots.
auto Sweep(Deployment deployment) -> void {
  std::printf("# load dotterelshed least_outstanding round_robin oracle\n");
  for (const auto load : {0.4, 0.5, 0.6, 0.7, 0.8}) {
    deployment.m_options.m_load = load;
    const auto& options = deployment.m_options;
    const auto trace = GenerateTrace(options);
    std::printf("%.2f", load);
    for (const auto& scheduler :
         {MakePolicyScheduler(trace, {}),
          MakeLeastOutstanding(options.m_endpoints),
          MakeRoundRobin(options.m_endpoints),
          MakeOracle(options.m_endpoints, trace.m_header.m_engine_slots)}) {
      const auto summary = Summarize(RunReplay(trace, scheduler, {}), options);
      std::printf(" %.3f", summary.m_programs.m_p95);
    }
    std::printf("\n");
    std::fflush(stdout);
  }
}

/// Replays a trace from a file through every scheduler.
auto ReplayFile(const std::string& path) -> bool {
  const auto trace = ParseTrace(ReadFile(path), path);
  if (!trace) {
    std::fprintf(stderr, "%s: %s\n", trace.error().m_place.c_str(),
                 trace.error().m_message.c_str());
    return false;
  }
  const auto endpoints = trace->m_header.m_endpoints;
  const GeneratorOptions options{
      .m_crest_begin = trace->m_header.m_crest_begin,
      .m_crest_length =
          trace->m_header.m_crest_end - trace->m_header.m_crest_begin};
  PrintHead();
  for (const auto& scheduler :
       {MakePolicyScheduler(*trace, {}), MakeLeastOutstanding(endpoints),
        MakeRoundRobin(endpoints),
        MakeOracle(endpoints, trace->m_header.m_engine_slots)}) {
    const auto result = RunReplay(*trace, scheduler, {});
    PrintRow(scheduler.m_name, Summarize(result, options));
    std::printf(
        "  %d calls, %d refused, %d expired, %d failed, %d endpoint "
        "crashes\n",
        result.m_calls_arrived, result.m_refused, result.m_expired,
        result.m_failed, result.m_crashes);
  }
  return true;
}

auto RunCommand(const std::string& command, const std::string& argument)
    -> int {
  if (command == "file") {
    return ReplayFile(argument) ? 0 : 1;
  }
  auto passed = true;
  for (const auto& deployment :
       command == "sample" ? SampleDeployments() : FullDeployments()) {
    const auto& name = deployment.m_options.m_name;
    if (command == "tables" && (argument.empty() || argument == name)) {
      Report(deployment, false);
    } else if (command == "ablations" &&
               (argument.empty() || argument == name)) {
      Report(deployment, true);
    } else if (command == "check") {
      passed = Check(deployment, argument) && passed;
    } else if (command == "sweep" && argument == name) {
      Sweep(deployment);
    } else if (command == "sample" && argument == name) {
      std::fputs(FormatTrace(MakeTraces(deployment).m_slowed).c_str(), stdout);
    }
  }
  return passed ? 0 : 1;
}

constexpr const char* kUsage =
    "usage: dotterelshed_replay tables [NAME]    tables and goals\n"
    "       dotterelshed_replay ablations [NAME] the same, and each mechanism"
    " off\n"
    "       dotterelshed_replay check KNOWN_RED  goals as checks\n"
    "       dotterelshed_replay sweep NAME       program p95 over load\n"
    "       dotterelshed_replay sample NAME      write the small trace\n"
    "       dotterelshed_replay file TRACE       replay a trace\n"
    "NAME is vandstand or lagos.\n";

}  // namespace
}  // namespace dotterelshed::bench

auto main(int argc, char** argv) -> int {
  if (argc < 2 || argc > 3) {
    std::fputs(dotterelshed::bench::kUsage, stderr);
    return 2;
  }
  return dotterelshed::bench::RunCommand(argv[1], argc > 2 ? argv[2] : "");
}
