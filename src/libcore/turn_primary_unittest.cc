#include <catch2/catch.hpp>

#include "core_bench.h"

namespace dotterelshed::bench {
namespace {

using std::chrono::milliseconds;

TEST_CASE("a call runs only after its reservation is confirmed") {
  Bench bench;
  bench.Give(0, CallArrived{bench.MakeCall("r1", 1)});
  CHECK(bench.Drop<ReserveRequest>() == 1);
  CHECK(bench.m_starts.empty());
  bench.Advance(milliseconds(250));
  bench.DeliverAll();
  CHECK(bench.m_starts.size() == 1);
}

TEST_CASE("without reserve_before_run a call runs unconfirmed") {
  BenchOptions options;
  options.m_core.m_mechanisms.m_reserve_before_run = false;
  Bench bench(options);
  bench.Give(0, CallArrived{bench.MakeCall("r1", 1)});
  CHECK(bench.Drop<ReserveRequest>() == 1);
  CHECK(bench.m_starts.size() == 1);
}

TEST_CASE("an answer is released exactly once, after its turn is confirmed") {
  Bench bench;
  bench.Give(0, CallArrived{bench.MakeCall("r1", 1)});
  bench.DeliverAll();
  bench.FinishLast(0, AttemptEnd::kCompleted, "hello");
  CHECK(bench.Drop<AppendRequest>() == 1);
  CHECK(bench.m_answers.empty());
  bench.Advance(milliseconds(250));
  auto doubled = bench.m_mail;
  bench.DeliverAll();
  bench.m_mail = doubled;
  bench.DeliverAll();
  REQUIRE(bench.m_answers.size() == 1);
  CHECK(bench.m_answers[0].m_body == "hello");
  REQUIRE(bench.m_answers[0].m_token);
  CHECK(bench.m_answers[0].m_token->m_holders ==
        std::vector{bench.ref(0), bench.ref(1)});
  CHECK(bench.pool(1)
            .m_store.m_programs.at(ProgramId("d.1"))
            .m_record.m_turns.size() == 1);
}

TEST_CASE("a repeated turn returns the stored answer and does not run again") {
  Bench bench;
  bench.RunTurn(0, 1);
  bench.Give(0, CallArrived{bench.MakeCall("again", 1)});
  REQUIRE(bench.m_answers.size() == 2);
  CHECK(bench.m_answers[1].m_request == RequestId("again"));
  CHECK(bench.m_answers[1].m_body == "answer1");
  CHECK(bench.m_starts.size() == 1);
}

TEST_CASE("a turn that does not follow the history is refused") {
  Bench bench;
  bench.RunTurn(0, 1);
  auto other = bench.MakeCall("other", 1);
  other.m_content = Digest("something else");
  bench.Give(0, CallArrived{other});
  CHECK(bench.m_answers.back().m_reason == ReasonCode::kTurnOutOfOrder);
  bench.Give(0, CallArrived{bench.MakeCall("early", 3)});
  CHECK(bench.m_answers.back().m_reason == ReasonCode::kTurnOutOfOrder);
  auto forged = bench.MakeCall("forged", 2);
  forged.m_token->m_chain = Digest("another chain");
  forged.m_token->m_holders = {bench.ref(0)};
  bench.Give(0, CallArrived{forged});
  CHECK(bench.m_answers.back().m_reason == ReasonCode::kBadToken);
  CHECK(bench.m_starts.size() == 1);
}

TEST_CASE("without check_token a forged token is answered") {
  BenchOptions options;
  options.m_core.m_mechanisms.m_check_token = false;
  Bench bench(options);
  bench.RunTurn(0, 1);
  auto forged = bench.MakeCall("forged", 2);
  forged.m_token->m_chain = Digest("another chain");
  bench.Give(0, CallArrived{forged});
  bench.DeliverAll();
  CHECK(bench.m_starts.size() == 2);
}

TEST_CASE("concurrent identical calls run once and both get the answer") {
  Bench bench;
  bench.Give(0, CallArrived{bench.MakeCall("a", 1)});
  bench.Give(0, CallArrived{bench.MakeCall("b", 1)});
  bench.DeliverAll();
  CHECK(bench.m_starts.size() == 1);
  bench.FinishLast(0, AttemptEnd::kCompleted, "x");
  bench.DeliverAll();
  REQUIRE(bench.m_answers.size() == 2);
  CHECK(bench.m_answers[0].m_body == bench.m_answers[1].m_body);
}

TEST_CASE("a call exceeding the budget is refused as not run") {
  BenchOptions options;
  options.m_budget = Cost(150);
  Bench bench(options);
  bench.RunTurn(0, 1);
  auto call = bench.MakeCall("r2", 2);
  call.m_cost_bound = Cost(141);
  bench.Give(0, CallArrived{call});
  CHECK(bench.m_answers.back().m_reason == ReasonCode::kBudgetExceeded);
  CHECK(bench.m_answers.back().m_outcome == OutcomeKind::kNotRun);
  call.m_request = RequestId("r3");
  call.m_cost_bound = Cost(140);
  bench.Give(0, CallArrived{call});
  bench.DeliverAll();
  CHECK(bench.m_starts.size() == 2);
}

TEST_CASE("a sub-agent spends from its root's budget") {
  BenchOptions options;
  options.m_budget = Cost(150);
  Bench bench(options);
  bench.Give(0, CallArrived{bench.MakeCall("root", 1)});
  auto child = bench.MakeCall("child", 1);
  child.m_program = ProgramId("d.2");
  child.m_parent = ProgramId("d.1");
  bench.Give(0, CallArrived{child});
  REQUIRE(bench.m_answers.size() == 1);
  CHECK(bench.m_answers[0].m_reason == ReasonCode::kBudgetExceeded);
}

TEST_CASE(
    "calls beyond the program or turn limit get a specific refusal reason") {
  BenchOptions options;
  options.m_core.m_max_programs = 1;
  Bench bench(options);
  auto other = bench.MakeCall("r", 1);
  bench.RunTurn(0, 1);
  other.m_program = ProgramId("d.2");
  other.m_root = ProgramId("d.2");
  bench.Give(0, CallArrived{other});
  CHECK(bench.m_answers.back().m_reason == ReasonCode::kOverLimit);
  for (auto turn = 2; turn <= 6; ++turn) {
    CHECK(bench.RunTurn(0, turn).m_outcome == OutcomeKind::kDone);
  }
  bench.Give(0, CallArrived{bench.MakeCall("r7", 7)});
  CHECK(bench.m_answers.back().m_reason == ReasonCode::kOverLimit);
  bench.Give(0, CallArrived{bench.MakeCall("r8", 7)});
  CHECK(bench.m_answers.back().m_reason == ReasonCode::kProgramEnded);
}

TEST_CASE("identical calls in a row end the program") {
  Bench bench;
  for (auto turn = 1; turn <= 4; ++turn) {
    auto call = bench.MakeCall("r" + std::to_string(turn), turn);
    call.m_content = Digest("the same");
    bench.Give(0, CallArrived{call});
    bench.DeliverAll();
    if (turn < 4) {
      bench.FinishLast(0, AttemptEnd::kCompleted, "x");
      bench.DeliverAll();
      bench.m_token = bench.m_answers.back().m_token;
    }
  }
  CHECK(bench.m_answers.back().m_reason == ReasonCode::kLoopDetected);
  CHECK(bench.m_starts.size() == 3);
}

TEST_CASE(
    "a repeat of a turn whose answer was dropped gets an unknown outcome") {
  BenchOptions options;
  options.m_core.m_max_stored_answers = 1;
  Bench bench(options);
  bench.RunTurn(0, 1);
  bench.RunTurn(0, 2);
  bench.Give(0, CallArrived{bench.MakeCall("again", 1)});
  CHECK(bench.m_answers.back().m_outcome == OutcomeKind::kUnknown);
  CHECK(bench.m_answers.back().m_reason == ReasonCode::kOverLimit);
}

TEST_CASE(
    "a program idle beyond its limit is ended on primary and copy holder") {
  Bench bench;
  bench.RunTurn(0, 1);
  bench.Advance(std::chrono::minutes(11));
  bench.Advance(milliseconds(20));
  bench.DeliverAll();
  for (const auto host : {0, 1}) {
    CHECK(bench.pool(host)
              .m_store.m_programs.at(ProgramId("d.1"))
              .m_record.m_ended);
  }
}

TEST_CASE("a call whose claim can't be read ends with an unknown outcome") {
  Bench bench;
  auto call = bench.MakeCall("r1", 1);
  call.m_service = ServiceId("book");
  call.m_kind = ServiceKind::kPlain;
  call.m_repeatable = false;
  call.m_key = IdempotencyKey("order-7");
  bench.Give(0, CallArrived{call});
  bench.DeliverAll();
  for (auto i = 0; i < 400 && bench.m_answers.empty(); ++i) {
    bench.Advance(milliseconds(20));  // The platform never responds.
    bench.DeliverAll();
  }
  REQUIRE(bench.m_answers.size() == 1);
  CHECK(bench.m_answers[0].m_outcome == OutcomeKind::kUnknown);
  CHECK(bench.m_starts.empty());
}

}  // namespace
}  // namespace dotterelshed::bench
