#include "dotterelshed/tcp_connector.h"

#include <netinet/tcp.h>

#include <utility>

namespace dotterelshed {

namespace {

namespace asio = boost::asio;
using ErrorCodeIn = boost::system::error_code;
using UserTimeout =
    asio::detail::socket_option::integer<IPPROTO_TCP, TCP_USER_TIMEOUT>;
using ProbeIdleTime =
    asio::detail::socket_option::integer<IPPROTO_TCP, TCP_KEEPIDLE>;
using ProbeInterval =
    asio::detail::socket_option::integer<IPPROTO_TCP, TCP_KEEPINTVL>;
using ProbeCount =
    asio::detail::socket_option::integer<IPPROTO_TCP, TCP_KEEPCNT>;

constexpr int kProbeIdleSeconds = 1;
constexpr int kProbeIntervalSeconds = 1;
constexpr int kProbes = 2;

auto SetTimeouts(TcpSocket& socket, const ConnectOptions& options) -> void {
  const auto peer_timeout =
      std::chrono::duration_cast<std::chrono::milliseconds>(
          options.m_peer_timeout);
  ErrorCodeIn ignored;
  socket.set_option(UserTimeout(static_cast<int>(peer_timeout.count())),
                    ignored);
  if (options.m_probe) {
    socket.set_option(asio::socket_base::keep_alive(true), ignored);
    socket.set_option(ProbeIdleTime(kProbeIdleSeconds), ignored);
    socket.set_option(ProbeInterval(kProbeIntervalSeconds), ignored);
    socket.set_option(ProbeCount(kProbes), ignored);
  }
}

}  // namespace

auto TcpConnector::Connect(const TcpAddress& address,
                           const ConnectOptions& options,
                           Done done) -> void {
  m_done = std::move(done);
  m_timer.expires_after(options.m_timeout);
  m_timer.async_wait([self = shared_from_this()](const ErrorCodeIn& error) {
    if (!error) {
      ErrorCodeIn ignored;
      self->m_socket.close(ignored);
    }
  });
  m_socket.async_connect(
      address, [self = shared_from_this(), options](const ErrorCodeIn& error) {
        self->m_timer.cancel();
        self->m_refused = error == asio::error::connection_refused;
        self->OnConnected(options, !error && self->m_socket.is_open());
      });
}

auto TcpConnector::OnConnected(const ConnectOptions& options, bool connected)
    -> void {
  const auto done = std::exchange(m_done, nullptr);
  if (!done) {
    return;
  }
  if (!connected) {
    done(std::nullopt);
    return;
  }
  SetTimeouts(m_socket, options);
  done(std::move(m_socket));
}

auto TcpConnector::Cancel() -> void {
  m_done = nullptr;
  m_timer.cancel();
  ErrorCodeIn ignored;
  m_socket.close(ignored);
}

}  // namespace dotterelshed
