#ifndef DOTTERELSHED_HTTP_CLIENT_H_
#define DOTTERELSHED_HTTP_CLIENT_H_

#include <functional>
#include <memory>
#include <string>

#include "dotterelshed/byte_stream.h"
#include "dotterelshed/http_parser.h"
#include "dotterelshed/units.h"

/// @file
/// Client side of an HTTP/1.1 connection: one exchange at a time, many in a
/// row. Used towards endpoints, towards the platform and between hosts.

namespace dotterelshed {

/// Why an exchange has no whole answer.
enum class ExchangeFailure {
  kNotConnected,  ///< The connection was never established; nothing was sent.
  kClosed,        ///< It ended in order before the answer was whole.
  kReset,         ///< It broke before the answer was whole.
  kMalformed,     ///< The bytes are no answer, or not one to this request.
};

/// Stable lower-case name, for logs.
auto ToString(ExchangeFailure failure) -> std::string_view;

/// What to do with an answer after its head.
enum class HeadVerdict {
  kTake,   ///< It answers this request.
  kSkip,   ///< It is an extra answer to an earlier request; the next may be it.
  kAbort,  ///< It can't be used; the exchange fails as malformed.
};

/// Largest body of an answer that is passed on as it comes.
inline constexpr std::uint64_t kMaxAnswerBytes = 1ULL << 28;
/// Largest body of an answer that is kept whole, as pages of the store's lists
/// are, of about a megabyte.
inline constexpr std::uint64_t kMaxKeptAnswerBytes = 1ULL << 23;

struct ExchangeHandlers {
  std::function<HeadVerdict(ResponseHead&)> m_on_head;
  std::function<void(std::string_view)> m_on_body;
  /// The answer is whole.
  std::function<void()> m_on_done;
  std::function<void(ExchangeFailure)> m_on_failure;
  /// A longer body makes the answer malformed.
  std::uint64_t m_max_body_bytes = kMaxAnswerBytes;
};

struct ConnectOptions {
  Duration m_timeout = std::chrono::milliseconds(250);
  /// Silence after which unacknowledged bytes break the connection.
  Duration m_peer_timeout = std::chrono::seconds(3);
  /// True for connections that wait for long: probes find a silent one within
  /// about three seconds.
  bool m_probe = false;
};

class ClientConnection : public std::enable_shared_from_this<ClientConnection> {
 public:
  explicit ClientConnection(EventLoop& loop);

  /// Connects; @p done gets false when it failed or took too long.
  auto Connect(const TcpAddress& address,
               const ConnectOptions& options,
               std::function<void(bool)> done) -> void;

  /// Sends a whole request. One exchange at a time.
  /// @param bodyless  true for HEAD.
  auto Exchange(const std::string& request,
                bool bodyless,
                ExchangeHandlers handlers) -> void;

  /// True when the last exchange left the connection fit for another one and
  /// nothing unasked has arrived since.
  auto reusable() const -> bool;
  /// Exchanges begun so far.
  auto exchanges() const -> int { return m_exchanges; }
  /// When it was established; not before Connect is done.
  auto connected_at() const -> TimePoint { return m_connected_at; }
  /// Ends the connection and the exchange; no handler runs any more.
  auto Close() -> void;
  /// Slows the sender of the answer down, or lets it go on.
  auto SetReading(bool reading) -> void;

 private:
  auto OnConnected() -> void;
  auto OnBytes(std::string_view bytes) -> void;
  auto OnEnd(StreamEnd end) -> void;
  auto NewParser() -> void;
  auto FinishExchange(bool leftover) -> void;
  auto FailExchange(ExchangeFailure failure) -> void;

  EventLoop& m_loop;
  std::unique_ptr<TcpSocket> m_connecting;
  std::unique_ptr<boost::asio::steady_timer> m_connect_timer;
  std::shared_ptr<ByteStream> m_stream;
  std::unique_ptr<ResponseParser> m_parser;
  ExchangeHandlers m_handlers;
  HeadVerdict m_verdict = HeadVerdict::kTake;
  bool m_bodyless = false;
  bool m_busy = false;
  bool m_reusable = false;
  int m_exchanges = 0;
  TimePoint m_connected_at;
};

}  // namespace dotterelshed

#endif  // DOTTERELSHED_HTTP_CLIENT_H_
