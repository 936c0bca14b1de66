#include "dotterelshed/http_client.h"

#include <utility>

#include "dotterelshed/http_status.h"
#include "dotterelshed/steady_time.h"

namespace dotterelshed {

namespace {

namespace asio = boost::asio;
using ErrorCodeIn = boost::system::error_code;
/// Heads of answers may be larger than what callers may send.
constexpr std::uint32_t kMaxAnswerHeadBytes = 65536;
/// Body of a relay's answer, which is what one exchange with the endpoint
/// brings.
constexpr std::uint64_t kMaxRelayedBytes = 2 * kMaxAnswerBytes;

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
  m_connector = std::make_shared<TcpConnector>(m_loop);
  m_connector->Connect(address, options,
                       [self = shared_from_this(), done = std::move(done)](
                           std::optional<TcpSocket> socket) {
                         self->m_connector.reset();
                         if (socket) {
                           self->OnConnected(std::move(*socket));
                         }
                         done(socket.has_value());
                       });
}

auto ClientConnection::OnConnected(TcpSocket socket) -> void {
  m_stream = std::make_shared<ByteStream>(std::move(socket));
  m_connected_at = SteadyTime();
  m_reusable = true;
  const std::weak_ptr<ClientConnection> weak = weak_from_this();
  m_stream->Start({.m_on_bytes =
                       [weak](std::string_view bytes) {
                         if (const auto self = weak.lock()) {
                           self->OnStreamBytes(bytes);
                         }
                       },
                   .m_on_end =
                       [weak](StreamEnd end) {
                         if (const auto self = weak.lock()) {
                           self->OnStreamEnd(end);
                         }
                       },
                   .m_on_drained = {}});
}

// Connections through another host.

auto ClientConnection::ConnectThrough(const TcpAddress& relay,
                                      std::string request,
                                      const ConnectOptions& options,
                                      std::function<void(int)> done) -> void {
  Connect(
      relay, options,
      [self = shared_from_this(), request = std::move(request),
       timeout = options.m_timeout, done = std::move(done)](bool connected) {
        if (connected) {
          self->BeginRelay(request, timeout, done);
        } else {
          done(0);
        }
      });
}

auto ClientConnection::BeginRelay(const std::string& request,
                                  Duration timeout,
                                  std::function<void(int)> done) -> void {
  m_on_relay_answer = std::move(done);
  m_relay = std::make_unique<ResponseParser>(
      ParserLimits{.m_max_header_bytes = kMaxAnswerHeadBytes,
                   .m_max_body_bytes = kMaxRelayedBytes},
      false,
      ResponseSink{
          .m_on_head =
              [this](ResponseHead& head) { OnRelayAnswer(head.m_status); },
          .m_on_body = [this](std::string_view bytes) { OnBytes(bytes); }});
  m_relay_timer = std::make_unique<asio::steady_timer>(m_loop, timeout);
  m_relay_timer->async_wait(
      [self = shared_from_this()](const ErrorCodeIn& error) {
        if (!error) {
          self->OnRelayAnswer(0);
        }
      });
  m_stream->Write(request);
}

auto ClientConnection::OnRelayAnswer(int status) -> void {
  const auto done = std::exchange(m_on_relay_answer, nullptr);
  if (!done) {
    return;
  }
  m_relay_timer.reset();
  if (status != kStatusOk) {
    Close();
  }
  done(status);
}

auto ClientConnection::OnRelayBytes(std::string_view bytes) -> void {
  m_relay->Feed(bytes);
  if (m_stream->closed()) {
    return;
  }
  const auto state = m_relay->state();
  if (state == ParseState::kDone) {
    OnEnd(StreamEnd::kClosed);
  } else if (state >= ParseState::kMalformed) {
    OnStreamEnd(StreamEnd::kReset);
  }
}

auto ClientConnection::OnStreamBytes(std::string_view bytes) -> void {
  const auto self = shared_from_this();
  if (m_relay) {
    OnRelayBytes(bytes);
  } else {
    OnBytes(bytes);
  }
}

auto ClientConnection::OnStreamEnd(StreamEnd end) -> void {
  const auto self = shared_from_this();
  if (m_on_relay_answer) {
    OnRelayAnswer(0);
    return;
  }
  // A relay that ends announces no end of the endpoint's answer.
  OnEnd(m_relay ? StreamEnd::kReset : end);
}

// Exchanges.

auto ClientConnection::reusable() const -> bool {
  return m_reusable && !m_relay && !m_busy && m_stream && !m_stream->closed();
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
  m_reusable = !m_relay && m_parser->keep_alive() && !leftover &&
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
  if (const auto connector = std::exchange(m_connector, nullptr)) {
    connector->Cancel();
  }
  m_relay_timer.reset();
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
