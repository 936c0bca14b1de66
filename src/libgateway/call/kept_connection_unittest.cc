#include <catch2/catch.hpp>
#include <string>

#include "test_environment.h"

/// @file
/// How long connections to endpoints are used again.

namespace dotterelshed {
namespace {

using Request = ScriptedEndpoint::Request;

auto UnsafeCall(const std::string& id) -> std::string {
  return "POST /unsafe/x HTTP/1.1\r\nHost: desk\r\nRequest-Id: " + id +
         "\r\nDeadline-Ms: 3000\r\nContent-Length: 0\r\n\r\n";
}

/// Connections that two calls need, the second 1.2 s after the first.
auto ConnectionsOfTwoCalls(bool spare, const std::string& keep_alive)
    -> std::size_t {
  TestEnvironment environment;
  environment.m_obligations.m_spare_connections = spare;
  auto& endpoint =
      environment.AddEndpoint([&keep_alive](const Request& request) {
        request.m_stream->Write(
            request.Head(200, keep_alive + "Content-Length: 1\r\n") + "x");
      });
  environment.StartFollower();
  CHECK(environment.Finish(UnsafeCall("r1"))->Status() == 200);
  environment.RunFor(std::chrono::milliseconds(1200));
  CHECK(environment.Finish(UnsafeCall("r2"))->Status() == 200);
  return endpoint.connections();
}

TEST_CASE("a connection is used again until shortly before its announced end") {
  const std::string announced = "Keep-Alive: timeout=5\r\n";
  CHECK(ConnectionsOfTwoCalls(true, announced) == 1);
  CHECK(ConnectionsOfTwoCalls(true, "Keep-Alive: timeout=2\r\n") == 2);
  CHECK(ConnectionsOfTwoCalls(true, "") == 2);
  CHECK(ConnectionsOfTwoCalls(false, announced) == 2);
}

}  // namespace
}  // namespace dotterelshed
