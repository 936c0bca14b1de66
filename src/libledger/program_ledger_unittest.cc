#include "dotterelshed/program_ledger.h"

#include <catch2/catch.hpp>

#include "dotterelshed/steady_time.h"

namespace dotterelshed {
namespace {

constexpr Tokens kTurnMax(100);
constexpr Tokens kBudget(400);
const TimePoint kSettled{std::chrono::seconds(100)};

/// A ledger whose lead may give advances: its last write was confirmed at
/// kSettled.
auto MakeLedger() -> ProgramLedger {
  ProgramLedger ledger;
  ledger.m_advances = true;
  ledger.m_confirmed_at = kSettled;
  return ledger;
}

auto RequestTurn(ProgramLedger& ledger,
                 const std::string& request,
                 const GrantConditions& conditions = {},
                 TimePoint now = kSettled,
                 const ProgramId& program = ProgramId("p")) -> TurnGrant {
  return RequestGrant(ledger,
                      {.m_program = program,
                       .m_request = RequestId(request),
                       .m_budget = kBudget,
                       .m_turn_max = kTurnMax},
                      conditions, now);
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

TEST_CASE("only the first turn is granted before the first record") {
  auto ledger = MakeLedger();
  CHECK(RequestTurn(ledger, "a").m_decision == GrantDecision::kGranted);
  CHECK(RequestTurn(ledger, "b").m_decision == GrantDecision::kNeedsRecord);
  Record(ledger);
  CHECK(RequestTurn(ledger, "b").m_decision == GrantDecision::kGranted);
}

TEST_CASE("a repeated grant request is counted once") {
  auto ledger = MakeLedger();
  RequestTurn(ledger, "a");
  CHECK(RequestTurn(ledger, "a").m_tokens == kTurnMax);
  CHECK(ledger.m_accounts.at(ProgramId("p")).m_running.size() == 1);
}

TEST_CASE("a turn that exceeds the remaining budget is refused") {
  auto ledger = MakeLedger();
  for (const auto* request : {"a", "b", "c", "d"}) {
    Record(ledger);
    REQUIRE(RequestTurn(ledger, request).m_decision == GrantDecision::kGranted);
    Record(ledger);
  }
  CHECK(RequestTurn(ledger, "e").m_decision == GrantDecision::kBudgetSpent);
  Settle(ledger, "a", Tokens(20));
  CHECK(RequestTurn(ledger, "e").m_decision == GrantDecision::kBudgetSpent);
  Settle(ledger, "b", Tokens(30));
  CHECK(RequestTurn(ledger, "e").m_decision == GrantDecision::kGranted);
}

TEST_CASE("turns get partial grants while the store is unavailable") {
  auto ledger = MakeLedger();
  const GrantConditions store_down{.m_allow_partial = true};
  CHECK(RequestTurn(ledger, "a", store_down).m_tokens == kTurnMax);
  Settle(ledger, "a", Tokens(30));
  CHECK(RequestTurn(ledger, "b", store_down).m_tokens == Tokens(70));
  Settle(ledger, "b", Tokens(50));
  CHECK(RequestTurn(ledger, "c", store_down).m_decision ==
        GrantDecision::kNeedsRecord);
}

TEST_CASE("an unverified account grants no more than the advance") {
  auto ledger = MakeLedger();
  const GrantConditions unverified{.m_unverified = true,
                                   .m_allow_partial = true};
  RequestTurn(ledger, "a", unverified);
  Settle(ledger, "a", Tokens(60));
  CHECK_FALSE(HasVerifiedAccount(ledger, ProgramId("p")));
  CHECK(RequestTurn(ledger, "b", unverified).m_tokens == Tokens(40));
  CHECK(BeginRecord(ledger, kSettled).m_bounds.empty());
  CHECK(RequestTurn(ledger, "c").m_decision == GrantDecision::kNeedsRecord);
  CHECK(HasVerifiedAccount(ledger, ProgramId("p")));
}

TEST_CASE("an unconfirmed write limits grants to its bound") {
  auto ledger = MakeLedger();
  RequestTurn(ledger, "a");
  Record(ledger);
  Settle(ledger, "a", Tokens(0));
  const auto lower = BeginRecord(ledger, kSettled).m_bounds.at(ProgramId("p"));
  const auto& account = ledger.m_accounts.at(ProgramId("p"));
  CHECK(lower < account.m_recorded_bound);
  RequestTurn(ledger, "b");
  RequestTurn(ledger, "c");
  auto granted = account.m_spent;
  for (const auto& [request, tokens] : account.m_running) {
    granted += tokens;
  }
  CHECK(granted <= lower + kTurnMax);
}

TEST_CASE("a lead that takes over counts the recorded bound as spent") {
  auto ledger = MakeLedger();
  RequestTurn(ledger, "a");
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
  CHECK(RequestTurn(ledger, "a").m_decision == GrantDecision::kNeedsRecord);
}

// Guards against BUDGET broken by two leads that are lost, each with an
// advance.
TEST_CASE("a program that pauses gets no advance after its lead was lost") {
  const auto pause = std::chrono::seconds(GENERATE(0, 12, 75));
  auto lost = MakeLedger();
  const auto record = Record(lost);
  REQUIRE(RequestTurn(lost, "a").m_decision == GrantDecision::kGranted);
  ProgramLedger next;
  AdoptRecord(next, record, kSettled);
  NoteRecorded(next, BeginRecord(next, kSettled + pause));
  CHECK(RequestTurn(next, "b", {}, kSettled + pause).m_decision ==
        GrantDecision::kNeedsRecord);
}

TEST_CASE("advances are given again when no program can have a lost one") {
  ProgramLedger ledger;
  AdoptRecord(ledger, {}, kSettled);
  const auto over = kSettled + AdvanceWaitLeft(ledger, kSettled);
  CHECK(over - kSettled >= ledger.m_options.m_retention);
  NoteRecorded(ledger, BeginRecord(ledger, over));
  CHECK(RequestTurn(ledger, "a", {}, over).m_decision ==
        GrantDecision::kGranted);
}

TEST_CASE("a lead that gives no advances leaves its successor what it waits") {
  ProgramLedger ledger;
  AdoptRecord(ledger, {}, kSettled);
  const auto later = kSettled + std::chrono::seconds(20);
  const auto wait = AdvanceWaitLeft(ledger, later);
  ProgramLedger next;
  AdoptRecord(next, BeginRecord(ledger, later), later);
  CHECK(AdvanceWaitLeft(next, later) == wait);
  SetRetention(next, next.m_options.m_retention + std::chrono::seconds(5),
               later);
  CHECK(AdvanceWaitLeft(next, later) == wait + std::chrono::seconds(5));
}

TEST_CASE("a lead that hands over leaves no wait unless it omits accounts") {
  const auto unverified = GENERATE(false, true);
  auto ledger = MakeLedger();
  RequestTurn(ledger, "a", {.m_unverified = unverified});
  const auto record = BeginHandoverRecord(ledger, kSettled);
  ProgramLedger next;
  AdoptRecord(next, record, kSettled);
  CHECK((AdvanceWaitLeft(next, kSettled) > Duration{0}) == unverified);
  // The record may be in the store although the lead goes on.
  CHECK(RequestTurn(ledger, "q", {}, kSettled, ProgramId("q")).m_decision ==
        GrantDecision::kNeedsRecord);
}

TEST_CASE("a predecessor that is there ends the wait with its grants") {
  auto ledger = MakeLedger();
  RequestTurn(ledger, "a");
  Settle(ledger, "a", Tokens(30));
  RequestTurn(ledger, "b", {.m_allow_partial = true});
  ProgramLedger next;
  AdoptRecord(next, {}, kSettled);
  AdoptUnrecorded(next, UnrecordedGrants(ledger, kSettled), kSettled);
  CHECK(AdvanceWaitLeft(next, kSettled) == Duration{0});
  const auto& account = next.m_accounts.at(ProgramId("p"));
  CHECK(account.m_spent == Tokens(30));
  CHECK(account.m_running.at(RequestId("b")) == Tokens(70));
  CHECK_FALSE(HasVerifiedAccount(next, ProgramId("p")));
  NoteRecorded(next, BeginRecord(next, kSettled));
  CHECK(RequestTurn(next, "c").m_decision == GrantDecision::kNeedsRecord);
  // A program that is on record keeps its account.
  Record(next);
  AdoptUnrecorded(next, {{{ProgramId("p"), Tokens(0)}}, {}, Duration{0}},
                  kSettled);
  CHECK(account.m_spent == Tokens(30));
}

TEST_CASE("a lead whose lease has run out gives no advance") {
  auto ledger = MakeLedger();
  ledger.m_confirmed_at = kSettled - std::chrono::seconds(8);
  CHECK(RequestTurn(ledger, "a").m_decision == GrantDecision::kNeedsRecord);
}

TEST_CASE("idle programs are forgotten after the retention time") {
  auto ledger = MakeLedger();
  RequestTurn(ledger, "a");
  ForgetIdlePrograms(ledger, kSettled + std::chrono::seconds(75));
  CHECK(ledger.m_accounts.size() == 1);
  ForgetIdlePrograms(ledger, kSettled + std::chrono::seconds(76));
  CHECK(ledger.m_accounts.empty());
}

TEST_CASE("nothing is granted of adopted accounts until all was read") {
  const ProgramId program("p");
  const auto now = SteadyTime();
  const auto newer_bound = GENERATE(0, 500, 600, 950);
  ProgramLedger ledger;
  AdoptRecord(ledger, {{{program, Tokens(600)}}, {}}, now);
  NoteUnread(ledger);
  const GrantRequest request{program, RequestId("r"), Tokens(1000),
                             Tokens(100)};
  const GrantConditions conditions{.m_allow_partial = true};
  CHECK(RequestGrant(ledger, request, conditions, now).m_decision ==
        GrantDecision::kUnread);
  // The record reserves nothing meanwhile, and doesn't end the wait.
  const auto record = BeginRecord(ledger, now);
  CHECK(record.m_bounds.at(program) == Tokens(600));
  NoteRecorded(ledger, record);
  CHECK(RequestGrant(ledger, request, conditions, now).m_decision ==
        GrantDecision::kUnread);
  NoteRead(ledger, {{{program, Tokens(newer_bound)}}, {}});
  NoteRecorded(ledger, BeginRecord(ledger, now));
  const auto grant = RequestGrant(ledger, request, {}, now);
  CHECK(grant.m_decision == (newer_bound > 900 ? GrantDecision::kBudgetSpent
                                               : GrantDecision::kGranted));
}

TEST_CASE("programs that begin while a journal is unread get turns") {
  const auto now = SteadyTime();
  ProgramLedger ledger;
  AdoptRecord(ledger, {{{ProgramId("p"), Tokens(600)}}, {}}, now);
  NoteUnread(ledger);
  const GrantRequest request{ProgramId("q"), RequestId("r"), Tokens(1000),
                             Tokens(100)};
  CHECK(RequestGrant(ledger, request, {}, now).m_decision ==
        GrantDecision::kNeedsRecord);
  NoteRecorded(ledger, BeginRecord(ledger, now));
  CHECK(RequestGrant(ledger, request, {}, now).m_decision ==
        GrantDecision::kGranted);
}

}  // namespace
}  // namespace dotterelshed
