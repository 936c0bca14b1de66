// Cost of one turn and memory of one program, at its primary and its copy
// holder together, over the number of programs and of turns.
#include <iostream>

#include "capacity_desk.h"
#include "capacity_report.h"

namespace dotterelshed::bench {
namespace {

/// One row of the measurement.
struct TurnCosts {
  int m_programs = 0;
  int m_turns = 0;
  double m_primary_us = 0;
  double m_holder_us = 0;
  double m_peer_bytes = 0;
  double m_peer_messages = 0;
  double m_program_bytes = 0;
  double m_tick_us = 0;
};

/// Processor time of one tick at the primary, with all programs idle.
auto MeasureTick(Desk& desk) -> double {
  constexpr auto kTicks = 200;
  constexpr auto kTick = std::chrono::milliseconds(20);
  ResetCosts(desk);
  Pass(desk, kTicks * kTick, kTick);
  const auto& primary = desk.m_hosts[PrimaryOf(desk)].m_cost;
  return static_cast<double>(primary.m_step_time.count()) / kTicks / 1000;
}

auto Measure(int programs, int turns, int answer_bytes) -> TurnCosts {
  auto desk = StartDesk({.m_answer_bytes = answer_bytes});
  Pass(desk, std::chrono::seconds(1), std::chrono::milliseconds(100));
  ResetCosts(desk);
  std::vector<std::optional<ContinuationToken>> tokens(
      static_cast<std::size_t>(programs));
  const auto before = BytesInUse();
  for (auto turn = 0; turn < turns; ++turn) {
    for (auto i = 0; i < programs; ++i) {
      const ProgramId program("d." + std::to_string(i));
      auto& token = tokens[static_cast<std::size_t>(i)];
      const auto answer =
          RunCall(desk, MakeCall(program, std::to_string(turn), token));
      DOTTERELSHED_CHECK(answer.m_outcome == OutcomeKind::kDone);
      token = answer.m_token;
    }
  }
  const auto primary = desk.m_hosts[PrimaryOf(desk)].m_cost;
  const auto holder = desk.m_hosts[HolderOf(desk)].m_cost;
  const auto count = static_cast<double>(programs) * turns;
  tokens.clear();
  tokens.shrink_to_fit();
  return {.m_programs = programs,
          .m_turns = turns,
          .m_primary_us =
              static_cast<double>(primary.m_step_time.count()) / count / 1000,
          .m_holder_us =
              static_cast<double>(holder.m_step_time.count()) / count / 1000,
          .m_peer_bytes =
              static_cast<double>(primary.m_bytes_sent + holder.m_bytes_sent) /
              count,
          .m_peer_messages = static_cast<double>(primary.m_messages_sent +
                                                 holder.m_messages_sent) /
                             count,
          .m_program_bytes =
              static_cast<double>(BytesInUse() - before) / programs / 2,
          .m_tick_us = MeasureTick(desk)};
}

auto Row(const TurnCosts& costs, int answer_bytes) -> std::vector<std::string> {
  return {std::to_string(costs.m_programs), std::to_string(costs.m_turns),
          std::to_string(answer_bytes),     Fixed(costs.m_primary_us, 1),
          Fixed(costs.m_holder_us, 1),      Fixed(costs.m_peer_messages, 2),
          Fixed(costs.m_peer_bytes, 0),     Fixed(costs.m_program_bytes, 0),
          Fixed(costs.m_tick_us, 1)};
}

auto Run() -> void {
  struct Size {
    int m_programs;
    int m_turns;
    int m_answer_bytes;
  };
  const std::vector<Size> sizes{
      {500, 2, 1024},  {2000, 2, 1024}, {8000, 2, 1024}, {500, 8, 1024},
      {500, 32, 1024}, {500, 64, 1024}, {500, 8, 256},   {500, 8, 4096}};
  std::vector<std::vector<std::string>> rows;
  rows.reserve(sizes.size());
  for (const auto& size : sizes) {
    rows.push_back(
        Row(Measure(size.m_programs, size.m_turns, size.m_answer_bytes),
            size.m_answer_bytes));
  }
  PrintMarkdown("One turn, three hosts, one pool of 64 endpoints",
                {"programs", "turns", "answer bytes", "primary us/turn",
                 "holder us/turn", "messages/turn", "peer bytes/turn",
                 "bytes/program on one host", "primary us/tick"},
                rows);
}

}  // namespace
}  // namespace dotterelshed::bench

auto main() -> int {
  dotterelshed::bench::Run();
  return 0;
}
