#include <cstdio>
#include <cstdlib>
#include <string>

#include "summary.h"

namespace dotterelshed::bench {
namespace {

auto PrintHead() -> void {
  std::printf(
      "%-20s %5s %7s %7s %7s | %6s %6s | %6s %6s | %5s | %9s | %5s %5s "
      "%4s | %5s %5s | %5s %5s\n",
      "scheduler", "load", "prog50", "prog95", "prog99", "shrt95", "shrt99",
      "stdy95", "run", "waste", "crest", "ttft", "ttftF", "itl", "lng50",
      "lngmx", "lost", "extra");
}

auto PrintRow(double load, const Summary& s) -> void {
  std::printf(
      "%-20s %5.2f %7.2f %7.2f %7.2f | %6.2f %6.2f | %6.2f %6.2f | "
      "%5.2f | %4d/%4d | %5.2f %5.2f %4.0f | %5.2f %5.2f | %5d %5.2f\n",
      s.m_scheduler.c_str(), load, s.m_programs.m_p50, s.m_programs.m_p95,
      s.m_programs.m_p99, s.m_short_calls.m_p95, s.m_short_calls.m_p99,
      s.m_steady_wait_p95_s, s.m_mean_run_s, s.m_wasted_percent,
      s.m_crest_in_time, s.m_crest_programs, s.m_first_token_p95_s,
      s.m_first_token_feasible_p95_s, s.m_token_gap_p95_s * 1000,
      s.m_long_slowdown_p50, s.m_long_slowdown_worst, s.m_not_served,
      s.m_extra_attempts_percent);
  std::fflush(stdout);
}

auto Try(GeneratorOptions options, double load) -> void {
  options.m_load = load;
  const auto trace = GenerateTrace(options);
  const auto endpoints = options.m_endpoints;
  const auto run = [&](const Scheduler& scheduler) {
    PrintRow(load, Summarize(RunReplay(trace, scheduler, {}), options));
  };
  run(MakePolicyScheduler(trace, {}));
  run(MakeOracle(endpoints, trace.m_header.m_engine_slots));
  run(MakeLeastOutstanding(endpoints));
  run(MakeRoundRobin(endpoints));
}

}  // namespace
}  // namespace dotterelshed::bench

auto main(int argc, char** argv) -> int {
  using namespace dotterelshed::bench;
  PrintHead();
  for (auto i = 2; i < argc; ++i) {
    Try(std::string(argv[1]) == "lagos" ? LagosOptions() : VandstandOptions(),
        std::atof(argv[i]));
  }
}
