#include "dotterelshed/event_loop.h"

#include <boost/asio/post.hpp>
#include <catch2/catch.hpp>
#include <stdexcept>
#include <string>

#include "dotterelshed/http_listener.h"

namespace dotterelshed {
namespace {

TEST_CASE("an exception of a handler doesn't end the loop") {
  EventLoop loop;
  int handled = 0;
  boost::asio::post(loop, [] { throw std::runtime_error("library"); });
  boost::asio::post(loop, [&handled] { ++handled; });
  boost::asio::post(loop, [] { throw std::runtime_error("again"); });
  boost::asio::post(loop, [&handled] { ++handled; });
  RunEventLoop(loop);
  CHECK(handled == 2);
}

TEST_CASE("an exception while a request is handled ends its connection only") {
  EventLoop loop;
  int requests = 0;
  HttpListener listener(
      loop, [&requests](const std::shared_ptr<ServerConnection>& connection,
                        const IncomingRequest& request) {
        ++requests;
        if (request.m_head.m_target == "/bad") {
          throw std::runtime_error("library");
        }
        connection->Answer(200, {}, "fine");
      });
  REQUIRE(listener.Listen({boost::asio::ip::address_v4::loopback(), 0}));
  const auto ask = [&](const std::string& target) {
    TcpSocket socket(loop);
    socket.connect(listener.local_address());
    socket.send(
        boost::asio::buffer("GET " + target + " HTTP/1.1\r\nHost: h\r\n\r\n"));
    loop.restart();
    loop.run_for(std::chrono::milliseconds(100));
    std::string answer(4096, '\0');
    boost::system::error_code error;
    socket.non_blocking(true);
    answer.resize(socket.read_some(boost::asio::buffer(answer), error));
    return error == boost::asio::error::would_block ? "open" : answer;
  };
  CHECK(ask("/good").find("fine") != std::string::npos);
  CHECK(ask("/bad").empty());
  CHECK(ask("/good").find("fine") != std::string::npos);
  CHECK(requests == 3);
}

}  // namespace
}  // namespace dotterelshed
