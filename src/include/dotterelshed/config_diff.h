#ifndef DOTTERELSHED_CONFIG_DIFF_H_
#define DOTTERELSHED_CONFIG_DIFF_H_

#include <string>
#include <string_view>
#include <vector>

/// @file
/// What changed between two texts, by meaning: comments, layout and the order
/// of named items don't count.

namespace dotterelshed {

enum class ChangeKind { kAdded, kRemoved, kChanged };

/// Stable lower-case name: added, removed, changed.
auto ToString(ChangeKind kind) -> std::string_view;

/// One difference.
struct ConfigChange {
  /// Key at the top of the text that it stands under.
  std::string m_section;
  /// Path with named items, "services[assistant].timeout".
  std::string m_path;
  ChangeKind m_kind = ChangeKind::kChanged;
  /// Compact JSON; empty where there is none.
  std::string m_before;
  std::string m_after;
};

/// Differences from @p before to @p after, in the order of the texts. A text
/// that is not JSON counts as empty; check texts first.
auto DiffConfigTexts(std::string_view before, std::string_view after)
    -> std::vector<ConfigChange>;

/// Lines for people, grouped by section: "+ path: value", "- path: value",
/// "~ path: before -> after".
auto FormatChanges(const std::vector<ConfigChange>& changes) -> std::string;

}  // namespace dotterelshed

#endif  // DOTTERELSHED_CONFIG_DIFF_H_
