#include <catch2/catch.hpp>
#include <string>

#include "test_listener.h"

/// @file
/// LOST: requests that reached a listener while it stopped, or while its idle
/// timeout changed, and got neither an answer nor a refusal.

namespace dotterelshed {
namespace {

/// A listener and a connection to it.
struct Caller : public TestListener, public TestConnection {
  Caller() : TestConnection(m_loop) {}

  auto Connect() -> void { TestConnection::Connect(m_listener); }

  /// Runs the listener, and reads what has come.
  auto Run(Duration time = std::chrono::milliseconds(50)) -> void {
    TestListener::Run(time);
    Read();
  }

  /// Sends a request and answers it; the connection stays open.
  auto SendAndAnswer() -> void {
    Send();
    Run();
    AnswerLast();
  }

  /// Answers the last request.
  auto AnswerLast() -> void {
    m_open.back()->Answer(200, {}, "");
    Run();
  }

  auto Answers() const -> int {
    int answers = 0;
    for (auto at = m_got.find("HTTP/1.1 "); at != std::string::npos;
         at = m_got.find("HTTP/1.1 ", at + 1)) {
      ++answers;
    }
    return answers;
  }
};

TEST_CASE("LOST: a request that waits unread when a stop closes connections") {
  Caller caller;
  caller.Connect();
  caller.SendAndAnswer();
  caller.Send();
  caller.m_listener.StopListening();
  caller.Run();
  REQUIRE(caller.m_requests == 2);
  caller.AnswerLast();
  CHECK(caller.Answers() == 2);
}

TEST_CASE("LOST: a request that comes after a stop on a connection in use") {
  Caller caller;
  caller.m_listener.SetLimits({.m_max_keep_alive = std::chrono::seconds(1)});
  caller.Connect();
  caller.SendAndAnswer();
  caller.m_listener.StopListening();
  caller.Run();
  caller.Send();
  caller.Run();
  REQUIRE(caller.m_requests == 2);
  caller.AnswerLast();
  CHECK(caller.Answers() == 2);
  CHECK(caller.m_got.find("Connection: close") != std::string::npos);
}

TEST_CASE("LOST: a request in the queue of a listening socket that closes") {
  Caller caller;
  caller.Connect();
  caller.Send();
  caller.m_listener.StopListening();
  caller.Run();
  REQUIRE(caller.m_requests == 1);
  caller.AnswerLast();
  CHECK(caller.Answers() == 1);
}

TEST_CASE(
    "LOST: a request read ahead of an answer that said nothing of a stop") {
  Caller caller;
  caller.Connect();
  caller.Send();
  caller.Run();
  caller.m_open.back()->BeginAnswer(200, "", {}, 1);
  caller.Send();
  caller.Run();
  caller.m_listener.StopListening();
  caller.m_open.back()->SendBody("x");
  caller.m_open.back()->EndAnswer();
  caller.Run();
  REQUIRE(caller.m_requests == 2);
  caller.AnswerLast();
  CHECK(caller.Answers() == 2);
}

TEST_CASE("LOST: a request read ahead of an answer that begins in a stop") {
  Caller caller;
  caller.Connect();
  caller.Send();
  caller.Run();
  caller.Send();
  caller.Run();
  caller.m_listener.CloseAfterAnswers();
  caller.AnswerLast();
  REQUIRE(caller.m_requests == 2);
  caller.AnswerLast();
  CHECK(caller.Answers() == 2);
  CHECK(caller.m_ended);
}

TEST_CASE("LOST: a request on a connection whose idle timeout was shortened") {
  Caller caller;
  caller.m_listener.SetLimits({.m_max_keep_alive = std::chrono::seconds(1)});
  caller.Connect();
  caller.SendAndAnswer();
  CHECK(caller.m_got.find("Keep-Alive: timeout=1") != std::string::npos);
  caller.m_listener.SetLimits({.m_idle_timeout = std::chrono::milliseconds(100),
                               .m_max_keep_alive = std::chrono::seconds(1)});
  caller.Run(std::chrono::milliseconds(900));
  caller.Send();
  caller.Run();
  REQUIRE(caller.m_requests == 2);
  caller.AnswerLast();
  CHECK(caller.Answers() == 2);
}

TEST_CASE("a request is held to the limits in force when it begins") {
  Caller caller;
  caller.m_listener.SetLimits({.m_parser = {.m_max_body_bytes = 1}});
  caller.Connect();
  caller.Run();
  caller.m_listener.SetLimits({.m_parser = {.m_max_body_bytes = 100}});
  caller.m_socket.send(boost::asio::buffer(std::string(
      "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nabc")));
  caller.Run();
  CHECK(caller.m_requests == 1);
}

TEST_CASE(
    "a stopping listener closes a connection once its stated time is over") {
  Caller caller;
  caller.m_listener.SetLimits({.m_max_keep_alive = std::chrono::seconds(1)});
  caller.Connect();
  caller.SendAndAnswer();
  caller.m_listener.StopListening();
  caller.Run(std::chrono::milliseconds(900));
  CHECK_FALSE(caller.m_ended);
  caller.Run(std::chrono::milliseconds(900));
  CHECK(caller.m_ended);
  CHECK(caller.m_listener.connections() == 0);
}

TEST_CASE("an answer states no time that its idle timeout doesn't reach") {
  const auto [idle_ms, stated] = GENERATE(table<int, std::string>(
      {{900, ""}, {1200, "1"}, {2700, "1"}, {2800, "2"}, {9000, "2"}}));
  Caller caller;
  caller.m_listener.SetLimits(
      {.m_idle_timeout = std::chrono::milliseconds(idle_ms),
       .m_max_keep_alive = std::chrono::seconds(2)});
  caller.Connect();
  caller.SendAndAnswer();
  const auto field =
      caller.m_got.find("Keep-Alive: timeout=" + stated + "\r\n");
  CHECK((field != std::string::npos) == !stated.empty());
  CHECK((caller.m_got.find("Keep-Alive") == std::string::npos) ==
        stated.empty());
}

TEST_CASE(
    "LOST: a first request that is late on a connection taken in a stop") {
  Caller caller;
  caller.Connect();
  caller.m_listener.StopListening();
  caller.Run(std::chrono::milliseconds(300));
  caller.Send();
  caller.Run();
  CHECK(caller.m_requests == 1);
}

TEST_CASE(
    "LOST: a request of which a part lies unread when a connection rested") {
  Caller caller;
  caller.Connect();
  caller.Run();
  const auto half = kRequest.size() / 2;
  caller.m_socket.send(boost::asio::buffer(kRequest.substr(0, half)));
  caller.m_listener.Tick(SteadyTime() + std::chrono::seconds(60));
  caller.m_socket.send(boost::asio::buffer(kRequest.substr(half)));
  caller.Run();
  CHECK(caller.m_requests == 1);
}

}  // namespace
}  // namespace dotterelshed
