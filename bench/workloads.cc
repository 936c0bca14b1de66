#include "generator.h"

namespace dotterelshed::bench {

namespace {

using std::chrono::minutes;
using std::chrono::seconds;

auto NightQuestion() -> ProgramKind {
  return {.m_class = "watch",
          .m_weight = 8,
          .m_deadline = seconds(30),
          .m_rate = 14,
          .m_crest_factor = 4,
          .m_turns = {1, 4},
          .m_first_prompt = {500, 1500},
          .m_added_tokens = {100, 400},
          .m_answer = {.m_median_tokens = 100,
                       .m_sigma = 0.5,
                       .m_most_tokens = 512},
          .m_pause_ms = {200, 2000}};
}

auto SeasonalReview() -> ProgramKind {
  return {.m_class = "review",
          .m_weight = 1,
          .m_deadline = minutes(30),
          .m_rate = 0.45,
          .m_turns = {14, 34},
          .m_first_prompt = {2000, 4000},
          .m_added_tokens = {200, 900},
          .m_answer = {.m_median_tokens = 300,
                       .m_sigma = 0.6,
                       .m_most_tokens = 2048},
          .m_pause_ms = {500, 8000},
          .m_sub_agent_percent = 15,
          .m_sub_agents = {2, 3},
          .m_sub_agent_turns = {2, 4},
          .m_long = true};
}

auto Quote() -> ProgramKind {
  return {.m_class = "quote",
          .m_weight = 8,
          .m_deadline = seconds(60),
          .m_rate = 4,
          .m_crest_factor = 4,
          .m_turns = {2, 6},
          .m_first_prompt = {800, 2000},
          .m_added_tokens = {100, 500},
          .m_answer = {.m_median_tokens = 120,
                       .m_sigma = 0.5,
                       .m_most_tokens = 768},
          .m_pause_ms = {300, 3000}};
}

auto SlotConfirmation() -> ProgramKind {
  return {
      .m_class = "slot",
      .m_weight = 4,
      .m_deadline = seconds(45),
      .m_rate = 4,
      .m_turns = {1, 3},
      .m_first_prompt = {300, 800},
      .m_added_tokens = {50, 200},
      .m_answer = {.m_median_tokens = 50, .m_sigma = 0.4, .m_most_tokens = 256},
      .m_pause_ms = {200, 1500}};
}

auto CollectionRun() -> ProgramKind {
  return {.m_class = "collection",
          .m_weight = 2,
          .m_deadline = minutes(3),
          .m_rate = 1,
          .m_turns = {2, 6},
          .m_first_prompt = {800, 1600},
          .m_added_tokens = {100, 400},
          .m_answer = {.m_median_tokens = 120,
                       .m_sigma = 0.5,
                       .m_most_tokens = 768},
          .m_pause_ms = {500, 4000}};
}

auto MultiMirrorQuote() -> ProgramKind {
  return {.m_class = "mirror_quote",
          .m_weight = 4,
          .m_deadline = minutes(30),
          .m_rate = 0.28,
          .m_turns = {12, 36},
          .m_first_prompt = {2000, 4000},
          .m_added_tokens = {200, 800},
          .m_answer = {.m_median_tokens = 300,
                       .m_sigma = 0.6,
                       .m_most_tokens = 2048},
          .m_pause_ms = {500, 6000},
          .m_sub_agent_percent = 20,
          .m_sub_agents = {2, 4},
          .m_sub_agent_turns = {2, 4},
          .m_long = true};
}

}  // namespace

auto VandstandOptions() -> GeneratorOptions {
  return {.m_name = "vandstand",
          .m_seed = 11,
          .m_endpoints = 15,
          .m_kinds = {NightQuestion(), SeasonalReview()}};
}

auto LagosOptions() -> GeneratorOptions {
  return {.m_name = "lagos",
          .m_seed = 12,
          .m_endpoints = 10,
          .m_kinds = {Quote(), SlotConfirmation(), CollectionRun(),
                      MultiMirrorQuote()}};
}

}  // namespace dotterelshed::bench
