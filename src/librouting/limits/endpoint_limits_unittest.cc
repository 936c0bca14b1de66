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

}  // namespace
}  // namespace dotterelshed
