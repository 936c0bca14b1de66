#include "test_environment.h"

/// @file
/// Turns that wait for their program's record while the store is slow.

namespace dotterelshed {
namespace {

constexpr int kEventsOfFirstTurn = 10;
constexpr int kEventsOfSecondTurn = 30;
/// A write is then confirmed after 800 ms (its timeout, and a read of it),
/// later than the lead waits before it answers a grant request.
constexpr auto kStoreDelay = std::chrono::milliseconds(500);

auto Turn(const std::string& name) -> std::string {
  return "POST /turn/" + name +
         " HTTP/1.1\r\nHost: desk\r\nRequest-Id: " + name +
         "\r\nProgram-Id: p\r\nSession-Id: p\r\nToken-Budget: 1000\r\n"
         "Token-Counts: 100,100\r\nContent-Length: 0\r\n\r\n";
}

/// Events of three tokens each, as the service is configured.
auto Events(int count) -> std::string {
  std::string events;
  for (int i = 1; i <= count; ++i) {
    events += "id: " + std::to_string(i) + "\ndata: t\n\n";
  }
  return events;
}

TEST_CASE("a turn waits for its record if the store is slow") {
  TestEnvironment environment;
  std::vector<ScriptedEndpoint::Request> turns;
  environment.AddEndpoint([&turns](const auto& request) {
    turns.push_back(request);
    const auto first = turns.size() == 1;
    const auto events =
        Events(first ? kEventsOfFirstTurn : kEventsOfSecondTurn);
    request.m_stream->Write(request.Complete(events));
  });
  environment.Start();
  environment.m_store.SetDelay("ledgers", kStoreDelay);
  // Granted in advance; its unused tokens are left for the second turn, but
  // don't suffice for it.
  CHECK(environment.Finish(Turn("a"))->Status() == 200);
  environment.RunFor(std::chrono::milliseconds(150));
  const auto caller = environment.Finish(Turn("b"));
  CHECK(caller->Status() == 200);
  CHECK(caller->Body() == Events(kEventsOfSecondTurn));
}

TEST_CASE("a turn that fits no partial grant waits for its record too") {
  TestEnvironment environment;
  environment.AddEndpoint([](const auto& request) {
    if (request.m_head.m_target == "/turn/b") {
      request.m_stream->Write(request.Complete(Events(1)));
    }
  });
  environment.Start();
  environment.m_store.SetDelay("ledgers", kStoreDelay);
  environment.Call(Turn("a"));
  environment.RunFor(std::chrono::milliseconds(50));
  CHECK(environment.Finish(Turn("b"))->Status() == 200);
}

TEST_CASE("a turn is refused in time if its record isn't written") {
  TestEnvironment environment;
  environment.AddEndpoint([](const auto& /*request*/) {});
  environment.Start();
  environment.m_store.SetDelay("ledgers", std::chrono::hours(1));
  environment.Call(Turn("a"));
  environment.RunFor(std::chrono::milliseconds(50));
  const auto sent_at = SteadyTime();
  CHECK(environment.Finish(Turn("b"))->Status() == 503);
  CHECK(SteadyTime() - sent_at < std::chrono::seconds(2));
}

}  // namespace
}  // namespace dotterelshed
