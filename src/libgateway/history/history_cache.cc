#include "history/history_cache.h"

#include <utility>

namespace dotterelshed {

auto HistoryCache::Put(const RequestId& turn, HistoryText text) -> void {
  if (m_by_turn.contains(turn)) {
    return;
  }
  m_bytes += text->size();
  m_items.push_front({turn, std::move(text)});
  m_by_turn[turn] = m_items.begin();
  while (m_bytes > m_max_bytes) {
    m_bytes -= m_items.back().m_text->size();
    m_by_turn.erase(m_items.back().m_turn);
    m_items.pop_back();
  }
}

auto HistoryCache::Find(const RequestId& turn) -> HistoryText {
  const auto found = m_by_turn.find(turn);
  if (found == m_by_turn.end()) {
    return nullptr;
  }
  m_items.splice(m_items.begin(), m_items, found->second);
  return found->second->m_text;
}

}  // namespace dotterelshed
