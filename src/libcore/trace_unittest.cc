#include "dotterelshed/trace.h"

#include <catch2/catch.hpp>

namespace dotterelshed {
namespace {

const std::string kHeader =
    R"({"kind":"header","version":1,"name":"t","endpoints":2})"
    "\n";

auto CallLine(const std::string& program, int turn) -> std::string {
  return FormatTraceLine(TraceCall{.m_at = Duration(5),
                                   .m_program = ProgramId(program),
                                   .m_turn = Turn(turn),
                                   .m_class = ClassId("c"),
                                   .m_prompt = Tokens(10),
                                   .m_generated = Tokens(3)}) +
         "\n";
}

TEST_CASE("a formatted trace parses back to the same trace") {
  Trace trace;
  trace.m_header.m_name = "t";
  trace.m_header.m_endpoints = 3;
  trace.m_classes.push_back({.m_id = ClassId("c"), .m_weight = 4});
  trace.m_slowdowns.push_back({.m_at = Duration(7),
                               .m_length = Duration(9),
                               .m_endpoint = 2,
                               .m_factor = 10});
  trace.m_calls.push_back({.m_program = ProgramId("d.1"),
                           .m_turn = Turn(1),
                           .m_class = ClassId("c"),
                           .m_generated = Tokens(4)});
  trace.m_calls.push_back({.m_program = ProgramId("d.2"),
                           .m_parent = ProgramId("d.1"),
                           .m_parent_turn = Turn(1),
                           .m_turn = Turn(1),
                           .m_class = ClassId("c"),
                           .m_pause = Duration(3),
                           .m_repeatable = false,
                           .m_last = true,
                           .m_crashes = true,
                           .m_outcome = OutcomeKind::kNotRun,
                           .m_latency = Duration(8)});
  const auto text = FormatTrace(trace);
  const auto again = ParseTrace(text, "t.jsonl");
  REQUIRE(again);
  CHECK(FormatTrace(*again) == text);
  CHECK(again->m_calls[1].m_parent == ProgramId("d.1"));
  CHECK(again->m_calls[1].m_outcome == OutcomeKind::kNotRun);
}

TEST_CASE("a parse error gives file, line number and all errors of the line") {
  const auto text =
      kHeader + R"({"kind":"call","program":"d.1","turn":0,"colour":1})";
  const auto trace = ParseTrace(text, "x.jsonl");
  REQUIRE_FALSE(trace);
  CHECK(trace.error().m_place == "x.jsonl:2");
  for (const auto* part :
       {"'at_us' is missing", "'turn' must be", "'colour'"}) {
    CHECK(trace.error().m_message.find(part) != std::string::npos);
  }
}

TEST_CASE(
    "a turn gap, a missing header and an unsupported version are errors") {
  const auto gap = ParseTrace(kHeader + CallLine("d.1", 2), "g");
  REQUIRE_FALSE(gap);
  CHECK(gap.error().m_message.find("turn 1 was expected") != std::string::npos);
  CHECK_FALSE(ParseTrace(CallLine("d.1", 1), "n"));
  CHECK_FALSE(ParseTrace("", "e"));
  CHECK_FALSE(ParseTrace(
      R"({"kind":"header","version":2,"name":"t","endpoints":2})", "v"));
  CHECK(ParseTrace(kHeader + "# note\n\n" + CallLine("d.1", 1), "ok"));
}

}  // namespace
}  // namespace dotterelshed
