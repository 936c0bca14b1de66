#include "engine_model.h"

#include <algorithm>

namespace dotterelshed::bench {

namespace {

auto Context(const EngineSequence& sequence) -> std::int64_t {
  return sequence.m_cached + sequence.m_prefilled + sequence.m_generated;
}

/// Memory that a sequence takes up to its end.
auto Demand(const EngineRequest& request) -> std::int64_t {
  return request.m_prompt + request.m_to_generate;
}

auto UsedMemory(const EngineModel& engine) -> std::int64_t {
  std::int64_t used = 0;
  for (const auto& sequence : engine.m_running) {
    used += Demand(sequence.m_request);
  }
  for (const auto& [program, prefix] : engine.m_cache) {
    used += prefix.m_tokens;
  }
  return used;
}

auto FindVictim(EngineModel& engine, const ProgramId& keep) {
  auto victim = engine.m_cache.end();
  for (auto it = engine.m_cache.begin(); it != engine.m_cache.end(); ++it) {
    const auto evictable = it->second.m_hold.empty() && it->first != keep;
    if (evictable && (victim == engine.m_cache.end() ||
                      it->second.m_last_used < victim->second.m_last_used)) {
      victim = it;
    }
  }
  return victim;
}

/// Evicts until @p request fits; false when it can't.
auto MakeRoom(EngineModel& engine, const EngineRequest& request) -> bool {
  const auto own = engine.m_cache.find(request.m_program);
  const auto own_tokens =
      own == engine.m_cache.end() ? 0 : own->second.m_tokens;
  auto used = UsedMemory(engine) - own_tokens;
  while (used + Demand(request) > engine.m_options.m_kv_capacity.value()) {
    const auto victim = FindVictim(engine, request.m_program);
    if (victim == engine.m_cache.end()) {
      return engine.m_running.empty();
    }
    used -= victim->second.m_tokens;
    engine.m_cache.erase(victim);
  }
  return true;
}

auto Join(EngineModel& engine, const EngineRequest& request) -> EngineSequence {
  EngineSequence sequence{.m_request = request};
  auto there = request.m_given;
  const auto found = engine.m_cache.find(request.m_program);
  if (found != engine.m_cache.end()) {
    there = std::max(there, found->second.m_tokens);
    engine.m_cache.erase(found);
  }
  // The last token is computed anew: its output is the first answer token.
  sequence.m_cached = std::min(there, request.m_prompt - 1);
  engine.m_running.push_back(sequence);
  return sequence;
}

auto KeepPrefix(EngineModel& engine,
                const EngineSequence& sequence,
                TimePoint now) -> void {
  auto& prefix = engine.m_cache[sequence.m_request.m_program];
  prefix.m_tokens = std::max(prefix.m_tokens, Context(sequence));
  prefix.m_last_used = now;
  prefix.m_hold = sequence.m_request.m_hold;
}

auto PrefillLeft(const EngineSequence& sequence) -> std::int64_t {
  return sequence.m_request.m_prompt - sequence.m_cached - sequence.m_prefilled;
}

/// Tokens that each sequence prefills in the next step, by priority.
auto PlanPrefill(const EngineModel& engine) -> std::vector<std::int64_t> {
  std::vector<std::int64_t> plan(engine.m_running.size(), 0);
  std::vector<std::size_t> order;
  for (std::size_t i = 0; i < engine.m_running.size(); ++i) {
    if (PrefillLeft(engine.m_running[i]) > 0) {
      order.push_back(i);
    }
  }
  std::stable_sort(order.begin(), order.end(),
                   [&engine](std::size_t left, std::size_t right) {
                     return engine.m_running[left].m_request.m_priority <
                            engine.m_running[right].m_request.m_priority;
                   });
  auto budget = engine.m_options.m_chunk_tokens;
  for (const auto i : order) {
    plan[i] = std::min(budget, PrefillLeft(engine.m_running[i]));
    budget -= plan[i];
  }
  return plan;
}

auto Crash(EngineModel& engine, TimePoint now, EngineStep& step) -> void {
  for (const auto& sequence : engine.m_running) {
    step.m_finished.emplace_back(sequence.m_request.m_attempt,
                                 AttemptResult{.m_end = AttemptEnd::kLost});
  }
  for (const auto& request : engine.m_waiting) {
    step.m_finished.emplace_back(request.m_attempt,
                                 AttemptResult{.m_end = AttemptEnd::kLost});
  }
  engine.m_running.clear();
  engine.m_waiting.clear();
  engine.m_cache.clear();
  engine.m_down_until = now + engine.m_options.m_restart;
  step.m_crashed = true;
}

/// Whether a request that crashes the engine ends its prefill in this step.
auto IsCrashDue(const EngineModel& engine,
                const std::vector<std::int64_t>& plan) -> bool {
  for (std::size_t i = 0; i < engine.m_running.size(); ++i) {
    const auto& sequence = engine.m_running[i];
    if (sequence.m_request.m_crashes && PrefillLeft(sequence) == plan[i]) {
      return true;
    }
  }
  return false;
}

auto FinishSequence(const EngineSequence& sequence) -> AttemptResult {
  return {.m_end = AttemptEnd::kCompleted,
          .m_http_status = 200,
          .m_usage = {.m_prompt = Tokens(sequence.m_request.m_prompt),
                      .m_cached = Tokens(sequence.m_cached),
                      .m_generated = Tokens(sequence.m_generated)}};
}

}  // namespace

auto Submit(EngineModel& engine, const EngineRequest& request, TimePoint now)
    -> bool {
  if (engine.m_down_until && now < *engine.m_down_until) {
    return false;
  }
  engine.m_down_until.reset();
  const auto after =
      std::find_if(engine.m_waiting.begin(), engine.m_waiting.end(),
                   [&request](const EngineRequest& other) {
                     return other.m_priority > request.m_priority;
                   });
  engine.m_waiting.insert(after, request);
  return true;
}

auto CancelRequest(EngineModel& engine, const AttemptId& attempt, TimePoint now)
    -> void {
  std::erase_if(engine.m_waiting, [&attempt](const EngineRequest& request) {
    return request.m_attempt == attempt;
  });
  const auto found =
      std::find_if(engine.m_running.begin(), engine.m_running.end(),
                   [&attempt](const EngineSequence& sequence) {
                     return sequence.m_request.m_attempt == attempt;
                   });
  if (found != engine.m_running.end()) {
    found->m_request.m_hold = HoldId();
    KeepPrefix(engine, *found, now);
    engine.m_running.erase(found);
  }
}

auto ReleaseHold(EngineModel& engine, const HoldId& hold) -> void {
  for (auto& [program, prefix] : engine.m_cache) {
    if (prefix.m_hold == hold) {
      prefix.m_hold = HoldId();
    }
  }
}

auto BeginStep(EngineModel& engine, TimePoint /*now*/, EngineStep& step)
    -> std::optional<Duration> {
  const auto slots = static_cast<std::size_t>(engine.m_options.m_slots);
  while (!engine.m_waiting.empty() && engine.m_running.size() < slots &&
         MakeRoom(engine, engine.m_waiting.front())) {
    step.m_joined.push_back(Join(engine, engine.m_waiting.front()));
    engine.m_waiting.erase(engine.m_waiting.begin());
  }
  if (engine.m_running.empty()) {
    return std::nullopt;
  }
  std::int64_t prompt_tokens = 0;
  for (const auto tokens : PlanPrefill(engine)) {
    prompt_tokens += tokens;
  }
  const auto sequences = static_cast<std::int64_t>(engine.m_running.size());
  const auto length = engine.m_options.m_step_base +
                      engine.m_options.m_step_per_sequence * sequences +
                      engine.m_options.m_step_per_prompt_token * prompt_tokens;
  engine.m_stepping = true;
  return FromSeconds(ToSeconds(length) * engine.m_slow_factor);
}

auto EndStep(EngineModel& engine, TimePoint now, EngineStep& step) -> void {
  engine.m_stepping = false;
  const auto plan = PlanPrefill(engine);
  if (IsCrashDue(engine, plan)) {
    Crash(engine, now, step);
    return;
  }
  std::vector<EngineSequence> going_on;
  for (std::size_t i = 0; i < engine.m_running.size(); ++i) {
    auto& sequence = engine.m_running[i];
    sequence.m_prefilled += plan[i];
    if (PrefillLeft(sequence) > 0) {
      going_on.push_back(std::move(sequence));
      continue;
    }
    ++sequence.m_generated;
    step.m_progress.emplace_back(sequence.m_request.m_attempt,
                                 Tokens(sequence.m_generated));
    if (sequence.m_generated < sequence.m_request.m_to_generate) {
      going_on.push_back(std::move(sequence));
      continue;
    }
    step.m_finished.emplace_back(sequence.m_request.m_attempt,
                                 FinishSequence(sequence));
    KeepPrefix(engine, sequence, now);
  }
  engine.m_running = std::move(going_on);
}

auto ReportLoad(const EngineModel& engine, const EndpointId& id) -> LoadReport {
  return {.m_endpoint = id,
          .m_running = static_cast<int>(engine.m_running.size()),
          .m_waiting = static_cast<int>(engine.m_waiting.size()),
          .m_kv_used = Tokens(UsedMemory(engine)),
          .m_kv_capacity = engine.m_options.m_kv_capacity};
}

}  // namespace dotterelshed::bench
