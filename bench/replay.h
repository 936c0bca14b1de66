#ifndef DOTTERELSHED_BENCH_REPLAY_H_
#define DOTTERELSHED_BENCH_REPLAY_H_

#include <array>
#include <optional>
#include <vector>

#include "engine_model.h"
#include "scheduler.h"

/// @file
/// Replays a trace through one scheduler and one pool of engine models in
/// virtual time. The same trace gives the same result in every run.

namespace dotterelshed::bench {

struct ReplayOptions {
  EngineOptions m_engine;
  /// Age of a load report when it arrives.
  Duration m_report_lag = std::chrono::seconds(2);
  Duration m_report_interval = std::chrono::seconds(1);
  /// Between a program's answer and our hearing of it, and back.
  Duration m_network_delay = std::chrono::microseconds(500);
};

/// One root program, sub-agents included.
struct ProgramResult {
  ProgramId m_program;
  ClassId m_class;
  Duration m_arrival{0};
  /// Absent when a call of it was refused, failed or expired.
  std::optional<Duration> m_latency;
  Duration m_deadline{0};
  /// Pauses and the time that its calls take on an idle engine.
  Duration m_least_latency{0};
  bool m_in_crest = false;
  bool m_crashes = false;
};

/// One call that got its whole answer.
struct CallResult {
  ClassId m_class;
  Duration m_arrival{0};
  Duration m_latency{0};
  Duration m_first_token{0};
  /// From arrival to joining an engine's batch.
  Duration m_wait{0};
  std::int64_t m_uncached = 0;
};

/// Times between tokens, counted in milliseconds; the last entry holds all
/// longer ones.
using TokenGaps = std::array<std::int64_t, 1024>;

struct ReplayResult {
  std::string m_scheduler;
  std::vector<ProgramResult> m_programs;
  std::vector<CallResult> m_calls;
  TokenGaps m_gaps{};
  std::int64_t m_prefilled_tokens = 0;
  /// Prefilled although an engine had computed them for this program before.
  std::int64_t m_wasted_tokens = 0;
  int m_calls_arrived = 0;
  int m_refused = 0;
  int m_expired = 0;
  int m_failed = 0;
  int m_attempts = 0;
  int m_hedges = 0;
  int m_retries = 0;
  int m_crashes = 0;
};

auto RunReplay(const Trace& trace,
               Scheduler scheduler,
               const ReplayOptions& options) -> ReplayResult;

}  // namespace dotterelshed::bench

#endif  // DOTTERELSHED_BENCH_REPLAY_H_
