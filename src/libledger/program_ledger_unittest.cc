#include "dotterelshed/program_ledger.h"

#include <catch2/catch.hpp>

namespace dotterelshed {
namespace {

constexpr Tokens kMost(100);
constexpr Tokens kBudget(400);
const TimePoint kSettled{std::chrono::seconds(100)};

/// A ledger whose lead has led for long and reached the store just now.
auto MakeLedger() -> ProgramLedger {
  ProgramLedger ledger;
  ledger.m_confirmed_at = kSettled;
  return ledger;
}

auto Ask(ProgramLedger& ledger,
         const std::string& request,
         const GrantConditions& conditions = {}) -> TurnGrant {
  return RequestGrant(ledger,
                      {.m_program = ProgramId("p"),
                       .m_request = RequestId(request),
                       .m_budget = kBudget,
                       .m_turn_max = kMost},
                      conditions, kSettled);
}

auto Record(ProgramLedger& ledger) -> LedgerRecord {
  auto record = BeginRecord(ledger, kSettled);
  NoteRecorded(ledger, record);
  return record;
}

auto Settle(ProgramLedger& ledger, const std::string& request, Tokens used)
    -> void {
  SettleTurn(ledger, ProgramId("p"), RequestId(request), used, kSettled);
}

TEST_CASE("a first turn runs before its record, a second one doesn't") {
  auto ledger = MakeLedger();
  CHECK(Ask(ledger, "a").m_decision == GrantDecision::kGranted);
  CHECK(Ask(ledger, "b").m_decision == GrantDecision::kNeedsRecord);
  Record(ledger);
  CHECK(Ask(ledger, "b").m_decision == GrantDecision::kGranted);
}

TEST_CASE("a repeated question is counted once") {
  auto ledger = MakeLedger();
  Ask(ledger, "a");
  CHECK(Ask(ledger, "a").m_tokens == kMost);
  CHECK(ledger.m_accounts.at(ProgramId("p")).m_running.size() == 1);
}

TEST_CASE("a turn that doesn't fit is refused for its budget") {
  auto ledger = MakeLedger();
  for (const auto* request : {"a", "b", "c", "d"}) {
    Record(ledger);
    REQUIRE(Ask(ledger, request).m_decision == GrantDecision::kGranted);
    Record(ledger);
  }
  CHECK(Ask(ledger, "e").m_decision == GrantDecision::kBudgetSpent);
  Settle(ledger, "a", Tokens(20));
  CHECK(Ask(ledger, "e").m_decision == GrantDecision::kBudgetSpent);
  Settle(ledger, "b", Tokens(30));
  CHECK(Ask(ledger, "e").m_decision == GrantDecision::kGranted);
}

TEST_CASE("without the store turns get parts of the advance") {
  auto ledger = MakeLedger();
  const GrantConditions lost{.m_allow_partial = true};
  CHECK(Ask(ledger, "a", lost).m_tokens == kMost);
  Settle(ledger, "a", Tokens(30));
  CHECK(Ask(ledger, "b", lost).m_tokens == Tokens(70));
  Settle(ledger, "b", Tokens(50));
  CHECK(Ask(ledger, "c", lost).m_decision == GrantDecision::kNeedsRecord);
}

TEST_CASE("a blind account grants no more than the advance") {
  auto ledger = MakeLedger();
  const GrantConditions blind{.m_unverified = true, .m_allow_partial = true};
  Ask(ledger, "a", blind);
  Settle(ledger, "a", Tokens(60));
  CHECK_FALSE(HasVerifiedAccount(ledger, ProgramId("p")));
  CHECK(Ask(ledger, "b", blind).m_tokens == Tokens(40));
  CHECK(BeginRecord(ledger, kSettled).m_bounds.empty());
  CHECK(Ask(ledger, "c").m_decision == GrantDecision::kNeedsRecord);
  CHECK(HasVerifiedAccount(ledger, ProgramId("p")));
}

TEST_CASE("a write that may have failed binds grants to its bound") {
  auto ledger = MakeLedger();
  Ask(ledger, "a");
  Record(ledger);
  Settle(ledger, "a", Tokens(0));
  const auto lower = BeginRecord(ledger, kSettled).m_bounds.at(ProgramId("p"));
  const auto& account = ledger.m_accounts.at(ProgramId("p"));
  CHECK(lower < account.m_recorded_bound);
  Ask(ledger, "b");
  Ask(ledger, "c");
  auto granted = account.m_spent;
  for (const auto& [request, tokens] : account.m_running) {
    granted += tokens;
  }
  CHECK(granted <= lower + kMost);
}

TEST_CASE("a lead that takes over counts the record as spent") {
  auto ledger = MakeLedger();
  Ask(ledger, "a");
  const auto record = Record(ledger);
  ProgramLedger next;
  AdoptRecord(next, record, kSettled);
  const auto& account = next.m_accounts.at(ProgramId("p"));
  CHECK(account.m_spent == record.m_bounds.at(ProgramId("p")));
  CHECK_FALSE(account.m_has_advance);
}

TEST_CASE("an unknown program gets no advance right after a takeover") {
  ProgramLedger ledger;
  AdoptRecord(ledger, {}, kSettled);
  CHECK(Ask(ledger, "a").m_decision == GrantDecision::kNeedsRecord);
}

TEST_CASE("a lead that can't confirm its term gives no advance") {
  auto ledger = MakeLedger();
  ledger.m_confirmed_at = kSettled - std::chrono::seconds(8);
  CHECK(Ask(ledger, "a").m_decision == GrantDecision::kNeedsRecord);
}

TEST_CASE("idle programs are forgotten after the retention time") {
  auto ledger = MakeLedger();
  Ask(ledger, "a");
  ForgetIdlePrograms(ledger, kSettled + std::chrono::seconds(75));
  CHECK(ledger.m_accounts.size() == 1);
  ForgetIdlePrograms(ledger, kSettled + std::chrono::seconds(76));
  CHECK(ledger.m_accounts.empty());
}

}  // namespace
}  // namespace dotterelshed
