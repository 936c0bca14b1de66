#include "connection_log.h"

#include <string>

#include "dotterelshed/log_events.h"
#include "dotterelshed/metrics.h"

namespace dotterelshed {

namespace {

/// Label of closes beside which bytes arrived that were not handled.
constexpr std::string_view kCrossed = "crossed";

}  // namespace

auto ToString(CloseReason reason) -> std::string_view {
  switch (reason) {
    case CloseReason::kIdle:
      return "idle";
    case CloseReason::kStop:
      return "stop";
    case CloseReason::kAnswered:
      return "answered";
    case CloseReason::kLimit:
      return "limit";
  }
  return "idle";
}

auto ReportClose(const ConnectionClose& close) -> void {
  const auto crossed = close.m_ahead_bytes + close.m_unread_bytes > 0;
  CountMetric(MetricId::kConnectionsClosed, ToString(close.m_reason));
  if (crossed) {
    CountMetric(MetricId::kConnectionsClosed, kCrossed);
  }
  const auto usual = close.m_reason == CloseReason::kIdle ||
                     close.m_reason == CloseReason::kAnswered;
  if (usual && !crossed) {
    return;
  }
  LogEvent(LogEventId::kConnectionClosed,
           {{"reason", std::string(ToString(close.m_reason))},
            {"answers", std::to_string(close.m_answers)},
            {"rested_ms", FormatMs(close.m_rested)},
            {"ahead_bytes", std::to_string(close.m_ahead_bytes)},
            {"unread_bytes", std::to_string(close.m_unread_bytes)}},
           crossed ? LogWeight::kUnusual : LogWeight::kOrdinary);
}

auto ReportBytesAfterClose(std::size_t bytes, Duration since_close) -> void {
  CountMetric(MetricId::kConnectionsClosed, kCrossed);
  LogEvent(LogEventId::kConnectionClosed,
           {{"reason", "bytes_after_close"},
            {"late_bytes", std::to_string(bytes)},
            {"ms_after_close", FormatMs(since_close)}});
}

}  // namespace dotterelshed
