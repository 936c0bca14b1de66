#include "dotterelshed/stream_origins.h"

namespace dotterelshed {

namespace {

/// Drops the oldest while they have expired or there are too many.
auto DropOldest(StreamOrigins& origins, TimePoint now) -> void {
  while (!origins.m_order.empty()) {
    const auto oldest = origins.m_by_attempt.find(origins.m_order.front());
    const auto kept = oldest != origins.m_by_attempt.end() &&
                      oldest->second.m_expires > now &&
                      origins.m_order.size() <= kMaxStreamOrigins;
    if (kept) {
      return;
    }
    if (oldest != origins.m_by_attempt.end()) {
      origins.m_by_attempt.erase(oldest);
    }
    origins.m_order.pop_front();
  }
}

}  // namespace

auto AddOrigin(StreamOrigins& origins,
               const RequestId& attempt,
               const StreamOrigin& origin,
               TimePoint now) -> void {
  if (origins.m_by_attempt.emplace(attempt, origin).second) {
    origins.m_order.push_back(attempt);
  }
  DropOldest(origins, now);
}

auto FindOrigin(const StreamOrigins& origins,
                const RequestId& attempt,
                TimePoint now) -> std::optional<SoftwareVersion> {
  const auto found = origins.m_by_attempt.find(attempt);
  const auto known =
      found != origins.m_by_attempt.end() && found->second.m_expires > now;
  return known ? std::optional(found->second.m_software) : std::nullopt;
}

}  // namespace dotterelshed
