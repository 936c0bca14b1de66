#ifndef DOTTERELSHED_CONNECTION_LOG_H_
#define DOTTERELSHED_CONNECTION_LOG_H_

#include <cstddef>
#include <string_view>

#include "dotterelshed/units.h"

/// @file
/// Logs and counts connections that this host closes while they are idle.

namespace dotterelshed {

/// Why this host closed a connection without an open request.
enum class CloseReason {
  kIdle,      ///< The idle timeout has passed.
  kStop,      ///< The host is stopping.
  kAnswered,  ///< The last answer had "Connection: close".
  kLimit,     ///< The maximum number of connections was exceeded.
};

/// Stable lower-case name.
auto ToString(CloseReason reason) -> std::string_view;

/// A closed connection, and bytes that may be a request which raced with the
/// close.
struct ConnectionClose {
  CloseReason m_reason = CloseReason::kIdle;
  /// Requests that were answered on the connection.
  int m_answers = 0;
  /// Time since the end of the last answer or since the accept.
  Duration m_idle{0};
  /// Bytes that were read but not handled.
  std::size_t m_buffered_bytes = 0;
  /// Bytes that were received but not read.
  std::size_t m_unread_bytes = 0;
};

/// Counts and logs a close. The line is unusual if bytes were lost, ordinary
/// for other closes by a stop or a limit, and omitted for the rest.
auto ReportClose(const ConnectionClose& close) -> void;

/// Counts and logs bytes that were received after a close and discarded.
/// @param since_close  Time since the close.
auto ReportDiscardedBytes(std::size_t bytes, Duration since_close) -> void;

}  // namespace dotterelshed

#endif  // DOTTERELSHED_CONNECTION_LOG_H_
