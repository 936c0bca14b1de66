#ifndef DOTTERELSHED_LIBCONFIG_NODE_READER_H_
#define DOTTERELSHED_LIBCONFIG_NODE_READER_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "dotterelshed/units.h"
#include "text_tree.h"

/// @file
/// Reads members of a map whose mistakes have been reported by CheckKeys: a
/// member that is missing or malformed yields the fallback.

namespace dotterelshed::pvt {

auto ReadText(const TextNode& map,
              std::string_view key,
              const std::string& fallback = "") -> std::string;
auto ReadCount(const TextNode& map, std::string_view key, std::int64_t fallback)
    -> std::int64_t;
auto ReadBoolean(const TextNode& map, std::string_view key, bool fallback)
    -> bool;
auto ReadDuration(const TextNode& map, std::string_view key, Duration fallback)
    -> Duration;
auto ReadBytes(const TextNode& map, std::string_view key, Bytes fallback)
    -> Bytes;
auto ReadPercent(const TextNode& map, std::string_view key, int fallback)
    -> int;
auto ReadMoney(const TextNode& map,
               std::string_view key,
               std::string_view currency) -> Cost;

/// One name or address of a list, with its line.
struct ListedText {
  std::string m_text;
  int m_line = 1;
};
auto ReadTexts(const TextNode& map, std::string_view key)
    -> std::vector<ListedText>;

/// Items of a list member; empty if there is none.
auto ReadItems(const TextNode& map, std::string_view key)
    -> const std::vector<TextNode>&;

}  // namespace dotterelshed::pvt

#endif  // DOTTERELSHED_LIBCONFIG_NODE_READER_H_
