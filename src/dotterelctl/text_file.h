#ifndef DOTTERELSHED_DOTTERELCTL_TEXT_FILE_H_
#define DOTTERELSHED_DOTTERELCTL_TEXT_FILE_H_

#include <optional>
#include <string>

#include "command.h"
#include "dotterelshed/config_text.h"
#include "dotterelshed/error.h"

/// @file
/// Reads and checks the operators' text.

namespace dotterelshed::ctl {

/// Reads a whole file; "-" is standard input. Errors: kNotFound.
auto ReadTextFile(const std::string& path) -> Result<std::string>;

/// Writes the problems of a text for people or as JSON.
auto PrintProblems(const ConfigCheck& check,
                   const std::string& file,
                   const CommandOptions& options,
                   const CommandOutput& output) -> void;

/// A text without mistakes and what it says.
struct CheckedText {
  std::string m_text;
  DeskConfig m_config;
};

/// Reads and checks the file named by the command's first word. Reports what
/// is wrong and leaves the exit code in @p code if there is no good text.
auto LoadCheckedText(const CommandOptions& options,
                     const CommandOutput& output,
                     ExitCode& code) -> std::optional<CheckedText>;

}  // namespace dotterelshed::ctl

#endif  // DOTTERELSHED_DOTTERELCTL_TEXT_FILE_H_
