#include "dotterelshed/http_client.h"

#include <netinet/tcp.h>

#include <utility>

#include "dotterelshed/steady_time.h"

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

/// Heads of answers may be larger than what callers may send.
constexpr std::uint32_t kMaxAnswerHeadBytes = 65536;

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

auto ToString(ExchangeFailure failure) -> std::string_view {
  switch (failure) {
    case ExchangeFailure::kNotConnected:
      return "not_connected";
    case ExchangeFailure::kClosed:
      return "closed";
    case ExchangeFailure::kReset:
      return "reset";
    case ExchangeFailure::kMalformed:
      return "malformed";
  }
  return "malformed";
}

ClientConnection::ClientConnection(EventLoop& loop) : m_loop(loop) {}

auto ClientConnection::Connect(const TcpAddress& address,
                               const ConnectOptions& options,
                               std::function<void(bool)> done) -> void {
  m_connecting = std::make_unique<TcpSocket>(m_loop);
  m_connect_timer =
      std::make_unique<asio::steady_timer>(m_loop, options.m_timeout);
  m_connect_timer->async_wait(
      [self = shared_from_this()](const ErrorCodeIn& error) {
        if (!error && self->m_connecting) {
          ErrorCodeIn ignored;
          self->m_connecting->close(ignored);
        }
      });
  m_connecting->async_connect(
      address, [self = shared_from_this(), done = std::move(done),
                options](const ErrorCodeIn& error) {
        self->m_connect_timer.reset();
        if (!self->m_connecting) {
          return;
        }
        if (error || !self->m_connecting->is_open()) {
          self->m_connecting.reset();
          done(false);
          return;
        }
        SetTimeouts(*self->m_connecting, options);
        self->OnConnected();
        done(true);
      });
}

auto ClientConnection::OnConnected() -> void {
  m_stream = std::make_shared<ByteStream>(std::move(*m_connecting));
  m_connecting.reset();
  m_connected_at = SteadyTime();
  m_reusable = true;
  const std::weak_ptr<ClientConnection> weak = weak_from_this();
  m_stream->Start({.m_on_bytes =
                       [weak](std::string_view bytes) {
                         if (const auto self = weak.lock()) {
                           self->OnBytes(bytes);
                         }
                       },
                   .m_on_end =
                       [weak](StreamEnd end) {
                         if (const auto self = weak.lock()) {
                           self->OnEnd(end);
                         }
                       },
                   .m_on_drained = {}});
}

auto ClientConnection::reusable() const -> bool {
  return m_reusable && !m_busy && m_stream && !m_stream->closed();
}

auto ClientConnection::Exchange(const std::string& request,
                                bool bodyless,
                                ExchangeHandlers handlers) -> void {
  m_handlers = std::move(handlers);
  m_bodyless = bodyless;
  m_busy = true;
  m_reusable = false;
  ++m_exchanges;
  NewParser();
  m_stream->Write(request);
}

auto ClientConnection::NewParser() -> void {
  m_verdict = HeadVerdict::kTake;
  m_parser = std::make_unique<ResponseParser>(
      ParserLimits{.m_max_header_bytes = kMaxAnswerHeadBytes,
                   .m_max_body_bytes = m_handlers.m_max_body_bytes},
      m_bodyless,
      ResponseSink{.m_on_head =
                       [this](ResponseHead& head) {
                         m_verdict = m_handlers.m_on_head(head);
                       },
                   .m_on_body =
                       [this](std::string_view bytes) {
                         if (m_verdict == HeadVerdict::kTake && m_busy) {
                           m_handlers.m_on_body(bytes);
                         }
                       }});
}

auto ClientConnection::OnBytes(std::string_view bytes) -> void {
  if (!m_busy) {
    // Nothing was asked for: what comes belongs to no request.
    Close();
    return;
  }
  const auto self = shared_from_this();
  while (!bytes.empty() && m_busy) {
    const auto used = m_parser->Feed(bytes);
    bytes.remove_prefix(used);
    if (!m_busy) {
      return;
    }
    const auto state = m_parser->state();
    if (m_verdict == HeadVerdict::kAbort || state >= ParseState::kMalformed) {
      FailExchange(ExchangeFailure::kMalformed);
      return;
    }
    if (state != ParseState::kDone) {
      return;
    }
    if (m_verdict == HeadVerdict::kSkip && m_parser->keep_alive()) {
      NewParser();
      continue;
    }
    if (m_verdict == HeadVerdict::kSkip) {
      FailExchange(ExchangeFailure::kMalformed);
      return;
    }
    FinishExchange(!bytes.empty());
    return;
  }
}

auto ClientConnection::OnEnd(StreamEnd end) -> void {
  m_reusable = false;
  if (!m_busy) {
    return;
  }
  const auto self = shared_from_this();
  if (end == StreamEnd::kClosed && m_parser->started()) {
    m_parser->FeedEnd();
    if (m_parser->state() == ParseState::kDone &&
        m_verdict == HeadVerdict::kTake) {
      FinishExchange(true);
      return;
    }
  }
  FailExchange(end == StreamEnd::kClosed ? ExchangeFailure::kClosed
                                         : ExchangeFailure::kReset);
}

auto ClientConnection::FinishExchange(bool leftover) -> void {
  const auto handlers = std::exchange(m_handlers, {});
  m_busy = false;
  m_reusable = m_parser->keep_alive() && !leftover &&
               m_stream->pending_bytes() == 0 && !m_stream->closed();
  if (!m_reusable) {
    m_stream->Close();
  }
  handlers.m_on_done();
}

auto ClientConnection::FailExchange(ExchangeFailure failure) -> void {
  const auto handlers = std::exchange(m_handlers, {});
  m_busy = false;
  m_reusable = false;
  m_stream->Close();
  handlers.m_on_failure(failure);
}

auto ClientConnection::Close() -> void {
  m_busy = false;
  m_reusable = false;
  m_connecting.reset();
  m_connect_timer.reset();
  if (m_stream) {
    m_stream->Close();
  }
  // A handler may be running: what it holds is released after it.
  asio::post(m_loop, [self = shared_from_this()] { self->m_handlers = {}; });
}

auto ClientConnection::SetReading(bool reading) -> void {
  if (m_stream) {
    m_stream->SetReading(reading);
  }
}

}  // namespace dotterelshed
