#include "generator.h"

#include <algorithm>
#include <boost/random/exponential_distribution.hpp>
#include <boost/random/lognormal_distribution.hpp>
#include <boost/random/uniform_int_distribution.hpp>
#include <cmath>
#include <pcg_random.hpp>

namespace dotterelshed::bench {

namespace {

using Random = pcg64;

auto Draw(Random& random, const Range& range) -> std::int64_t {
  return boost::random::uniform_int_distribution<std::int64_t>(
      range.m_least, range.m_most)(random);
}

auto DrawAnswer(Random& random, const AnswerLength& length) -> std::int64_t {
  boost::random::lognormal_distribution<double> tokens(
      std::log(length.m_median_tokens), length.m_sigma);
  const auto drawn = static_cast<std::int64_t>(tokens(random));
  return std::clamp<std::int64_t>(drawn, 4, length.m_most_tokens);
}

/// Writes the calls of one program and of its sub-agents.
class ProgramWriter {
 public:
  ProgramWriter(const ProgramKind& kind, Random& random, Trace& trace)
      : m_kind(kind), m_random(random), m_trace(trace) {}

  auto Write(const std::string& id, Duration at) -> void {
    WriteTurns({.m_at = at, .m_program = ProgramId(id)},
               Draw(m_random, m_kind.m_turns), true);
  }

 private:
  auto WriteTurns(TraceCall call, std::int64_t turns, bool is_root) -> void {
    auto prompt = Draw(m_random, m_kind.m_first_prompt);
    const auto parent = call.m_parent;
    for (std::int64_t turn = 1; turn <= turns; ++turn) {
      call.m_turn = Turn(turn);
      call.m_class = ClassId(m_kind.m_class);
      call.m_parent = turn == 1 ? parent : std::nullopt;
      call.m_prompt = Tokens(prompt);
      call.m_generated = Tokens(DrawAnswer(m_random, m_kind.m_answer));
      call.m_max_generated = Tokens(m_kind.m_answer.m_most_tokens);
      call.m_pause = Duration{0};
      if (turn > 1) {
        call.m_pause =
            std::chrono::milliseconds(Draw(m_random, m_kind.m_pause_ms));
      }
      call.m_last = turn == turns;
      m_trace.m_calls.push_back(call);
      if (is_root && turn < turns) {
        WriteSubAgents(call);
      }
      prompt +=
          call.m_generated.value() + Draw(m_random, m_kind.m_added_tokens);
    }
  }

  auto WriteSubAgents(const TraceCall& parent) -> void {
    if (Draw(m_random, {1, 100}) > m_kind.m_sub_agent_percent) {
      return;
    }
    const auto count = Draw(m_random, m_kind.m_sub_agents);
    for (std::int64_t child = 0; child < count; ++child) {
      const auto id = parent.m_program.value() + "-" +
                      std::to_string(parent.m_turn.value()) + "-" +
                      std::to_string(child);
      WriteTurns({.m_at = parent.m_at,
                  .m_program = ProgramId(id),
                  .m_parent = parent.m_program,
                  .m_parent_turn = parent.m_turn},
                 Draw(m_random, m_kind.m_sub_agent_turns), false);
    }
  }

  const ProgramKind& m_kind;
  Random& m_random;
  Trace& m_trace;
};

auto InCrest(const GeneratorOptions& options, Duration at) -> bool {
  return at >= options.m_crest_begin &&
         at < options.m_crest_begin + options.m_crest_length;
}

/// Poisson arrivals by thinning at the crest's rate. Each program draws from
/// a stream of its own, so that leaving out a kind changes no other.
auto WriteKind(const GeneratorOptions& options, int kind_index, Trace& trace)
    -> void {
  const auto& kind = options.m_kinds[static_cast<std::size_t>(kind_index)];
  Random arrivals(options.m_seed, static_cast<std::uint64_t>(kind_index) + 1);
  const auto peak = kind.m_rate * options.m_load * kind.m_crest_factor;
  boost::random::exponential_distribution<double> gap(peak);
  auto number = 0;
  for (auto at = FromSeconds(gap(arrivals)); at < options.m_length;
       at += FromSeconds(gap(arrivals))) {
    const auto kept = static_cast<double>(Draw(arrivals, {0, 999999})) / 1e6;
    if (!InCrest(options, at) && kept >= 1 / kind.m_crest_factor) {
      continue;
    }
    ++number;
    Random random(options.m_seed * 1000 + static_cast<std::uint64_t>(number),
                  static_cast<std::uint64_t>(kind_index) + 101);
    const auto id = kind.m_class + "." + std::to_string(number);
    ProgramWriter(kind, random, trace).Write(id, at);
  }
}

auto WriteSlowdowns(const GeneratorOptions& options, Trace& trace) -> void {
  const auto slowed = std::max(1, options.m_endpoints / 5);
  auto first = 0;
  for (Duration at{0}; at < options.m_length; at += options.m_slow_period) {
    for (auto i = 0; i < slowed; ++i) {
      trace.m_slowdowns.push_back(
          {.m_at = at,
           .m_length = options.m_slow_period,
           .m_endpoint = (first + i) % options.m_endpoints,
           .m_factor = options.m_slow_factor});
    }
    first += slowed;
  }
}

auto WriteCrashes(const GeneratorOptions& options, Trace& trace) -> void {
  constexpr int kResends = 3;
  const auto spacing = options.m_length / (options.m_crash_programs + 1);
  for (auto program = 0; program < options.m_crash_programs; ++program) {
    for (auto resend = 0; resend < kResends; ++resend) {
      trace.m_calls.push_back(
          {.m_at = spacing * (program + 1) + std::chrono::seconds(8 * resend),
           .m_program = ProgramId("crash." + std::to_string(program) + "." +
                                  std::to_string(resend)),
           .m_turn = Turn(1),
           .m_class = ClassId(options.m_kinds.front().m_class),
           .m_prompt = Tokens(900 + program),
           .m_generated = Tokens(100),
           .m_max_generated = Tokens(512),
           .m_last = true,
           .m_crashes = true});
    }
  }
}

/// A program's calls stay together and in order; programs go by arrival.
auto SortByArrival(Trace& trace) -> void {
  std::stable_sort(trace.m_calls.begin(), trace.m_calls.end(),
                   [](const TraceCall& left, const TraceCall& right) {
                     return left.m_at < right.m_at;
                   });
}

}  // namespace

auto GenerateTrace(const GeneratorOptions& options) -> Trace {
  Trace trace;
  trace.m_header = {
      .m_name = options.m_name,
      .m_endpoints = options.m_endpoints,
      .m_kv_capacity = options.m_kv_capacity,
      .m_crest_begin = options.m_crest_begin,
      .m_crest_end = options.m_crest_begin + options.m_crest_length};
  for (auto kind = 0; kind < static_cast<int>(options.m_kinds.size()); ++kind) {
    const auto& entry = options.m_kinds[static_cast<std::size_t>(kind)];
    trace.m_classes.push_back({.m_id = ClassId(entry.m_class),
                               .m_weight = entry.m_weight,
                               .m_deadline = entry.m_deadline});
    if (!entry.m_long || !options.m_without_long) {
      WriteKind(options, kind, trace);
    }
  }
  if (options.m_slowdowns) {
    WriteSlowdowns(options, trace);
  }
  WriteCrashes(options, trace);
  SortByArrival(trace);
  return trace;
}

auto Scaled(GeneratorOptions options, int endpoints, Duration length)
    -> GeneratorOptions {
  const auto share = static_cast<double>(endpoints) / options.m_endpoints;
  options.m_crest_begin =
      options.m_crest_begin * length.count() / options.m_length.count();
  options.m_endpoints = endpoints;
  options.m_length = length;
  for (auto& kind : options.m_kinds) {
    kind.m_rate *= share;
  }
  return options;
}

}  // namespace dotterelshed::bench
