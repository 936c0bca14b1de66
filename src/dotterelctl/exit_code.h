#ifndef DOTTERELSHED_DOTTERELCTL_EXIT_CODE_H_
#define DOTTERELSHED_DOTTERELCTL_EXIT_CODE_H_

#include "dotterelshed/error.h"

/// @file
/// Exit codes of dotterelctl, for scripts. They never change their meaning.

namespace dotterelshed::ctl {

enum class ExitCode : int {
  kOk = 0,
  /// The text has mistakes, or status shows something that does not hold.
  kProblems = 1,
  /// The command line itself is wrong.
  kUsage = 2,
  /// Somebody else changed the configuration first.
  kConflict = 3,
  /// The platform, a host or a file can't be reached.
  kUnavailable = 4,
  /// Accepted, but not in force everywhere within the time given.
  kNotInForce = 5,
  /// diff found differences.
  kDifferent = 6,
  /// Anything else.
  kInternal = 7,
};

/// The exit code for a failed call.
inline auto ToExitCode(const Error& error) -> ExitCode {
  switch (error.m_code) {
    case ErrorCode::kConflict:
      return ExitCode::kConflict;
    case ErrorCode::kUnavailable:
    case ErrorCode::kTimeout:
    case ErrorCode::kNotFound:
      return ExitCode::kUnavailable;
    case ErrorCode::kInvalidArgument:
      return ExitCode::kProblems;
    default:
      return ExitCode::kInternal;
  }
}

}  // namespace dotterelshed::ctl

#endif  // DOTTERELSHED_DOTTERELCTL_EXIT_CODE_H_
