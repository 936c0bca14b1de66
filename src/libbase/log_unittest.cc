#include <catch2/catch.hpp>
#include <set>

#include "dotterelshed/log_events.h"

namespace dotterelshed {
namespace {

TEST_CASE("event numbers and names are unique and ordered") {
  std::set<std::string_view> names;
  auto last = 0;
  for (const auto& info : LogEventCatalogue()) {
    CHECK(static_cast<int>(info.m_id) > last);
    last = static_cast<int>(info.m_id);
    CHECK(names.insert(info.m_name).second);
    CHECK_FALSE(info.m_meaning.empty());
  }
}

TEST_CASE("a log line stays one line whatever its fields hold") {
  const auto line =
      FormatLogLine(LogEventId::kConfigRejected,
                    {{"file", "a.jsonc"}, {"error", "line 1\n\"x\" \\"}});
  CHECK(line == R"(602 config_rejected file=a.jsonc error="line 1\n\"x\" \\")");
}

TEST_CASE("log levels are read back from their names") {
  CHECK(ParseLogLevel("warning").value() == LogLevel::kWarning);
  CHECK_FALSE(ParseLogLevel("loud"));
}

TEST_CASE("a log file that can't be opened is an error") {
  CHECK(StartLogging({.m_file = "/dev/null/none"}).error().m_code ==
        ErrorCode::kUnavailable);
}

}  // namespace
}  // namespace dotterelshed
