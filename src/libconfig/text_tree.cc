#include "text_tree.h"

#include <algorithm>
#include <cstddef>
#include <iterator>
#include <limits>
#include <nlohmann/json.hpp>

namespace dotterelshed::pvt {

namespace {

using Json = nlohmann::json;

/// Deepest nesting of lists and maps; the known keys need six.
constexpr std::size_t kMaxDepth = 32;

/// How far the parser has read, in characters and lines.
struct ReadPosition {
  std::size_t m_offset = 0;
  /// Line of the last character read; a line break belongs to its own line.
  int m_line = 1;
  bool m_after_break = false;
};

/// Input iterator that keeps a ReadPosition up to date.
class CountingIterator {
 public:
  // Names below are set by std::iterator_traits.
  using iterator_category = std::input_iterator_tag;  // NOLINT
  using value_type = char;                            // NOLINT
  using difference_type = std::ptrdiff_t;             // NOLINT
  using pointer = const char*;                        // NOLINT
  using reference = const char&;                      // NOLINT

  CountingIterator(const char* current, ReadPosition* position)
      : m_current(current), m_position(position) {}

  auto operator*() const -> const char& { return *m_current; }
  auto operator++() -> CountingIterator& {
    if (m_position->m_after_break) {
      ++m_position->m_line;
    }
    m_position->m_after_break = *m_current == '\n';
    ++m_position->m_offset;
    ++m_current;
    return *this;
  }
  auto operator++(int) -> CountingIterator {
    auto before = *this;
    ++*this;
    return before;
  }
  auto operator==(const CountingIterator& other) const -> bool {
    return m_current == other.m_current;
  }
  auto operator!=(const CountingIterator& other) const -> bool {
    return m_current != other.m_current;
  }

 private:
  const char* m_current;
  ReadPosition* m_position;
};

/// The part of the library's message that is for people.
auto ShortMessage(std::string message) -> std::string {
  const auto start = message.find("syntax error");
  if (start != std::string::npos) {
    message.erase(0, start);
  }
  return message;
}

/// Receives the parser's events and builds the tree. Method names and
/// signatures are set by the library.
class TreeBuilder : public nlohmann::json_sax<Json> {
 public:
  TreeBuilder(ParsedText& result, const ReadPosition& position)
      : m_result(result), m_position(position) {}

  auto null() -> bool override { return Add(Node(NodeKind::kNull)); }
  auto boolean(bool value) -> bool override {
    auto node = Node(NodeKind::kBoolean);
    node.m_boolean = value;
    return Add(std::move(node));
  }
  auto number_integer(number_integer_t value) -> bool override {
    auto node = Node(NodeKind::kInteger);
    node.m_integer = value;
    return Add(std::move(node));
  }
  auto number_unsigned(number_unsigned_t value) -> bool override {
    constexpr auto kLargest = std::numeric_limits<std::int64_t>::max();
    auto node = Node(NodeKind::kInteger);
    node.m_integer = static_cast<std::int64_t>(
        std::min(value, static_cast<number_unsigned_t>(kLargest)));
    return Add(std::move(node));
  }
  auto number_float(number_float_t /*value*/, const string_t& text)
      -> bool override {
    auto node = Node(NodeKind::kDecimal);
    node.m_text = text;
    return Add(std::move(node));
  }
  auto string(string_t& value) -> bool override {
    auto node = Node(NodeKind::kText);
    node.m_text = value;
    return Add(std::move(node));
  }
  auto binary(binary_t& /*value*/) -> bool override { return false; }

  auto start_object(std::size_t /*count*/) -> bool override {
    return Open(NodeKind::kMap);
  }
  auto start_array(std::size_t /*count*/) -> bool override {
    return Open(NodeKind::kList);
  }
  auto end_object() -> bool override { return Close(); }
  auto end_array() -> bool override { return Close(); }

  auto key(string_t& name) -> bool override {
    auto& top = m_open.back();
    if (top.m_node.Find(name) != nullptr) {
      Report(MemberPath(top.m_path, name), "the key stands twice",
             "keep one of the two");
    }
    top.m_key = name;
    top.m_key_line = m_position.m_line;
    return true;
  }

  auto parse_error(std::size_t /*offset*/,
                   const std::string& /*token*/,
                   const nlohmann::detail::exception& error) -> bool override {
    Report(m_open.empty() ? "" : m_open.back().m_path,
           ShortMessage(error.what()),
           "correct the JSON here or just before this place");
    return false;
  }

 private:
  /// A list or map whose end has not come yet.
  struct OpenNode {
    TextNode m_node;
    std::string m_path;
    std::string m_key;
    int m_key_line = 1;
  };

  auto Node(NodeKind kind) const -> TextNode {
    TextNode node;
    node.m_kind = kind;
    node.m_line = m_position.m_line;
    return node;
  }

  auto Report(std::string path, std::string message, std::string remedy)
      -> void {
    m_result.m_problems.push_back({.m_line = m_position.m_line,
                                   .m_path = std::move(path),
                                   .m_message = std::move(message),
                                   .m_remedy = std::move(remedy)});
  }

  auto Open(NodeKind kind) -> bool {
    if (m_open.size() >= kMaxDepth) {
      Report(m_open.back().m_path, "lists and maps are nested too deep",
             "nest at most " + std::to_string(kMaxDepth) + " levels");
      return false;
    }
    m_open.push_back({.m_node = Node(kind), .m_path = NextPath()});
    return true;
  }

  auto NextPath() const -> std::string {
    if (m_open.empty()) {
      return "";
    }
    const auto& top = m_open.back();
    if (top.m_node.m_kind == NodeKind::kList) {
      return ItemPath(top.m_path, top.m_node.m_items.size());
    }
    return MemberPath(top.m_path, top.m_key);
  }

  auto Close() -> bool {
    auto node = std::move(m_open.back().m_node);
    m_open.pop_back();
    return Add(std::move(node));
  }

  auto Add(TextNode node) -> bool {
    if (m_open.empty()) {
      m_result.m_root = std::move(node);
      return true;
    }
    auto& top = m_open.back();
    if (top.m_node.m_kind == NodeKind::kList) {
      top.m_node.m_items.push_back(std::move(node));
    } else {
      top.m_node.m_members.push_back({.m_key = top.m_key,
                                      .m_line = top.m_key_line,
                                      .m_value = std::move(node)});
    }
    return true;
  }

  ParsedText& m_result;
  const ReadPosition& m_position;
  std::vector<OpenNode> m_open;
};

}  // namespace

auto ToString(NodeKind kind) -> std::string_view {
  switch (kind) {
    case NodeKind::kNull:
      return "null";
    case NodeKind::kBoolean:
      return "true or false";
    case NodeKind::kInteger:
      return "a whole number";
    case NodeKind::kDecimal:
      return "a decimal number";
    case NodeKind::kText:
      return "a string";
    case NodeKind::kList:
      return "a list";
    case NodeKind::kMap:
      return "a map";
  }
  return "null";
}

auto TextNode::Find(std::string_view key) const -> const TextNode* {
  const auto found = std::find_if(
      m_members.begin(), m_members.end(),
      [key](const TextMember& member) { return member.m_key == key; });
  return found == m_members.end() ? nullptr : &found->m_value;
}

auto ParseTextTree(std::string_view text) -> ParsedText {
  ParsedText result;
  ReadPosition position;
  TreeBuilder builder(result, position);
  const auto* end = text.data() + text.size();
  Json::sax_parse(CountingIterator(text.data(), &position),
                  CountingIterator(end, &position), &builder,
                  Json::input_format_t::json, /*strict=*/true,
                  /*ignore_comments=*/true);
  return result;
}

auto MemberPath(std::string_view path, std::string_view key) -> std::string {
  auto result = std::string(path);
  if (!result.empty()) {
    result += '.';
  }
  return result.append(key);
}

auto ItemPath(std::string_view path, std::size_t index) -> std::string {
  return std::string(path) + "[" + std::to_string(index) + "]";
}

}  // namespace dotterelshed::pvt
