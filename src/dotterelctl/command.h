#ifndef DOTTERELSHED_DOTTERELCTL_COMMAND_H_
#define DOTTERELSHED_DOTTERELCTL_COMMAND_H_

#include <cstdint>
#include <iosfwd>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "dotterelshed/error.h"
#include "dotterelshed/units.h"
#include "exit_code.h"

/// @file
/// What commands have in common: their options, their output streams and the
/// table of all of them.

namespace dotterelshed::ctl {

/// Options of every command; each command takes some of them.
struct CommandOptions {
  /// Words that are not options: FILE, HOST or KEY.
  std::vector<std::string> m_words;
  /// Address of the platform's object API.
  std::string m_platform;
  /// HTTP addresses of hosts.
  std::vector<std::string> m_hosts;
  /// Generation that a text was edited from; 0 when not given.
  std::int64_t m_base = 0;
  /// Longest wait; each command has a default of its own.
  std::optional<Duration> m_wait;
  /// Outcome that a person states for a call.
  std::string m_outcome;
  bool m_json = false;
  bool m_all = false;
  bool m_markdown = false;
  bool m_metrics = false;
  /// explain: the id is a program's, or an endpoint's.
  bool m_program = false;
  bool m_server = false;
};

/// Where a command writes to.
struct CommandOutput {
  std::ostream& m_out;
  std::ostream& m_error;
};

using CommandFunction = ExitCode (*)(const CommandOptions& options,
                                     const CommandOutput& output);

/// One command of dotterelctl.
struct Command {
  std::string_view m_name;
  /// Words that it needs: "FILE", "HOST" or ""; more may follow where it ends
  /// with "...".
  std::string_view m_words;
  /// Names of the options that it takes, "platform json".
  std::string_view m_options;
  std::string_view m_summary;
  CommandFunction m_run;
};

/// All commands, in the order of the help text.
auto Commands() -> std::span<const Command>;

auto RunCheck(const CommandOptions& options, const CommandOutput& output)
    -> ExitCode;
auto RunDiff(const CommandOptions& options, const CommandOutput& output)
    -> ExitCode;
auto RunApply(const CommandOptions& options, const CommandOutput& output)
    -> ExitCode;
auto RunGet(const CommandOptions& options, const CommandOutput& output)
    -> ExitCode;
auto RunStatus(const CommandOptions& options, const CommandOutput& output)
    -> ExitCode;
auto RunDump(const CommandOptions& options, const CommandOutput& output)
    -> ExitCode;
auto RunDrain(const CommandOptions& options, const CommandOutput& output)
    -> ExitCode;
auto RunActions(const CommandOptions& options, const CommandOutput& output)
    -> ExitCode;
auto RunResolve(const CommandOptions& options, const CommandOutput& output)
    -> ExitCode;
auto RunExplain(const CommandOptions& options, const CommandOutput& output)
    -> ExitCode;
auto RunReference(const CommandOptions& options, const CommandOutput& output)
    -> ExitCode;
auto RunEvents(const CommandOptions& options, const CommandOutput& output)
    -> ExitCode;

/// Seconds since 1970, as claims have them.
auto WallClockSeconds() -> std::int64_t;

/// Writes an error for people, or as JSON, and returns its exit code.
auto ReportError(const Error& error,
                 const CommandOptions& options,
                 const CommandOutput& output) -> ExitCode;

}  // namespace dotterelshed::ctl

#endif  // DOTTERELSHED_DOTTERELCTL_COMMAND_H_
