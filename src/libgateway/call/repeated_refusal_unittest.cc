#include <catch2/catch.hpp>
#include <string>

#include "test_calls.h"

/// @file
/// Endpoints that repeat an earlier refusal on a kept-alive connection.

namespace dotterelshed {
namespace {

using Request = ScriptedEndpoint::Request;

auto MakeUnsafe(const std::string& id) -> std::string {
  return "POST /unsafe/x HTTP/1.1\r\nHost: desk\r\nRequest-Id: " + id +
         "\r\nDeadline-Ms: 1500\r\nContent-Length: 0\r\n\r\n";
}

/// A refusal that needn't state which request it refers to.
auto MakeRefusal(int status, const std::string& more) -> std::string {
  return "HTTP/1.1 " + std::to_string(status) + " X\r\n" + more +
         "Content-Length: 0\r\n\r\n";
}

/// Makes two concurrent calls, which leave a kept-alive connection to each of
/// two endpoints.
auto CallBoth(TestEnvironment& environment) -> void {
  const auto one = environment.Call(MakeUnsafe("r0"));
  const auto other = environment.Call(MakeUnsafe("r1"));
  environment.RunUntil([&] { return one->Body() && other->Body(); });
}

TEST_CASE("a repeated refusal isn't taken for the next request's answer") {
  TestEnvironment environment;
  const auto status = GENERATE(503, 429, 421, 400);
  const auto* more = GENERATE("Not-Executed: 1\r\n",
                              "Not-Executed: 1\r\nRequest-Id: earlier\r\n");
  int runs = 0;
  const auto script = [&](const Request& request) {
    const auto id = request.Field("request-id");
    runs += id == "r2" ? 1 : 0;
    const auto refusal = id == "r2" ? MakeRefusal(status, more) : "";
    request.m_stream->Write(refusal + request.Complete("done"));
  };
  const auto& first = environment.AddEndpoint(script);
  const auto& second = environment.AddEndpoint(script);
  environment.Start();
  while (first.requests() * second.requests() == 0) {
    CallBoth(environment);
  }
  const auto caller = environment.Finish(MakeUnsafe("r2"));
  CHECK(caller->Status() == 200);
  CHECK(caller->Body() == "done");
  CHECK(runs == 1);
}

TEST_CASE("a refusal alone on a kept-alive connection doesn't permit a retry") {
  TestEnvironment environment;
  const auto* more = GENERATE("Not-Executed: 1\r\n",
                              "Not-Executed: 1\r\nConnection: close\r\n");
  int runs = 0;
  const auto script = [&](const Request& request) {
    const auto id = request.Field("request-id");
    runs += id == "r2" ? 1 : 0;
    request.m_stream->Write(id == "r2" ? MakeRefusal(503, more)
                                       : request.Complete("done"));
  };
  const auto& first = environment.AddEndpoint(script);
  const auto& second = environment.AddEndpoint(script);
  environment.Start();
  while (first.requests() * second.requests() == 0) {
    CallBoth(environment);
  }
  const auto status = environment.Finish(MakeUnsafe("r2"))->Status();
  CHECK((status == 502 || status == 504));
  CHECK(runs == 1);
}

TEST_CASE("an unsolicited refusal closes only its own connection") {
  TestEnvironment environment;
  std::optional<Request> first;
  auto& endpoint = environment.AddEndpoint([&first](const Request& request) {
    first = request;
    request.m_stream->Write(request.Complete("done"));
  });
  environment.Start();
  CHECK(environment.Finish(MakeUnsafe("r1"))->Status() == 200);
  first->m_stream->Write(MakeRefusal(503, "Not-Executed: 1\r\n"));
  environment.RunUntil([&endpoint] { return endpoint.ended() == 1; });
  CHECK(environment.Finish(MakeUnsafe("r2"))->Status() == 200);
}

TEST_CASE("a refusal on a new connection needs no request id") {
  TestEnvironment environment;
  auto& endpoint = environment.AddEndpoint([](const Request& request) {
    request.m_stream->Write(MakeRefusal(503, "Not-Executed: 1\r\n"));
  });
  environment.Start();
  CHECK(environment.Finish(MakeUnsafe("r1"))->Status() == 503);
  CHECK(endpoint.requests() == 1);
}

}  // namespace
}  // namespace dotterelshed
