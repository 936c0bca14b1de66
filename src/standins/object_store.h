#ifndef DOTTERELSHED_STANDINS_OBJECT_STORE_H_
#define DOTTERELSHED_STANDINS_OBJECT_STORE_H_

#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <deque>
#include <map>
#include <mutex>
#include <string>
#include <utility>
#include <vector>

#include "standin.h"

/// @file
/// Versioned objects with conditional update and a bounded history for
/// watches: the store behind the platform stand-in.

namespace dotterelshed::standins {

/// An answer of the store: HTTP status and body.
struct StoreAnswer {
  int m_status = 200;
  Json m_body;
};

/// One change, as a watch reports it.
struct StoreChange {
  std::int64_t m_version = 0;
  std::string m_kind;
  Json m_event;
  Clock::time_point m_at;
};

class ObjectStore {
 public:
  explicit ObjectStore(std::size_t history_limit)
      : m_history_limit(history_limit) {}

  auto Get(const std::string& kind, const std::string& name) -> StoreAnswer;
  auto List(const std::string& kind) -> StoreAnswer;

  /// Stores @p object. metadata.resourceVersion "0" means create, another
  /// number must match, absent means whatever is there. 409 on a conflict.
  auto Put(const std::string& kind, const std::string& name, Json object)
      -> StoreAnswer;

  /// Deletes; @p version as in Put, empty for any.
  auto Delete(const std::string& kind,
              const std::string& name,
              const std::string& version) -> StoreAnswer;

  /// Changes of @p kind after @p after, waiting up to @p wait for one.
  /// @return false when @p after is older than the history kept
  auto Changes(const std::string& kind,
               std::int64_t after,
               std::chrono::milliseconds wait,
               std::vector<StoreChange>& changes) -> bool;

  /// Lists and watches of @p kind show changes this much later.
  auto SetLag(const std::string& kind, std::chrono::milliseconds lag) -> void;

 private:
  using Objects = std::map<std::string, Json>;

  auto LagOf(const std::string& kind) const -> std::chrono::milliseconds;
  auto Record(const std::string& kind, const char* type, const Json& object)
      -> void;
  auto ObjectsBefore(const std::string& kind, Clock::time_point limit) const
      -> std::pair<Objects, std::int64_t>;

  const std::size_t m_history_limit;
  std::mutex m_mutex;
  std::condition_variable m_changed;
  std::int64_t m_version = 0;
  /// Highest version that has left the history.
  std::int64_t m_forgotten = 0;
  std::map<std::string, Objects> m_objects;
  std::deque<StoreChange> m_history;
  std::map<std::string, std::chrono::milliseconds> m_lags;
};

}  // namespace dotterelshed::standins

#endif  // DOTTERELSHED_STANDINS_OBJECT_STORE_H_
