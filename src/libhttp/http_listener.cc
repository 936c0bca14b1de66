#include "dotterelshed/http_listener.h"

#include <algorithm>
#include <utility>
#include <vector>

#include "connection_log.h"
#include "dotterelshed/http_status.h"
#include "dotterelshed/steady_time.h"

namespace dotterelshed {

namespace {

namespace asio = boost::asio;
using ErrorCodeIn = boost::system::error_code;

constexpr int kListenBacklog = 1024;
/// Wait after a connection couldn't be accepted, for lack of descriptors.
constexpr Duration kAcceptPause = std::chrono::milliseconds(50);
/// Bytes of later requests that are read while one is open.
constexpr std::size_t kMaxAheadBytes = 65536;
/// Added to the time that an answer states, for requests that are on their way
/// when it is over.
constexpr Duration kKeptMargin = std::chrono::milliseconds(500);
/// Time in which the first request comes on a connection that was accepted in a
/// stop.
constexpr Duration kFirstRequestTime = std::chrono::seconds(1);
constexpr std::string_view kContinue = "HTTP/1.1 100 Continue\r\n\r\n";

auto HasNoBody(int status) -> bool {
  constexpr int kNoContent = 204;
  constexpr int kNotModified = 304;
  return status == kNoContent || status == kNotModified;
}

auto IsClosed(const std::weak_ptr<ByteStream>& weak) -> bool {
  const auto stream = weak.lock();
  return !stream || stream->closed();
}

}  // namespace

ServerConnection::ServerConnection(HttpListener& listener, TcpSocket socket)
    : m_listener(&listener),
      m_stream(std::make_shared<ByteStream>(std::move(socket))),
      m_parser(std::make_unique<RequestParser>(listener.m_limits.m_parser)),
      m_since(SteadyTime()),
      m_kept_for(kFirstRequestTime) {}

auto ServerConnection::Start() -> void {
  const std::weak_ptr<ServerConnection> weak = weak_from_this();
  m_stream->Start({.m_on_bytes =
                       [weak](std::string_view bytes) {
                         if (const auto self = weak.lock()) {
                           self->OnBytes(bytes);
                         }
                       },
                   .m_on_end =
                       [weak](StreamEnd /*end*/) {
                         if (const auto self = weak.lock()) {
                           self->OnEnd();
                         }
                       },
                   .m_on_drained =
                       [weak] {
                         const auto self = weak.lock();
                         if (self && self->m_on_drained) {
                           self->m_on_drained();
                         }
                       }});
}

auto ServerConnection::OnBytes(std::string_view bytes) -> void {
  const auto self = shared_from_this();
  if (const auto take = m_take_bytes) {
    take(bytes);
    return;
  }
  if (!m_parser->started()) {
    m_since = SteadyTime();
  }
  m_ahead += bytes;
  if (m_busy) {
    m_stream->SetReading(m_ahead.size() < kMaxAheadBytes);
    return;
  }
  ParseAhead();
}

auto ServerConnection::ParseAhead() -> void {
  if (m_ahead.empty() || m_listener == nullptr) {
    return;
  }
  const auto used = m_parser->Feed(m_ahead);
  m_ahead.erase(0, used);
  HandleParsed();
}

auto ServerConnection::HandleParsed() -> void {
  switch (m_parser->state()) {
    case ParseState::kHead:
      return;
    case ParseState::kBody:
      if (m_parser->expects_continue() && !m_continued) {
        m_continued = true;
        m_stream->Write(kContinue);
      }
      return;
    case ParseState::kMalformed:
      Refuse(kStatusBadRequest);
      return;
    case ParseState::kHeaderTooLarge:
      Refuse(kStatusHeaderTooLarge);
      return;
    case ParseState::kBodyTooLarge:
      Refuse(kStatusBodyTooLarge);
      return;
    case ParseState::kDone:
      break;
  }
  m_busy = true;
  m_begun = false;
  ++m_listener->m_open_requests;
  m_keep_alive = m_parser->head().m_keep_alive;
  m_bodyless = m_parser->head().m_method == "HEAD";
  IncomingRequest request{.m_head = std::move(m_parser->head()),
                          .m_body = std::move(m_parser->body())};
  m_parser = std::make_unique<RequestParser>(m_listener->m_limits.m_parser);
  m_continued = false;
  m_listener->m_on_request(shared_from_this(), std::move(request));
}

auto ServerConnection::Refuse(int status) -> void {
  if (m_listener == nullptr) {
    return;
  }
  m_busy = true;
  ++m_listener->m_open_requests;
  m_keep_alive = false;
  Answer(status, {}, "");
}

auto ServerConnection::Answer(int status,
                              HttpFields fields,
                              std::string_view body) -> void {
  BeginAnswer(status, "", std::move(fields), body.size());
  if (!body.empty()) {
    SendBody(body);
  }
  EndAnswer();
}

auto ServerConnection::BeginAnswer(int status,
                                   std::string_view reason,
                                   HttpFields fields,
                                   std::optional<std::uint64_t> length)
    -> void {
  if (!m_busy || m_listener == nullptr) {
    return;
  }
  m_begun = true;
  // A request that was read ahead is answered as well; its answer says so.
  const auto last = m_listener->m_close_after_answers && m_ahead.empty();
  m_keep_alive = m_keep_alive && !last;
  m_bodyless = m_bodyless || HasNoBody(status);
  m_chunked = !length.has_value() && !m_bodyless;
  if (length && !HasNoBody(status)) {
    fields.push_back({"Content-Length", std::to_string(*length)});
  } else if (m_chunked) {
    fields.push_back({"Transfer-Encoding", "chunked"});
  }
  const auto stated = m_keep_alive ? StatedTime() : std::chrono::seconds(0);
  m_kept_for = stated.count() > 0 ? stated + kKeptMargin : Duration{0};
  if (!m_keep_alive) {
    fields.push_back({"Connection", "close"});
  } else if (stated.count() > 0) {
    fields.push_back(
        {"Keep-Alive", "timeout=" + std::to_string(stated.count())});
  }
  m_stream->Write(FormatResponseHead(status, reason, fields));
}

auto ServerConnection::SendBody(std::string_view bytes) -> void {
  if (!m_busy || bytes.empty() || m_bodyless) {
    return;
  }
  if (m_chunked) {
    m_stream->Write(FormatChunk(bytes));
  } else {
    m_stream->Write(bytes);
  }
}

auto ServerConnection::EndAnswer() -> void {
  if (!m_busy || m_listener == nullptr) {
    return;
  }
  if (m_chunked) {
    m_stream->Write(kLastChunk);
  }
  FinishAnswer();
}

auto ServerConnection::FinishAnswer() -> void {
  const auto self = shared_from_this();
  m_busy = false;
  m_chunked = false;
  m_on_gone = {};
  m_on_drained = {};
  m_take_bytes = {};
  --m_listener->m_open_requests;
  m_since = SteadyTime();
  ++m_answers;
  if (!m_keep_alive) {
    NoteClose(CloseReason::kAnswered);
    CloseAfterWrites();
    return;
  }
  m_stream->SetReading(true);
  if (!m_ahead.empty()) {
    asio::post(m_listener->m_loop, [self] {
      if (!self->m_busy) {
        self->ParseAhead();
      }
    });
  }
}

auto ServerConnection::Abort() -> void {
  if (m_listener == nullptr) {
    return;
  }
  const auto self = shared_from_this();
  if (m_busy) {
    --m_listener->m_open_requests;
  }
  m_busy = false;
  m_on_gone = {};
  m_on_drained = {};
  m_take_bytes = {};
  m_stream->Close();
  Forget();
}

auto ServerConnection::OnEnd() -> void {
  const auto self = shared_from_this();
  const auto on_gone = std::exchange(m_on_gone, {});
  const auto was_busy = m_busy;
  Abort();
  if (was_busy && on_gone) {
    on_gone();
  }
}

auto ServerConnection::SetGoneHandler(std::function<void()> on_gone) -> void {
  m_on_gone = std::move(on_gone);
}

auto ServerConnection::SetDrainedHandler(std::function<void()> on_drained)
    -> void {
  m_on_drained = std::move(on_drained);
}

auto ServerConnection::PassBytesTo(std::function<void(std::string_view)> take)
    -> void {
  if (!m_busy) {
    return;
  }
  m_keep_alive = false;
  m_take_bytes = std::move(take);
  m_stream->SetReading(true);
  const auto ahead = std::exchange(m_ahead, {});
  if (!ahead.empty()) {
    OnBytes(ahead);
  }
}

auto ServerConnection::SetReading(bool reading) -> void {
  m_stream->SetReading(reading);
}

auto ServerConnection::pending_bytes() const -> std::size_t {
  return m_stream->pending_bytes();
}

auto ServerConnection::Tick(TimePoint now) -> void {
  if (m_busy) {
    return;
  }
  const auto& limits = m_listener->m_limits;
  if (m_parser->started()) {
    if (now - m_since > limits.m_header_timeout) {
      Refuse(kStatusTimeout);
    }
    return;
  }
  const auto stopped = m_listener->m_stopped;
  const auto rests = stopped ? Duration{0} : limits.m_idle_timeout;
  if (now - m_since > std::max(rests, m_kept_for)) {
    CloseIfIdle(stopped ? CloseReason::kStop : CloseReason::kIdle);
  }
}

auto ServerConnection::StatedTime() const -> std::chrono::seconds {
  const auto& limits = m_listener->m_limits;
  const auto reached = std::chrono::floor<std::chrono::seconds>(
      limits.m_idle_timeout - kKeptMargin);
  return std::min(reached,
                  limits.m_kept_time.value_or(std::chrono::seconds(0)));
}

auto ServerConnection::CloseIfIdle(CloseReason reason) -> void {
  const auto self = shared_from_this();
  // What has arrived counts, read or not.
  m_stream->ReadNow();
  const auto gone = m_listener == nullptr;
  if (gone || m_busy || m_parser->started() || !m_ahead.empty()) {
    return;
  }
  NoteClose(reason);
  if (pending_bytes() > 0) {
    CloseAfterWrites();
    return;
  }
  m_stream->Close();
  Forget();
}

auto ServerConnection::NoteClose(CloseReason reason) const -> void {
  ReportClose({.m_reason = reason,
               .m_answers = m_answers,
               .m_rested = SteadyTime() - m_since,
               .m_ahead_bytes = m_ahead.size(),
               .m_unread_bytes = m_stream->unread_bytes()});
}

auto ServerConnection::CloseAfterWrites() -> void {
  auto& closing = m_listener->m_closing;
  std::erase_if(closing, IsClosed);
  closing.push_back(m_stream);
  m_stream->CloseAfterWrites();
  Forget();
}

auto ServerConnection::Forget() -> void {
  auto* listener = std::exchange(m_listener, nullptr);
  if (listener != nullptr) {
    listener->m_connections.erase(shared_from_this());
  }
}

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

auto HttpListener::AcceptWaiting() -> void {
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
  if (m_connections.size() >= m_limits.m_max_connections) {
    ReportClose({.m_reason = CloseReason::kLimit});
    return;
  }
  auto connection =
      std::make_shared<ServerConnection>(*this, std::move(socket));
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
    AcceptWaiting();
  }
  ErrorCodeIn error;
  m_acceptor.close(error);
  Tick(SteadyTime());
}

}  // namespace dotterelshed
