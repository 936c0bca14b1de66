#ifndef DOTTERELSHED_CONFIG_TEXT_H_
#define DOTTERELSHED_CONFIG_TEXT_H_

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

#include "dotterelshed/desk_config.h"
#include "dotterelshed/error.h"

/// @file
/// The operators' text: JSON with comments, checked as a whole and compiled
/// to DeskConfig.

namespace dotterelshed {

/// Largest text that the platform can hold, with room for what stands beside
/// it in the object. The text counts as JSON writes it, with escapes.
inline constexpr std::size_t kMaxConfigTextBytes = 1000000;

/// One mistake in a text.
struct ConfigProblem {
  int m_line = 0;
  /// JSON path, "services[2].timeout".
  std::string m_path;
  std::string m_message;
  std::string m_remedy;
};

/// Either a configuration or every mistake found in one run.
struct ConfigCheck {
  std::vector<ConfigProblem> m_problems;
  DeskConfig m_config;
  auto ok() const -> bool { return m_problems.empty(); }
};

/// Parses and checks @p text. @p generation is written into the result.
auto CheckConfigText(std::string_view text, Generation generation)
    -> ConfigCheck;

/// One line per problem: "file:line: path: message; remedy".
auto FormatProblem(const ConfigProblem& problem, std::string_view file)
    -> std::string;

}  // namespace dotterelshed

#endif  // DOTTERELSHED_CONFIG_TEXT_H_
