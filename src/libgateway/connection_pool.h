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
/// Pool of idle connections to endpoints and hosts, by address.

namespace dotterelshed {

struct ConnectionPoolOptions {
  Duration m_connect_timeout = std::chrono::milliseconds(250);
  /// Idle connections are closed after this time, or earlier if the other side
  /// announced a shorter keep-alive time.
  Duration m_max_idle = std::chrono::seconds(20);
  std::size_t m_max_idle_per_address = 8;
  /// Connections whose end the other side has announced are used until shortly
  /// before it, whatever shorter time the caller of Acquire names.
  bool m_trust_announced_end = false;
};

class ConnectionPool {
 public:
  using AcquireCallback =
      std::function<void(std::shared_ptr<ClientConnection>)>;

  ConnectionPool(EventLoop& loop, const ConnectionPoolOptions& options);

  /// Passes a pooled connection immediately, or a new one once it is
  /// established; nullptr if connecting fails.
  /// @param max_idle  Pooled connections that were idle for longer are not
  /// used, unless their end was announced and the options trust that.
  auto Acquire(const std::string& address,
               Duration max_idle,
               AcquireCallback on_acquired) -> void;

  /// Passes a new connection once it is established; nullptr if connecting
  /// fails.
  auto Connect(const std::string& address, AcquireCallback on_acquired) -> void;

  /// Returns a connection to the pool after an exchange.
  /// @param keep_alive  Time for which the other side keeps it open, if known.
  auto Release(const std::string& address,
               const std::shared_ptr<ClientConnection>& connection,
               std::optional<Duration> keep_alive) -> void;

  /// Closes connections that exceeded their idle time.
  auto Tick(TimePoint now) -> void;
  /// Makes connecting fail, as if the links were lost; for tests.
  auto SetBlocked(bool blocked) -> void { m_blocked = blocked; }
  /// Closes all idle connections.
  auto CloseAllIdle() -> void;
  /// Closes the idle connections to an address.
  auto CloseIdle(const std::string& address) -> void;

 private:
  struct Idle {
    std::shared_ptr<ClientConnection> m_connection;
    TimePoint m_since;
    TimePoint m_until;
    /// The other side has announced when it closes the connection.
    bool m_announced = false;
  };

  /// Returns true if an idle connection may be used for a request.
  auto IsFresh(const Idle& idle, Duration max_idle, TimePoint now) const
      -> bool;

  EventLoop& m_loop;
  ConnectionPoolOptions m_options;
  std::map<std::string, std::vector<Idle>> m_idle;
  bool m_blocked = false;
};

}  // namespace dotterelshed

#endif  // DOTTERELSHED_CONNECTION_POOL_H_
