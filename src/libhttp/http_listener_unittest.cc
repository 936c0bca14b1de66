#include "dotterelshed/http_listener.h"

#include <catch2/catch.hpp>
#include <string>

/// @file
/// Ends of connections whose last answer is larger than what the system
/// buffers, with callers that read late.

namespace dotterelshed {
namespace {

constexpr std::size_t kBodyBytes = std::size_t{16} << 20;
constexpr auto kStep = std::chrono::milliseconds(5);

struct SlowCaller {
  EventLoop m_loop;
  HttpListener m_listener;
  TcpSocket m_socket;
  std::string m_got;

  SlowCaller()
      : m_listener(m_loop,
                   [](const std::shared_ptr<ServerConnection>& connection,
                      const IncomingRequest& /*request*/) {
                     connection->Answer(200, {}, std::string(kBodyBytes, 'x'));
                   }),
        m_socket(m_loop) {
    REQUIRE(m_listener.Listen({boost::asio::ip::address_v4::loopback(), 0}));
    m_socket.connect(m_listener.local_address());
  }

  auto SendRequest() -> void {
    m_socket.send(
        boost::asio::buffer(std::string("GET / HTTP/1.1\r\nHost: h\r\n\r\n")));
    Run(std::chrono::milliseconds(100));
  }

  auto Run(Duration time) -> void { m_loop.run_for(time); }

  /// Reads until the connection ends.
  auto ReadAll() -> void {
    std::string buffer(1 << 16, '\0');
    boost::system::error_code error;
    m_socket.non_blocking(true);
    while (!error || error == boost::asio::error::would_block) {
      const auto bytes = m_socket.read_some(
          boost::asio::buffer(buffer.data(), buffer.size()), error);
      m_got.append(buffer, 0, bytes);
      Run(bytes == 0 ? Duration(kStep) : Duration{0});
    }
    m_socket.close();
  }

  auto BodyBytes() const -> std::size_t {
    const auto end = m_got.find("\r\n\r\n");
    return end == std::string::npos ? 0 : m_got.size() - end - 4;
  }
};

TEST_CASE("a connection is closing until its last answer was taken") {
  SlowCaller caller;
  caller.m_listener.CloseAfterAnswers();
  caller.SendRequest();
  CHECK(caller.m_listener.open_requests() == 0);
  CHECK(caller.m_listener.closing_connections() == 1);
  caller.ReadAll();
  caller.Run(std::chrono::milliseconds(100));
  CHECK(caller.BodyBytes() == kBodyBytes);
  CHECK(caller.m_listener.closing_connections() == 0);
}

TEST_CASE("a caller that reads late gets all of a last answer") {
  SlowCaller caller;
  caller.m_listener.CloseAfterAnswers();
  caller.SendRequest();
  caller.Run(std::chrono::milliseconds(1500));
  caller.ReadAll();
  CHECK(caller.BodyBytes() == kBodyBytes);
}

TEST_CASE("a stop cuts no answer that isn't out yet") {
  SlowCaller caller;
  caller.SendRequest();
  caller.m_listener.StopListening();
  caller.Run(std::chrono::milliseconds(100));
  caller.ReadAll();
  CHECK(caller.BodyBytes() == kBodyBytes);
}

TEST_CASE("a connection whose caller never reads ends nevertheless") {
  SlowCaller caller;
  caller.m_listener.CloseAfterAnswers();
  caller.SendRequest();
  caller.Run(std::chrono::seconds(11));
  CHECK(caller.m_listener.closing_connections() == 0);
}

}  // namespace
}  // namespace dotterelshed
