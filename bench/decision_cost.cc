#include <benchmark/benchmark.h>

#include <algorithm>
#include <cstdint>
#include <string>
#include <vector>

#include "dotterelshed/policy.h"

/// @file
/// Time of one scheduling decision: a call is admitted and dispatched, another
/// one ends. Arguments are endpoints of the pool and programs that it knows.

namespace dotterelshed {
namespace {

constexpr int kSlots = 8;

/// A pool with three quarters of its slots taken and calls of many programs
/// coming round and round.
class DecisionBench {
 public:
  DecisionBench(std::int64_t endpoints, std::int64_t programs)
      : m_policy(MakePoolPolicy({.m_max_programs = 200000})),
        m_programs(programs) {
    std::vector<EndpointConfig> configs;
    configs.reserve(static_cast<std::size_t>(endpoints));
    for (std::int64_t i = 0; i < endpoints; ++i) {
      configs.push_back({.m_id = EndpointId("e" + std::to_string(i)),
                         .m_max_concurrency = kSlots,
                         .m_kv_capacity = Tokens(1 << 20)});
    }
    SetPoolConfig(*m_policy, {}, configs, m_now);
    const auto window = std::min(programs / 2, endpoints * kSlots * 3 / 4);
    for (std::int64_t i = 0; i < programs + window; ++i) {
      AddCall();
      StartAll();
      if (i >= window) {
        EndOldest();
      }
    }
  }

  auto Decide() -> void {
    AddCall();
    StartAll();
    EndOldest();
  }

 private:
  auto AddCall() -> void {
    m_now += std::chrono::microseconds(10);
    const auto number = m_calls++;
    const auto program = "p" + std::to_string(number % m_programs);
    Admit(*m_policy,
          {.m_request = RequestId("r" + std::to_string(number)),
           .m_program = ProgramId(program),
           .m_root = ProgramId(program),
           .m_turn = Turn(2),
           .m_prompt_tokens = Tokens(500),
           .m_max_tokens = Tokens(100),
           .m_content = Digest(std::to_string(number)),
           .m_deadline = m_now + std::chrono::hours(1)},
          m_now);
  }

  auto StartAll() -> void {
    for (auto& started : Dispatch(*m_policy, m_now)) {
      m_running.push_back(std::move(started.m_attempt));
    }
  }

  auto EndOldest() -> void {
    if (m_oldest < m_running.size()) {
      Finish(*m_policy, m_running[m_oldest++],
             {.m_end = AttemptEnd::kCompleted,
              .m_usage = {.m_generated = Tokens(50)}},
             m_now);
    }
  }

  std::shared_ptr<PoolPolicy> m_policy;
  std::int64_t m_programs;
  std::int64_t m_calls = 0;
  TimePoint m_now;
  std::vector<AttemptId> m_running;
  std::size_t m_oldest = 0;
};

auto BenchDecision(benchmark::State& state) -> void {
  DecisionBench bench(state.range(0), state.range(1));
  for ([[maybe_unused]] auto step : state) {
    bench.Decide();
  }
}

// Pools have 64 endpoints at most; the larger sizes show the growth.
BENCHMARK(BenchDecision)
    ->ArgNames({"endpoints", "programs"})
    ->Args({10, 1000})
    ->Args({64, 1000})
    ->Args({1000, 10000})
    ->Args({12000, 100000})
    ->Args({64, 100})
    ->Args({64, 10000})
    ->Args({64, 100000});

}  // namespace
}  // namespace dotterelshed

BENCHMARK_MAIN();
