#ifndef DOTTERELSHED_BENCH_ENGINE_MODEL_H_
#define DOTTERELSHED_BENCH_ENGINE_MODEL_H_

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "dotterelshed/endpoint_types.h"
#include "dotterelshed/ids.h"
#include "dotterelshed/trace.h"
#include "dotterelshed/units.h"

/// @file
/// Model of an engine that batches continuously. Time goes in steps: in each
/// one the engine prefills a chunk of prompt tokens and every request past
/// its prefill gets one token. A step takes longer with more sequences and
/// with the chunk. Finished prefixes stay in a cache of limited memory, least
/// recently used out first, those with a hold never.

namespace dotterelshed::bench {

struct EngineOptions {
  int m_slots = 16;
  Tokens m_kv_capacity{262144};
  Duration m_step_base = std::chrono::microseconds(16000);
  Duration m_step_per_sequence = std::chrono::microseconds(250);
  Duration m_step_per_prompt_token = std::chrono::microseconds(100);
  /// Prompt tokens prefilled in one step at most.
  std::int64_t m_chunk_tokens = 128;
  /// Time that a crashed engine is away.
  Duration m_restart = std::chrono::seconds(5);
};

struct EngineRequest {
  AttemptId m_attempt;
  ProgramId m_program;
  std::int64_t m_prompt = 0;
  std::int64_t m_to_generate = 0;
  int m_priority = 0;
  HoldId m_hold;
  /// Prefix that is there without the engine's own cache.
  std::int64_t m_given = 0;
  bool m_crashes = false;
};

/// A request in the engine.
struct EngineSequence {
  EngineRequest m_request;
  std::int64_t m_cached = 0;
  std::int64_t m_prefilled = 0;
  std::int64_t m_generated = 0;
};

struct CachedPrefix {
  std::int64_t m_tokens = 0;
  TimePoint m_last_used;
  HoldId m_hold;
};

/// What one step brought about.
struct EngineStep {
  /// Attempts that got a token, and how many they have now.
  std::vector<std::pair<AttemptId, Tokens>> m_progress;
  std::vector<std::pair<AttemptId, AttemptResult>> m_finished;
  /// Requests that joined the batch: program, prompt tokens, cached tokens.
  std::vector<EngineSequence> m_joined;
  bool m_crashed = false;
};

struct EngineModel {
  EngineOptions m_options;
  double m_slow_factor = 1;
  std::vector<EngineRequest> m_waiting;
  std::vector<EngineSequence> m_running;
  std::map<ProgramId, CachedPrefix> m_cache;
  std::vector<HoldId> m_evicted;
  bool m_stepping = false;
  std::optional<TimePoint> m_down_until;
};

/// Hands a request to the engine; false when it is down.
auto Submit(EngineModel& engine, const EngineRequest& request, TimePoint now)
    -> bool;

/// Stops a request; what was prefilled stays in the cache.
auto CancelRequest(EngineModel& engine, const AttemptId& attempt, TimePoint now)
    -> void;

auto ReleaseHold(EngineModel& engine, const HoldId& hold) -> void;

/// Lets requests join the batch and gives the length of the next step, or
/// nothing when there is nothing to do.
auto BeginStep(EngineModel& engine, TimePoint now, EngineStep& step)
    -> std::optional<Duration>;

/// Ends the step that was begun.
auto EndStep(EngineModel& engine, TimePoint now, EngineStep& step) -> void;

auto ReportLoad(const EngineModel& engine, const EndpointId& id) -> LoadReport;

}  // namespace dotterelshed::bench

#endif  // DOTTERELSHED_BENCH_ENGINE_MODEL_H_
