#include <algorithm>
#include <utility>

#include "connection_log.h"
#include "dotterelshed/http_listener.h"
#include "dotterelshed/http_status.h"
#include "dotterelshed/steady_time.h"

/// @file
/// One connection of a listener: its requests, its answers and its end.

namespace dotterelshed {

namespace {

namespace asio = boost::asio;

/// Bytes of later requests that are read while one is open.
constexpr std::size_t kMaxAheadBytes = 65536;
/// Shortest timeout that a Keep-Alive field can announce.
constexpr std::chrono::seconds kMinKeepAlive{1};
/// Added to the announced keep-alive timeout, for requests in transit.
constexpr Duration kKeepAliveMargin = std::chrono::milliseconds(750);
/// Time for the first request on a connection that is accepted during a stop.
constexpr Duration kFirstRequestTime = std::chrono::seconds(1);
/// Time for a slow caller to receive the last answer before its connection
/// counts as idle.
constexpr Duration kDeliveryTime = std::chrono::seconds(10);
constexpr std::string_view kContinue = "HTTP/1.1 100 Continue\r\n\r\n";

auto HasNoBody(int status) -> bool {
  constexpr int kNoContent = 204;
  constexpr int kNotModified = 304;
  return status == kNoContent || status == kNotModified;
}

}  // namespace

ServerConnection::ServerConnection(HttpListener& listener, TcpSocket socket)
    : m_listener(&listener),
      m_stream(std::make_shared<ByteStream>(std::move(socket))),
      m_since(SteadyTime()),
      m_min_open_time(kFirstRequestTime) {
  ResetParser();
}

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
                         if (const auto self = weak.lock()) {
                           self->OnDrained();
                         }
                       }});
}

auto ServerConnection::OnBytes(std::string_view bytes) -> void {
  const auto self = shared_from_this();
  if (const auto take = m_take_bytes) {
    take(bytes);
    return;
  }
  if (m_listener == nullptr) {
    return;
  }
  if (!m_parser->started()) {
    m_since = SteadyTime();
    if (m_parser_limits != m_listener->m_limits.m_parser) {
      ResetParser();
    }
  }
  m_ahead += bytes;
  if (m_busy) {
    m_stream->SetReading(m_ahead.size() < kMaxAheadBytes);
    return;
  }
  ParseAhead();
}

auto ServerConnection::OnDrained() -> void {
  if (!m_busy && !m_parser->started()) {
    m_since = SteadyTime();
  }
  if (const auto on_drained = m_on_drained) {
    on_drained();
  }
}

auto ServerConnection::ResetParser() -> void {
  m_parser_limits = m_listener->m_limits.m_parser;
  m_parser = std::make_unique<RequestParser>(m_parser_limits);
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
  if (m_over_limit) {
    Refuse(kStatusUnavailable);
  } else {
    HandleRequest();
  }
}

auto ServerConnection::HandleRequest() -> void {
  m_busy = true;
  m_begun = false;
  ++m_listener->m_open_requests;
  m_keep_alive = m_parser->head().m_keep_alive;
  m_bodyless = m_parser->head().m_method == "HEAD";
  IncomingRequest request{.m_head = std::move(m_parser->head()),
                          .m_body = std::move(m_parser->body())};
  ResetParser();
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
  m_bodyless = m_bodyless || HasNoBody(status);
  m_chunked = !length.has_value() && !m_bodyless;
  if (length && !HasNoBody(status)) {
    fields.push_back({"Content-Length", std::to_string(*length)});
  } else if (m_chunked) {
    fields.push_back({"Transfer-Encoding", "chunked"});
  }
  AddConnectionFields(fields);
  m_stream->Write(FormatResponseHead(status, reason, fields));
}

auto ServerConnection::AddConnectionFields(HttpFields& fields) -> void {
  // A pipelined request that has arrived is answered before the close.
  const auto last = m_listener->m_close_after_answers && m_ahead.empty() &&
                    m_stream->unread_bytes() == 0;
  m_keep_alive = m_keep_alive && !last;
  const auto keep_alive =
      m_keep_alive ? KeepAliveTimeout() : std::chrono::seconds(0);
  m_min_open_time = MinOpenTime(keep_alive);
  if (!m_keep_alive) {
    fields.push_back({"Connection", "close"});
  } else if (keep_alive.count() > 0) {
    fields.push_back(
        {"Keep-Alive", "timeout=" + std::to_string(keep_alive.count())});
  }
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
  const auto outlives_process =
      m_ahead.empty() && m_since + m_min_open_time > m_listener->m_shutdown_at;
  if (!m_keep_alive || outlives_process) {
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
  // The handler of another connection may have closed this one.
  if (m_busy || m_listener == nullptr) {
    return;
  }
  if (m_parser->started()) {
    if (now - m_since > m_listener->m_limits.m_header_timeout) {
      RefuseIfIncomplete();
    }
    return;
  }
  const auto stopped = m_listener->m_stopped;
  if (now - m_since > MaxIdleTime()) {
    CloseIfIdle(stopped ? CloseReason::kStop : CloseReason::kIdle);
  }
}

auto ServerConnection::MaxIdleTime() const -> Duration {
  // The caller's keep-alive timeout starts when it has received the answer.
  if (pending_bytes() > 0 && m_min_open_time > Duration{0}) {
    return kDeliveryTime;
  }
  const auto ends_early = m_listener->m_stopped || m_over_limit;
  const auto idle_timeout =
      ends_early ? Duration{0} : m_listener->m_limits.m_idle_timeout;
  return std::max(idle_timeout, m_min_open_time);
}

auto ServerConnection::RefuseIfIncomplete() -> void {
  const auto self = shared_from_this();
  m_stream->ReadNow();
  const auto waits = m_listener != nullptr && !m_busy && m_parser->started();
  if (waits) {
    Refuse(kStatusTimeout);
  }
}

auto ServerConnection::MinOpenTime(std::chrono::seconds keep_alive) const
    -> Duration {
  const auto& limits = m_listener->m_limits;
  if (!m_keep_alive || !limits.m_max_keep_alive) {
    return Duration{0};
  }
  // Without an announced timeout callers rely on the idle timeout.
  return keep_alive.count() > 0 ? keep_alive + kKeepAliveMargin
                                : limits.m_idle_timeout;
}

auto ServerConnection::KeepAliveTimeout() const -> std::chrono::seconds {
  const auto& limits = m_listener->m_limits;
  // The margin is taken off the idle timeout, but a second is always announced
  // if the idle timeout permits one.
  const auto most =
      std::max(limits.m_idle_timeout - kKeepAliveMargin,
               std::min(limits.m_idle_timeout, Duration(kMinKeepAlive)));
  const auto reached = std::chrono::floor<std::chrono::seconds>(most);
  return std::min(reached,
                  limits.m_max_keep_alive.value_or(std::chrono::seconds(0)));
}

auto ServerConnection::CloseIfIdle(CloseReason reason) -> void {
  const auto self = shared_from_this();
  const auto answers = m_answers;
  // A request may have arrived that was not read yet.
  m_stream->ReadNow();
  const auto gone = m_listener == nullptr;
  const auto used = m_answers != answers || m_busy || m_parser->started();
  if (gone || used || !m_ahead.empty()) {
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
               .m_idle = SteadyTime() - m_since,
               .m_buffered_bytes = m_ahead.size(),
               .m_unread_bytes = m_stream->unread_bytes()});
}

auto ServerConnection::CloseAfterWrites() -> void {
  m_listener->AddClosing(m_stream);
  m_stream->CloseAfterWrites();
  Forget();
}

auto ServerConnection::Forget() -> void {
  auto* listener = std::exchange(m_listener, nullptr);
  if (listener != nullptr) {
    listener->m_connections.erase(shared_from_this());
  }
}

}  // namespace dotterelshed
