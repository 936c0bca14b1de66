#ifndef DOTTERELSHED_HTTP_CLIENT_H_
#define DOTTERELSHED_HTTP_CLIENT_H_

#include <functional>
#include <memory>
#include <string>

#include "dotterelshed/byte_stream.h"
#include "dotterelshed/http_parser.h"
#include "dotterelshed/tcp_connector.h"
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

class ClientConnection : public std::enable_shared_from_this<ClientConnection> {
 public:
  explicit ClientConnection(EventLoop& loop);

  /// Connects; @p done gets false when it failed or took too long.
  auto Connect(const TcpAddress& address,
               const ConnectOptions& options,
               std::function<void(bool)> done) -> void;

  /// Connects through another host. @p request is sent to the host at @p relay;
  /// if it answers 200, what is written afterwards goes to the endpoint that
  /// the request names, and the body of that answer is what the endpoint sends.
  /// Such a connection is used for one exchange only. An end of it that the
  /// relay didn't announce counts as a reset.
  /// @param options  The time limit holds for each of the two steps.
  /// @param done  gets the status of the relay's answer, or zero without one.
  auto ConnectThrough(const TcpAddress& relay,
                      std::string request,
                      const ConnectOptions& options,
                      std::function<void(int)> done) -> void;
  /// True if another host passes the bytes on.
  auto relayed() const -> bool { return m_relay != nullptr; }

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
  auto OnConnected(TcpSocket socket) -> void;
  auto BeginRelay(const std::string& request,
                  Duration timeout,
                  std::function<void(int)> done) -> void;
  auto OnRelayAnswer(int status) -> void;
  auto OnRelayBytes(std::string_view bytes) -> void;
  auto OnStreamBytes(std::string_view bytes) -> void;
  auto OnStreamEnd(StreamEnd end) -> void;
  auto OnBytes(std::string_view bytes) -> void;
  auto OnEnd(StreamEnd end) -> void;
  auto NewParser() -> void;
  auto FinishExchange(bool leftover) -> void;
  auto FailExchange(ExchangeFailure failure) -> void;

  EventLoop& m_loop;
  std::shared_ptr<TcpConnector> m_connector;
  std::shared_ptr<ByteStream> m_stream;
  /// Parses the answer of the host that passes the bytes on; null without one.
  std::unique_ptr<ResponseParser> m_relay;
  /// Runs until the relay's answer.
  std::unique_ptr<boost::asio::steady_timer> m_relay_timer;
  std::function<void(int)> m_on_relay_answer;
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
