#include "turn_codec.h"

#include <capnp/message.h>

#include <catch2/catch.hpp>

namespace dotterelshed {
namespace {

const HostRef kHost{HostId("a1"), Incarnation(7)};

auto SampleRecord() -> TurnRecord {
  return {.m_turn = Turn(3),
          .m_request = RequestId("r3"),
          .m_content = Digest("c3"),
          .m_chain = Digest("d3"),
          .m_outcome = OutcomeKind::kFailed,
          .m_reason = ReasonCode::kEndpointError,
          .m_http_status = 502,
          .m_answer = std::string("a\0b", 3),
          .m_usage = {Tokens(1), Tokens(2), Tokens(3), Cost(4)},
          .m_provisional = true};
}

auto SampleReservation() -> Reservation {
  return {.m_request = RequestId("r4"),
          .m_turn = Turn(4),
          .m_amount = Cost(99),
          .m_host = kHost,
          .m_term = Term(5),
          .m_from_escrow = true};
}

auto SampleLedger() -> BudgetLedger {
  return {.m_root = ProgramId("d.1"),
          .m_budget = Cost(1000),
          .m_spends = {{kHost, Term(5), true, Cost(12)}},
          .m_escrows = {{kHost, Term(5), Cost(125)}}};
}

auto SampleHold() -> HoldRecord {
  return {HoldId("h"), EndpointId("e"), ProgramId("d.1"), true};
}

auto SampleProgram() -> ProgramRecord {
  return {.m_program = ProgramId("d.2"),
          .m_root = ProgramId("d.1"),
          .m_account = AccountId("acct"),
          .m_class = ClassId("night"),
          .m_sequence = 17,
          .m_writer = kHost,
          .m_term = Term(5),
          .m_last_attempted = Turn(4),
          .m_turns = {SampleRecord()},
          .m_open = SampleReservation(),
          .m_holds = {SampleHold()},
          .m_ended = true};
}

/// Writes @p message, reads it back and writes that again: equal bytes mean
/// that no field got lost, as long as the sample has no default values.
template <typename Wire, typename Message, typename Reader>
auto RoundTrip(const Message& message, Reader read) -> Message {
  capnp::MallocMessageBuilder first;
  WriteMessage(message, first.initRoot<Wire>());
  Message copy = read(first.getRoot<Wire>().asReader());
  capnp::MallocMessageBuilder second;
  WriteMessage(copy, second.initRoot<Wire>());
  CHECK(first.getRoot<Wire>().toString().flatten() ==
        second.getRoot<Wire>().toString().flatten());
  CHECK(copy.m_pool == message.m_pool);
  CHECK(copy.m_term == message.m_term);
  CHECK(copy.m_from == message.m_from);
  return copy;
}

const auto kRead = [](auto reader) { return ReadMessage(reader); };

TEST_CASE("requests of the turn protocol survive the wire") {
  const auto reserve = RoundTrip<turn_rpc::ReserveRequest>(
      ReserveRequest{PoolId("p"), Term(5), kHost, ProgramId("d.2"), 18,
                     SampleReservation(), Digest("d3"), SampleLedger(),
                     SampleProgram()},
      kRead);
  CHECK(reserve.m_reservation.m_amount == Cost(99));
  CHECK(reserve.m_reservation.m_from_escrow);
  CHECK(reserve.m_ledger.m_escrows.at(0).m_amount == Cost(125));
  REQUIRE(reserve.m_new_program);
  CHECK(reserve.m_new_program->m_open->m_request == RequestId("r4"));

  const auto append = RoundTrip<turn_rpc::AppendRequest>(
      AppendRequest{PoolId("p"), Term(5), kHost, ProgramId("d.2"), 19,
                    Digest("d2"), SampleRecord(), SampleLedger(),
                    std::vector{SampleHold()}, true},
      kRead);
  REQUIRE(append.m_record);
  CHECK(append.m_record->m_answer == std::string("a\0b", 3));
  CHECK(append.m_record->m_outcome == OutcomeKind::kFailed);
  CHECK(append.m_record->m_reason == ReasonCode::kEndpointError);
  CHECK(append.m_record->m_usage.m_cost == Cost(4));
  CHECK(append.m_ended);
}

TEST_CASE("absent parts of a message stay absent") {
  ReserveRequest reserve;
  CHECK_FALSE(RoundTrip<turn_rpc::ReserveRequest>(reserve, kRead)
                  .m_new_program.has_value());
  AppendRequest append;
  CHECK_FALSE(
      RoundTrip<turn_rpc::AppendRequest>(append, kRead).m_record.has_value());
  CollectRequest collect;
  CHECK_FALSE(RoundTrip<turn_rpc::CollectRequest>(collect, kRead)
                  .m_program.has_value());
}

TEST_CASE("replies of the turn protocol survive the wire") {
  const auto reserve = RoundTrip<turn_rpc::ChangeReply>(
      ReserveReply{PoolId("p"), Term(5), kHost, ProgramId("d.2"), 18, true,
                   Term(6)},
      [](auto reader) { return ReadReserveReply(reader); });
  CHECK(reserve.m_sequence == 18);
  CHECK(reserve.m_accepted);
  CHECK(reserve.m_highest == Term(6));
  const auto append = RoundTrip<turn_rpc::ChangeReply>(
      AppendReply{PoolId("p"), Term(5), kHost, ProgramId("d.2"), 19, true,
                  Term(6)},
      [](auto reader) { return ReadAppendReply(reader); });
  CHECK(append.m_program == ProgramId("d.2"));
}

TEST_CASE("copies and collections survive the wire") {
  const std::vector programs{SampleProgram(), SampleProgram()};
  const std::vector ledgers{SampleLedger()};
  const auto copy = RoundTrip<turn_rpc::StateCopy>(
      StateCopy{PoolId("p"), Term(5), kHost, programs, ledgers, 3, false},
      kRead);
  CHECK(copy.m_part == 3);
  CHECK_FALSE(copy.m_last);
  CHECK(copy.m_programs.size() == 2);
  const auto reply = RoundTrip<turn_rpc::StateCopyReply>(
      StateCopyReply{PoolId("p"), Term(5), kHost, 3, true, Term(6), programs,
                     ledgers},
      kRead);
  CHECK(reply.m_longer.at(1).m_holds.at(0).m_release_pending);
  const auto asked = RoundTrip<turn_rpc::CollectRequest>(
      CollectRequest{PoolId("p"), Term(5), kHost, ProgramId("d.2")}, kRead);
  CHECK(asked.m_program == ProgramId("d.2"));
  const auto collected = RoundTrip<turn_rpc::CollectReply>(
      CollectReply{PoolId("p"), Term(5), kHost, ProgramId("d.2"), programs,
                   ledgers},
      kRead);
  CHECK(collected.m_ledgers.at(0).m_spends.at(0).m_amount == Cost(12));
}

}  // namespace
}  // namespace dotterelshed
