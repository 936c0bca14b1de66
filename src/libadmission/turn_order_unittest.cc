#include "dotterelshed/turn_order.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <random>
#include <vector>

namespace dotterelshed {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// Turn of a program that began @p age ago and has @p left.
auto UnderWay(Duration left, Duration age) -> TurnStanding {
  return {.m_route_priority = Priority(0), .m_time_left = left, .m_age = age};
}

TEST_CASE("a program that can't end in time goes after all others") {
  const auto late = RankTurn(UnderWay(Duration{0}, seconds(2)));
  const TurnStanding least_urgent{.m_route_priority = Priority(9),
                                  .m_first = true,
                                  .m_time_left = seconds(8),
                                  .m_age = Duration{0}};
  CHECK(RankTurn(least_urgent) < late);
  CHECK(RankTurn(UnderWay(milliseconds(-1), seconds(2))) == late);
  CHECK(RankTurn(UnderWay(milliseconds(1), seconds(2))) < late);
}

TEST_CASE("programs under way go before new ones, those nearest first") {
  const auto nearly_over = RankTurn(UnderWay(seconds(1), seconds(7)));
  const auto half = RankTurn(UnderWay(seconds(4), seconds(5)));
  const auto begun = RankTurn(UnderWay(seconds(7), seconds(1)));
  const auto fresh = RankTurn({.m_route_priority = Priority(0),
                               .m_first = true,
                               .m_time_left = seconds(8),
                               .m_age = Duration{0}});
  CHECK(nearly_over < half);
  CHECK(half < begun);
  CHECK(begun < fresh);
  // The length of the program makes no difference.
  CHECK(RankTurn(UnderWay(milliseconds(100), milliseconds(700))) ==
        nearly_over);
}

TEST_CASE("the account's priority goes before the route's") {
  auto standing = UnderWay(seconds(4), seconds(4));
  const auto urgent = RankTurn(standing);
  standing.m_account_priority = Priority(1);
  CHECK(RankTurn(standing) > urgent);
  standing.m_route_priority = Priority(1);
  standing.m_account_priority = Priority(0);
  CHECK(RankTurn(standing) == urgent);
}

TEST_CASE("priority makes nobody late that is about to end") {
  auto last = UnderWay(milliseconds(500), seconds(4));
  last.m_route_priority = Priority(9);
  CHECK(RankTurn(last) < RankTurn({.m_route_priority = Priority(0),
                                   .m_first = true,
                                   .m_time_left = seconds(2),
                                   .m_age = Duration{0}}));
}

TEST_CASE("every rank is one that an engine knows") {
  for (const std::int64_t priority : {-1, 0, 1, 5, 1000}) {
    for (const auto left : {-1000, 0, 1, 500, 100000}) {
      for (const auto first : {false, true}) {
        const auto rank = RankTurn({.m_account_priority = Priority(priority),
                                    .m_first = first,
                                    .m_time_left = milliseconds(left),
                                    .m_age = milliseconds(400)});
        CHECK(rank >= TurnRank(0));
        CHECK(rank <= kLastRank);
      }
    }
  }
  CHECK(RankTurn({}) < kLastRank);
}

TEST_CASE("the order is told where accounts compete or a setting asks for it") {
  CHECK(IsTurnOrderUsed(TurnOrderMode::kAuto, true));
  CHECK_FALSE(IsTurnOrderUsed(TurnOrderMode::kAuto, false));
  CHECK(IsTurnOrderUsed(TurnOrderMode::kOn, false));
  CHECK_FALSE(IsTurnOrderUsed(TurnOrderMode::kOff, true));
  CHECK(ParseTurnOrderMode("auto") == TurnOrderMode::kAuto);
  CHECK_FALSE(ParseTurnOrderMode("maybe"));
}

// The load: more turns than places for some seconds, from programs of 3 and of
// 11 turns with the same slack for each turn.

struct ReplayedProgram {
  TimePoint m_begin;
  TimePoint m_finish_by;
  int m_turns_left = 0;
  bool m_long = false;
  /// When its next turn arrives at the engine; nothing while one runs.
  std::optional<TimePoint> m_next;
  bool m_begun = false;
  std::optional<TimePoint> m_ended;
};

constexpr Duration kTurn = milliseconds(200);
constexpr Duration kPause = milliseconds(100);
constexpr int kPlaces = 8;

/// Programs that fill two thirds of an engine, and for four seconds two and a
/// half times what it can run.
auto MakeLoad(unsigned seed) -> std::vector<ReplayedProgram> {
  std::mt19937 random(seed);
  std::exponential_distribution<double> gap(1);
  std::vector<ReplayedProgram> load;
  auto at = 0.0;
  while (at < 20) {
    const auto rate = at > 6 && at < 10 ? 18.0 : 4.7;
    at += gap(random) / rate;
    const auto is_long = random() % 3 == 0;
    const auto turns = is_long ? 11 : 3;
    const auto begin = TimePoint{} + FromSeconds(at);
    load.push_back({.m_begin = begin,
                    .m_finish_by = begin + (kTurn + kPause) * turns * 8 / 5,
                    .m_turns_left = turns,
                    .m_long = is_long,
                    .m_next = begin});
  }
  return load;
}

/// Order in which an engine takes the waiting turns: by rank, else by arrival.
auto RankAt(const ReplayedProgram& program, TimePoint now) -> TurnRank {
  return RankTurn({.m_route_priority = Priority(program.m_long ? 1 : 0),
                   .m_first = !program.m_begun,
                   .m_time_left = program.m_finish_by - now,
                   .m_age = now - program.m_begin});
}

/// Runs the load on one engine, in steps of 10 ms.
auto Replay(std::vector<ReplayedProgram> load, bool ordered)
    -> std::vector<ReplayedProgram> {
  struct Waiting {
    TurnRank m_rank;
    TimePoint m_since;
    ReplayedProgram* m_program;
  };
  std::vector<Waiting> waiting;
  std::vector<std::pair<TimePoint, ReplayedProgram*>> running;
  for (TimePoint now; now < TimePoint{} + seconds(90);
       now += milliseconds(10)) {
    std::erase_if(running, [now](const auto& one) {
      if (one.first > now) {
        return false;
      }
      auto& program = *one.second;
      if (--program.m_turns_left > 0) {
        program.m_next = now + kPause;
      } else {
        program.m_ended = now;
      }
      return true;
    });
    for (auto& program : load) {
      if (program.m_next && *program.m_next <= now) {
        // An engine is told the rank once, when the turn is sent to it.
        waiting.push_back(
            {ordered ? RankAt(program, now) : TurnRank(5), now, &program});
        program.m_next.reset();
        program.m_begun = true;
      }
    }
    std::stable_sort(
        waiting.begin(), waiting.end(),
        [](const Waiting& a, const Waiting& b) { return a.m_rank < b.m_rank; });
    while (!waiting.empty() && running.size() < kPlaces) {
      running.emplace_back(now + kTurn, waiting.front().m_program);
      waiting.erase(waiting.begin());
    }
  }
  return load;
}

auto CountInTime(const std::vector<ReplayedProgram>& load,
                 std::optional<bool> is_long = std::nullopt) -> std::size_t {
  return static_cast<std::size_t>(
      std::count_if(load.begin(), load.end(), [is_long](const auto& one) {
        return one.m_ended && *one.m_ended <= one.m_finish_by &&
               (!is_long || one.m_long == *is_long);
      }));
}

TEST_CASE("more programs end in time than first come, first served") {
  const auto seed = GENERATE(1u, 2u, 3u, 4u, 5u);
  const auto load = MakeLoad(seed);
  const auto by_arrival = Replay(load, false);
  const auto by_rank = Replay(load, true);
  CAPTURE(seed, load.size(), CountInTime(by_arrival), CountInTime(by_rank),
          CountInTime(by_arrival, true), CountInTime(by_rank, true));
  CHECK(CountInTime(by_rank) > CountInTime(by_arrival));
  // Neither kind pays for the other.
  CHECK(CountInTime(by_rank, true) >= CountInTime(by_arrival, true));
  CHECK(CountInTime(by_rank, false) >= CountInTime(by_arrival, false));
  // Those that come too late aren't forgotten.
  for (const auto& program : by_rank) {
    CHECK(program.m_ended);
  }
}

}  // namespace
}  // namespace dotterelshed
