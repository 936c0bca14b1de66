#include <catch2/catch.hpp>
#include <string>

#include "test_calls.h"

/// @file
/// Callers whose ids have bytes that aren't UTF-8.

namespace dotterelshed {
namespace {

auto MakeTurnOf(const std::string& program, const std::string& request)
    -> std::string {
  return "POST /turn/x HTTP/1.1\r\nHost: desk\r\nRequest-Id: " + request +
         "\r\nProgram-Id: " + program + "\r\nSession-Id: " + program +
         "\r\nToken-Budget: 100\r\nToken-Counts: 100,10\r\n"
         "Content-Length: 0\r\n\r\n";
}

TEST_CASE("a turn whose ids aren't UTF-8 is served through any host") {
  TestEnvironment environment;
  environment.AddEndpoint(AnswerTurn);
  environment.Start();
  auto& follower = environment.AddHost("h2", "z");
  auto& other = environment.AddHost("h3", "y");
  environment.RunUntil([&other] { return other.leads(); });
  const auto* id = GENERATE("p\xe9", "\xff\xfe\x80", "n\xc3\xa9", "%ff");
  int number = 0;
  for (auto* host : {environment.m_host.get(), &follower, &other}) {
    const auto request = std::string(id) + std::to_string(++number);
    CHECK(environment.FinishAt(*host, MakeTurnOf(id, request))->Status() ==
          200);
  }
}

TEST_CASE("a budget of a program whose id isn't UTF-8 is one for all hosts") {
  TestEnvironment environment;
  environment.AddEndpoint([](const ScriptedEndpoint::Request& request) {
    // Ten tokens, three of them an event.
    request.m_stream->Write(
        request.Complete(MakeEvent(1) + MakeEvent(2) + MakeEvent(3)));
  });
  environment.Start();
  auto& follower = environment.AddHost("h2", "z");
  int served = 0;
  for (int i = 0; i < 20; ++i) {
    auto& host = i % 2 == 0 ? *environment.m_host : follower;
    const auto turn = MakeTurnOf("p\xff", "r" + std::to_string(i));
    served += environment.FinishAt(host, turn)->Status() == 200 ? 1 : 0;
  }
  CHECK(served >= 5);
  CHECK(served <= 11);
}

}  // namespace
}  // namespace dotterelshed
