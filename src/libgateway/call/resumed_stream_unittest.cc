#include <catch2/catch.hpp>
#include <string>

#include "test_calls.h"

/// @file
/// Resumption of broken streams, with different answers of the next endpoint.

namespace dotterelshed {
namespace {

using Request = ScriptedEndpoint::Request;

/// Answers a turn's first attempt with two events and closes the connection.
auto BreakOff(const Request& request) -> void {
  request.m_stream->Write(ChunkedHead(request) + Chunks(1, 2));
  request.m_stream->CloseAfterWrites();
}

auto PlainAnswer(const Request& request,
                 int status,
                 const std::string& more,
                 const std::string& body) -> std::string {
  return request.Head(status, more + "Content-Length: " +
                                  std::to_string(body.size()) + "\r\n") +
         body;
}

/// Number of response heads in the text that a caller received.
auto CountHeads(const std::string& text) -> int {
  int heads = 0;
  for (auto at = text.find("HTTP/1.1"); at != std::string::npos;
       at = text.find("HTTP/1.1", at + 1)) {
    ++heads;
  }
  return heads;
}

TEST_CASE("an error answer never gets into a resumed stream") {
  TestEnvironment environment;
  const auto status = GENERATE(400, 404, 408, 421, 429, 500, 503, 504);
  const auto* more = GENERATE("", "Not-Executed: 1\r\n");
  const auto* text =
      GENERATE("", "wrong", "wrong\n\n", "id: 3\ndata: wrong\n\n");
  int attempts = 0;
  const auto script = [&](const Request& request) {
    if (++attempts == 1) {
      BreakOff(request);
    } else {
      request.m_stream->Write(PlainAnswer(request, status, more, text));
    }
  };
  environment.AddEndpoint(script);
  environment.AddEndpoint(script);
  environment.Start();
  const auto caller = environment.Finish(MakeTurn("r1", 400, 100));
  CHECK(attempts > 1);
  CHECK(caller->m_ended);
  CHECK_FALSE(caller->Body());
  CHECK(CountHeads(caller->m_got) == 1);
  CHECK(caller->m_got.find("wrong") == std::string::npos);
  CHECK(caller->m_got.find("data: t") != std::string::npos);
}

TEST_CASE("text that isn't the next event never gets into a resumed stream") {
  TestEnvironment environment;
  const auto* text =
      GENERATE("wrong", "wrong\n\n", "wrong\n\nid: 3\ndata: t\n\n",
               ": wrong\n\n", "data: wrong\n\n", "id: x\ndata: wrong\n\n");
  int attempts = 0;
  const auto script = [&](const Request& request) {
    if (++attempts == 1) {
      BreakOff(request);
    } else {
      request.m_stream->Write(PlainAnswer(request, 200, "", text));
    }
  };
  environment.AddEndpoint(script);
  environment.AddEndpoint(script);
  environment.Start();
  const auto caller = environment.Finish(MakeTurn("r1", 400, 100));
  CHECK(caller->m_ended);
  CHECK_FALSE(caller->Body());
  CHECK(caller->m_got.find("wrong") == std::string::npos);
}

TEST_CASE("an answer of another type doesn't complete a resumed stream") {
  TestEnvironment environment;
  int attempts = 0;
  const auto script = [&](const Request& request) {
    if (++attempts == 1) {
      request.m_stream->Write(request.Head(200,
                                           "Content-Type: text/event-stream\r\n"
                                           "Transfer-Encoding: chunked\r\n") +
                              Chunks(1, 2));
      request.m_stream->CloseAfterWrites();
    } else {
      request.m_stream->Write(
          PlainAnswer(request, 200, "Content-Type: text/plain\r\n", ""));
    }
  };
  environment.AddEndpoint(script);
  environment.AddEndpoint(script);
  environment.Start();
  const auto caller = environment.Finish(MakeTurn("r1", 400, 100));
  CHECK(caller->m_ended);
  CHECK_FALSE(caller->Body());
}

TEST_CASE("a broken stream resumes after an error answer") {
  TestEnvironment environment;
  const auto status = GENERATE(500, 503, 504);
  int attempts = 0;
  const auto script = [&](const Request& request) {
    ++attempts;
    if (attempts == 1) {
      BreakOff(request);
    } else if (attempts == 2) {
      request.m_stream->Write(PlainAnswer(request, status, "", "wrong"));
    } else {
      request.m_stream->Write(ChunkedHead(request) + Chunks(3, 4) +
                              std::string(kLastChunk));
    }
  };
  environment.AddEndpoint(script);
  environment.AddEndpoint(script);
  environment.Start();
  CHECK(environment.Finish(MakeTurn("r1", 400, 100))->Body() ==
        MakeEvent(1) + MakeEvent(2) + MakeEvent(3) + MakeEvent(4));
}

}  // namespace
}  // namespace dotterelshed
