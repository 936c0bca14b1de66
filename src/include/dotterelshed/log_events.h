#ifndef DOTTERELSHED_LOG_EVENTS_H_
#define DOTTERELSHED_LOG_EVENTS_H_

#include <span>
#include <string_view>

/// @file
/// Numbers, names and meanings of all log events. docs/EVENTS.md is made from
/// this catalogue. A number is never reused.
///
/// 100s host, 200s membership and ownership, 300s turns and copies, 400s
/// actions, 500s scheduling and endpoints, 600s configuration, 700s platform.

namespace dotterelshed {

enum class LogEventId : int {
  kHostStarted = 101,
  kHostDraining = 102,
  kHostStopped = 103,
  kCallRefused = 110,
  kCallFinished = 111,
  kLeadChanged = 201,
  kPoolChanged = 202,
  kHostSuspected = 203,
  kStaleTermSeen = 204,
  kTurnRecorded = 301,
  kCopyDegraded = 302,
  kHistoryMismatch = 303,
  kClaimWritten = 401,
  kActionUnknown = 402,
  kEndpointEjected = 501,
  kEndpointLeaving = 502,
  kContentQuarantined = 503,
  kConfigInForce = 601,
  kConfigRejected = 602,
  kPlatformLost = 701,
  kPlatformBack = 702,
};

enum class LogLevel { kDebug, kInfo, kWarning, kError };

struct LogEventInfo {
  LogEventId m_id;
  LogLevel m_level;
  std::string_view m_name;
  /// What it means and what an operator may do.
  std::string_view m_meaning;
};

/// All events, ordered by number.
auto LogEventCatalogue() -> std::span<const LogEventInfo>;

/// The entry of one event.
auto FindLogEvent(LogEventId id) -> const LogEventInfo&;

}  // namespace dotterelshed

#endif  // DOTTERELSHED_LOG_EVENTS_H_
