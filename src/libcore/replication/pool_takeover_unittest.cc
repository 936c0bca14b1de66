#include <catch2/catch.hpp>

#include "core_test_harness.h"
#include "program/budget_ledger.h"
#include "replication/copy_target.h"

namespace dotterelshed::core_test {
namespace {

using std::chrono::milliseconds;

const ProgramId kProgram("d.1");

auto TurnsAt(CoreTestHarness& harness, int host) -> std::size_t {
  return harness.pool(host)
      .m_store.m_programs.at(kProgram)
      .m_record.m_turns.size();
}

TEST_CASE("a replaced primary releases no answer of the old term") {
  CoreTestHarness harness;
  harness.HandleEvent(0, CallArrived{harness.MakeCall("r1", 1)});
  harness.DeliverAll();
  harness.ReassignPool(1, 0);
  harness.FinishLastAttempt(0, AttemptEnd::kCompleted, "late");
  harness.DeliverAll();
  REQUIRE(harness.m_answers.size() == 1);
  CHECK(harness.m_answers[0].m_outcome == OutcomeKind::kUnknown);
  CHECK_FALSE(harness.m_answers[0].m_token);
}

TEST_CASE("a late append of a paused primary is refused after a new term") {
  for (const auto on : {true, false}) {
    CoreTestHarnessOptions options{.m_hosts = 3};
    options.m_core.m_mechanisms.m_refuse_old_terms = on;
    CoreTestHarness harness(options);
    harness.RunTurn(0, 1);
    harness.HandleEvent(0, CallArrived{harness.MakeCall("r2", 2)});
    harness.DeliverAll();
    harness.FinishLastAttempt(0, AttemptEnd::kCompleted, "late");
    const auto late = harness.m_peer_messages;  // The append, delayed.
    harness.m_peer_messages.clear();
    // Host 1 learns of the next term, host 0 does not.
    harness.HandleEvent(1,
                        PeerArrived{CollectRequest{.m_pool = PoolId("d/0"),
                                                   .m_term = Term(2),
                                                   .m_from = harness.ref(2)}});
    harness.m_peer_messages = late;
    harness.DeliverAll();
    CHECK(harness.m_answers.size() == (on ? 1U : 2U));
  }
}

TEST_CASE("a call continues when the table removes the copy holder") {
  CoreTestHarness harness;
  harness.HandleEvent(0, CallArrived{harness.MakeCall("r1", 1)});
  REQUIRE(harness.Drop<ReserveRequest>() == 1);
  harness.ReassignPool(0, -1);
  harness.DeliverAll();
  CHECK(harness.m_answers.empty());
  REQUIRE(harness.m_starts.size() == 1);
  harness.FinishLastAttempt(0, AttemptEnd::kCompleted, "hello");
  harness.DeliverAll();
  REQUIRE(harness.m_answers.size() == 1);
  CHECK(harness.m_answers[0].m_outcome == OutcomeKind::kDone);
}

TEST_CASE("reservations of a lost primary count as spent") {
  CoreTestHarness harness;
  harness.HandleEvent(0, CallArrived{harness.MakeCall("r1", 1)});
  harness.DeliverAll();
  harness.ReassignPool(1, -1);
  harness.DeliverAll();
  const auto& ledger = harness.pool(1).m_store.m_ledgers.at(kProgram);
  CHECK(pvt::TotalSpent(ledger) == Cost(100));
}

TEST_CASE("a call unconfirmed by a lost copy holder runs once it is removed") {
  CoreTestHarness harness;
  harness.RunTurn(0, 1);
  harness.HandleEvent(0, CallArrived{harness.MakeCall("r2", 2)});
  CHECK(harness.Drop<ReserveRequest>() == 1);
  harness.ReassignPool(0, -1);
  harness.DeliverAll();
  harness.Advance(milliseconds(250));
  harness.DeliverAll();
  CHECK(harness.m_answers.size() == 1);
  CHECK(harness.m_starts.size() == 2);
}

TEST_CASE("a new primary serves only after its holder has the whole state") {
  CoreTestHarness harness({.m_hosts = 3});
  harness.RunTurn(0, 1);
  harness.ReassignPool(1, 2);
  harness.HandleEvent(1, CallArrived{harness.MakeCall("again", 1)});
  CHECK(harness.m_answers.size() == 1);
  harness.DeliverAll();
  REQUIRE(harness.m_answers.size() == 2);
  CHECK(harness.m_answers[1].m_body == "answer1");
  CHECK(TurnsAt(harness, 2) == 1);
}

TEST_CASE("a change that the new holder got with the state copy is confirmed") {
  CoreTestHarness harness({.m_hosts = 3});
  harness.HandleEvent(0, CallArrived{harness.MakeCall("r1", 1)});
  harness.DeliverAll();
  harness.FinishLastAttempt(0, AttemptEnd::kCompleted, "x");
  CHECK(harness.Drop<AppendRequest>() == 1);
  harness.ReassignPool(0, 2);  // Host 1 is lost; host 0 stays.
  harness.DeliverAll();
  harness.Advance(milliseconds(250));
  harness.DeliverAll();
  REQUIRE(harness.m_answers.size() == 1);
  CHECK(harness.m_answers[0].m_outcome == OutcomeKind::kDone);
  CHECK(TurnsAt(harness, 2) == 1);
}

TEST_CASE("a state copy never shortens the receiver's chain") {
  CoreTestHarness harness;
  harness.RunTurn(0, 1);
  auto& holder = harness.pool(1).m_store.m_programs.at(kProgram).m_record;
  TurnRecord more{.m_turn = Turn(2),
                  .m_content = Digest("content2"),
                  .m_chain = Digest("unacknowledged"),
                  .m_outcome = OutcomeKind::kDone,
                  .m_answer = "answer2"};
  holder.m_turns.push_back(more);
  harness.ReassignPool(0, 1);
  harness.DeliverAll();
  CHECK(TurnsAt(harness, 1) == 2);
  CHECK(TurnsAt(harness, 0) == 2);
  harness.HandleEvent(0, CallArrived{harness.MakeCall("r2", 2)});
  CHECK(harness.m_answers.back().m_body == "answer2");
  CHECK(harness.m_starts.size() == 1);
}

/// Makes host 1 see the platform as unreachable and host 0 as down.
auto LosePrimaryInOutage(CoreTestHarness& harness) -> void {
  auto& core = *harness.m_cores[1];
  core.m_platform_reachable = false;
  core.m_live.clear();
  core.m_failure_detection_resumes = TimePoint();
  harness.pool(1).m_mode = pvt::CopyMode::kAlone;
}

TEST_CASE("a copy holder does not answer a repeated call from its copy") {
  for (const auto on : {true, false}) {
    CoreTestHarnessOptions options;
    options.m_core.m_mechanisms.m_holder_withholds_repeats = on;
    CoreTestHarness harness(options);
    harness.RunTurn(0, 1);
    LosePrimaryInOutage(harness);
    harness.HandleEvent(1, CallArrived{harness.MakeCall("again", 1)});
    REQUIRE(harness.m_answers.size() == 2);
    CHECK(harness.m_answers[1].m_token.has_value() == !on);
    CHECK((harness.m_answers[1].m_reason == ReasonCode::kNotOwner) == on);
  }
}

TEST_CASE(
    "in an outage the copy holder serves repeatable calls provisionally") {
  CoreTestHarness harness;
  harness.RunTurn(0, 1);
  LosePrimaryInOutage(harness);
  harness.HandleEvent(1, CallArrived{harness.MakeCall("r2", 2)});
  REQUIRE(harness.m_starts.size() == 2);
  harness.FinishLastAttempt(1, AttemptEnd::kCompleted, "answer2");
  REQUIRE(harness.m_answers.size() == 2);
  CHECK(harness.m_answers[1].m_outcome == OutcomeKind::kDone);
  CHECK(harness.m_answers[1].m_provisional);
  const auto& ledger = harness.pool(1).m_store.m_ledgers.at(kProgram);
  CHECK(pvt::EscrowLeft(ledger, harness.ref(1), Term(1)) == Cost(240));

  // The primary is still alive and adopts the longer history.
  harness.m_token = harness.m_answers[1].m_token;
  harness.HandleEvent(0, CallArrived{harness.MakeCall("r3", 3)});
  harness.DeliverAll();
  CHECK(harness.m_starts.size() == 3);
  CHECK(TurnsAt(harness, 0) == 2);
}

TEST_CASE("in an outage the holder refuses a program with an open call") {
  CoreTestHarness harness;
  harness.HandleEvent(0, CallArrived{harness.MakeCall("r1", 1)});
  harness.DeliverAll();
  LosePrimaryInOutage(harness);
  harness.HandleEvent(1, CallArrived{harness.MakeCall("r2", 1)});
  REQUIRE(harness.m_answers.size() == 1);
  CHECK(harness.m_answers[0].m_reason == ReasonCode::kNotOwner);
  CHECK(harness.m_answers[0].m_outcome == OutcomeKind::kUnknown);
}

TEST_CASE("in an outage the holder refuses non-repeatable calls") {
  CoreTestHarness harness;
  harness.RunTurn(0, 1);
  LosePrimaryInOutage(harness);
  auto call = harness.MakeCall("r2", 2);
  call.m_repeatable = false;
  call.m_service = ServiceId("book");
  harness.HandleEvent(1, CallArrived{call});
  REQUIRE(harness.m_answers.size() == 2);
  CHECK(harness.m_answers[1].m_reason == ReasonCode::kNoPlatform);
  CHECK(harness.m_starts.size() == 1);
}

TEST_CASE(
    "a holder that last wrote a program still accepts its primary's turn") {
  CoreTestHarness harness;
  harness.HandleEvent(0, CallArrived{harness.MakeCall("r1", 1)});
  harness.DeliverAll();
  auto& record = harness.pool(1).m_store.m_programs.at(kProgram).m_record;
  record.m_writer = harness.ref(1);
  record.m_sequence = 99;
  harness.FinishLastAttempt(0, AttemptEnd::kCompleted, "x");
  harness.DeliverAll();
  REQUIRE(harness.m_answers.size() == 1);
  CHECK(harness.m_answers[0].m_outcome == OutcomeKind::kDone);
}

TEST_CASE("a draining copy holder starts no provisional call") {
  CoreTestHarness harness;
  harness.RunTurn(0, 1);
  harness.m_cores[1]->m_draining = true;
  LosePrimaryInOutage(harness);
  harness.HandleEvent(1, CallArrived{harness.MakeCall("r2", 2)});
  REQUIRE(harness.m_answers.size() == 2);
  CHECK(harness.m_answers[1].m_reason == ReasonCode::kNotOwner);
  CHECK(harness.m_answers[1].m_outcome == OutcomeKind::kNotRun);
  CHECK(harness.m_starts.size() == 1);
}

/// Makes host 0, the primary, see the platform as unreachable and its copy
/// holder as down; only host 2 is alive besides it.
auto LoseHolderInOutage(CoreTestHarness& harness) -> void {
  auto& core = *harness.m_cores[0];
  core.m_platform_reachable = false;
  core.m_live = {{.m_host = harness.ref(2), .m_alive = true}};
  core.m_failure_detection_resumes = TimePoint();
  Effects effects;
  pvt::StepContext step{core, harness.m_now, effects};
  pvt::ChooseTarget(step, harness.pool(0));
  for (const auto& effect : effects) {
    const auto& send = std::get<SendPeer>(effect);
    REQUIRE(send.m_to == harness.ref(2).m_host);
    harness.m_peer_messages.push_back({0, 2, send.m_message});
  }
}

TEST_CASE("a stored answer is repeated only after the spare has it") {
  CoreTestHarness harness({.m_hosts = 3});
  harness.RunTurn(0, 1);
  LoseHolderInOutage(harness);
  REQUIRE(harness.pool(0).m_target == harness.ref(2));
  harness.HandleEvent(0, CallArrived{harness.MakeCall("again", 1)});
  REQUIRE(harness.m_answers.size() == 2);
  CHECK_FALSE(harness.m_answers[1].m_token);
  harness.DeliverAll();
  REQUIRE(TurnsAt(harness, 2) == 1);
  harness.HandleEvent(0, CallArrived{harness.MakeCall("again2", 1)});
  REQUIRE(harness.m_answers.size() == 3);
  CHECK(harness.m_answers[2].m_body == "answer1");
  CHECK(harness.m_starts.size() == 1);
}

TEST_CASE("a turn that a spare confirmed is marked provisional") {
  CoreTestHarness harness({.m_hosts = 3});
  harness.HandleEvent(0, CallArrived{harness.MakeCall("r1", 1)});
  harness.DeliverAll();
  harness.FinishLastAttempt(0, AttemptEnd::kCompleted, "hello");
  REQUIRE(harness.Drop<AppendRequest>() == 1);
  LoseHolderInOutage(harness);
  CHECK(harness.m_answers.empty());
  harness.DeliverAll();
  REQUIRE(harness.m_answers.size() == 1);
  CHECK(harness.m_answers[0].m_body == "hello");
  CHECK(harness.m_answers[0].m_provisional);
  CHECK(harness.pool(2)
            .m_store.m_programs.at(kProgram)
            .m_record.m_turns.back()
            .m_provisional);
}

TEST_CASE("escrow reserved by an open call is not given to a second call") {
  CoreTestHarnessOptions options;
  options.m_budget = Cost(400);
  CoreTestHarness harness(options);
  auto& core = *harness.m_cores[0];
  core.m_platform_reachable = false;
  core.m_live.clear();
  harness.Advance(milliseconds(20));
  auto& pool = harness.pool(0);
  pool.m_mode = pvt::CopyMode::kAlone;
  harness.HandleEvent(0, CallArrived{harness.MakeCall("r1", 1)});
  REQUIRE(harness.m_starts.size() == 1);  // Runs on host 0's own 100.
  pool.m_mode = pvt::CopyMode::kHolder;
  pool.m_target = harness.ref(1);
  core.m_platform_reachable = true;
  auto other = harness.MakeCall("r2", 1);
  other.m_program = ProgramId("d.2");
  other.m_cost_bound = Cost(301);
  harness.HandleEvent(0, CallArrived{other});
  REQUIRE(harness.m_answers.size() == 1);
  CHECK(harness.m_answers[0].m_reason == ReasonCode::kBudgetExceeded);
}

TEST_CASE("a history that only the token's holders keep is fetched") {
  CoreTestHarness harness({.m_hosts = 3});
  harness.RunTurn(0, 1);
  harness.pool(1).m_store = {};
  harness.ReassignPool(2, 1);
  harness.Drop<CollectRequest>();
  harness.DeliverAll();
  harness.Advance(std::chrono::seconds(3));
  harness.m_peer_messages.clear();
  harness.Advance(milliseconds(250));
  harness.DeliverAll();
  harness.HandleEvent(2, CallArrived{harness.MakeCall("r2", 2)});
  harness.DeliverAll();
  REQUIRE(harness.m_starts.size() == 2);
  harness.FinishLastAttempt(2, AttemptEnd::kCompleted, "answer2");
  harness.DeliverAll();
  CHECK(harness.m_answers.back().m_outcome == OutcomeKind::kDone);
  CHECK(TurnsAt(harness, 1) == 2);
}

TEST_CASE("a takeover without a complete copy asks the former owners") {
  CoreTestHarness harness({.m_hosts = 3});
  harness.RunTurn(0, 1);
  DomainDigest down{.m_from = harness.ref(0),
                    .m_table_version = harness.m_table.m_version,
                    .m_update_number = 100,
                    .m_all_members = true};
  for (const auto host : {0, 1, 2}) {
    down.m_members.push_back(
        {.m_host = harness.ref(host), .m_alive = host == 2});
  }
  harness.HandleEvent(2, PeerArrived{down});
  REQUIRE(harness.m_cores[2]->m_live.size() == 1);
  harness.ReassignPool(2, -1);
  CHECK(harness.Count<CollectRequest>(0) == 1);
  CHECK(harness.Count<CollectRequest>(1) == 1);
  harness.DeliverAll();
  CHECK(TurnsAt(harness, 2) == 1);
}

TEST_CASE("refused changes cause one state copy per retry interval") {
  CoreTestHarness harness;
  harness.RunTurn(0, 1);
  harness.pool(1).m_store = {};
  harness.HandleEvent(0, CallArrived{harness.MakeCall("r2", 2)});
  auto doubled = harness.m_peer_messages;
  doubled.insert(doubled.end(), harness.m_peer_messages.begin(),
                 harness.m_peer_messages.end());
  harness.m_peer_messages = doubled;
  auto copies = 0;
  for (auto i = 0; i < 100 && !harness.m_peer_messages.empty(); ++i) {
    const auto mail = harness.m_peer_messages.front();
    harness.m_peer_messages.pop_front();
    copies += std::holds_alternative<StateCopy>(mail.m_message) ? 1 : 0;
    harness.HandleEvent(mail.m_to, PeerArrived{mail.m_message});
  }
  CHECK(copies == 1);
  CHECK(harness.m_starts.size() == 2);
}

TEST_CASE("a refused change is resent with the spending learned since") {
  CoreTestHarness harness;
  harness.RunTurn(0, 1);
  auto& ledger = harness.pool(1).m_store.m_ledgers.at(kProgram);
  pvt::AddSpend(ledger, harness.ref(1), Term(1), true, Cost(50));
  harness.HandleEvent(0, CallArrived{harness.MakeCall("r2", 2)});
  harness.DeliverAll();
  CHECK(harness.m_starts.size() == 2);
  const auto& known = harness.pool(0).m_store.m_ledgers.at(kProgram);
  CHECK(pvt::TotalSpent(known) == Cost(60));
}

}  // namespace
}  // namespace dotterelshed::core_test
