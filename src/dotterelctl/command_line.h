#ifndef DOTTERELSHED_DOTTERELCTL_COMMAND_LINE_H_
#define DOTTERELSHED_DOTTERELCTL_COMMAND_LINE_H_

#include <string>
#include <vector>

#include "command.h"

/// @file
/// From words on the command line to a command that runs.

namespace dotterelshed::ctl {

/// Runs the command that @p arguments (without the program's name) ask for.
/// Never throws.
auto RunCommandLine(const std::vector<std::string>& arguments,
                    const CommandOutput& output) -> ExitCode;

/// The help text.
auto FormatHelp() -> std::string;

}  // namespace dotterelshed::ctl

#endif  // DOTTERELSHED_DOTTERELCTL_COMMAND_LINE_H_
