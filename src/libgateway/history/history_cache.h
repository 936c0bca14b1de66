#ifndef DOTTERELSHED_HISTORY_CACHE_H_
#define DOTTERELSHED_HISTORY_CACHE_H_

#include <list>
#include <memory>
#include <string>
#include <unordered_map>

#include "dotterelshed/ids.h"

/// @file
/// Histories of conversations that ran through this host, so that their next
/// turns need no call to a replica. The least recently used ones are dropped.

namespace dotterelshed {

using HistoryText = std::shared_ptr<const std::string>;

class HistoryCache {
 public:
  explicit HistoryCache(std::size_t max_bytes) : m_max_bytes(max_bytes) {}

  /// Adds the history up to and including @p turn.
  auto Put(const RequestId& turn, HistoryText text) -> void;
  /// Returns the history up to and including @p turn, or nullptr.
  auto Find(const RequestId& turn) -> HistoryText;
  auto bytes() const -> std::size_t { return m_bytes; }

 private:
  struct Item {
    RequestId m_turn;
    HistoryText m_text;
  };

  std::size_t m_max_bytes;
  std::size_t m_bytes = 0;
  /// Most recently used first.
  std::list<Item> m_items;
  std::unordered_map<RequestId, std::list<Item>::iterator> m_by_turn;
};

}  // namespace dotterelshed

#endif  // DOTTERELSHED_HISTORY_CACHE_H_
