#include <catch2/catch.hpp>
#include <memory>
#include <optional>
#include <string>

#include "test_calls.h"

/// @file
/// LOST: requests that got neither an answer nor a refusal from a host that was
/// being stopped.

namespace dotterelshed {
namespace {

using Request = ScriptedEndpoint::Request;

const std::string kUnsafeCall =
    "POST /unsafe/x HTTP/1.1\r\nHost: desk\r\nRequest-Id: r1\r\n"
    "Deadline-Ms: 3000\r\nContent-Length: 2\r\n\r\n";

auto RunUntilGone(TestEnvironment& environment) -> void {
  environment.RunUntil([&environment] { return environment.m_loop.stopped(); });
  // What the host has sent is still on its way to the caller.
  environment.m_loop.restart();
  environment.m_loop.run_for(std::chrono::milliseconds(50));
}

TEST_CASE(
    "LOST: an endpoint that doesn't answer before a host's grace is over") {
  TestEnvironment environment;
  environment.m_host_settings.m_stop_grace = std::chrono::seconds(2);
  auto& endpoint = environment.AddEndpoint([](const Request& /*request*/) {});
  environment.Start();
  const auto caller = environment.Call(kUnsafeCall + "xx");
  environment.RunUntil([&endpoint] { return endpoint.requests() == 1; });
  environment.m_host->Stop();
  RunUntilGone(environment);
  CHECK(caller->Status() == 504);
}

TEST_CASE("LOST: a lead that doesn't answer before a host's grace is over") {
  TestEnvironment environment;
  environment.m_host_settings.m_stop_grace = std::chrono::milliseconds(1200);
  auto& endpoint = environment.AddEndpoint(AnswerTurn);
  ScriptedEndpoint lead(environment.m_loop, [](const Request& /*request*/) {});
  environment.PutLead("z", "other", lead);
  environment.StartFollower();
  const auto caller = environment.Call(kTurnRequest);
  environment.RunFor(std::chrono::milliseconds(20));
  environment.m_host->Stop();
  RunUntilGone(environment);
  CHECK(caller->Status() == 503);
  CHECK(endpoint.requests() == 0);
}

TEST_CASE(
    "LOST: a request that is half read when a stopping host has no other") {
  TestEnvironment environment;
  auto& endpoint = environment.AddEndpoint(AnswerPlain);
  environment.Start();
  const auto caller = environment.Call(kUnsafeCall + "x");
  environment.RunFor(std::chrono::milliseconds(20));
  environment.m_host->Stop();
  environment.RunFor(std::chrono::milliseconds(2900));
  REQUIRE_FALSE(environment.m_loop.stopped());
  caller->m_stream->Write("x");
  RunUntilGone(environment);
  CHECK(caller->Status() == 503);
  CHECK(caller->m_got.find("Connection: close") != std::string::npos);
  CHECK(endpoint.requests() == 0);
}

}  // namespace
}  // namespace dotterelshed
