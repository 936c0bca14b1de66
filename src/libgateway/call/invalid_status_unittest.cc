#include <catch2/catch.hpp>
#include <string>

#include "test_calls.h"

/// @file
/// Answers whose status no HTTP answer has.

namespace dotterelshed {
namespace {

using Request = ScriptedEndpoint::Request;

TEST_CASE("an answer with an invalid status never reaches the caller") {
  TestEnvironment environment;
  const auto* status = GENERATE("000", "001", "099", "101");
  const auto* rest = GENERATE(
      "", "Content-Length: 5\r\n\r\nwrong",
      "Content-Length: 0\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 5\r\n"
      "Request-Id: r1\r\nResponse-Signature: sig\r\n\r\nwrong");
  int attempts = 0;
  const auto script = [&](const Request& request) {
    if (++attempts == 1) {
      request.m_stream->Write(std::string("HTTP/1.1 ") + status +
                              " X\r\nRequest-Id: r1\r\n"
                              "Response-Signature: sig\r\n" +
                              rest);
    } else {
      request.m_stream->Write(request.Complete("right"));
    }
  };
  environment.AddEndpoint(script);
  environment.AddEndpoint(script);
  environment.Start();
  const auto caller = environment.Finish(kSafeCall);
  CAPTURE(caller->m_got, status, rest, attempts);
  CHECK(caller->Status() == 200);
  CHECK(caller->Body() == "right");
}

}  // namespace
}  // namespace dotterelshed
