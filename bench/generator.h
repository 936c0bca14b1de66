#ifndef DOTTERELSHED_BENCH_GENERATOR_H_
#define DOTTERELSHED_BENCH_GENERATOR_H_

#include <cstdint>
#include <string>
#include <vector>

#include "dotterelshed/trace.h"

/// @file
/// Seeded generator of traces. A workload is a list of program kinds with
/// their arrival rates; equal options give equal traces.

namespace dotterelshed::bench {

/// A range from which whole numbers are drawn, ends included.
struct Range {
  std::int64_t m_least = 1;
  std::int64_t m_most = 1;
};

/// Tokens of an answer: log-normal around a median, cut off at a maximum.
struct AnswerLength {
  double m_median_tokens = 100;
  double m_sigma = 0.5;
  std::int64_t m_most_tokens = 1024;
};

/// One kind of program.
struct ProgramKind {
  std::string m_class;
  int m_weight = 1;
  Duration m_deadline = std::chrono::seconds(60);
  /// Programs a second at load 1.
  double m_rate = 1;
  /// Factor on the rate while the crest lasts.
  double m_crest_factor = 1;
  Range m_turns;
  Range m_first_prompt;
  /// Tokens that a tool's result or the next question adds to the prompt.
  Range m_added_tokens;
  AnswerLength m_answer;
  Range m_pause_ms;
  /// Chance in percent that a turn starts sub-agents, and how many.
  int m_sub_agent_percent = 0;
  Range m_sub_agents{0, 0};
  Range m_sub_agent_turns;
  /// Many times longer than the rest; left out by m_without_long.
  bool m_long = false;
};

struct GeneratorOptions {
  std::string m_name;
  std::uint64_t m_seed = 1;
  /// Factor on all rates.
  double m_load = 1;
  int m_endpoints = 5;
  Tokens m_kv_capacity{262144};
  Duration m_length = std::chrono::seconds(600);
  Duration m_crest_begin = std::chrono::seconds(400);
  Duration m_crest_length = std::chrono::seconds(20);
  std::vector<ProgramKind> m_kinds;
  /// Leaves out the long kinds; the other programs stay as they are.
  bool m_without_long = false;
  /// Slows one endpoint in five, another fifth every m_slow_period.
  bool m_slowdowns = false;
  Duration m_slow_period = std::chrono::seconds(60);
  double m_slow_factor = 10;
  /// Programs whose first call crashes its endpoint; each is sent three times.
  int m_crash_programs = 0;
};

auto GenerateTrace(const GeneratorOptions& options) -> Trace;

/// Night questions, seasonal reviews, a storm alarm; 15 endpoints.
auto VandstandOptions() -> GeneratorOptions;

/// Quotes, slot confirmations, collection runs, multi-mirror quotes, a rush
/// of quotes; 10 endpoints.
auto LagosOptions() -> GeneratorOptions;

/// The same traffic on a smaller pool: rates shrink with the endpoints.
auto Scaled(GeneratorOptions options, int endpoints, Duration length)
    -> GeneratorOptions;

}  // namespace dotterelshed::bench

#endif  // DOTTERELSHED_BENCH_GENERATOR_H_
