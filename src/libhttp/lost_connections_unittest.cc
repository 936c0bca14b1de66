#include <catch2/catch.hpp>
#include <memory>
#include <string>
#include <vector>

#include "test_listener.h"

/// @file
/// LOST: requests that race with the close of their connection, and connections
/// that are closed while their callers may use them.

namespace dotterelshed {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::size_t kBodyBytes = std::size_t{32} << 20;
struct Caller : public TestConnection {
  explicit Caller(TestListener& host) : TestConnection(host.m_loop) {
    Connect(host.m_listener);
  }
};

auto AnswerOk(const std::shared_ptr<ServerConnection>& connection) -> void {
  connection->Answer(200, {}, "");
}

TEST_CASE("LOST: a stop closes a connection in use whose idle time is short") {
  TestListener host;
  host.m_on_request = AnswerOk;
  host.m_listener.SetLimits(
      {.m_idle_timeout = milliseconds(1400), .m_max_keep_alive = seconds(2)});
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
  TestListener host;
  host.m_on_request = AnswerOk;
  host.m_listener.SetLimits(
      {.m_idle_timeout = milliseconds(1400), .m_max_keep_alive = seconds(2)});
  Caller caller(host);
  caller.Send();
  host.Run();
  host.m_listener.SetLimits(
      {.m_idle_timeout = milliseconds(200), .m_max_keep_alive = seconds(2)});
  host.Run(milliseconds(500));
  caller.Send();
  host.Run();
  CHECK(host.m_requests == 2);
}

TEST_CASE("LOST: a connection is closed behind an answer that keeps it") {
  // The request lies unread when the idle timeout is over.
  TestListener host;
  host.m_on_request = AnswerOk;
  const ListenerLimits limits{.m_idle_timeout = milliseconds(1600),
                              .m_max_keep_alive = seconds(1)};
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
  TestListener host;
  host.m_listener.SetLimits({.m_max_keep_alive = seconds(1)});
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
  TestListener host;
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
  TestListener host;
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
  TestListener host;
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
  TestListener host;
  Caller caller(host);
  caller.Send(kRequest.substr(0, 5));
  host.Run();
  caller.Send(kRequest.substr(5));
  host.m_listener.Tick(SteadyTime() + seconds(5));
  host.Run();
  CHECK(host.m_requests == 1);
}

TEST_CASE("connections of callers that always read ahead end in a stop") {
  TestListener host;
  host.m_on_request = AnswerOk;
  host.m_listener.SetLimits({.m_max_keep_alive = seconds(1)});
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
