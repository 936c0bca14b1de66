#ifndef DOTTERELSHED_HTTP_LISTENER_H_
#define DOTTERELSHED_HTTP_LISTENER_H_

#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <unordered_set>
#include <vector>

#include "dotterelshed/byte_stream.h"
#include "dotterelshed/http_parser.h"
#include "dotterelshed/units.h"

/// @file
/// Server side of HTTP/1.1: a listening socket and the connections that come in
/// on it. Requests of one connection are handled one after the other.
///
/// Every request that reaches the listener is passed to its handler, also while
/// the listener stops or its limits change. A connection without an open
/// request is therefore closed only after an answer with "Connection: close",
/// or when its keep-alive timeout and idle timeout have passed, and only if no
/// received bytes are left.

namespace dotterelshed {

/// What the sender of requests may take its time for.
struct ListenerLimits {
  ParserLimits m_parser;
  Duration m_header_timeout = std::chrono::seconds(3);
  Duration m_idle_timeout = std::chrono::seconds(15);
  /// Upper bound of the timeout that answers announce in their Keep-Alive
  /// field. A connection stays open for the announced time even if the limits
  /// change or the listener stops. Nothing is announced without a value, or if
  /// the idle timeout is shorter than a second.
  std::optional<std::chrono::seconds> m_max_keep_alive;
  /// Requests on connections beyond this number are refused with 503. If it is
  /// exceeded by more than a tenth, further connections are closed at once.
  std::size_t m_max_connections = 2000;
};

struct IncomingRequest {
  RequestHead m_head;
  std::string m_body;
};

class HttpListener;
enum class CloseReason;

/// One accepted connection. An answer is given either whole by Answer, or by
/// BeginAnswer, SendBody and EndAnswer.
class ServerConnection : public std::enable_shared_from_this<ServerConnection> {
 public:
  ServerConnection(HttpListener& listener, TcpSocket socket);

  auto Start() -> void;
  auto Answer(int status, HttpFields fields, std::string_view body) -> void;
  /// @param length  stated length of the body; without it the body is chunked.
  auto BeginAnswer(int status,
                   std::string_view reason,
                   HttpFields fields,
                   std::optional<std::uint64_t> length) -> void;
  auto SendBody(std::string_view bytes) -> void;
  auto EndAnswer() -> void;
  /// Closes the connection without an answer, or within one so that it doesn't
  /// look complete.
  auto Abort() -> void;

  /// Called when the other side leaves while a request of it is open.
  auto SetGoneHandler(std::function<void()> on_gone) -> void;
  /// Called whenever all that was sent has been taken by the system.
  auto SetDrainedHandler(std::function<void()> on_drained) -> void;
  /// What the other side sends after the open request goes to @p take as it
  /// comes, until the answer ends; the connection takes no further request.
  auto PassBytesTo(std::function<void(std::string_view)> take) -> void;
  /// Slows the sender of such bytes down, or lets it go on.
  auto SetReading(bool reading) -> void;
  auto pending_bytes() const -> std::size_t;
  /// True while a request is open.
  auto busy() const -> bool { return m_busy; }

 private:
  friend class HttpListener;

  auto OnBytes(std::string_view bytes) -> void;
  auto OnEnd() -> void;
  auto OnDrained() -> void;
  /// Starts to parse the next request, with the current limits.
  auto ResetParser() -> void;
  auto ParseAhead() -> void;
  auto HandleParsed() -> void;
  /// Passes the parsed request to the handler.
  auto HandleRequest() -> void;
  auto Refuse(int status) -> void;
  auto FinishAnswer() -> void;
  auto Tick(TimePoint now) -> void;
  /// Decides whether the connection is kept open after an answer, and adds its
  /// Connection or Keep-Alive field.
  auto AddConnectionFields(HttpFields& fields) -> void;
  /// Timeout that the next answer announces in Keep-Alive; zero for none.
  auto KeepAliveTimeout() const -> std::chrono::seconds;
  /// Minimum time for which the connection stays open after an answer that
  /// announces @p keep_alive.
  auto MinOpenTime(std::chrono::seconds keep_alive) const -> Duration;
  /// Time after which an idle connection is closed.
  auto MaxIdleTime() const -> Duration;
  /// Refuses a request with 408 unless the rest of it has arrived.
  auto RefuseIfIncomplete() -> void;
  /// Closes the connection unless bytes of a request have arrived.
  auto CloseIfIdle(CloseReason reason) -> void;
  /// Ends the connection once its last answer is out.
  auto CloseAfterWrites() -> void;
  /// Logs and counts that this host closes the connection.
  auto NoteClose(CloseReason reason) const -> void;
  auto Forget() -> void;

  HttpListener* m_listener;
  std::shared_ptr<ByteStream> m_stream;
  std::unique_ptr<RequestParser> m_parser;
  ParserLimits m_parser_limits;
  std::string m_ahead;
  std::function<void()> m_on_gone;
  std::function<void()> m_on_drained;
  std::function<void(std::string_view)> m_take_bytes;
  /// Time of the end of the last answer or of the first byte of a request.
  TimePoint m_since;
  /// Minimum time for which the connection stays open after m_since.
  Duration m_min_open_time;
  int m_answers = 0;
  bool m_busy = false;
  bool m_begun = false;
  bool m_chunked = false;
  bool m_bodyless = false;
  bool m_keep_alive = true;
  bool m_continued = false;
  /// The listener had m_max_connections already; the request is refused.
  bool m_over_limit = false;
};

class HttpListener {
 public:
  using RequestHandler =
      std::function<void(const std::shared_ptr<ServerConnection>&,
                         IncomingRequest)>;

  HttpListener(EventLoop& loop, RequestHandler on_request);
  ~HttpListener();

  /// Errors: kUnavailable when the address can't be bound.
  auto Listen(const TcpAddress& address) -> Status;
  auto local_address() const -> TcpAddress;
  auto SetLimits(const ListenerLimits& limits) -> void { m_limits = limits; }
  /// To be called several times a second: enforces the time limits.
  auto Tick(TimePoint now) -> void;

  /// Answers from now on end their connections.
  auto CloseAfterAnswers() -> void { m_close_after_answers = true; }
  /// Sets the time at which the process exits. A connection that would have to
  /// stay open beyond it is closed at the end of its answer.
  auto SetShutdownTime(TimePoint time) -> void { m_shutdown_at = time; }
  /// Accepts the connections in the backlog and closes the listening socket.
  /// From now on connections are closed at the end of an answer, or when their
  /// keep-alive timeout has passed.
  auto StopListening() -> void;
  /// Requests that have no whole answer yet.
  auto open_requests() const -> int { return m_open_requests; }
  /// Connections that are open for requests.
  auto connections() const -> std::size_t { return m_connections.size(); }
  /// Connections whose last answer the other side may still be taking. The
  /// process must not exit before they are closed, or the answer is cut.
  auto closing_connections() const -> std::size_t;

 private:
  friend class ServerConnection;

  auto Accept() -> void;
  auto AcceptLater() -> void;
  /// Accepts the connections in the backlog.
  auto AcceptBacklog() -> void;
  /// Adds an accepted connection, or closes it if there are far too many.
  auto Add(TcpSocket socket) -> void;
  /// Adds a stream that is closed when its written bytes have been sent.
  auto AddClosing(const std::shared_ptr<ByteStream>& stream) -> void;

  EventLoop& m_loop;
  boost::asio::ip::tcp::acceptor m_acceptor;
  RequestHandler m_on_request;
  ListenerLimits m_limits;
  std::unordered_set<std::shared_ptr<ServerConnection>> m_connections;
  /// Streams that end once their last answer is out; they are no connections of
  /// this listener any more.
  std::vector<std::weak_ptr<ByteStream>> m_closing;
  int m_open_requests = 0;
  boost::asio::steady_timer m_accept_timer;
  TimePoint m_shutdown_at = TimePoint::max();
  bool m_close_after_answers = false;
  bool m_stopped = false;
};

}  // namespace dotterelshed

#endif  // DOTTERELSHED_HTTP_LISTENER_H_
