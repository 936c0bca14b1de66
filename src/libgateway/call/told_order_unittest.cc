#include <catch2/catch.hpp>
#include <map>
#include <string>

#include "test_calls.h"

/// @file
/// The order of turns that engines are told.

namespace dotterelshed {
namespace {

/// Answers turns, and keeps the rank that came with each.
struct RankingEngine {
  explicit RankingEngine(TurnOrderMode mode) {
    m_environment.m_host_settings.m_turn_order = mode;
    m_environment.AddEndpoint([this](const ScriptedEndpoint::Request& request) {
      m_ranks[request.Field("request-id")] = request.Field("request-priority");
      AnswerTurn(request);
    });
    m_environment.Start();
  }

  /// Rank of a turn of the program @p program; empty if none was told.
  auto Rank(const std::string& id,
            const std::string& program,
            const std::string& left_ms) -> std::string {
    const auto status =
        m_environment
            .Finish("POST /turn/x HTTP/1.1\r\nHost: desk\r\nRequest-Id: " + id +
                    "\r\nProgram-Id: " + program + "\r\nFinish-Ms: " + left_ms +
                    "\r\nRequest-Priority: 0\r\nToken-Budget: 400\r\n"
                    "Token-Counts: 100,40\r\nContent-Length: 0\r\n\r\n")
            ->Status();
    CHECK(status == 200);
    return m_ranks.at(id);
  }

  std::map<std::string, std::string> m_ranks;
  TestEnvironment m_environment;
};

TEST_CASE("engines are told the order of turns if a setting asks for it") {
  RankingEngine engine(TurnOrderMode::kOn);
  const auto first = engine.Rank("r1", "p", "60000");
  const auto second = engine.Rank("r2", "p", "60000");
  const auto late = engine.Rank("r3", "p", "0");
  CHECK(second < first);
  CHECK(first < late);
  // Another program is new, whatever became of this one.
  CHECK(engine.Rank("r4", "q", "60000") == first);
}

TEST_CASE("a program nears its objective") {
  RankingEngine engine(TurnOrderMode::kOn);
  engine.Rank("r1", "p", "60000");
  const auto early = engine.Rank("r2", "p", "60000");
  engine.m_environment.RunFor(std::chrono::milliseconds(100));
  CHECK(engine.Rank("r3", "p", "25") < early);
}

TEST_CASE("engines are told nothing without accounts or if it is off") {
  RankingEngine engine(GENERATE(TurnOrderMode::kAuto, TurnOrderMode::kOff));
  CHECK(engine.Rank("r1", "p", "60000").empty());
  CHECK(engine.Rank("r2", "p", "0").empty());
}

}  // namespace
}  // namespace dotterelshed
