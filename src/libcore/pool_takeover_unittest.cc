#include <catch2/catch.hpp>

#include "budget_ledger.h"
#include "copy_target.h"
#include "core_bench.h"

namespace dotterelshed::bench {
namespace {

using std::chrono::milliseconds;

const ProgramId kProgram("d.1");

auto TurnsAt(Bench& bench, int host) -> std::size_t {
  return bench.pool(host)
      .m_store.m_programs.at(kProgram)
      .m_record.m_turns.size();
}

TEST_CASE("a primary that was replaced releases nothing of the old term") {
  Bench bench;
  bench.Give(0, CallArrived{bench.MakeCall("r1", 1)});
  bench.DeliverAll();
  bench.MovePool(1, 0);
  bench.FinishLast(0, AttemptEnd::kCompleted, "late");
  bench.DeliverAll();
  REQUIRE(bench.m_answers.size() == 1);
  CHECK(bench.m_answers[0].m_outcome == OutcomeKind::kUnknown);
  CHECK_FALSE(bench.m_answers[0].m_token);
}

TEST_CASE("a paused primary's reservation and append are refused") {
  for (const auto on : {true, false}) {
    BenchOptions options{.m_hosts = 3};
    options.m_core.m_mechanisms.m_refuse_old_terms = on;
    Bench bench(options);
    bench.RunTurn(0, 1);
    bench.Give(0, CallArrived{bench.MakeCall("r2", 2)});
    bench.DeliverAll();
    bench.FinishLast(0, AttemptEnd::kCompleted, "late");
    const auto late = bench.m_mail;  // The append, delayed.
    bench.m_mail.clear();
    // Host 1 learns of its successor, host 0 does not.
    bench.Give(1, PeerArrived{CollectRequest{.m_pool = PoolId("d/0"),
                                             .m_term = Term(2),
                                             .m_from = bench.ref(2)}});
    bench.m_mail = late;
    bench.DeliverAll();
    CHECK(bench.m_answers.size() == (on ? 1U : 2U));
  }
}

TEST_CASE("a call under way goes on when the table drops the copy holder") {
  Bench bench;
  bench.Give(0, CallArrived{bench.MakeCall("r1", 1)});
  REQUIRE(bench.Drop<ReserveRequest>() == 1);
  bench.MovePool(0, -1);
  bench.DeliverAll();
  CHECK(bench.m_answers.empty());
  REQUIRE(bench.m_starts.size() == 1);
  bench.FinishLast(0, AttemptEnd::kCompleted, "hello");
  bench.DeliverAll();
  REQUIRE(bench.m_answers.size() == 1);
  CHECK(bench.m_answers[0].m_outcome == OutcomeKind::kDone);
}

TEST_CASE("reservations of a lost primary count as spent") {
  Bench bench;
  bench.Give(0, CallArrived{bench.MakeCall("r1", 1)});
  bench.DeliverAll();
  bench.MovePool(1, -1);
  bench.DeliverAll();
  const auto& ledger = bench.pool(1).m_store.m_ledgers.at(kProgram);
  CHECK(pvt::TotalSpent(ledger) == Cost(100));
}

TEST_CASE("a call that the lost copy holder left unconfirmed runs without it") {
  Bench bench;
  bench.RunTurn(0, 1);
  bench.Give(0, CallArrived{bench.MakeCall("r2", 2)});
  CHECK(bench.Drop<ReserveRequest>() == 1);
  bench.MovePool(0, -1);
  bench.DeliverAll();
  bench.Advance(milliseconds(250));
  bench.DeliverAll();
  CHECK(bench.m_answers.size() == 1);
  CHECK(bench.m_starts.size() == 2);
}

TEST_CASE("a new primary serves after its holder has the whole state") {
  Bench bench({.m_hosts = 3});
  bench.RunTurn(0, 1);
  bench.MovePool(1, 2);
  bench.Give(1, CallArrived{bench.MakeCall("again", 1)});
  CHECK(bench.m_answers.size() == 1);
  bench.DeliverAll();
  REQUIRE(bench.m_answers.size() == 2);
  CHECK(bench.m_answers[1].m_body == "answer1");
  CHECK(TurnsAt(bench, 2) == 1);
}

TEST_CASE("a change that came with the whole copy is confirmed") {
  Bench bench({.m_hosts = 3});
  bench.Give(0, CallArrived{bench.MakeCall("r1", 1)});
  bench.DeliverAll();
  bench.FinishLast(0, AttemptEnd::kCompleted, "x");
  CHECK(bench.Drop<AppendRequest>() == 1);
  bench.MovePool(0, 2);  // Host 1 is lost; host 0 stays.
  bench.DeliverAll();
  bench.Advance(milliseconds(250));
  bench.DeliverAll();
  REQUIRE(bench.m_answers.size() == 1);
  CHECK(bench.m_answers[0].m_outcome == OutcomeKind::kDone);
  CHECK(TurnsAt(bench, 2) == 1);
}

TEST_CASE("a copy never shortens its receiver's chain") {
  Bench bench;
  bench.RunTurn(0, 1);
  auto& holder = bench.pool(1).m_store.m_programs.at(kProgram).m_record;
  TurnRecord more{.m_turn = Turn(2),
                  .m_content = Digest("content2"),
                  .m_chain = Digest("unacknowledged"),
                  .m_outcome = OutcomeKind::kDone,
                  .m_answer = "answer2"};
  holder.m_turns.push_back(more);
  bench.MovePool(0, 1);
  bench.DeliverAll();
  CHECK(TurnsAt(bench, 1) == 2);
  CHECK(TurnsAt(bench, 0) == 2);
  bench.Give(0, CallArrived{bench.MakeCall("r2", 2)});
  CHECK(bench.m_answers.back().m_body == "answer2");
  CHECK(bench.m_starts.size() == 1);
}

/// Host 1 finds the platform down and host 0 silent.
auto LosePrimaryInOutage(Bench& bench) -> void {
  auto& core = *bench.m_cores[1];
  core.m_platform_reachable = false;
  core.m_live.clear();
  core.m_failure_detection_resumes = TimePoint();
  bench.pool(1).m_mode = pvt::CopyMode::kAlone;
}

TEST_CASE("a copy holder does not answer a repeat from its copy") {
  for (const auto on : {true, false}) {
    BenchOptions options;
    options.m_core.m_mechanisms.m_holder_withholds_repeats = on;
    Bench bench(options);
    bench.RunTurn(0, 1);
    LosePrimaryInOutage(bench);
    bench.Give(1, CallArrived{bench.MakeCall("again", 1)});
    REQUIRE(bench.m_answers.size() == 2);
    CHECK(bench.m_answers[1].m_token.has_value() == !on);
    CHECK((bench.m_answers[1].m_reason == ReasonCode::kNotOwner) == on);
  }
}

TEST_CASE("in an outage the copy holder serves repeatable calls, marked so") {
  Bench bench;
  bench.RunTurn(0, 1);
  LosePrimaryInOutage(bench);
  bench.Give(1, CallArrived{bench.MakeCall("r2", 2)});
  REQUIRE(bench.m_starts.size() == 2);
  bench.FinishLast(1, AttemptEnd::kCompleted, "answer2");
  REQUIRE(bench.m_answers.size() == 2);
  CHECK(bench.m_answers[1].m_outcome == OutcomeKind::kDone);
  CHECK(bench.m_answers[1].m_provisional);
  const auto& ledger = bench.pool(1).m_store.m_ledgers.at(kProgram);
  CHECK(pvt::EscrowLeft(ledger, bench.ref(1), Term(1)) == Cost(240));

  // The primary was alive after all: it takes the longer history over.
  bench.m_token = bench.m_answers[1].m_token;
  bench.Give(0, CallArrived{bench.MakeCall("r3", 3)});
  bench.DeliverAll();
  CHECK(bench.m_starts.size() == 3);
  CHECK(TurnsAt(bench, 0) == 2);
}

TEST_CASE("in an outage the holder leaves a program with an open call alone") {
  Bench bench;
  bench.Give(0, CallArrived{bench.MakeCall("r1", 1)});
  bench.DeliverAll();
  LosePrimaryInOutage(bench);
  bench.Give(1, CallArrived{bench.MakeCall("r2", 1)});
  REQUIRE(bench.m_answers.size() == 1);
  CHECK(bench.m_answers[0].m_reason == ReasonCode::kNotOwner);
  CHECK(bench.m_answers[0].m_outcome == OutcomeKind::kUnknown);
}

TEST_CASE("in an outage the holder does not run what runs at most once") {
  Bench bench;
  bench.RunTurn(0, 1);
  LosePrimaryInOutage(bench);
  auto call = bench.MakeCall("r2", 2);
  call.m_repeatable = false;
  call.m_service = ServiceId("book");
  bench.Give(1, CallArrived{call});
  REQUIRE(bench.m_answers.size() == 2);
  CHECK(bench.m_answers[1].m_reason == ReasonCode::kNoPlatform);
  CHECK(bench.m_starts.size() == 1);
}

TEST_CASE("a holder that passed a program on still takes its primary's turn") {
  Bench bench;
  bench.Give(0, CallArrived{bench.MakeCall("r1", 1)});
  bench.DeliverAll();
  auto& record = bench.pool(1).m_store.m_programs.at(kProgram).m_record;
  record.m_writer = bench.ref(1);
  record.m_sequence = 99;
  bench.FinishLast(0, AttemptEnd::kCompleted, "x");
  bench.DeliverAll();
  REQUIRE(bench.m_answers.size() == 1);
  CHECK(bench.m_answers[0].m_outcome == OutcomeKind::kDone);
}

TEST_CASE("a draining copy holder begins no provisional call") {
  Bench bench;
  bench.RunTurn(0, 1);
  bench.m_cores[1]->m_draining = true;
  LosePrimaryInOutage(bench);
  bench.Give(1, CallArrived{bench.MakeCall("r2", 2)});
  REQUIRE(bench.m_answers.size() == 2);
  CHECK(bench.m_answers[1].m_reason == ReasonCode::kNotOwner);
  CHECK(bench.m_answers[1].m_outcome == OutcomeKind::kNotRun);
  CHECK(bench.m_starts.size() == 1);
}

/// Host 0, a primary, finds the platform down and its copy holder silent; only
/// host 2 is left beside it.
auto LoseHolderInOutage(Bench& bench) -> void {
  auto& core = *bench.m_cores[0];
  core.m_platform_reachable = false;
  core.m_live = {{.m_host = bench.ref(2), .m_alive = true}};
  core.m_failure_detection_resumes = TimePoint();
  Effects effects;
  pvt::StepContext step{core, bench.m_now, effects};
  pvt::ChooseTarget(step, bench.pool(0));
  for (const auto& effect : effects) {
    const auto& send = std::get<SendPeer>(effect);
    REQUIRE(send.m_to == bench.ref(2).m_host);
    bench.m_mail.push_back({0, 2, send.m_message});
  }
}

TEST_CASE("a stored answer is repeated once the spare has it") {
  Bench bench({.m_hosts = 3});
  bench.RunTurn(0, 1);
  LoseHolderInOutage(bench);
  REQUIRE(bench.pool(0).m_target == bench.ref(2));
  bench.Give(0, CallArrived{bench.MakeCall("again", 1)});
  REQUIRE(bench.m_answers.size() == 2);
  CHECK_FALSE(bench.m_answers[1].m_token);
  bench.DeliverAll();
  REQUIRE(TurnsAt(bench, 2) == 1);
  bench.Give(0, CallArrived{bench.MakeCall("again2", 1)});
  REQUIRE(bench.m_answers.size() == 3);
  CHECK(bench.m_answers[2].m_body == "answer1");
  CHECK(bench.m_starts.size() == 1);
}

TEST_CASE("a turn that a spare confirms is marked provisional") {
  Bench bench({.m_hosts = 3});
  bench.Give(0, CallArrived{bench.MakeCall("r1", 1)});
  bench.DeliverAll();
  bench.FinishLast(0, AttemptEnd::kCompleted, "hello");
  REQUIRE(bench.Drop<AppendRequest>() == 1);
  LoseHolderInOutage(bench);
  CHECK(bench.m_answers.empty());
  bench.DeliverAll();
  REQUIRE(bench.m_answers.size() == 1);
  CHECK(bench.m_answers[0].m_body == "hello");
  CHECK(bench.m_answers[0].m_provisional);
  CHECK(bench.pool(2)
            .m_store.m_programs.at(kProgram)
            .m_record.m_turns.back()
            .m_provisional);
}

TEST_CASE("a call under way does not use its escrow for a second one") {
  BenchOptions options;
  options.m_budget = Cost(400);
  Bench bench(options);
  auto& core = *bench.m_cores[0];
  core.m_platform_reachable = false;
  core.m_live.clear();
  bench.Advance(milliseconds(20));
  auto& pool = bench.pool(0);
  pool.m_mode = pvt::CopyMode::kAlone;
  bench.Give(0, CallArrived{bench.MakeCall("r1", 1)});
  REQUIRE(bench.m_starts.size() == 1);  // Runs on host 0's own 100.
  pool.m_mode = pvt::CopyMode::kHolder;
  pool.m_target = bench.ref(1);
  core.m_platform_reachable = true;
  auto other = bench.MakeCall("r2", 1);
  other.m_program = ProgramId("d.2");
  other.m_cost_bound = Cost(301);
  bench.Give(0, CallArrived{other});
  REQUIRE(bench.m_answers.size() == 1);
  CHECK(bench.m_answers[0].m_reason == ReasonCode::kBudgetExceeded);
}

TEST_CASE("a history that only the token's holders have is fetched") {
  Bench bench({.m_hosts = 3});
  bench.RunTurn(0, 1);
  bench.pool(1).m_store = {};
  bench.MovePool(2, 1);
  bench.Drop<CollectRequest>();
  bench.DeliverAll();
  bench.Advance(std::chrono::seconds(3));
  bench.m_mail.clear();
  bench.Advance(milliseconds(250));
  bench.DeliverAll();
  bench.Give(2, CallArrived{bench.MakeCall("r2", 2)});
  bench.DeliverAll();
  REQUIRE(bench.m_starts.size() == 2);
  bench.FinishLast(2, AttemptEnd::kCompleted, "answer2");
  bench.DeliverAll();
  CHECK(bench.m_answers.back().m_outcome == OutcomeKind::kDone);
  CHECK(TurnsAt(bench, 1) == 2);
}

TEST_CASE("a takeover without a complete copy asks the former owners") {
  Bench bench({.m_hosts = 3});
  bench.RunTurn(0, 1);
  DomainDigest down{.m_from = bench.ref(0),
                    .m_table_version = bench.m_table.m_version,
                    .m_update_number = 100,
                    .m_all_members = true};
  for (const auto host : {0, 1, 2}) {
    down.m_members.push_back({.m_host = bench.ref(host), .m_alive = host == 2});
  }
  bench.Give(2, PeerArrived{down});
  REQUIRE(bench.m_cores[2]->m_live.size() == 1);
  bench.MovePool(2, -1);
  CHECK(bench.Count<CollectRequest>(0) == 1);
  CHECK(bench.Count<CollectRequest>(1) == 1);
  bench.DeliverAll();
  CHECK(TurnsAt(bench, 2) == 1);
}

TEST_CASE("refused changes lead to one copy per retry interval") {
  Bench bench;
  bench.RunTurn(0, 1);
  bench.pool(1).m_store = {};
  bench.Give(0, CallArrived{bench.MakeCall("r2", 2)});
  auto doubled = bench.m_mail;
  doubled.insert(doubled.end(), bench.m_mail.begin(), bench.m_mail.end());
  bench.m_mail = doubled;
  auto copies = 0;
  for (auto i = 0; i < 100 && !bench.m_mail.empty(); ++i) {
    const auto mail = bench.m_mail.front();
    bench.m_mail.pop_front();
    copies += std::holds_alternative<StateCopy>(mail.m_message) ? 1 : 0;
    bench.Give(mail.m_to, PeerArrived{mail.m_message});
  }
  CHECK(copies == 1);
  CHECK(bench.m_starts.size() == 2);
}

TEST_CASE("a change carries what its sender has learned of spending since") {
  Bench bench;
  bench.RunTurn(0, 1);
  auto& ledger = bench.pool(1).m_store.m_ledgers.at(kProgram);
  pvt::AddSpend(ledger, bench.ref(1), Term(1), true, Cost(50));
  bench.Give(0, CallArrived{bench.MakeCall("r2", 2)});
  bench.DeliverAll();
  CHECK(bench.m_starts.size() == 2);
  const auto& known = bench.pool(0).m_store.m_ledgers.at(kProgram);
  CHECK(pvt::TotalSpent(known) == Cost(60));
}

}  // namespace
}  // namespace dotterelshed::bench
