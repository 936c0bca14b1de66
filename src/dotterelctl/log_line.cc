#include "log_line.h"

#include <algorithm>
#include <charconv>
#include <chrono>
#include <regex>

namespace dotterelshed::ctl {

namespace {

/// Time, level, host, number, name; fields follow.
auto HeadPattern() -> const std::regex& {
  static const std::regex kPattern(
      R"((\d{4})-(\d{2})-(\d{2})T(\d{2}):(\d{2}):(\d{2})\.(\d{3}))"
      R"(([+-])(\d{2}):(\d{2}) (\w+) (\S+) (\d{3}) (\w+))");
  return kPattern;
}

auto ToInt(const std::csub_match& match) -> int {
  int value = 0;
  std::from_chars(match.first, match.second, value);
  return value;
}

auto ReadTime(const std::cmatch& match) -> Duration {
  using namespace std::chrono;
  const auto date =
      year(ToInt(match[1])) / month(ToInt(match[2])) / day(ToInt(match[3]));
  const auto offset = hours(ToInt(match[9])) + minutes(ToInt(match[10]));
  const auto local = sys_days(date).time_since_epoch() +
                     hours(ToInt(match[4])) + minutes(ToInt(match[5])) +
                     seconds(ToInt(match[6])) + milliseconds(ToInt(match[7]));
  return match[8] == "-" ? local + offset : local - offset;
}

/// Takes one value from the front of @p rest, in quotes if it begins with one.
auto TakeValue(std::string_view& rest) -> std::string {
  std::string value;
  const auto quoted = rest.starts_with('"');
  std::size_t at = quoted ? 1 : 0;
  for (; at < rest.size(); ++at) {
    const auto byte = rest[at];
    if (quoted && byte == '\\' && at + 1 < rest.size()) {
      value += rest[++at];
      continue;
    }
    if (byte == (quoted ? '"' : ' ')) {
      ++at;
      break;
    }
    value += byte;
  }
  rest.remove_prefix(at);
  return value;
}

auto ReadFields(std::string_view rest)
    -> std::vector<std::pair<std::string, std::string>> {
  std::vector<std::pair<std::string, std::string>> fields;
  for (;;) {
    rest.remove_prefix(std::min(rest.find_first_not_of(' '), rest.size()));
    const auto equals = rest.find('=');
    if (equals == std::string_view::npos) {
      return fields;
    }
    std::string name(rest.substr(0, equals));
    rest.remove_prefix(equals + 1);
    fields.emplace_back(std::move(name), TakeValue(rest));
  }
}

}  // namespace

auto FieldOf(const LogLine& line, std::string_view name) -> std::string {
  for (const auto& [field, value] : line.m_fields) {
    if (field == name) {
      return value;
    }
  }
  return "";
}

auto ParseLogLine(std::string_view text) -> std::optional<LogLine> {
  std::cmatch match;
  const auto* end = text.data() + text.size();
  if (!std::regex_search(text.data(), end, match, HeadPattern())) {
    return std::nullopt;
  }
  LogLine line;
  line.m_time = ReadTime(match);
  line.m_level = match[11].str();
  line.m_host = match[12].str();
  line.m_number = ToInt(match[13]);
  line.m_name = match[14].str();
  line.m_fields = ReadFields({match[0].second, end});
  return line;
}

}  // namespace dotterelshed::ctl
