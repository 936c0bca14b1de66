#include "connection_log.h"

#include <string>

#include "dotterelshed/log_events.h"
#include "dotterelshed/metrics.h"

namespace dotterelshed {

namespace {

/// Label of closes that lost received bytes.
constexpr std::string_view kBytesLost = "bytes_lost";

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
  const auto bytes_lost = close.m_buffered_bytes + close.m_unread_bytes > 0;
  CountMetric(MetricId::kConnectionsClosed, ToString(close.m_reason));
  if (bytes_lost) {
    CountMetric(MetricId::kConnectionsClosed, kBytesLost);
  }
  const auto usual = close.m_reason == CloseReason::kIdle ||
                     close.m_reason == CloseReason::kAnswered;
  if (usual && !bytes_lost) {
    return;
  }
  LogEvent(LogEventId::kConnectionClosed,
           {{"reason", std::string(ToString(close.m_reason))},
            {"answers", std::to_string(close.m_answers)},
            {"idle_ms", FormatMs(close.m_idle)},
            {"buffered_bytes", std::to_string(close.m_buffered_bytes)},
            {"unread_bytes", std::to_string(close.m_unread_bytes)}},
           bytes_lost ? LogWeight::kUnusual : LogWeight::kOrdinary);
}

auto ReportDiscardedBytes(std::size_t bytes, Duration since_close) -> void {
  CountMetric(MetricId::kConnectionsClosed, kBytesLost);
  LogEvent(LogEventId::kConnectionClosed,
           {{"reason", "discarded"},
            {"discarded_bytes", std::to_string(bytes)},
            {"closed_ms", FormatMs(since_close)}});
}

}  // namespace dotterelshed
