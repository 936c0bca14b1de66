#include "dotterelshed/config_diff.h"

#include <algorithm>

#include "node_reader.h"
#include "text_tree.h"

namespace dotterelshed {

namespace {

using pvt::NodeKind;
using pvt::TextNode;

/// Longest value that a difference shows whole.
constexpr std::size_t kMaxShownValue = 200;

auto Join(const std::vector<std::string>& parts) -> std::string {
  std::string text;
  for (const auto& part : parts) {
    text += (text.empty() ? "" : ", ") + part;
  }
  return text;
}

/// The value as compact JSON.
auto Show(const TextNode& node) -> std::string {
  std::vector<std::string> parts;
  switch (node.m_kind) {
    case NodeKind::kNull:
      return "null";
    case NodeKind::kBoolean:
      return node.m_boolean ? "true" : "false";
    case NodeKind::kInteger:
      return std::to_string(node.m_integer);
    case NodeKind::kDecimal:
      return node.m_text;
    case NodeKind::kText:
      return "\"" + node.m_text + "\"";
    case NodeKind::kList:
      std::transform(node.m_items.begin(), node.m_items.end(),
                     std::back_inserter(parts), Show);
      return "[" + Join(parts) + "]";
    case NodeKind::kMap:
      for (const auto& member : node.m_members) {
        parts.push_back("\"" + member.m_key + "\": " + Show(member.m_value));
      }
      return "{" + Join(parts) + "}";
  }
  return "";
}

auto ShowShort(const TextNode& node) -> std::string {
  auto text = Show(node);
  if (text.size() > kMaxShownValue) {
    text.resize(kMaxShownValue);
    text += "...";
  }
  return text;
}

/// Whether every item of a list is a map with a name.
auto HasNames(const TextNode& list) -> bool {
  return std::all_of(list.m_items.begin(), list.m_items.end(),
                     [](const TextNode& item) {
                       return !pvt::ReadText(item, "name").empty();
                     });
}

auto FindNamed(const TextNode& list, const std::string& name)
    -> const TextNode* {
  const auto found = std::find_if(list.m_items.begin(), list.m_items.end(),
                                  [&](const TextNode& item) {
                                    return pvt::ReadText(item, "name") == name;
                                  });
  return found == list.m_items.end() ? nullptr : &*found;
}

/// Walks two trees side by side.
class Differ {
 public:
  auto Run(const TextNode& before, const TextNode& after)
      -> std::vector<ConfigChange> {
    CompareMembers(before, after, "");
    return std::move(m_changes);
  }

 private:
  auto Note(ChangeKind kind,
            const std::string& path,
            const TextNode* before,
            const TextNode* after) -> void {
    m_changes.push_back(
        {.m_section = path.substr(0, path.find_first_of(".[")),
         .m_path = path,
         .m_kind = kind,
         .m_before = before == nullptr ? "" : ShowShort(*before),
         .m_after = after == nullptr ? "" : ShowShort(*after)});
  }

  /// One of the two may be missing.
  auto Compare(const TextNode* before,
               const TextNode* after,
               const std::string& path) -> void {
    if (before == nullptr || after == nullptr) {
      Note(before == nullptr ? ChangeKind::kAdded : ChangeKind::kRemoved, path,
           before, after);
      return;
    }
    const auto same_kind = before->m_kind == after->m_kind;
    if (same_kind && before->m_kind == NodeKind::kMap) {
      CompareMembers(*before, *after, path);
    } else if (same_kind && before->m_kind == NodeKind::kList &&
               HasNames(*before) && HasNames(*after)) {
      CompareNamed(*before, *after, path);
    } else if (Show(*before) != Show(*after)) {
      Note(ChangeKind::kChanged, path, before, after);
    }
  }

  auto CompareMembers(const TextNode& before,
                      const TextNode& after,
                      const std::string& path) -> void {
    for (const auto& member : before.m_members) {
      Compare(&member.m_value, after.Find(member.m_key),
              pvt::MemberPath(path, member.m_key));
    }
    for (const auto& member : after.m_members) {
      if (before.Find(member.m_key) == nullptr) {
        Compare(nullptr, &member.m_value, pvt::MemberPath(path, member.m_key));
      }
    }
  }

  auto CompareNamed(const TextNode& before,
                    const TextNode& after,
                    const std::string& path) -> void {
    for (const auto& item : before.m_items) {
      const auto name = pvt::ReadText(item, "name");
      Compare(&item, FindNamed(after, name), path + "[" + name + "]");
    }
    for (const auto& item : after.m_items) {
      const auto name = pvt::ReadText(item, "name");
      if (FindNamed(before, name) == nullptr) {
        Compare(nullptr, &item, path + "[" + name + "]");
      }
    }
  }

  std::vector<ConfigChange> m_changes;
};

auto FormatChange(const ConfigChange& change) -> std::string {
  switch (change.m_kind) {
    case ChangeKind::kAdded:
      return "+ " + change.m_path + ": " + change.m_after;
    case ChangeKind::kRemoved:
      return "- " + change.m_path + ": " + change.m_before;
    case ChangeKind::kChanged:
      break;
  }
  return "~ " + change.m_path + ": " + change.m_before + " -> " +
         change.m_after;
}

}  // namespace

auto ToString(ChangeKind kind) -> std::string_view {
  switch (kind) {
    case ChangeKind::kAdded:
      return "added";
    case ChangeKind::kRemoved:
      return "removed";
    case ChangeKind::kChanged:
      return "changed";
  }
  return "changed";
}

auto DiffConfigTexts(std::string_view before, std::string_view after)
    -> std::vector<ConfigChange> {
  const auto old_tree = pvt::ParseTextTree(before);
  const auto new_tree = pvt::ParseTextTree(after);
  return Differ().Run(old_tree.m_root, new_tree.m_root);
}

auto FormatChanges(const std::vector<ConfigChange>& changes) -> std::string {
  std::string text;
  std::string section;
  for (const auto& change : changes) {
    if (change.m_section != section) {
      section = change.m_section;
      text += section + "\n";
    }
    text += "  " + FormatChange(change) + "\n";
  }
  return text;
}

}  // namespace dotterelshed
