#include <fmt/format.h>
#include <spdlog/sinks/basic_file_sink.h>
#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <cctype>
#include <memory>
#include <mutex>
#include <utility>

#include "dotterelshed/byte_text.h"
#include "dotterelshed/log_events.h"
#include "dotterelshed/metrics.h"
#include "dotterelshed/steady_time.h"
#include "stdout_sink.h"

namespace dotterelshed {

namespace {

using Logger = std::shared_ptr<spdlog::logger>;

/// Local time with milliseconds and offset, level, host, message.
constexpr auto kPattern = "%Y-%m-%dT%H:%M:%S.%e%z %l %n %v";
constexpr auto kToolName = "-";

auto ToSpdlog(LogLevel level) -> spdlog::level::level_enum {
  switch (level) {
    case LogLevel::kDebug:
      return spdlog::level::debug;
    case LogLevel::kInfo:
      return spdlog::level::info;
    case LogLevel::kWarning:
      return spdlog::level::warn;
    case LogLevel::kError:
      return spdlog::level::err;
  }
  return spdlog::level::err;
}

auto MakeLogger(const LogOptions& options) -> Logger {
  spdlog::sink_ptr sink;
  if (options.m_standard_output) {
    sink = std::make_shared<pvt::StdoutSink>(STDOUT_FILENO);
  } else if (options.m_file.empty()) {
    sink = std::make_shared<spdlog::sinks::stderr_sink_mt>();
  } else {
    sink = std::make_shared<spdlog::sinks::basic_file_sink_mt>(options.m_file);
  }
  const auto name = options.m_host.empty() ? kToolName : options.m_host;
  auto logger = std::make_shared<spdlog::logger>(name, std::move(sink));
  logger->set_pattern(kPattern);
  logger->set_level(ToSpdlog(options.m_level));
  if (!options.m_standard_output) {
    logger->flush_on(spdlog::level::warn);
  }
  return logger;
}

/// Lines of each weight in the present second.
struct LineBudget {
  std::mutex m_mutex;
  int m_max_ordinary = 0;
  int m_max_unusual = 0;
  std::int64_t m_second = 0;
  int m_ordinary = 0;
  int m_unusual = 0;
  std::int64_t m_dropped = 0;
};

auto Budget() -> LineBudget& {
  static LineBudget budget;
  return budget;
}

/// Counts a line, and says whether it may be written.
auto TakeLine(LogWeight weight) -> bool {
  auto& budget = Budget();
  const std::lock_guard<std::mutex> lock(budget.m_mutex);
  const auto second = std::chrono::duration_cast<std::chrono::seconds>(
                          SteadyTime().time_since_epoch())
                          .count();
  if (second != budget.m_second) {
    budget.m_second = second;
    budget.m_ordinary = 0;
    budget.m_unusual = 0;
  }
  const auto ordinary = weight == LogWeight::kOrdinary;
  auto& count = ordinary ? budget.m_ordinary : budget.m_unusual;
  const auto limit = ordinary ? budget.m_max_ordinary : budget.m_max_unusual;
  if (limit > 0 && count >= limit) {
    ++budget.m_dropped;
    return false;
  }
  ++count;
  return true;
}

auto TakeDropped(const Logger& logger) -> std::int64_t {
  auto& budget = Budget();
  const std::lock_guard<std::mutex> lock(budget.m_mutex);
  auto dropped = std::exchange(budget.m_dropped, 0);
  const auto sink =
      std::dynamic_pointer_cast<pvt::StdoutSink>(logger->sinks().front());
  if (sink) {
    dropped += sink->TakeDropped();
  }
  return dropped;
}

auto Write(const Logger& logger,
           LogEventId id,
           const std::vector<LogField>& fields) -> void {
  const auto level = FindLogEvent(id).m_level;
  CountMetric(MetricId::kLogEvents, ToString(level));
  const auto spdlog_level = ToSpdlog(level);
  if (logger->should_log(spdlog_level)) {
    logger->log(spdlog_level, "{}", FormatLogLine(id, fields));
  }
}

/// The process's logger; replaced once by StartLogging.
auto CurrentLogger() -> std::atomic<Logger>& {
  static std::atomic<Logger> logger(MakeLogger({}));
  return logger;
}

auto NeedsQuotes(const std::string& value) -> bool {
  const auto plain = [](unsigned char letter) {
    return std::isgraph(letter) != 0 && letter != '"' && letter != '=' &&
           letter != '\\';
  };
  return value.empty() || !std::all_of(value.begin(), value.end(), plain);
}

/// Maximum bytes of a value in a line; some values come from callers.
constexpr std::size_t kMaxValueBytes = 1024;

/// Makes a value fit one line: quotes, backslashes and control characters are
/// escaped, and bytes over 0x7f unless the whole value is UTF-8.
auto Quote(const std::string& value) -> std::string {
  constexpr auto kFirstPrintable = 0x20;
  constexpr auto kDelete = 0x7f;
  const auto is_utf8 = IsUtf8(value);
  auto result = std::string("\"");
  for (const auto letter : value) {
    if (letter == '"' || letter == '\\') {
      result += '\\';
      result += letter;
    } else if (letter == '\n') {
      result += "\\n";
    } else if (static_cast<unsigned char>(letter) < kFirstPrintable) {
      result += ' ';
    } else if (static_cast<unsigned char>(letter) == kDelete ||
               (!is_utf8 && static_cast<unsigned char>(letter) > kDelete)) {
      result += fmt::format("\\x{:02x}", static_cast<unsigned char>(letter));
    } else {
      result += letter;
    }
  }
  return result + "\"";
}

auto FormatValue(const std::string& value) -> std::string {
  if (value.size() > kMaxValueBytes) {
    return FormatValue(value.substr(0, kMaxValueBytes - 3) + "...");
  }
  return NeedsQuotes(value) ? Quote(value) : value;
}

}  // namespace

auto ToString(LogLevel level) -> std::string_view {
  switch (level) {
    case LogLevel::kDebug:
      return "debug";
    case LogLevel::kInfo:
      return "info";
    case LogLevel::kWarning:
      return "warning";
    case LogLevel::kError:
      return "error";
  }
  return "error";
}

auto ParseLogLevel(std::string_view name) -> Result<LogLevel> {
  for (const auto level : {LogLevel::kDebug, LogLevel::kInfo,
                           LogLevel::kWarning, LogLevel::kError}) {
    if (ToString(level) == name) {
      return level;
    }
  }
  return Fail(ErrorCode::kInvalidArgument,
              "unknown log level '" + std::string(name) +
                  "'; write debug, info, warning or error");
}

auto StartLogging(const LogOptions& options) -> Status {
  {
    auto& budget = Budget();
    const std::lock_guard<std::mutex> lock(budget.m_mutex);
    budget.m_max_ordinary = options.m_max_ordinary_per_second;
    budget.m_max_unusual = options.m_max_unusual_per_second;
  }
  try {
    CurrentLogger().store(MakeLogger(options));
  } catch (const spdlog::spdlog_ex& error) {
    return Fail(ErrorCode::kUnavailable, error.what(), options.m_file);
  }
  return {};
}

auto FormatMs(Duration duration) -> std::string {
  return std::to_string(
      std::chrono::duration_cast<std::chrono::milliseconds>(duration).count());
}

auto FormatLogLine(LogEventId id, const std::vector<LogField>& fields)
    -> std::string {
  const auto& info = FindLogEvent(id);
  auto line =
      std::to_string(static_cast<int>(id)) + " " + std::string(info.m_name);
  for (const auto& field : fields) {
    line += " " + field.m_name + "=" + FormatValue(field.m_value);
  }
  return line;
}

auto LogEvent(LogEventId id,
              const std::vector<LogField>& fields,
              LogWeight weight) -> void {
  if (TakeLine(weight)) {
    Write(CurrentLogger().load(), id, fields);
  }
}

auto FlushLog() -> void {
  const auto logger = CurrentLogger().load();
  if (const auto dropped = TakeDropped(logger); dropped > 0) {
    Write(logger, LogEventId::kLogLinesDropped,
          {{"lines", std::to_string(dropped)}});
  }
  logger->flush();
}

auto FormatEventsPage() -> std::string {
  auto page = std::string(
      "# Log events\n\n"
      "Made by `dotterelctl events --markdown`; `.ci/check-docs` compares it "
      "with the code.\nA number is never reused. Each line has the time, the "
      "level, the host, the number, the name and fields as `name=value`.\n\n"
      "| number | name | level | meaning |\n|---|---|---|---|\n");
  for (const auto& info : LogEventCatalogue()) {
    page += "| " + std::to_string(static_cast<int>(info.m_id)) + " | `" +
            std::string(info.m_name) + "` | " +
            std::string(ToString(info.m_level)) + " | " +
            std::string(info.m_meaning) + " |\n";
  }
  return page;
}

}  // namespace dotterelshed
