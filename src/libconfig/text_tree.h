#ifndef DOTTERELSHED_LIBCONFIG_TEXT_TREE_H_
#define DOTTERELSHED_LIBCONFIG_TEXT_TREE_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "dotterelshed/config_text.h"

/// @file
/// A JSON text with comments as a tree whose nodes know their lines.

namespace dotterelshed::pvt {

enum class NodeKind { kNull, kBoolean, kInteger, kDecimal, kText, kList, kMap };

/// Name of a kind as operators know it.
auto ToString(NodeKind kind) -> std::string_view;

struct TextMember;

/// One value of the text.
struct TextNode {
  NodeKind m_kind = NodeKind::kNull;
  /// Line on which the value starts, counted from 1.
  int m_line = 1;
  bool m_boolean = false;
  std::int64_t m_integer = 0;
  std::string m_text;
  /// In the order of the text.
  std::vector<TextNode> m_items;
  std::vector<TextMember> m_members;

  /// The member called @p key, or nullptr.
  auto Find(std::string_view key) const -> const TextNode*;
};

/// A key and its value.
struct TextMember {
  std::string m_key;
  int m_line = 1;
  TextNode m_value;
};

/// A parsed text, or the problems that kept it from being one.
struct ParsedText {
  TextNode m_root;
  std::vector<ConfigProblem> m_problems;
};

/// Parses @p text. Syntax errors, doubled keys and too deep nesting become
/// problems; never throws.
auto ParseTextTree(std::string_view text) -> ParsedText;

/// Path of a member or list item below @p path.
auto MemberPath(std::string_view path, std::string_view key) -> std::string;
auto ItemPath(std::string_view path, std::size_t index) -> std::string;

}  // namespace dotterelshed::pvt

#endif  // DOTTERELSHED_LIBCONFIG_TEXT_TREE_H_
