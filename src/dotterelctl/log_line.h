#ifndef DOTTERELSHED_DOTTERELCTL_LOG_LINE_H_
#define DOTTERELSHED_DOTTERELCTL_LOG_LINE_H_

#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "dotterelshed/units.h"

/// @file
/// Log lines of hosts, read back: time, level, host, number, name, fields.

namespace dotterelshed::ctl {

struct LogLine {
  /// Since 1970, by the clock of the host that wrote the line.
  Duration m_time{0};
  std::string m_level;
  std::string m_host;
  /// Number and name of the event; docs/EVENTS.md has them all.
  int m_number = 0;
  std::string m_name;
  std::vector<std::pair<std::string, std::string>> m_fields;
};

/// The value of a field; empty if the line has none of that name.
auto FieldOf(const LogLine& line, std::string_view name) -> std::string;

/// Reads one line; what a log collector put before the time is passed over.
/// Empty when there is no time, or what follows isn't a line of a host.
auto ParseLogLine(std::string_view text) -> std::optional<LogLine>;

}  // namespace dotterelshed::ctl

#endif  // DOTTERELSHED_DOTTERELCTL_LOG_LINE_H_
