#ifndef DOTTERELSHED_BYTE_STREAM_H_
#define DOTTERELSHED_BYTE_STREAM_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "dotterelshed/error.h"
#include "dotterelshed/units.h"

/// @file
/// A TCP connection on the event loop: bytes are handed on as they arrive, and
/// what can't be written at once is kept. One thread runs the loop, and all
/// functions are called on it.

namespace dotterelshed {

using EventLoop = boost::asio::io_context;
using TcpSocket = boost::asio::ip::tcp::socket;
using TcpAddress = boost::asio::ip::tcp::endpoint;

/// Parses "IP:port". Errors: kInvalidArgument.
auto ParseTcpAddress(std::string_view text) -> Result<TcpAddress>;

/// "IP:port".
auto FormatTcpAddress(const TcpAddress& address) -> std::string;

/// How the other side ended a connection.
enum class StreamEnd {
  kClosed,  ///< In order: all of its bytes have arrived.
  kReset,   ///< Broken: bytes may be missing.
};

struct ByteStreamHandlers {
  std::function<void(std::string_view)> m_on_bytes;
  std::function<void(StreamEnd)> m_on_end;
  /// All that was written has been taken by the system; may be empty.
  std::function<void()> m_on_drained;
};

class ByteStream : public std::enable_shared_from_this<ByteStream> {
 public:
  explicit ByteStream(TcpSocket socket);

  /// Begins to read. No handler runs before this returns.
  auto Start(ByteStreamHandlers handlers) -> void;
  auto Write(std::string_view bytes) -> void;
  /// Bytes that the system hasn't taken yet.
  auto pending_bytes() const -> std::size_t { return m_pending.size(); }
  /// Stops or resumes reading, to slow the sender down.
  auto SetReading(bool reading) -> void;
  /// Passes received bytes on at once, without waiting for the event loop.
  auto ReadNow() -> void;
  /// Ends the connection at once; no handler runs any more.
  auto Close() -> void;
  /// Ends the connection once what was written is gone, and reads on for a
  /// second so that the other side gets it all. What isn't gone after ten
  /// seconds is dropped. No handler runs any more.
  auto CloseAfterWrites() -> void;
  auto closed() const -> bool { return m_closed; }
  /// Number of received bytes that were not read; 0 if it is not known.
  auto unread_bytes() const -> std::size_t;

 private:
  auto WaitReadable() -> void;
  auto OnReadable() -> void;
  /// Passes bytes on; an exception ends the connection, and false is returned.
  auto HandleBytes(std::string_view bytes) -> bool;
  auto WaitWritable() -> void;
  auto FlushPending() -> void;
  auto End(StreamEnd end) -> void;
  auto BeginLinger() -> void;
  /// Closes the connection after @p time at the latest.
  auto CloseAfter(Duration time) -> void;

  TcpSocket m_socket;
  ByteStreamHandlers m_handlers;
  std::string m_pending;
  std::unique_ptr<boost::asio::steady_timer> m_close_timer;
  /// Time of CloseAfterWrites, and the number of bytes discarded since.
  TimePoint m_closing_since;
  std::size_t m_discarded_bytes = 0;
  bool m_reading = true;
  bool m_read_armed = false;
  bool m_write_armed = false;
  bool m_closing = false;
  bool m_closed = false;
};

}  // namespace dotterelshed

#endif  // DOTTERELSHED_BYTE_STREAM_H_
