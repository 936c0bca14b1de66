#include "log_story.h"

#include <catch2/catch.hpp>
#include <fstream>
#include <sstream>

#include "command_line.h"

namespace dotterelshed::ctl {
namespace {

using Catch::Contains;

/// Two hosts; the second one's clock is written with another offset.
constexpr auto kLog =
    R"(2026-01-01T10:00:00.000+00:00 info h1 101 host_started domain=z
2026-01-01T10:00:01.000+00:00 info h1 601 config_in_force generation=4 routes=2
2026-01-01T10:00:02.000+00:00 info h1 601 config_in_force generation=5 routes=2
2026-01-01T10:00:03.000+00:00 info h3 601 config_in_force generation=9 routes=2
2026-01-01T10:00:04.000+00:00 warning h1 504 endpoint_changed endpoint=e1 state=leaving
2026-01-01T10:00:04.500+00:00 warning h1 504 endpoint_changed endpoint=e2 state=leaving
  49.2 h2 2026-01-01T12:00:05.100+02:00 info h2 305 turn_decided request=r1 program=p decision=granted
not a log line
2026-01-01T10:00:05.200+00:00 info h1 121 attempt_ended request=r1 endpoint=e1 reason="no \"answer\" yet"
2026-01-01T10:00:05.150+00:00 warning h1 701 platform_lost kind=config code=timeout
2026-01-01T10:00:05.300+00:00 info h1 120 request_ended request=r1 program=p status=502
2026-01-01T10:00:06.000+00:00 info h1 120 request_ended request=r2 program=p status=200
2026-01-01T10:00:07.000+00:00 warning h1 105 log_lines_dropped lines=3
)";

auto Read() -> LogText {
  LogText log;
  std::istringstream text(kLog);
  AddLog(log, text);
  return log;
}

TEST_CASE("a log line is read with its fields and offset") {
  const auto line = ParseLogLine(
      "x 2026-01-01T12:00:05.100+02:00 info h2 305 turn_decided a=1 b=\"c d\"");
  REQUIRE(line);
  CHECK(line->m_host == "h2");
  CHECK(line->m_number == 305);
  CHECK(FieldOf(*line, "b") == "c d");
  CHECK(FieldOf(*line, "c").empty());
  const auto same =
      ParseLogLine("2026-01-01T10:00:05.100+00:00 info h2 305 turn_decided");
  REQUIRE(same);
  CHECK(same->m_time == line->m_time);
}

TEST_CASE("what isn't a log line is counted") {
  CHECK(Read().m_unread == 1);
  CHECK_FALSE(ParseLogLine("2026-01-01T10:00:05 info h2 305 x"));
  CHECK_FALSE(ParseLogLine(""));
}

TEST_CASE("a request's story has its decisions and the beliefs behind them") {
  const auto text = FormatStory(TellStory(Read(), StoryOf::kRequest, "r1"));
  const std::string leaving =
      "    -1.100 s  h1  504 endpoint_changed endpoint=e1 state=leaving";
  const std::string decided =
      "    +0.000 s  h2  305 turn_decided request=r1 program=p";
  const std::string attempt =
      "    +0.100 s  h1  121 attempt_ended request=r1 endpoint=e1";
  const std::vector<std::string> expected{
      "    -5.100 s  h1  101 host_started domain=z  (belief)",
      "    -3.100 s  h1  601 config_in_force generation=5 routes=2  (belief)",
      leaving + "  (belief)",
      decided + " decision=granted",
      "    +0.050 s  h1  701 platform_lost kind=config code=timeout  (belief)",
      attempt + " reason=no \"answer\" yet",
      "    +0.200 s  h1  120 request_ended request=r1 program=p status=502",
      "h1 left lines out of its log (event 105)"};
  std::istringstream lines(text);
  std::string line;
  for (const auto& one : expected) {
    REQUIRE(std::getline(lines, line));
    CHECK(line == one);
  }
  CHECK_FALSE(std::getline(lines, line));
}

TEST_CASE("a program's story has the lines of all its requests") {
  const auto text = FormatStory(TellStory(Read(), StoryOf::kProgram, "p"));
  CHECK_THAT(text, Contains("request=r2"));
  CHECK_THAT(text, Contains("attempt_ended request=r1"));
}

TEST_CASE("an endpoint's story has what ran there and what was known of it") {
  const auto text = FormatStory(TellStory(Read(), StoryOf::kEndpoint, "e1"));
  CHECK_THAT(text, Contains("state=leaving"));
  CHECK_THAT(text, Contains("request_ended request=r1"));
  CHECK_THAT(text, !Contains("request=r2"));
}

TEST_CASE("explain says what is wrong") {
  std::ostringstream out;
  std::ostringstream error;
  CHECK(RunCommandLine({"explain"}, {out, error}) == ExitCode::kUsage);
  CHECK(RunCommandLine({"explain", "r1", "/no/such/file"}, {out, error}) ==
        ExitCode::kUnavailable);
  CHECK_THAT(error.str(), Contains("/no/such/file"));
  CHECK(RunCommandLine({"explain", "r1", "/dev/null"}, {out, error}) ==
        ExitCode::kProblems);
  CHECK_THAT(error.str(), Contains("none of 0 log lines names r1"));
}

}  // namespace
}  // namespace dotterelshed::ctl
