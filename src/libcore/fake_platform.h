#ifndef DOTTERELSHED_LIBCORE_FAKE_PLATFORM_H_
#define DOTTERELSHED_LIBCORE_FAKE_PLATFORM_H_

#include <map>
#include <optional>
#include <pcg_random.hpp>
#include <vector>

#include "dotterelshed/error.h"
#include "dotterelshed/ids.h"
#include "dotterelshed/units.h"

/// @file
/// For tests only: objects with conditional update, and a clock with things
/// that happen at their time.

namespace dotterelshed::testing {

/// Objects by id, each with an m_version.
template <typename Id, typename Object>
class FakeStore {
 public:
  auto Read(const Id& id) const -> Result<Object> {
    const auto found = m_objects.find(id);
    if (found == m_objects.end()) {
      return Fail(ErrorCode::kNotFound, "no object");
    }
    return found->second;
  }

  auto Put(const Id& id, Object object) -> Result<Object> {
    const auto found = m_objects.find(id);
    const auto stored =
        found == m_objects.end() ? ResourceVersion() : found->second.m_version;
    if (object.m_version != stored) {
      return Fail(ErrorCode::kConflict, "another version");
    }
    m_version = m_version.Next();
    object.m_version = m_version;
    m_objects[id] = object;
    return object;
  }

  auto Delete(const Id& id) -> void { m_objects.erase(id); }
  auto objects() const -> const std::map<Id, Object>& { return m_objects; }

 private:
  std::map<Id, Object> m_objects;
  ResourceVersion m_version;
};

/// Things that happen at their time; those of one time keep their order.
template <typename Event>
class EventQueue {
 public:
  auto Add(TimePoint at, Event event) -> void {
    m_events.emplace(at, std::move(event));
  }

  /// The next event up to @p until.
  auto Take(TimePoint until) -> std::optional<std::pair<TimePoint, Event>> {
    if (m_events.empty() || m_events.begin()->first > until) {
      return std::nullopt;
    }
    auto node = m_events.extract(m_events.begin());
    return std::pair(node.key(), std::move(node.mapped()));
  }

 private:
  std::multimap<TimePoint, Event> m_events;
};

/// Random choices of one walk.
class RandomSource {
 public:
  explicit RandomSource(std::uint64_t seed) : m_random(seed) {}

  /// 0 up to @p count - 1.
  auto Below(std::uint32_t count) -> std::uint32_t { return m_random(count); }
  auto Chance(std::uint32_t percent) -> bool { return Below(100) < percent; }
  auto Between(Duration low, Duration high) -> Duration {
    const auto span = static_cast<std::uint32_t>((high - low).count());
    return low + Duration(Below(span + 1));
  }

 private:
  pcg32 m_random;
};

/// Number of walks, more through the environment: DOTTERELSHED_WALKS=N.
inline auto RandomizedTestCount(int usual) -> int {
  const auto* const text = std::getenv("DOTTERELSHED_WALKS");
  return text == nullptr ? usual : std::atoi(text);
}

/// Seed of the first walk: DOTTERELSHED_SEED=N.
inline auto FirstSeed() -> std::uint64_t {
  const auto* const text = std::getenv("DOTTERELSHED_SEED");
  return text == nullptr ? 1 : std::strtoull(text, nullptr, 10);
}

}  // namespace dotterelshed::testing

#endif  // DOTTERELSHED_LIBCORE_FAKE_PLATFORM_H_
