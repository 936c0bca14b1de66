#include <unistd.h>

#include <catch2/catch.hpp>
#include <cstdlib>
#include <fstream>
#include <iterator>
#include <set>
#include <string>

#include "dotterelshed/byte_text.h"
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

TEST_CASE("a log line is UTF-8 and bounded whatever its fields hold") {
  const auto line = FormatLogLine(LogEventId::kConfigRejected,
                                  {{"id", "p\xe9"}, {"name", "p\xc3\xa9"}});
  CHECK(line == "602 config_rejected id=\"p\\xe9\" name=\"p\xc3\xa9\"");
  const auto bytes = GENERATE('x', '\xff', '\x7f');
  const auto longest = FormatLogLine(LogEventId::kConfigRejected,
                                     {{"id", std::string(100000, bytes)}});
  CHECK(longest.size() < 5000);
  CHECK(longest.find("...") != std::string::npos);
  CHECK(IsUtf8(longest));
}

TEST_CASE("log levels are read back from their names") {
  CHECK(ParseLogLevel("warning").value() == LogLevel::kWarning);
  CHECK_FALSE(ParseLogLevel("loud"));
}

TEST_CASE("a log file that can't be opened is an error") {
  CHECK(StartLogging({.m_file = "/dev/null/none"}).error().m_code ==
        ErrorCode::kUnavailable);
}

TEST_CASE("ordinary lines give way to unusual ones") {
  char name[] = "/tmp/dotterelshed_log_XXXXXX";
  const auto descriptor = mkstemp(name);
  REQUIRE(descriptor >= 0);
  close(descriptor);
  REQUIRE(StartLogging({.m_file = name,
                        .m_max_ordinary_per_second = 2,
                        .m_max_unusual_per_second = 1000}));
  constexpr auto kLines = 200;
  for (int i = 0; i < kLines; ++i) {
    LogEvent(LogEventId::kConfigInForce, {{"n", "ordinary"}},
             LogWeight::kOrdinary);
    LogEvent(LogEventId::kConfigInForce, {{"n", "unusual"}});
  }
  FlushLog();
  std::ifstream in(name);
  const std::string text((std::istreambuf_iterator<char>(in)), {});
  const auto count = [&text](const std::string& word) {
    auto found = 0;
    for (auto at = text.find(word); at != std::string::npos;
         at = text.find(word, at + 1)) {
      ++found;
    }
    return found;
  };
  CHECK(count("n=unusual") == kLines);
  CHECK(count("n=ordinary") < kLines);
  CHECK(count("log_lines_dropped") == 1);
  REQUIRE(StartLogging({}));
  unlink(name);
}

}  // namespace
}  // namespace dotterelshed
