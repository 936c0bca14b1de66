#ifndef DOTTERELSHED_TEST_STORE_H_
#define DOTTERELSHED_TEST_STORE_H_

#include <list>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "dotterelshed/http_listener.h"

/// @file
/// A minimal in-memory server for the platform's object store protocol, for
/// unit tests and the soak test: objects by kind and name, conditional writes,
/// watches.

namespace dotterelshed {

class TestStore {
 public:
  explicit TestStore(EventLoop& loop);

  auto Listen(const TcpAddress& address) -> Status;
  auto address() const -> TcpAddress { return m_listener.local_address(); }
  /// Writes an object unconditionally, as operators and endpoints do.
  auto Put(const std::string& kind,
           const std::string& name,
           const nlohmann::json& spec) -> void;
  /// The same with a content that needn't be valid JSON.
  auto PutRaw(const std::string& kind,
              const std::string& name,
              const std::string& spec) -> void;
  auto Remove(const std::string& kind, const std::string& name) -> void;
  /// The object as stored; null if there is none.
  auto Find(const std::string& kind, const std::string& name) -> nlohmann::json;
  /// While set, every call is answered with 503.
  auto SetDown(bool down) -> void { m_down = down; }
  /// Applies the next @p count writes to a kind without answering them.
  auto DropAnswers(const std::string& kind, int count) -> void {
    m_dropped_answers[kind] = count;
  }
  /// Number of reads and writes of objects of a kind so far.
  auto calls(const std::string& kind) const -> int {
    const auto found = m_calls.find(kind);
    return found == m_calls.end() ? 0 : found->second;
  }
  /// Number of listings of a kind so far.
  auto listings(const std::string& kind) const -> int {
    const auto found = m_listings.find(kind);
    return found == m_listings.end() ? 0 : found->second;
  }
  /// Number of requests that were refused so far.
  auto refused() const -> int { return m_refused; }
  /// Handles requests for objects of a kind only after @p delay.
  auto SetDelay(const std::string& kind, Duration delay) -> void {
    m_delays[kind] = delay;
  }
  /// While set, watches report no changes.
  auto SetSilentWatches(bool silent) -> void { m_silent_watches = silent; }
  /// Drops all pending watches without an answer; their connections stay open.
  auto StallWatches() -> void;
  auto Tick(TimePoint now) -> void;

 private:
  struct Change {
    std::string m_kind;
    std::int64_t m_version = 0;
    nlohmann::json m_event;
  };
  struct Delayed {
    std::shared_ptr<ServerConnection> m_connection;
    IncomingRequest m_request;
    TimePoint m_due;
  };
  struct Waiting {
    std::shared_ptr<ServerConnection> m_connection;
    std::string m_kind;
    std::int64_t m_since = 0;
    TimePoint m_until;
  };

  auto Reply(const std::shared_ptr<ServerConnection>& connection,
             int status,
             const nlohmann::json& body) const -> void;
  auto OnRequest(const std::shared_ptr<ServerConnection>& connection,
                 const IncomingRequest& request) -> void;
  auto Handle(const std::shared_ptr<ServerConnection>& connection,
              const IncomingRequest& request) -> void;
  auto HandleDelayed(TimePoint now) -> void;
  auto OnRead(const std::shared_ptr<ServerConnection>& connection,
              const std::string& kind,
              const std::string& name,
              const std::string& query) -> void;
  auto OnWrite(const std::shared_ptr<ServerConnection>& connection,
               const IncomingRequest& request,
               const std::string& kind,
               std::string name,
               bool status) -> void;
  auto ChangesSince(const std::string& kind, std::int64_t since)
      -> nlohmann::json;
  auto Store(const std::string& kind,
             const std::string& name,
             nlohmann::json object,
             bool removed) -> void;
  auto NotifyWatches() -> void;

  HttpListener m_listener;
  std::map<std::string, std::map<std::string, nlohmann::json>> m_objects;
  /// Contents that aren't JSON, by the placeholder text stored for them.
  std::map<std::string, std::string> m_raw_specs;
  std::vector<Change> m_history;
  std::list<Waiting> m_waiting;
  /// Connections of dropped watches, kept open.
  std::vector<std::shared_ptr<ServerConnection>> m_silent;
  std::int64_t m_version = 100;
  bool m_down = false;
  int m_refused = 0;
  bool m_silent_watches = false;
  std::map<std::string, int> m_dropped_answers;
  std::map<std::string, int> m_calls;
  std::map<std::string, int> m_listings;
  std::map<std::string, Duration> m_delays;
  std::list<Delayed> m_delayed;
};

}  // namespace dotterelshed

#endif  // DOTTERELSHED_TEST_STORE_H_
