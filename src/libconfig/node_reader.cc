#include "node_reader.h"

#include "text_values.h"

namespace dotterelshed::pvt {

namespace {

auto FindKind(const TextNode& map, std::string_view key, NodeKind kind)
    -> const TextNode* {
  const auto* node = map.Find(key);
  return node != nullptr && node->m_kind == kind ? node : nullptr;
}

}  // namespace

auto ReadText(const TextNode& map,
              std::string_view key,
              const std::string& fallback) -> std::string {
  const auto* node = FindKind(map, key, NodeKind::kText);
  return node == nullptr ? fallback : node->m_text;
}

auto ReadCount(const TextNode& map, std::string_view key, std::int64_t fallback)
    -> std::int64_t {
  const auto* node = FindKind(map, key, NodeKind::kInteger);
  return node == nullptr ? fallback : node->m_integer;
}

auto ReadBoolean(const TextNode& map, std::string_view key, bool fallback)
    -> bool {
  const auto* node = FindKind(map, key, NodeKind::kBoolean);
  return node == nullptr ? fallback : node->m_boolean;
}

auto ReadDuration(const TextNode& map, std::string_view key, Duration fallback)
    -> Duration {
  return ParseDuration(ReadText(map, key)).value_or(fallback);
}

auto ReadBytes(const TextNode& map, std::string_view key, Bytes fallback)
    -> Bytes {
  return ParseBytes(ReadText(map, key)).value_or(fallback);
}

auto ReadPercent(const TextNode& map, std::string_view key, int fallback)
    -> int {
  return ParsePercent(ReadText(map, key)).value_or(fallback);
}

auto ReadMoney(const TextNode& map,
               std::string_view key,
               std::string_view currency) -> Cost {
  return ParseMoney(ReadText(map, key), currency).value_or(Cost(0));
}

auto ReadTexts(const TextNode& map, std::string_view key)
    -> std::vector<ListedText> {
  std::vector<ListedText> result;
  for (const auto& item : ReadItems(map, key)) {
    result.push_back({.m_text = item.m_text, .m_line = item.m_line});
  }
  return result;
}

auto ReadItems(const TextNode& map, std::string_view key)
    -> const std::vector<TextNode>& {
  static const std::vector<TextNode> kNoItems;
  const auto* node = FindKind(map, key, NodeKind::kList);
  return node == nullptr ? kNoItems : node->m_items;
}

}  // namespace dotterelshed::pvt
