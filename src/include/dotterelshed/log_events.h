#ifndef DOTTERELSHED_LOG_EVENTS_H_
#define DOTTERELSHED_LOG_EVENTS_H_

#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "dotterelshed/error.h"
#include "dotterelshed/units.h"

/// @file
/// Numbers, names and meanings of all log events. docs/EVENTS.md is made from
/// this catalogue. A number is never reused;
/// 110, 111, 301, 302, 501 and 502 are taken.
///
/// 100s host, 200s membership and ownership, 300s turns and copies, 400s
/// actions, 500s scheduling and endpoints, 600s configuration, 700s platform.

namespace dotterelshed {

enum class LogEventId : int {
  kHostStarted = 101,
  kHostDraining = 102,
  kHostStopped = 103,
  kSettingsReloaded = 104,
  kLogLinesDropped = 105,
  kHandlerFailed = 106,
  kCallRefused = 110,
  kCallFinished = 111,
  kRequestEnded = 120,
  kConnectionClosed = 122,
  kStreamOriginSought = 130,
  kAttemptEnded = 121,
  kLeadChanged = 201,
  kPoolChanged = 202,
  kHostSuspected = 203,
  kStaleTermSeen = 204,
  kLeadClaimFailed = 205,
  kLeadLost = 206,
  kLeadYielded = 207,
  kLedgerFenced = 208,
  kLeadAsked = 209,
  kLeadLoad = 210,
  kLeadLeft = 211,
  kJournalHostChanged = 212,
  kHistoryMismatch = 303,
  kLedgerWriteFailed = 304,
  kTurnDecided = 305,
  kJournalUsed = 306,
  kJournalFailed = 307,
  kLedgerReadFailed = 308,
  kHistoryNotFound = 310,
  kTurnWithdrawn = 312,
  kReplicaOpened = 313,
  kReplicaCaughtUp = 314,
  kReplicaBehind = 315,
  kReplicaDrained = 316,
  kReplicaDiskFailed = 317,
  kClaimWritten = 401,
  kActionUnknown = 402,
  kContentQuarantined = 503,
  kEndpointChanged = 504,
  kEndpointRejected = 505,
  kEndpointJudged = 506,
  kJudgementRejected = 507,
  kEndpointLimited = 508,
  kEndpointLinksChanged = 509,
  kRelayFailed = 510,
  kEndpointEndFound = 511,
  kQuotaRefused = 520,
  kQuotaShareTaken = 521,
  kConfigInForce = 601,
  kConfigRejected = 602,
  kAccountRejected = 603,
  kPlatformLost = 701,
  kPlatformBack = 702,
  kRetirementAnswered = 703,
  kReaderLeft = 704,
  kObjectRejected = 705,
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

/// Stable lower-case name: debug, info, warning, error.
auto ToString(LogLevel level) -> std::string_view;
/// Errors: kInvalidArgument for a name that ToString does not give.
auto ParseLogLevel(std::string_view name) -> Result<LogLevel>;

/// One named value of a log line.
struct LogField {
  std::string m_name;
  std::string m_value;
};

/// Whole milliseconds, as fields show durations.
auto FormatMs(Duration duration) -> std::string;

/// Whether a line tells of the usual course of things. Under load ordinary
/// lines give way to unusual ones.
enum class LogWeight { kUnusual, kOrdinary };

/// How a process logs.
struct LogOptions {
  LogLevel m_level = LogLevel::kInfo;
  /// Written into each line; empty for tools.
  std::string m_host;
  /// File that lines are appended to; empty for standard error.
  std::string m_file;
  /// Lines go to standard output through a bounded buffer: a reader that is
  /// slow or stopped costs lines, never time. FlushLog writes what can be
  /// written without waiting.
  bool m_standard_output = false;
  /// Lines a second of each weight; more are dropped and counted. Zero for no
  /// limit.
  int m_max_ordinary_per_second = 0;
  int m_max_unusual_per_second = 0;
};

/// Sets up logging for the process; before it, events go to standard error at
/// level info. Errors: kUnavailable when the file can't be opened.
auto StartLogging(const LogOptions& options) -> Status;

/// Writes one line: time, level, number, name and fields as name=value, quoted
/// where needed. Safe to call from several threads.
auto LogEvent(LogEventId id,
              const std::vector<LogField>& fields = {},
              LogWeight weight = LogWeight::kUnusual) -> void;

/// Writes what is buffered; call now and then, and before the process exits.
auto FlushLog() -> void;

/// The part of a line that LogEvent makes, without time and level.
auto FormatLogLine(LogEventId id, const std::vector<LogField>& fields)
    -> std::string;

/// The catalogue as the page docs/EVENTS.md.
auto FormatEventsPage() -> std::string;

}  // namespace dotterelshed

#endif  // DOTTERELSHED_LOG_EVENTS_H_
