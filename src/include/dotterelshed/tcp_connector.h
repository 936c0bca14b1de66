#ifndef DOTTERELSHED_TCP_CONNECTOR_H_
#define DOTTERELSHED_TCP_CONNECTOR_H_

#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <memory>
#include <optional>

#include "dotterelshed/byte_stream.h"
#include "dotterelshed/units.h"

/// @file
/// Makes one TCP connection within a time limit.

namespace dotterelshed {

struct ConnectOptions {
  Duration m_timeout = std::chrono::milliseconds(250);
  /// Silence after which unacknowledged bytes break the connection.
  Duration m_peer_timeout = std::chrono::seconds(3);
  /// True for connections that wait for long: probes find a silent one within
  /// about three seconds.
  bool m_probe = false;
};

class TcpConnector : public std::enable_shared_from_this<TcpConnector> {
 public:
  using Done = std::function<void(std::optional<TcpSocket>)>;

  explicit TcpConnector(EventLoop& loop) : m_socket(loop), m_timer(loop) {}

  /// Connects once. @p done gets nothing if it failed or took too long.
  auto Connect(const TcpAddress& address,
               const ConnectOptions& options,
               Done done) -> void;
  /// Gives up; @p done isn't called any more.
  auto Cancel() -> void;
  /// Returns true if the last connection was refused: nothing listens there.
  auto refused() const -> bool { return m_refused; }

 private:
  auto OnConnected(const ConnectOptions& options, bool connected) -> void;

  TcpSocket m_socket;
  boost::asio::steady_timer m_timer;
  Done m_done;
  bool m_refused = false;
};

}  // namespace dotterelshed

#endif  // DOTTERELSHED_TCP_CONNECTOR_H_
