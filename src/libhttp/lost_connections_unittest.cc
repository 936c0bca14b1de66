#include <catch2/catch.hpp>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "dotterelshed/http_listener.h"
#include "dotterelshed/steady_time.h"

/// @file
/// LOST: requests beside the end of a connection. Each case is a request that
/// reached a listener, or a connection closed within the time for which it may
/// be used.

namespace dotterelshed {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::size_t kBodyBytes = std::size_t{32} << 20;
const std::string kRequest = "GET / HTTP/1.1\r\nHost: h\r\n\r\n";

/// A listener whose event loop runs only when the test says so.
struct Host {
  using OnRequest =
      std::function<void(const std::shared_ptr<ServerConnection>&)>;

  EventLoop m_loop;
  HttpListener m_listener;
  OnRequest m_on_request;
  std::vector<std::shared_ptr<ServerConnection>> m_open;
  int m_requests = 0;

  Host()
      : m_listener(m_loop,
                   [this](const std::shared_ptr<ServerConnection>& connection,
                          const IncomingRequest& /*request*/) {
                     ++m_requests;
                     m_open.push_back(connection);
                     if (m_on_request) {
                       m_on_request(connection);
                     }
                   }) {
    REQUIRE(m_listener.Listen({boost::asio::ip::address_v4::loopback(), 0}));
  }

  auto Run(Duration time = milliseconds(50)) -> void {
    const auto until = SteadyTime() + time;
    while (SteadyTime() < until) {
      m_loop.run_for(milliseconds(5));
      m_listener.Tick(SteadyTime());
    }
  }
};

struct Caller {
  explicit Caller(Host& host) : m_socket(host.m_loop) {
    m_socket.connect(host.m_listener.local_address());
  }

  auto Send(const std::string& bytes = kRequest) -> void {
    boost::system::error_code error;
    m_socket.send(boost::asio::buffer(bytes), 0, error);
  }

  /// Takes what has come.
  auto Read() -> void {
    std::string buffer(65536, '\0');
    boost::system::error_code error;
    m_socket.non_blocking(true);
    while (!error) {
      const auto bytes = m_socket.read_some(boost::asio::buffer(buffer), error);
      m_got.append(buffer, 0, bytes);
    }
    m_ended = m_ended || error != boost::asio::error::would_block;
  }

  auto Got(const std::string& text) const -> bool {
    return m_got.find(text) != std::string::npos;
  }

  TcpSocket m_socket;
  std::string m_got;
  bool m_ended = false;
};

auto AnswerOk(const std::shared_ptr<ServerConnection>& connection) -> void {
  connection->Answer(200, {}, "");
}

TEST_CASE("LOST: a stop closes a connection in use whose idle time is short") {
  Host host;
  host.m_on_request = AnswerOk;
  host.m_listener.SetLimits(
      {.m_idle_timeout = milliseconds(1400), .m_kept_time = seconds(2)});
  Caller caller(host);
  caller.Send();
  host.Run();
  REQUIRE(host.m_requests == 1);
  host.m_listener.StopListening();
  host.Run(milliseconds(100));
  caller.Send();
  host.Run();
  CHECK(host.m_requests == 2);
}

TEST_CASE("LOST: a short idle timeout is shortened while a connection rests") {
  Host host;
  host.m_on_request = AnswerOk;
  host.m_listener.SetLimits(
      {.m_idle_timeout = milliseconds(1400), .m_kept_time = seconds(2)});
  Caller caller(host);
  caller.Send();
  host.Run();
  host.m_listener.SetLimits(
      {.m_idle_timeout = milliseconds(200), .m_kept_time = seconds(2)});
  host.Run(milliseconds(500));
  caller.Send();
  host.Run();
  CHECK(host.m_requests == 2);
}

TEST_CASE("LOST: a connection is closed behind an answer that keeps it") {
  // The request lies unread when the idle timeout is over.
  Host host;
  host.m_on_request = AnswerOk;
  const ListenerLimits limits{.m_idle_timeout = milliseconds(1600),
                              .m_kept_time = seconds(1)};
  host.m_listener.SetLimits(limits);
  Caller caller(host);
  caller.Send();
  host.Run();
  REQUIRE(host.m_requests == 1);
  caller.Send();
  host.m_listener.Tick(SteadyTime() + seconds(5));
  REQUIRE(host.m_requests == 2);
  caller.Read();
  CHECK_FALSE(caller.Got("Connection: close"));
  CHECK_FALSE(caller.m_ended);
  caller.Send();
  host.Run();
  CHECK(host.m_requests == 3);
}

TEST_CASE("LOST: the stated time begins before the answer has been taken") {
  Host host;
  host.m_listener.SetLimits({.m_kept_time = seconds(1)});
  Caller caller(host);
  caller.Send();
  host.Run();
  REQUIRE(host.m_requests == 1);
  // More than the system takes at once.
  host.m_open.front()->Answer(200, {}, std::string(kBodyBytes, 'x'));
  host.m_listener.StopListening();
  REQUIRE(host.m_open.front()->pending_bytes() > 0);
  host.Run(milliseconds(1700));
  for (int turn = 0; turn < 200 && caller.m_got.size() < kBodyBytes; ++turn) {
    caller.Read();
    host.Run(milliseconds(5));
  }
  REQUIRE(caller.m_got.size() > kBodyBytes);
  CHECK(caller.Got("Keep-Alive: timeout=1"));
  caller.Send();
  host.Run();
  CHECK(host.m_requests == 2);
}

TEST_CASE("a request that a close found may end the requests of others") {
  // The listener visits its connections in any order; some come later.
  constexpr int kOthers = 30;
  Host host;
  std::vector<std::unique_ptr<Caller>> others;
  for (int at = 0; at < kOthers; ++at) {
    others.push_back(std::make_unique<Caller>(host));
    others.back()->Send();
  }
  Caller caller(host);
  host.Run();
  REQUIRE(host.m_requests == kOthers);
  host.m_on_request = [&host](const auto& /*connection*/) {
    for (const auto& open : host.m_open) {
      open->Answer(503, {}, "");
    }
  };
  caller.Send();
  host.m_listener.CloseAfterAnswers();
  host.m_listener.Tick(SteadyTime() + seconds(60));
  CHECK(host.m_requests == kOthers + 1);
  CHECK(host.m_listener.connections() == 0);
}

TEST_CASE("LOST: a request unread when the last answer says close") {
  Host host;
  Caller caller(host);
  caller.Send();
  host.Run();
  REQUIRE(host.m_requests == 1);
  caller.Send();
  host.m_listener.CloseAfterAnswers();
  host.m_open.front()->Answer(200, {}, "");
  host.Run();
  CHECK(host.m_requests == 2);
}

TEST_CASE("LOST: a request on a connection beyond the greatest number") {
  Host host;
  host.m_on_request = AnswerOk;
  host.m_listener.SetLimits({.m_max_connections = 1});
  Caller first(host);
  host.Run();
  Caller second(host);
  second.Send();
  host.Run();
  second.Read();
  CHECK(second.Got("HTTP/1.1 "));
}

TEST_CASE("a request whose rest lies unread isn't called late") {
  Host host;
  Caller caller(host);
  caller.Send(kRequest.substr(0, 5));
  host.Run();
  caller.Send(kRequest.substr(5));
  host.m_listener.Tick(SteadyTime() + seconds(5));
  host.Run();
  CHECK(host.m_requests == 1);
}

TEST_CASE("connections of callers that always read ahead end in a stop") {
  Host host;
  host.m_on_request = AnswerOk;
  host.m_listener.SetLimits({.m_kept_time = seconds(1)});
  Caller caller(host);
  std::string many;
  for (int at = 0; at < 500; ++at) {
    many += kRequest;
  }
  host.Run();
  host.m_listener.StopListening();
  caller.Send(many);
  host.Run(milliseconds(500));
  caller.Read();
  CHECK(host.m_requests == 500);
  CHECK(caller.Got("Connection: close"));
  CHECK(host.m_listener.connections() == 0);
}

}  // namespace
}  // namespace dotterelshed
