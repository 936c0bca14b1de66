#include <catch2/catch.hpp>
#include <optional>
#include <string>

#include "test_calls.h"

/// @file
/// LOST: what the exit of a host cuts or leaves undone.

namespace dotterelshed {
namespace {

using Request = ScriptedEndpoint::Request;
using std::chrono::milliseconds;

TEST_CASE("LOST: the exit closes a connection within its stated time") {
  TestEnvironment environment;
  environment.m_host_settings.m_stop_grace = std::chrono::seconds(3);
  std::optional<Request> open;
  environment.AddEndpoint([&open](const Request& request) {
    open = request;
    request.m_stream->Write(ChunkedHead(request) + Chunks(1, 1));
  });
  environment.Start();
  const auto caller = environment.Call(MakeTurn("r1", 100, 90));
  environment.RunUntil(
      [&caller] { return caller->m_got.find("id: 1") != std::string::npos; });
  environment.m_host->Stop();
  for (int id = 2; id <= 6; ++id) {
    environment.RunFor(milliseconds(400));
    open->m_stream->Write(Chunks(id, id));
  }
  environment.RunFor(milliseconds(300));
  open->m_stream->Write(std::string(kLastChunk));
  environment.RunUntil([&caller] { return caller->Body().has_value(); });
  REQUIRE(caller->m_got.find("Keep-Alive: timeout=1") != std::string::npos);
  environment.RunFor(milliseconds(100));
  const auto ended_with_answer = caller->m_ended;
  environment.RunFor(milliseconds(1800));
  // Otherwise the caller may still send on it.
  CHECK((ended_with_answer || !environment.m_loop.stopped()));
}

TEST_CASE("control: a host that goes on settles the turns that it answered") {
  TestEnvironment environment;
  environment.AddEndpoint(AnswerTurn);
  environment.Start();
  auto& follower = environment.AddHost("h2", "z");
  REQUIRE(environment.FinishAt(follower, MakeTurn("r1", 100, 90))->Status() ==
          200);
  environment.RunFor(milliseconds(200));
  CHECK(environment.Finish(MakeTurn("r2", 100, 90))->Status() == 200);
}

TEST_CASE("a host that exits has settled the turns that it answered") {
  TestEnvironment environment;
  environment.m_host_settings.m_stop_grace = std::chrono::seconds(2);
  std::optional<Request> open;
  environment.AddEndpoint([&open](const Request& request) {
    if (request.Field("request-id") == "r1") {
      open = request;
    } else {
      AnswerTurn(request);
    }
  });
  environment.Start();
  auto& follower = environment.AddHost("h2", "z");
  const auto first = environment.CallAt(follower, MakeTurn("r1", 100, 90));
  environment.RunUntil([&open] { return open.has_value(); });
  follower.Stop();
  environment.RunFor(milliseconds(1100));
  AnswerTurn(*open);
  environment.RunUntil([&environment] { return environment.m_loop.stopped(); });
  // The host that has stopped the loop does nothing from now on by itself.
  environment.m_loop.restart();
  REQUIRE(first->Status() == 200);
  // One event has three tokens, so 97 are left.
  CHECK(environment.Finish(MakeTurn("r2", 100, 90))->Status() == 200);
}

}  // namespace
}  // namespace dotterelshed
