#include <catch2/catch.hpp>

#include "core_test_harness.h"

namespace dotterelshed::core_test {
namespace {

using std::chrono::milliseconds;

TEST_CASE("a call runs only after its reservation is confirmed") {
  CoreTestHarness harness;
  harness.HandleEvent(0, CallArrived{harness.MakeCall("r1", 1)});
  CHECK(harness.Drop<ReserveRequest>() == 1);
  CHECK(harness.m_starts.empty());
  harness.Advance(milliseconds(250));
  harness.DeliverAll();
  CHECK(harness.m_starts.size() == 1);
}

TEST_CASE("without reserve_before_run a call runs unconfirmed") {
  CoreTestHarnessOptions options;
  options.m_core.m_mechanisms.m_reserve_before_run = false;
  CoreTestHarness harness(options);
  harness.HandleEvent(0, CallArrived{harness.MakeCall("r1", 1)});
  CHECK(harness.Drop<ReserveRequest>() == 1);
  CHECK(harness.m_starts.size() == 1);
}

TEST_CASE("an answer is released exactly once, after its turn is confirmed") {
  CoreTestHarness harness;
  harness.HandleEvent(0, CallArrived{harness.MakeCall("r1", 1)});
  harness.DeliverAll();
  harness.FinishLastAttempt(0, AttemptEnd::kCompleted, "hello");
  CHECK(harness.Drop<AppendRequest>() == 1);
  CHECK(harness.m_answers.empty());
  harness.Advance(milliseconds(250));
  auto doubled = harness.m_peer_messages;
  harness.DeliverAll();
  harness.m_peer_messages = doubled;
  harness.DeliverAll();
  REQUIRE(harness.m_answers.size() == 1);
  CHECK(harness.m_answers[0].m_body == "hello");
  REQUIRE(harness.m_answers[0].m_token);
  CHECK(harness.m_answers[0].m_token->m_holders ==
        std::vector{harness.ref(0), harness.ref(1)});
  CHECK(harness.pool(1)
            .m_store.m_programs.at(ProgramId("d.1"))
            .m_record.m_turns.size() == 1);
}

TEST_CASE("a repeated turn returns the stored answer and does not run again") {
  CoreTestHarness harness;
  harness.RunTurn(0, 1);
  harness.HandleEvent(0, CallArrived{harness.MakeCall("again", 1)});
  REQUIRE(harness.m_answers.size() == 2);
  CHECK(harness.m_answers[1].m_request == RequestId("again"));
  CHECK(harness.m_answers[1].m_body == "answer1");
  CHECK(harness.m_starts.size() == 1);
}

TEST_CASE("a turn that does not follow the history is refused") {
  CoreTestHarness harness;
  harness.RunTurn(0, 1);
  auto other = harness.MakeCall("other", 1);
  other.m_content = Digest("something else");
  harness.HandleEvent(0, CallArrived{other});
  CHECK(harness.m_answers.back().m_reason == ReasonCode::kTurnOutOfOrder);
  harness.HandleEvent(0, CallArrived{harness.MakeCall("early", 3)});
  CHECK(harness.m_answers.back().m_reason == ReasonCode::kTurnOutOfOrder);
  auto forged = harness.MakeCall("forged", 2);
  forged.m_token->m_chain = Digest("another chain");
  forged.m_token->m_holders = {harness.ref(0)};
  harness.HandleEvent(0, CallArrived{forged});
  CHECK(harness.m_answers.back().m_reason == ReasonCode::kBadToken);
  CHECK(harness.m_starts.size() == 1);
}

TEST_CASE("without check_token a forged token is answered") {
  CoreTestHarnessOptions options;
  options.m_core.m_mechanisms.m_check_token = false;
  CoreTestHarness harness(options);
  harness.RunTurn(0, 1);
  auto forged = harness.MakeCall("forged", 2);
  forged.m_token->m_chain = Digest("another chain");
  harness.HandleEvent(0, CallArrived{forged});
  harness.DeliverAll();
  CHECK(harness.m_starts.size() == 2);
}

TEST_CASE("concurrent identical calls run once and both get the answer") {
  CoreTestHarness harness;
  harness.HandleEvent(0, CallArrived{harness.MakeCall("a", 1)});
  harness.HandleEvent(0, CallArrived{harness.MakeCall("b", 1)});
  harness.DeliverAll();
  CHECK(harness.m_starts.size() == 1);
  harness.FinishLastAttempt(0, AttemptEnd::kCompleted, "x");
  harness.DeliverAll();
  REQUIRE(harness.m_answers.size() == 2);
  CHECK(harness.m_answers[0].m_body == harness.m_answers[1].m_body);
}

TEST_CASE("a call exceeding the budget is refused as not run") {
  CoreTestHarnessOptions options;
  options.m_budget = Cost(150);
  CoreTestHarness harness(options);
  harness.RunTurn(0, 1);
  auto call = harness.MakeCall("r2", 2);
  call.m_cost_bound = Cost(141);
  harness.HandleEvent(0, CallArrived{call});
  CHECK(harness.m_answers.back().m_reason == ReasonCode::kBudgetExceeded);
  CHECK(harness.m_answers.back().m_outcome == OutcomeKind::kNotRun);
  call.m_request = RequestId("r3");
  call.m_cost_bound = Cost(140);
  harness.HandleEvent(0, CallArrived{call});
  harness.DeliverAll();
  CHECK(harness.m_starts.size() == 2);
}

TEST_CASE("a sub-agent spends from its root's budget") {
  CoreTestHarnessOptions options;
  options.m_budget = Cost(150);
  CoreTestHarness harness(options);
  harness.HandleEvent(0, CallArrived{harness.MakeCall("root", 1)});
  auto child = harness.MakeCall("child", 1);
  child.m_program = ProgramId("d.2");
  child.m_parent = ProgramId("d.1");
  harness.HandleEvent(0, CallArrived{child});
  REQUIRE(harness.m_answers.size() == 1);
  CHECK(harness.m_answers[0].m_reason == ReasonCode::kBudgetExceeded);
}

TEST_CASE(
    "calls beyond the program or turn limit get a specific refusal reason") {
  CoreTestHarnessOptions options;
  options.m_core.m_max_programs = 1;
  CoreTestHarness harness(options);
  auto other = harness.MakeCall("r", 1);
  harness.RunTurn(0, 1);
  other.m_program = ProgramId("d.2");
  other.m_root = ProgramId("d.2");
  harness.HandleEvent(0, CallArrived{other});
  CHECK(harness.m_answers.back().m_reason == ReasonCode::kOverLimit);
  for (auto turn = 2; turn <= 6; ++turn) {
    CHECK(harness.RunTurn(0, turn).m_outcome == OutcomeKind::kDone);
  }
  harness.HandleEvent(0, CallArrived{harness.MakeCall("r7", 7)});
  CHECK(harness.m_answers.back().m_reason == ReasonCode::kOverLimit);
  harness.HandleEvent(0, CallArrived{harness.MakeCall("r8", 7)});
  CHECK(harness.m_answers.back().m_reason == ReasonCode::kProgramEnded);
}

TEST_CASE("identical calls in a row end the program") {
  CoreTestHarness harness;
  for (auto turn = 1; turn <= 4; ++turn) {
    auto call = harness.MakeCall("r" + std::to_string(turn), turn);
    call.m_content = Digest("the same");
    harness.HandleEvent(0, CallArrived{call});
    harness.DeliverAll();
    if (turn < 4) {
      harness.FinishLastAttempt(0, AttemptEnd::kCompleted, "x");
      harness.DeliverAll();
      harness.m_token = harness.m_answers.back().m_token;
    }
  }
  CHECK(harness.m_answers.back().m_reason == ReasonCode::kLoopDetected);
  CHECK(harness.m_starts.size() == 3);
}

TEST_CASE(
    "a repeat of a turn whose answer was dropped gets an unknown outcome") {
  CoreTestHarnessOptions options;
  options.m_core.m_max_stored_answers = 1;
  CoreTestHarness harness(options);
  harness.RunTurn(0, 1);
  harness.RunTurn(0, 2);
  harness.HandleEvent(0, CallArrived{harness.MakeCall("again", 1)});
  CHECK(harness.m_answers.back().m_outcome == OutcomeKind::kUnknown);
  CHECK(harness.m_answers.back().m_reason == ReasonCode::kOverLimit);
}

TEST_CASE(
    "a program idle beyond its limit is ended on primary and copy holder") {
  CoreTestHarness harness;
  harness.RunTurn(0, 1);
  harness.Advance(std::chrono::minutes(11));
  harness.Advance(milliseconds(20));
  harness.DeliverAll();
  for (const auto host : {0, 1}) {
    CHECK(harness.pool(host)
              .m_store.m_programs.at(ProgramId("d.1"))
              .m_record.m_ended);
  }
}

TEST_CASE("a call whose claim can't be read ends with an unknown outcome") {
  CoreTestHarness harness;
  auto call = harness.MakeCall("r1", 1);
  call.m_service = ServiceId("book");
  call.m_kind = ServiceKind::kPlain;
  call.m_repeatable = false;
  call.m_key = IdempotencyKey("order-7");
  harness.HandleEvent(0, CallArrived{call});
  harness.DeliverAll();
  for (auto i = 0; i < 400 && harness.m_answers.empty(); ++i) {
    harness.Advance(milliseconds(20));  // The platform never responds.
    harness.DeliverAll();
  }
  REQUIRE(harness.m_answers.size() == 1);
  CHECK(harness.m_answers[0].m_outcome == OutcomeKind::kUnknown);
  CHECK(harness.m_starts.empty());
}

}  // namespace
}  // namespace dotterelshed::core_test
