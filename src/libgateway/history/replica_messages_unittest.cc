#include "history/replica_messages.h"

#include <catch2/catch.hpp>
#include <cstdlib>
#include <nlohmann/json.hpp>
#include <random>
#include <string>

/// @file
/// Messages about stored turns: what is sent arrives, and other bytes are
/// refused.

namespace dotterelshed {
namespace {

auto MakeRecord() -> TurnRecord {
  return {.m_turn = RequestId("t2"),
          .m_previous = RequestId("t1"),
          .m_program = ProgramId("p"),
          .m_text = std::string("any \0 bytes \xff", 13),
          .m_lifetime = std::chrono::seconds(70),
          .m_substitutes = {HostId("a2"), HostId("a3")}};
}

TEST_CASE("records arrive as they were sent, whatever bytes they hold") {
  const auto record = MakeRecord();
  const auto read = DecodeTurnReadResponse(
      EncodeTurnReadResponse({&record}, std::chrono::seconds(5)));
  REQUIRE(read);
  REQUIRE(read->m_turns.size() == 1);
  CHECK(read->m_intact_for == std::chrono::seconds(5));
  const auto& arrived = read->m_turns.front();
  CHECK(arrived.m_turn == record.m_turn);
  CHECK(arrived.m_previous == record.m_previous);
  CHECK(arrived.m_program == record.m_program);
  CHECK(arrived.m_text == record.m_text);
  CHECK(arrived.m_lifetime == record.m_lifetime);
  CHECK(arrived.m_substitutes == record.m_substitutes);
}

TEST_CASE("lists and withdrawals arrive as they were sent") {
  const auto list = DecodeTurnListResponse(EncodeTurnListResponse(
      {.m_incarnation = Incarnation(3),
       .m_turns = {{RequestId("t1"), ProgramId("p")},
                   {RequestId("t2"), ProgramId("p"), {HostId("a2")}}},
       .m_last_sequence = 9,
       .m_has_more = true}));
  REQUIRE(list);
  CHECK(list->m_incarnation == Incarnation(3));
  CHECK(list->m_turns.front().m_turn == RequestId("t1"));
  CHECK(list->m_turns.front().m_substitutes.empty());
  CHECK(list->m_turns.back().m_substitutes.contains(HostId("a2")));
  CHECK(list->m_last_sequence == 9);
  CHECK(list->m_has_more);
  const auto withdrawal = DecodeTurnWithdrawal(EncodeTurnWithdrawal(
      {.m_turn = RequestId("t1"), .m_lifetime = std::chrono::seconds(7)}));
  REQUIRE(withdrawal);
  CHECK(withdrawal->m_lifetime == std::chrono::seconds(7));
}

TEST_CASE("a disk host's entry without the newer members is understood") {
  const auto host =
      DecodeReplicaHost({{"host", "d1"}, {"peer_address", "127.0.0.1:1"}});
  REQUIRE(host);
  CHECK_FALSE(host->m_leaving);
  CHECK_FALSE(host->m_drained);
  CHECK_FALSE(DecodeReplicaHost({{"host", 7}}));
}

/// Decodes a text as each kind of message.
auto DecodeAsAll(const std::string& text) -> int {
  return static_cast<int>(DecodeTurnRecords(text).has_value()) +
         static_cast<int>(DecodeTurnReadRequest(text).has_value()) +
         static_cast<int>(DecodeTurnReadResponse(text).has_value()) +
         static_cast<int>(DecodeTurnListRequest(text).has_value()) +
         static_cast<int>(DecodeTurnListResponse(text).has_value()) +
         static_cast<int>(DecodeTurnIds(text).has_value()) +
         static_cast<int>(DecodeCopyRequest(text).has_value()) +
         static_cast<int>(DecodeTurnWithdrawal(text).has_value());
}

TEST_CASE("cut and changed messages are refused and never end the process") {
  const auto* given = std::getenv("DOTTERELSHED_SEED");
  const unsigned seed = given == nullptr ? 1 : std::stoul(given);
  INFO("seed " << seed);
  std::mt19937 random(seed);
  const auto record = MakeRecord();
  const std::string messages[] = {
      EncodeTurnRecords({&record}),
      EncodeTurnReadResponse({&record}, std::chrono::seconds(5)),
      EncodeTurnListRequest({.m_after = 5}),
      EncodeTurnListResponse({.m_turns = {{RequestId("a"), ProgramId("p")}}}),
      EncodeCopyRequest(HostId("d1"))};
  for (const auto& message : messages) {
    CHECK(DecodeAsAll(message) >= 1);
    for (std::size_t length = 0; length < message.size(); ++length) {
      CHECK(DecodeAsAll(message.substr(0, length)) == 0);
    }
    for (int run = 0; run < 2000; ++run) {
      auto changed = message;
      changed[random() % changed.size()] = static_cast<char>(random());
      DecodeAsAll(changed);
    }
  }
}

}  // namespace
}  // namespace dotterelshed
