#include "dotterelshed/turn_index.h"

#include <catch2/catch.hpp>
#include <cstdlib>
#include <map>
#include <random>
#include <set>
#include <string>
#include <vector>

/// @file
/// What a replica keeps, finds, lists and drops.

namespace dotterelshed {
namespace {

using std::chrono::seconds;

const TimePoint kStart{seconds(1000)};

auto MakeRecord(const std::string& turn, const std::string& previous = "")
    -> TurnRecord {
  return {.m_turn = RequestId(turn),
          .m_previous = RequestId(previous),
          .m_program = ProgramId("p"),
          .m_text = "<" + turn + ">",
          .m_lifetime = seconds(60)};
}

auto TextOf(const TurnIndex& index, const std::string& turn) -> std::string {
  std::vector<const TurnRecord*> records;
  const auto chain = FindChain(index, RequestId(turn));
  for (const auto* one : chain.m_turns) {
    records.push_back(&one->m_record);
  }
  return chain.m_complete ? JoinTexts(records) : "incomplete";
}

TEST_CASE("the data of an event is the values of its data fields") {
  CHECK(EventData("id: 1\ndata: hello\n\n") == "hello");
  CHECK(EventData("data:a\ndata:  b\n\n") == "a\n b");
  CHECK(EventData("id: 1\r\ndata: x\r\n\r\n") == "x");
  CHECK(EventData("weight-versions: 2\ndata: x\n\n") == "x");
  CHECK(EventData("data\n\n").empty());
  CHECK(EventData("database: x\n\n").empty());
  CHECK(EventData("id: 1\n\n").empty());
}

TEST_CASE("hosts that stand in for others are added to a known turn") {
  TurnIndex index;
  AddTurn(index, MakeRecord("a"), kStart);
  auto again = MakeRecord("a");
  again.m_substitutes = {HostId("x2")};
  CHECK(AddTurn(index, again, kStart) == AddOutcome::kKnown);
  CHECK(index.m_turns.at(RequestId("a")).m_record.m_substitutes ==
        std::set{HostId("x2")});
}

TEST_CASE("a chain is found back to its start, through any branch") {
  TurnIndex index;
  AddTurn(index, MakeRecord("c", "b"), kStart);
  AddTurn(index, MakeRecord("a"), kStart);
  CHECK(TextOf(index, "c") == "incomplete");
  AddTurn(index, MakeRecord("b", "a"), kStart);
  AddTurn(index, MakeRecord("d", "b"), kStart);
  CHECK(TextOf(index, "c") == "<a><b><c>");
  CHECK(TextOf(index, "d") == "<a><b><d>");
  CHECK(TextOf(index, "e") == "incomplete");
  CHECK(TextOf(index, "") == "incomplete");
}

TEST_CASE("records that name each other are no chain") {
  TurnIndex index;
  index.m_options.m_max_chain = 10;
  AddTurn(index, MakeRecord("a", "b"), kStart);
  AddTurn(index, MakeRecord("b", "a"), kStart);
  CHECK(TextOf(index, "a") == "incomplete");
}

TEST_CASE("a turn is added once") {
  TurnIndex index;
  CHECK(AddTurn(index, MakeRecord("a"), kStart) == AddOutcome::kAdded);
  const auto bytes = index.m_bytes;
  CHECK(AddTurn(index, MakeRecord("a"), kStart) == AddOutcome::kKnown);
  CHECK(index.m_bytes == bytes);
}

TEST_CASE("a turn beyond the memory is refused and changes nothing") {
  TurnIndex index;
  index.m_options.m_max_bytes = SizeInMemory(MakeRecord("a"));
  CHECK(AddTurn(index, MakeRecord("a"), kStart) == AddOutcome::kAdded);
  CHECK(AddTurn(index, MakeRecord("b", "a"), kStart) == AddOutcome::kFull);
  CHECK(index.m_turns.size() == 1);
  CHECK(TextOf(index, "a") == "<a>");
}

TEST_CASE("a turn stays as long as one that continues from it") {
  TurnIndex index;
  AddTurn(index, MakeRecord("a"), kStart);
  AddTurn(index, MakeRecord("b", "a"), kStart + seconds(50));
  CHECK(DropExpiredTurns(index, kStart + seconds(100)).empty());
  CHECK(TextOf(index, "b") == "<a><b>");
  CHECK(DropExpiredTurns(index, kStart + seconds(110)).size() == 2);
  CHECK(index.m_turns.empty());
  CHECK(index.m_successors.empty());
  CHECK(index.m_bytes == 0);
}

TEST_CASE("a withdrawn turn does not come back before its time is over") {
  TurnIndex index;
  AddTurn(index, MakeRecord("a"), kStart);
  CHECK(WithdrawTurn(index, RequestId("a"), kStart + seconds(60)) == 1);
  CHECK(AddTurn(index, MakeRecord("a"), kStart) == AddOutcome::kWithdrawn);
  DropExpiredTurns(index, kStart + seconds(60));
  CHECK(index.m_withdrawn.empty());
}

TEST_CASE("the list goes on after a position and leaves young turns out") {
  TurnIndex index;
  for (const auto* turn : {"a", "b", "c"}) {
    AddTurn(index, MakeRecord(turn), kStart);
  }
  AddTurn(index, MakeRecord("young"), kStart + seconds(2));
  const auto first = ListTurns(index, 0, 2, kStart);
  CHECK(first.m_turns.size() == 2);
  CHECK(first.m_has_more);
  const auto second = ListTurns(index, first.m_last_sequence, 2, kStart);
  REQUIRE(second.m_turns.size() == 1);
  CHECK(second.m_turns.front()->m_record.m_turn == RequestId("c"));
  CHECK_FALSE(second.m_has_more);
  const auto third =
      ListTurns(index, second.m_last_sequence, 2, kStart + seconds(2));
  CHECK(third.m_turns.size() == 1);
}

/// Adds, withdraws and expires random turns of random trees, and compares each
/// step with a plain model.
auto CheckRandomTurns(unsigned seed) -> void {
  std::mt19937 random(seed);
  TurnIndex index;
  std::map<std::string, std::string> previous_of;
  std::map<std::string, TimePoint> added;
  std::set<std::string> withdrawn;
  std::vector<std::string> turns;
  auto now = kStart;
  for (int step = 0; step < 200; ++step) {
    now += std::chrono::milliseconds(random() % 5000);
    const auto action = random() % 10;
    if (action < 7) {
      const auto turn = std::to_string(step);
      const auto first = turns.empty() || random() % 4 == 0;
      const auto previous = first ? "" : turns[random() % turns.size()];
      AddTurn(index, MakeRecord(turn, previous), now);
      previous_of[turn] = previous;
      added[turn] = now;
      turns.push_back(turn);
    } else if (action == 7 && !turns.empty()) {
      const auto& turn = turns[random() % turns.size()];
      WithdrawTurn(index, RequestId(turn), now + seconds(60));
      withdrawn.insert(turn);
    } else {
      DropExpiredTurns(index, now);
    }
    std::size_t bytes = 0;
    for (const auto& [turn, indexed] : index.m_turns) {
      bytes += SizeInMemory(indexed.m_record);
      CHECK(indexed.m_record.m_previous.value() == previous_of[turn.value()]);
      CHECK(index.m_by_sequence.at(indexed.m_sequence) == turn);
    }
    CHECK(index.m_bytes == bytes);
    CHECK(index.m_by_sequence.size() == index.m_turns.size());
    // A turn that isn't withdrawn and whose time isn't over is there.
    for (const auto& [turn, added_at] : added) {
      const auto id = RequestId(turn);
      const auto expected =
          !withdrawn.contains(turn) && now < added_at + seconds(60);
      CHECK((!expected || index.m_turns.contains(id)));
    }
  }
}

TEST_CASE("random turns are counted, listed and dropped consistently") {
  const auto* seed = std::getenv("DOTTERELSHED_SEED");
  const unsigned first = seed == nullptr ? 1 : std::stoul(seed);
  for (unsigned run = first; run < first + 50; ++run) {
    INFO("seed " << run);
    CheckRandomTurns(run);
  }
}

}  // namespace
}  // namespace dotterelshed
