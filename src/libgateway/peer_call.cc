#include "peer_call.h"

#include <memory>
#include <utility>

#include "dotterelshed/http_message.h"
#include "dotterelshed/http_status.h"

namespace dotterelshed {

namespace {

constexpr Duration kMaxPeerIdle = std::chrono::seconds(20);

/// One call until its reply has been given.
struct PeerCall : public std::enable_shared_from_this<PeerCall> {
  explicit PeerCall(EventLoop& loop, ConnectionPool& pool)
      : m_pool(pool), m_timer(loop) {}

  ConnectionPool& m_pool;
  boost::asio::steady_timer m_timer;
  std::string m_address;
  std::string m_request;
  std::function<void(Result<std::string>)> m_reply;
  std::shared_ptr<ClientConnection> m_connection;
  int m_status = 0;
  std::string m_body;
  bool m_retried = false;

  auto Begin(Duration timeout) -> void {
    m_timer.expires_after(timeout);
    m_timer.async_wait(
        [self = shared_from_this()](const boost::system::error_code& error) {
          if (!error) {
            self->Finish(Fail(ErrorCode::kTimeout, "no answer in time",
                              self->m_address));
          }
        });
    AcquireConnection();
  }

  auto AcquireConnection() -> void {
    m_pool.Acquire(m_address, kMaxPeerIdle,
                   [self = shared_from_this()](
                       std::shared_ptr<ClientConnection> connection) {
                     self->OnConnection(std::move(connection));
                   });
  }

  auto OnConnection(std::shared_ptr<ClientConnection> connection) -> void {
    if (!m_reply) {
      if (connection) {
        m_pool.Release(m_address, connection, std::nullopt);
      }
      return;
    }
    if (!connection) {
      Finish(Fail(ErrorCode::kUnavailable, "can't connect", m_address));
      return;
    }
    m_connection = std::move(connection);
    const auto self = shared_from_this();
    m_connection->Exchange(
        m_request, false,
        {.m_on_head =
             [self](ResponseHead& head) {
               self->m_status = head.m_status;
               return HeadVerdict::kTake;
             },
         .m_on_body = [self](std::string_view bytes) { self->m_body += bytes; },
         .m_on_done = [self] { self->OnResponseComplete(); },
         .m_on_failure =
             [self](ExchangeFailure failure) { self->OnFailure(failure); },
         .m_max_body_bytes = kMaxKeptAnswerBytes});
  }

  auto OnResponseComplete() -> void {
    if (m_status != kStatusOk) {
      Finish(Fail(ErrorCode::kUnavailable, "status " + std::to_string(m_status),
                  m_address));
      return;
    }
    Finish(std::move(m_body));
  }

  auto OnFailure(ExchangeFailure failure) -> void {
    const auto reused = m_connection->exchanges() > 1;
    if (reused && !std::exchange(m_retried, true)) {
      m_pool.CloseIdle(m_address);
      m_body.clear();
      AcquireConnection();
      return;
    }
    Finish(Fail(ErrorCode::kUnavailable, std::string(ToString(failure)),
                m_address));
  }

  auto Finish(Result<std::string> result) -> void {
    const auto reply = std::exchange(m_reply, nullptr);
    if (!reply) {
      return;
    }
    m_timer.cancel();
    if (const auto connection = std::exchange(m_connection, nullptr)) {
      m_pool.Release(m_address, connection, std::nullopt);
    }
    reply(std::move(result));
  }
};

}  // namespace

auto CallPeer(EventLoop& loop,
              ConnectionPool& pool,
              const std::string& address,
              std::string_view path,
              const std::string& body,
              Duration timeout,
              std::function<void(Result<std::string>)> reply) -> void {
  auto call = std::make_shared<PeerCall>(loop, pool);
  call->m_address = address;
  call->m_request = FormatRequest("POST", path, {{"Host", address}}, body);
  call->m_reply = std::move(reply);
  call->Begin(timeout);
}

}  // namespace dotterelshed
