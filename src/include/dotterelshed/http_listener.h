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
/// Each request that reaches the listener goes to its handler, also while the
/// listener stops or its limits change. So a connection without an open request
/// ends only after an answer that said so, or once the time is over that the
/// last answer stated, and with nothing on it that has arrived.

namespace dotterelshed {

/// What the sender of requests may take its time for.
struct ListenerLimits {
  ParserLimits m_parser;
  Duration m_header_timeout = std::chrono::seconds(3);
  Duration m_idle_timeout = std::chrono::seconds(15);
  /// Longest time that answers state in Keep-Alive, in whole seconds. The
  /// connection stays open for it whatever becomes of the limits, and the other
  /// side sends nothing later. Without it, or with an idle timeout below a
  /// second, nothing is stated.
  std::optional<std::chrono::seconds> m_kept_time;
  /// Requests on connections beyond this number get 503; from a tenth more on
  /// connections are closed at once.
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
  /// Prepares for the next request, which the limits in force are asked of.
  auto NewParser() -> void;
  auto ParseAhead() -> void;
  auto HandleParsed() -> void;
  auto Refuse(int status) -> void;
  auto FinishAnswer() -> void;
  auto Tick(TimePoint now) -> void;
  /// Adds to an answer's fields whether and how long the connection is kept.
  auto StateEnd(HttpFields& fields) -> void;
  /// Time that the next answer states in Keep-Alive; zero for none.
  auto StatedTime() const -> std::chrono::seconds;
  /// How long the connection stays open at least after an answer that states
  /// @p stated.
  auto KeptTime(std::chrono::seconds stated) const -> Duration;
  /// How long the connection may rest now.
  auto RestTime() const -> Duration;
  /// Answers 408 unless the rest of the request has arrived.
  auto RefuseIfLate() -> void;
  /// Closes the connection unless a request has begun to arrive on it.
  auto CloseIfIdle(CloseReason reason) -> void;
  /// Ends the connection once its last answer is out.
  auto CloseAfterWrites() -> void;
  /// Reports the end of the connection by this host.
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
  /// End of the last answer, or begin of the next request.
  TimePoint m_since;
  /// How long the connection stays open at least after the last answer, or
  /// after it was accepted.
  Duration m_kept_for;
  int m_answers = 0;
  bool m_busy = false;
  bool m_begun = false;
  bool m_chunked = false;
  bool m_bodyless = false;
  bool m_keep_alive = true;
  bool m_continued = false;
  /// One more than the listener may have: its request is refused.
  bool m_surplus = false;
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
  /// Says when the process ends. A connection whose stated time would last
  /// longer ends with its answer.
  auto SetEnd(TimePoint end) -> void { m_end = end; }
  /// Takes no new connections but those that wait to be accepted. Answers end
  /// their connections from now on, and connections without a request end once
  /// the time is over that their last answer stated.
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
  /// Accepts the connections that wait for it.
  auto AcceptWaiting() -> void;
  /// Takes an accepted connection, or closes it if there are far too many.
  auto Add(TcpSocket socket) -> void;
  /// Takes a stream that ends once what was written is out.
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
  TimePoint m_end = TimePoint::max();
  bool m_close_after_answers = false;
  bool m_stopped = false;
};

}  // namespace dotterelshed

#endif  // DOTTERELSHED_HTTP_LISTENER_H_
