#include "program/program_store.h"

#include <catch2/catch.hpp>

#include "program/budget_ledger.h"

namespace dotterelshed::pvt {
namespace {

const ProgramId kProgram("d.1");
const HostRef kFirst{HostId("h1"), Incarnation(1)};
const HostRef kSecond{HostId("h2"), Incarnation(1)};

auto Record(const std::vector<std::string>& chains, std::int64_t sequence)
    -> ProgramRecord {
  ProgramRecord record{.m_program = kProgram,
                       .m_root = kProgram,
                       .m_sequence = sequence,
                       .m_writer = kFirst,
                       .m_term = Term(1)};
  for (const auto& chain : chains) {
    record.m_turns.push_back(
        {.m_turn = ChainLength(record).Next(), .m_chain = Digest(chain)});
  }
  return record;
}

TEST_CASE("merging keeps the longer history") {
  ProgramStore store;
  MergeProgram(store, Record({"a", "b"}, 2), false, {});
  MergeProgram(store, Record({"a"}, 5), false, {});
  CHECK(ChainEnd(store.m_programs.at(kProgram).m_record) == Digest("b"));
  MergeProgram(store, Record({"a", "b", "c"}, 1), false, {});
  CHECK(ChainEnd(store.m_programs.at(kProgram).m_record) == Digest("c"));
}

TEST_CASE("diverging histories are kept until a token selects one") {
  ProgramStore store;
  MergeProgram(store, Record({"a", "b"}, 2), false, {});
  MergeProgram(store, Record({"a", "x", "y"}, 2), false, {});
  auto& entry = store.m_programs.at(kProgram);
  REQUIRE(SelectHistory(entry, Turn(2), Digest("b")));
  CHECK(ChainLength(entry.m_record) == Turn(2));
  REQUIRE(SelectHistory(entry, Turn(3), Digest("y")));
  CHECK(ChainLength(entry.m_record) == Turn(3));
  CHECK_FALSE(SelectHistory(entry, Turn(3), Digest("z")));
}

TEST_CASE("the open reservation survives a switch to another history") {
  ProgramStore store;
  auto local = Record({"a", "b"}, 7);
  local.m_open = Reservation{.m_amount = Cost(9), .m_host = kFirst};
  MergeProgram(store, local, false, {});
  MergeProgram(store, Record({"a", "x", "y"}, 3), true, {});
  auto& entry = store.m_programs.at(kProgram);
  REQUIRE(SelectHistory(entry, Turn(3), Digest("y")));
  CHECK(entry.m_record.m_sequence == 7);
  CHECK(entry.m_record.m_open.has_value());
}

TEST_CASE("ledgers merge to the same totals in any order") {
  BudgetLedger a{.m_root = kProgram, .m_budget = Cost(100)};
  OpenEscrow(a, kFirst, Term(1), Cost(25), Cost(100));
  OpenEscrow(a, kSecond, Term(1), Cost(25), Cost(75));
  auto b = a;
  AddSpend(a, kFirst, Term(1), false, Cost(30));
  AddSpend(b, kSecond, Term(1), true, Cost(10));
  CHECK(ShrinkEscrow(b, kFirst, Term(1), Cost(20)) == Cost(20));
  auto ab = a;
  MergeLedger(ab, b);
  auto ba = b;
  MergeLedger(ba, a);
  MergeLedger(ba, ab);
  CHECK(Committed(ab) == Committed(ba));
  // 30 and 10 spent, 5 and 15 left in the escrows.
  CHECK(Committed(ab) == Cost(60));
  CHECK(TotalSpent(ab) == Cost(40));
}

TEST_CASE("an escrow is not reopened, and closing it keeps the spent amount") {
  BudgetLedger ledger{.m_root = kProgram, .m_budget = Cost(100)};
  OpenEscrow(ledger, kFirst, Term(1), Cost(25), Cost(100));
  AddSpend(ledger, kFirst, Term(1), true, Cost(5));
  CHECK(ShrinkEscrow(ledger, kFirst, Term(1), Cost(100)) == Cost(20));
  OpenEscrow(ledger, kFirst, Term(1), Cost(25), Cost(100));
  CHECK(EscrowLeft(ledger, kFirst, Term(1)) == Cost(0));
  CloseEscrows(ledger, kFirst, Term(2));
  CHECK(Committed(ledger) == Cost(5));
}

}  // namespace
}  // namespace dotterelshed::pvt
