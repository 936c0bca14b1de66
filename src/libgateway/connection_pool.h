#ifndef DOTTERELSHED_CONNECTION_POOL_H_
#define DOTTERELSHED_CONNECTION_POOL_H_

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "dotterelshed/http_client.h"
#include "dotterelshed/units.h"

/// @file
/// Kept connections to endpoints and hosts, by address.

namespace dotterelshed {

struct ConnectionPoolOptions {
  Duration m_connect_timeout = std::chrono::milliseconds(250);
  /// Connections idle for longer are closed, unless the other side said that it
  /// keeps them for less.
  Duration m_max_idle = std::chrono::seconds(20);
  std::size_t m_max_idle_per_address = 8;
};

class ConnectionPool {
 public:
  using AcquireCallback =
      std::function<void(std::shared_ptr<ClientConnection>)>;

  ConnectionPool(EventLoop& loop, const ConnectionPoolOptions& options);

  /// Gives a kept connection at once, or a new one later; nullptr when it can't
  /// be established.
  /// @param max_idle  a kept connection that was idle for longer isn't given.
  auto Acquire(const std::string& address,
               Duration max_idle,
               AcquireCallback on_acquired) -> void;

  /// Gives a connection back after an exchange.
  /// @param keep_alive  time for which the other side keeps it open, if known.
  auto Release(const std::string& address,
               const std::shared_ptr<ClientConnection>& connection,
               std::optional<Duration> keep_alive) -> void;

  /// Closes what has been idle for too long.
  auto Tick(TimePoint now) -> void;
  /// Closes the kept connections of an address.
  auto CloseIdle(const std::string& address) -> void;

 private:
  struct Idle {
    std::shared_ptr<ClientConnection> m_connection;
    TimePoint m_since;
    TimePoint m_until;
  };

  EventLoop& m_loop;
  ConnectionPoolOptions m_options;
  std::map<std::string, std::vector<Idle>> m_idle;
};

}  // namespace dotterelshed

#endif  // DOTTERELSHED_CONNECTION_POOL_H_
