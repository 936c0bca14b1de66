#include "dotterelshed/endpoint_limits.h"

#include <catch2/catch.hpp>

namespace dotterelshed {
namespace {

constexpr TimePoint kStart{std::chrono::hours(1)};
const EndpointId kEndpoint("e1");

auto At(int ms) -> TimePoint {
  return kStart + std::chrono::milliseconds(ms);
}

TEST_CASE("a limit holds until an answer to a later request states none") {
  LimitStatements statements;
  CHECK_FALSE(
      NoteAnswerLimit(statements, kEndpoint, std::nullopt, At(0), At(1)));
  CHECK(NoteAnswerLimit(statements, kEndpoint, 6.8, At(0), At(10)));
  CHECK(LimitOf(statements, kEndpoint) == 6.8);
  CHECK_FALSE(NoteAnswerLimit(statements, kEndpoint, 6.8, At(0), At(20)));
  CHECK(NoteAnswerLimit(statements, kEndpoint, 5.0, At(5), At(30)));
  // Sent before the last statement, so it may have been answered before it.
  CHECK_FALSE(
      NoteAnswerLimit(statements, kEndpoint, std::nullopt, At(25), At(40)));
  CHECK(LimitOf(statements, kEndpoint) == 5.0);
  CHECK(NoteAnswerLimit(statements, kEndpoint, std::nullopt, At(31), At(50)));
  CHECK_FALSE(LimitOf(statements, kEndpoint));
}

TEST_CASE("of two hosts' statements the later one holds") {
  LimitStatements statements;
  CHECK(MergeStatement(statements, kEndpoint,
                       {.m_per_second = 2.0, .m_as_of = At(10)}));
  CHECK_FALSE(MergeStatement(statements, kEndpoint, {.m_as_of = At(5)}));
  CHECK(LimitOf(statements, kEndpoint) == 2.0);
  CHECK(MergeStatement(statements, kEndpoint, {.m_as_of = At(11)}));
  CHECK_FALSE(LimitOf(statements, kEndpoint));
  // An older statement doesn't bring a limit back that has ended.
  CHECK_FALSE(MergeStatement(statements, kEndpoint,
                             {.m_per_second = 2.0, .m_as_of = At(10)}));
  CHECK_FALSE(LimitOf(statements, kEndpoint));
}

}  // namespace
}  // namespace dotterelshed
