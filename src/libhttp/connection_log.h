#ifndef DOTTERELSHED_CONNECTION_LOG_H_
#define DOTTERELSHED_CONNECTION_LOG_H_

#include <cstddef>
#include <string_view>

#include "dotterelshed/units.h"

/// @file
/// Logs how connections end on which no request is open.

namespace dotterelshed {

/// Why a host closed a connection on which no request was open.
enum class CloseReason {
  kIdle,      ///< It rested for longer than its idle timeout.
  kStop,      ///< The host is stopping.
  kAnswered,  ///< Its last answer ended it.
  kLimit,     ///< The host had as many connections as it may have.
};

/// Stable lower-case name.
auto ToString(CloseReason reason) -> std::string_view;

/// The end of a connection, with what may have been a request beside it.
struct ConnectionClose {
  CloseReason m_reason = CloseReason::kIdle;
  /// Requests that were answered on the connection.
  int m_answers = 0;
  /// Time since the end of the last answer, or since it was accepted.
  Duration m_rested{0};
  /// Bytes that were read and not handled.
  std::size_t m_ahead_bytes = 0;
  /// Bytes that had arrived and were not read.
  std::size_t m_unread_bytes = 0;
};

/// Counts the close, and logs it: ends of connections with bytes beside them as
/// unusual lines, closes by a stop as ordinary ones, others not at all.
auto ReportClose(const ConnectionClose& close) -> void;

/// Counts and logs bytes that were read and dropped after a close.
/// @param since_close  time since the close.
auto ReportBytesAfterClose(std::size_t bytes, Duration since_close) -> void;

}  // namespace dotterelshed

#endif  // DOTTERELSHED_CONNECTION_LOG_H_
