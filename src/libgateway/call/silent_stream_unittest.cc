#include <catch2/catch.hpp>
#include <optional>
#include <string>

#include "test_calls.h"

/// @file
/// Streams whose endpoint sends nothing for longer than a host waits.

namespace dotterelshed {
namespace {

using Request = ScriptedEndpoint::Request;

/// The host asks another endpoint after this time at the latest, if it does.
constexpr Duration kSilence = std::chrono::milliseconds(1900);

/// Two endpoints; the one that gets the stream first stays silent.
class SilentEnvironment : public TestEnvironment {
 public:
  explicit SilentEnvironment(bool well) {
    auto config = m_store.Find("config", "main")["spec"];
    config["version"] = 2;
    for (auto& route : config["routes"]) {
      route["maxAttempts"] = 2;
    }
    m_store.Put("config", "main", config);
    for (int i = 0; i < 2; ++i) {
      AddEndpoint([this, well, i](const Request& request) {
        OnRequest(request, well, i);
      });
    }
    Start();
  }

  auto OnRequest(const Request& request, bool well, int index) -> void {
    if (request.m_head.m_target == "/health") {
      if (well) {
        request.m_stream->Write(request.Complete(""));
      }
    } else if (!m_silent) {
      m_silent = request;
      m_silent_index = index;
    } else {
      ++(index == m_silent_index ? m_again : m_elsewhere);
      AnswerTurn(request);
    }
  }

  std::optional<Request> m_silent;
  int m_silent_index = -1;
  int m_again = 0;
  int m_elsewhere = 0;
};

TEST_CASE("a stream isn't sent to a second endpoint while the first is well") {
  SilentEnvironment environment(true);
  const auto caller = environment.Call(MakeTurn("r1", 400, 100));
  environment.RunFor(kSilence);
  CHECK(environment.m_elsewhere == 0);
  CHECK(environment.m_again == 0);
  REQUIRE(environment.m_silent);
  AnswerTurn(*environment.m_silent);
  environment.RunUntil([&caller] { return caller->m_ended || caller->Body(); });
  CHECK(caller->Status() == 200);
}

TEST_CASE("a stream goes on at another endpoint if the first hangs or ended") {
  SilentEnvironment environment(false);
  const auto ends = GENERATE(false, true);
  const auto caller = environment.Call(MakeTurn("r1", 400, 100));
  environment.RunUntil(
      [&environment] { return environment.m_silent.has_value(); });
  if (ends) {
    environment
        .m_endpoints[static_cast<std::size_t>(environment.m_silent_index)]
        ->Crash();
  }
  environment.RunUntil([&caller] { return caller->m_ended || caller->Body(); });
  CHECK(caller->Status() == 200);
  CHECK(environment.m_elsewhere == 1);
}

}  // namespace
}  // namespace dotterelshed
