#include "call_codec.h"

#include <capnp/message.h>
#include <catch2/catch.hpp>

namespace dotterelshed {
namespace {

constexpr auto kSenderNow = TimePoint(Duration(1'000'000));
constexpr auto kReaderNow = TimePoint(Duration(5'000'000));

TEST_CASE("a call keeps its fields and its time left") {
  const CallRequest call{.m_request = RequestId("r"),
                         .m_program = ProgramId("west.1"),
                         .m_root = ProgramId("west.0"),
                         .m_parent = ProgramId("west.0"),
                         .m_turn = Turn(3),
                         .m_key = IdempotencyKey("k"),
                         .m_body = std::string("a\0b", 3),
                         .m_budget = Cost(7),
                         .m_deadline = kSenderNow + Duration(250),
                         .m_repeatable = false};
  capnp::MallocMessageBuilder message;
  auto builder = message.initRoot<wire::CallRequest>();
  WriteCall(call, kSenderNow, builder);
  const auto read = ReadCall(builder.asReader(), kReaderNow);
  CHECK(read.m_parent == call.m_parent);
  CHECK(read.m_turn == call.m_turn);
  CHECK(read.m_key == call.m_key);
  CHECK(read.m_body == call.m_body);
  CHECK(read.m_budget == call.m_budget);
  CHECK(read.m_deadline == kReaderNow + Duration(250));
  CHECK_FALSE(read.m_repeatable);
  CHECK_FALSE(read.m_token);
}

TEST_CASE("an answer keeps its outcome, token and retry time") {
  const CallAnswer answer{.m_request = RequestId("r"),
                          .m_outcome = OutcomeKind::kNotRun,
                          .m_reason = ReasonCode::kDraining,
                          .m_retry_after = Duration(5),
                          .m_token = ContinuationToken{
                              .m_program = ProgramId("west.1"),
                              .m_turn = Turn(2),
                              .m_chain = Digest("abc"),
                              .m_holders = {{HostId("h1"), Incarnation(4)}}}};
  capnp::MallocMessageBuilder message;
  auto builder = message.initRoot<wire::CallAnswer>();
  WriteAnswer(answer, builder);
  const auto read = ReadAnswer(builder.asReader());
  CHECK(read.m_outcome == answer.m_outcome);
  CHECK(read.m_reason == answer.m_reason);
  CHECK(read.m_retry_after == answer.m_retry_after);
  REQUIRE(read.m_token);
  CHECK(read.m_token->m_holders == answer.m_token->m_holders);
  CHECK(read.m_token->m_chain == answer.m_token->m_chain);
}

}  // namespace
}  // namespace dotterelshed
