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
  REQUIRE(caller->m_got.find("Keep-Alive: timeout=2") != std::string::npos);
  environment.RunFor(milliseconds(100));
  const auto ended_with_answer = caller->m_ended;
  environment.RunFor(milliseconds(1800));
  // Otherwise the caller may still send on it.
  CHECK((ended_with_answer || !environment.m_loop.stopped()));
}

}  // namespace
}  // namespace dotterelshed
