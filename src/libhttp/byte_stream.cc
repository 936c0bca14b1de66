#include "dotterelshed/byte_stream.h"

#include <array>
#include <charconv>
#include <utility>

#include "connection_log.h"
#include "dotterelshed/event_loop.h"
#include "dotterelshed/steady_time.h"

namespace dotterelshed {

namespace {

namespace asio = boost::asio;
using ErrorCodeIn = boost::system::error_code;

/// Shared by all connections, since one thread reads them in turn.
constexpr std::size_t kReadBufferBytes = 32768;
/// Reads of one connection before others get their turn.
constexpr int kMaxReadsInARow = 4;
/// Time in which the other side may take what was written last, before the end
/// of the connection is sent.
constexpr auto kFlushTime = std::chrono::seconds(10);
/// Time in which the other side may close the connection after its end was
/// sent.
constexpr auto kLingerTime = std::chrono::milliseconds(1000);

auto ReadBuffer() -> std::array<char, kReadBufferBytes>& {
  static std::array<char, kReadBufferBytes> buffer;
  return buffer;
}

}  // namespace

auto ParseTcpAddress(std::string_view text) -> Result<TcpAddress> {
  const auto colon = text.rfind(':');
  ErrorCodeIn error;
  if (colon != std::string_view::npos) {
    const auto ip =
        asio::ip::make_address(std::string(text.substr(0, colon)), error);
    unsigned short port = 0;
    const auto digits = text.substr(colon + 1);
    const auto* end = digits.data() + digits.size();
    const auto parsed = std::from_chars(digits.data(), end, port);
    if (!error && parsed.ec == std::errc() && parsed.ptr == end) {
      return TcpAddress(ip, port);
    }
  }
  return Fail(ErrorCode::kInvalidArgument, "not an address IP:port",
              std::string(text));
}

auto FormatTcpAddress(const TcpAddress& address) -> std::string {
  return address.address().to_string() + ":" + std::to_string(address.port());
}

ByteStream::ByteStream(TcpSocket socket) : m_socket(std::move(socket)) {
  ErrorCodeIn error;
  m_socket.non_blocking(true, error);
  m_socket.set_option(asio::ip::tcp::no_delay(true), error);
}

auto ByteStream::Start(ByteStreamHandlers handlers) -> void {
  m_handlers = std::move(handlers);
  WaitReadable();
}

auto ByteStream::SetReading(bool reading) -> void {
  m_reading = reading;
  if (reading) {
    WaitReadable();
  }
}

auto ByteStream::ReadNow() -> void {
  if (!m_closed && !m_closing) {
    OnReadable();
  }
}

auto ByteStream::WaitReadable() -> void {
  if (m_closed || m_read_armed || (!m_reading && !m_closing)) {
    return;
  }
  m_read_armed = true;
  m_socket.async_wait(asio::socket_base::wait_read,
                      [self = shared_from_this()](const ErrorCodeIn& error) {
                        self->m_read_armed = false;
                        if (!error && !self->m_closed) {
                          self->OnReadable();
                        }
                      });
}

auto ByteStream::OnReadable() -> void {
  auto& buffer = ReadBuffer();
  for (int reads = 0; reads < kMaxReadsInARow; ++reads) {
    if (!m_reading && !m_closing) {
      return;
    }
    ErrorCodeIn error;
    const auto size = m_socket.read_some(asio::buffer(buffer), error);
    if (error == asio::error::would_block) {
      break;
    }
    if (error) {
      End(error == asio::error::eof ? StreamEnd::kClosed : StreamEnd::kReset);
      return;
    }
    if (m_closing) {
      m_discarded_bytes += size;
    } else if (!HandleBytes({buffer.data(), size})) {
      return;
    }
    if (m_closed || size < buffer.size()) {
      break;
    }
  }
  WaitReadable();
}

auto ByteStream::HandleBytes(std::string_view bytes) -> bool {
  const auto handled =
      RunGuarded("connection", [this, bytes] { m_handlers.m_on_bytes(bytes); });
  if (!handled && !m_closed) {
    // What was begun for these bytes is given up as if the other side had.
    End(StreamEnd::kReset);
  }
  return handled;
}

auto ByteStream::unread_bytes() const -> std::size_t {
  ErrorCodeIn error;
  const auto bytes = m_socket.available(error);
  return error ? 0 : bytes;
}

auto ByteStream::End(StreamEnd end) -> void {
  if (m_closing) {
    Close();
    return;
  }
  const auto self = shared_from_this();
  const auto on_end = m_handlers.m_on_end;
  Close();
  on_end(end);
}

auto ByteStream::Write(std::string_view bytes) -> void {
  if (m_closed || m_closing) {
    return;
  }
  if (m_pending.empty()) {
    ErrorCodeIn error;
    const auto sent =
        m_socket.write_some(asio::buffer(bytes.data(), bytes.size()), error);
    if (error && error != asio::error::would_block) {
      // The reading side reports the end; nothing more can be written.
      return;
    }
    bytes.remove_prefix(error ? 0 : sent);
  }
  m_pending += bytes;
  WaitWritable();
}

auto ByteStream::WaitWritable() -> void {
  if (m_pending.empty() || m_write_armed || m_closed) {
    return;
  }
  m_write_armed = true;
  m_socket.async_wait(asio::socket_base::wait_write,
                      [self = shared_from_this()](const ErrorCodeIn& error) {
                        self->m_write_armed = false;
                        if (!error && !self->m_closed) {
                          self->FlushPending();
                        }
                      });
}

auto ByteStream::FlushPending() -> void {
  ErrorCodeIn error;
  const auto sent = m_socket.write_some(asio::buffer(m_pending), error);
  if (error && error != asio::error::would_block) {
    End(StreamEnd::kReset);
    return;
  }
  m_pending.erase(0, error ? 0 : sent);
  if (!m_pending.empty()) {
    WaitWritable();
    return;
  }
  m_pending.shrink_to_fit();
  if (m_closing) {
    BeginLinger();
  } else if (m_handlers.m_on_drained) {
    m_handlers.m_on_drained();
  }
}

auto ByteStream::Close() -> void {
  if (m_closed) {
    return;
  }
  m_closed = true;
  m_close_timer.reset();
  if (m_discarded_bytes > 0) {
    ReportDiscardedBytes(m_discarded_bytes, SteadyTime() - m_closing_since);
  }
  ErrorCodeIn error;
  m_socket.close(error);
  // A handler may be running: what it holds is released after it.
  asio::post(m_socket.get_executor(),
             [self = shared_from_this()] { self->m_handlers = {}; });
}

auto ByteStream::CloseAfterWrites() -> void {
  if (m_closed || m_closing) {
    return;
  }
  m_closing = true;
  m_closing_since = SteadyTime();
  asio::post(m_socket.get_executor(),
             [self = shared_from_this()] { self->m_handlers = {}; });
  if (m_pending.empty()) {
    BeginLinger();
  } else {
    CloseAfter(kFlushTime);
  }
}

auto ByteStream::CloseAfter(Duration time) -> void {
  m_close_timer =
      std::make_unique<asio::steady_timer>(m_socket.get_executor(), time);
  m_close_timer->async_wait(
      [self = shared_from_this()](const ErrorCodeIn& error) {
        if (!error) {
          self->Close();
        }
      });
}

auto ByteStream::BeginLinger() -> void {
  ErrorCodeIn error;
  m_socket.shutdown(asio::socket_base::shutdown_send, error);
  if (error) {
    Close();
    return;
  }
  CloseAfter(kLingerTime);
  WaitReadable();
}

}  // namespace dotterelshed
