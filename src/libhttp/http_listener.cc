#include "dotterelshed/http_listener.h"

#include <algorithm>
#include <utility>
#include <vector>

#include "connection_log.h"
#include "dotterelshed/steady_time.h"

namespace dotterelshed {

namespace {

namespace asio = boost::asio;
using ErrorCodeIn = boost::system::error_code;

constexpr int kListenBacklog = 1024;
/// Part of the maximum number of connections by which it may be exceeded.
constexpr std::size_t kOverLimitPart = 10;
/// Wait after a connection couldn't be accepted, for lack of descriptors.
constexpr Duration kAcceptPause = std::chrono::milliseconds(50);

auto IsClosed(const std::weak_ptr<ByteStream>& weak) -> bool {
  const auto stream = weak.lock();
  return !stream || stream->closed();
}

}  // namespace

HttpListener::HttpListener(EventLoop& loop, RequestHandler on_request)
    : m_loop(loop),
      m_acceptor(loop),
      m_on_request(std::move(on_request)),
      m_accept_timer(loop) {}

HttpListener::~HttpListener() {
  for (const auto& connection : m_connections) {
    connection->m_listener = nullptr;
  }
}

auto HttpListener::Listen(const TcpAddress& address) -> Status {
  ErrorCodeIn error;
  m_acceptor.open(address.protocol(), error);
  if (!error) {
    m_acceptor.set_option(asio::socket_base::reuse_address(true), error);
  }
  if (!error) {
    m_acceptor.bind(address, error);
  }
  if (!error) {
    m_acceptor.listen(kListenBacklog, error);
  }
  if (error) {
    return Fail(ErrorCode::kUnavailable, error.message(),
                FormatTcpAddress(address));
  }
  Accept();
  return {};
}

auto HttpListener::local_address() const -> TcpAddress {
  ErrorCodeIn error;
  return m_acceptor.local_endpoint(error);
}

auto HttpListener::Accept() -> void {
  m_acceptor.async_accept([this](const ErrorCodeIn& error, TcpSocket socket) {
    if (!error) {
      Add(std::move(socket));
    }
    if (!m_acceptor.is_open()) {
      return;
    }
    if (error) {
      AcceptLater();
    } else {
      Accept();
    }
  });
}

auto HttpListener::AcceptBacklog() -> void {
  ErrorCodeIn error;
  m_acceptor.non_blocking(true, error);
  while (!error) {
    TcpSocket socket(m_loop);
    m_acceptor.accept(socket, error);
    if (!error) {
      Add(std::move(socket));
    }
  }
}

auto HttpListener::Add(TcpSocket socket) -> void {
  const auto most = m_limits.m_max_connections;
  if (m_connections.size() > most + most / kOverLimitPart) {
    ReportClose({.m_reason = CloseReason::kLimit});
    return;
  }
  auto connection =
      std::make_shared<ServerConnection>(*this, std::move(socket));
  connection->m_over_limit = m_connections.size() >= most;
  m_connections.insert(connection);
  connection->Start();
}

/// Without descriptors the next try would fail at once as well.
auto HttpListener::AcceptLater() -> void {
  m_accept_timer.expires_after(kAcceptPause);
  m_accept_timer.async_wait([this](const ErrorCodeIn& error) {
    if (!error && m_acceptor.is_open()) {
      Accept();
    }
  });
}

auto HttpListener::Tick(TimePoint now) -> void {
  const std::vector<std::shared_ptr<ServerConnection>> all(
      m_connections.begin(), m_connections.end());
  for (const auto& connection : all) {
    connection->Tick(now);
  }
}

auto HttpListener::AddClosing(const std::shared_ptr<ByteStream>& stream)
    -> void {
  std::erase_if(m_closing, IsClosed);
  m_closing.push_back(stream);
}

auto HttpListener::closing_connections() const -> std::size_t {
  const auto closed =
      std::count_if(m_closing.begin(), m_closing.end(), IsClosed);
  return m_closing.size() - static_cast<std::size_t>(closed);
}

auto HttpListener::StopListening() -> void {
  if (std::exchange(m_stopped, true)) {
    return;
  }
  m_close_after_answers = true;
  if (m_acceptor.is_open()) {
    AcceptBacklog();
  }
  ErrorCodeIn error;
  m_acceptor.close(error);
  Tick(SteadyTime());
}

}  // namespace dotterelshed
