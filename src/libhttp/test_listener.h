#ifndef DOTTERELSHED_TEST_LISTENER_H_
#define DOTTERELSHED_TEST_LISTENER_H_

#include <catch2/catch.hpp>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "dotterelshed/http_listener.h"
#include "dotterelshed/steady_time.h"

/// @file
/// A listener and connections to it, for tests. The event loop runs only when
/// the test says so, so that bytes wait unread as they do on a busy host.

namespace dotterelshed {

inline const std::string kRequest = "GET / HTTP/1.1\r\nHost: h\r\n\r\n";

struct TestListener {
  using OnRequest =
      std::function<void(const std::shared_ptr<ServerConnection>&)>;

  EventLoop m_loop;
  HttpListener m_listener;
  OnRequest m_on_request;
  /// Connections of all requests, in the order of their arrival.
  std::vector<std::shared_ptr<ServerConnection>> m_open;
  int m_requests = 0;

  TestListener()
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

  auto Run(Duration time = std::chrono::milliseconds(50)) -> void {
    const auto until = SteadyTime() + time;
    while (SteadyTime() < until) {
      m_loop.run_for(std::chrono::milliseconds(5));
      m_listener.Tick(SteadyTime());
    }
  }
};

struct TestConnection {
  explicit TestConnection(EventLoop& loop) : m_socket(loop) {}

  auto Connect(const HttpListener& listener) -> void {
    m_socket.connect(listener.local_address());
  }

  auto Send(const std::string& bytes = kRequest) -> void {
    boost::system::error_code error;
    m_socket.send(boost::asio::buffer(bytes), 0, error);
  }

  /// Reads what has been received.
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

}  // namespace dotterelshed

#endif  // DOTTERELSHED_TEST_LISTENER_H_
