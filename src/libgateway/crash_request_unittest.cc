#include <catch2/catch.hpp>
#include <string>

#include "test_world.h"

/// @file
/// Requests under which endpoints end: how many endpoints one takes, at all
/// hosts together, and what becomes of the calls beside it.

namespace dotterelshed {
namespace {

using Request = ScriptedEndpoint::Request;

constexpr int kEndpoints = 16;
/// Ends that a request may cause before no further endpoint gets it.
constexpr int kMostEnds = 3;
/// Hosts in touch know of the third end after this time.
constexpr Duration kContactTime = std::chrono::milliseconds(3200);

/// A call of @p path; equal calls differ in their request id only.
struct CallText {
  std::string m_path = "/safe/x";
  std::string m_body = "poison";
  std::string m_program = "p";
};

auto NextId() -> std::string {
  static int number = 0;
  return "r" + std::to_string(++number);
}

auto MakeCall(const CallText& call) -> std::string {
  return "POST " + call.m_path +
         " HTTP/1.1\r\nHost: desk\r\nRequest-Id: " + NextId() +
         "\r\nProgram-Id: " + call.m_program +
         "\r\nDeadline-Ms: 3000\r\nContent-Length: " +
         std::to_string(call.m_body.size()) + "\r\n\r\n" + call.m_body;
}

/// Endpoints that end under the body "poison", and don't answer "slow".
class CrashWorld : public TestWorld {
 public:
  CrashWorld() {
    for (int i = 0; i < kEndpoints; ++i) {
      AddEndpoint([this, index = m_endpoints.size()](const Request& request) {
        OnRequest(index, request);
      });
    }
  }

  auto OnRequest(std::size_t index, const Request& request) -> void {
    if (request.m_body == "poison") {
      Crash(index);
    } else if (request.m_body == "slow" && !m_answer_slow) {
      ++m_slow;
    } else {
      request.m_stream->Write(request.Whole("id: 1\ndata: t\n\n"));
    }
  }

  auto Crash(std::size_t index) -> void {
    ++m_ends;
    m_endpoints[index]->Crash();
    if (m_listed_when_ended) {
      return;
    }
    m_store.Remove("servers", EndpointName(index));
  }

  int m_ends = 0;
  int m_slow = 0;
  bool m_answer_slow = false;
  bool m_listed_when_ended = false;
};

TEST_CASE(
    "a request under which three endpoints ended reaches no further one") {
  CrashWorld world;
  const auto path = GENERATE("/safe/x", "/unsafe/x", "/turn/x");
  const auto store_down = GENERATE(false, true);
  world.Start();
  world.m_store.SetDown(store_down);
  while (world.m_ends < kMostEnds) {
    CHECK(world.Finish(MakeCall({.m_path = path}))->Status() != 200);
  }
  for (int i = 0; i < 12; ++i) {
    const auto caller = world.Finish(MakeCall({.m_path = path}));
    CHECK(caller->Status() == 503);
    CHECK(caller->m_got.find("Retry-After: ") != std::string::npos);
  }
  CHECK(world.m_ends == kMostEnds);
  const auto other = MakeCall({.m_path = path, .m_body = "well"});
  CHECK(world.Finish(other)->Status() == 200);
}

TEST_CASE("three ends at one host count at all hosts of all domains") {
  CrashWorld world;
  const auto store_down = GENERATE(false, true);
  world.Start();
  auto& second = world.AddHost("h2", "z");
  auto& third = world.AddHost("h3", "y");
  world.RunUntil([&third] { return third.leads(); });
  world.m_store.SetDown(store_down);
  while (world.m_ends < kMostEnds) {
    world.Finish(MakeCall({.m_path = "/unsafe/x"}));
  }
  world.RunFor(kContactTime);
  for (int i = 0; i < 4; ++i) {
    for (auto* host : {world.m_host.get(), &second, &third}) {
      const auto call = MakeCall({.m_path = "/unsafe/x"});
      CHECK(world.FinishAt(*host, call)->Status() == 503);
    }
  }
  CHECK(world.m_ends == kMostEnds);
}

TEST_CASE("calls that were on the endpoints that ended are served") {
  CrashWorld world;
  const auto same_call = GENERATE(true, false);
  world.Start();
  // A slow call is at every endpoint when it ends.
  std::vector<std::shared_ptr<TestCaller>> slow;
  for (int i = 0; i < 2 * kEndpoints; ++i) {
    const auto* program = same_call ? "q" : nullptr;
    const auto name = program ? program : "q" + std::to_string(i);
    slow.push_back(world.Call(MakeCall(
        {.m_path = "/unsafe/x", .m_body = "slow", .m_program = name})));
  }
  world.RunUntil([&world] { return world.m_slow == 2 * kEndpoints; });
  world.RunFor(std::chrono::milliseconds(50));
  while (world.m_ends < kMostEnds) {
    world.Finish(MakeCall({.m_path = "/unsafe/x"}));
  }
  CHECK(world.Finish(MakeCall({.m_path = "/unsafe/x"}))->Status() == 503);
  CHECK(world.m_ends == kMostEnds);
  world.m_answer_slow = true;
  for (const auto* program : {"q", "q0", "q1", "q2"}) {
    const auto again = MakeCall(
        {.m_path = "/unsafe/x", .m_body = "slow", .m_program = program});
    CHECK(world.Finish(again)->Status() == 200);
  }
}

TEST_CASE("callers of the same path are served beside a quarantined request") {
  CrashWorld world;
  world.Start();
  while (world.m_ends < kMostEnds) {
    world.Finish(MakeCall({}));
  }
  CHECK(world.Finish(MakeCall({}))->Status() == 503);
  for (const auto* body : {"", "well", "poison "}) {
    for (const auto* program : {"p", "q"}) {
      const auto call = MakeCall({.m_body = body, .m_program = program});
      CHECK(world.Finish(call)->Status() == 200);
    }
  }
  CHECK(world.m_ends == kMostEnds);
}

TEST_CASE("endpoints that start anew under old ids don't clear a request") {
  CrashWorld world;
  world.m_listed_when_ended = true;
  const auto store_down = GENERATE(false, true);
  // The others leave: one endpoint ends again and again.
  for (std::size_t i = 1; i < kEndpoints; ++i) {
    world.m_store.Remove("servers", TestWorld::EndpointName(i));
  }
  world.Start();
  world.m_store.SetDown(store_down);
  std::int64_t started = 1;
  const auto call = [] { return MakeCall({.m_path = "/unsafe/x"}); };
  const auto well =
      MakeCall({.m_path = "/unsafe/x", .m_body = "well", .m_program = "q"});
  while (world.m_ends < kMostEnds) {
    world.Finish(call());
    world.RunFor(std::chrono::milliseconds(1500));
    world.m_endpoints[0]->Restart();
    world.PutEndpoint(0, ++started);
    world.RunUntil(
        [&world, &well] { return world.Finish(well)->Status() == 200; });
  }
  for (int i = 0; i < 6; ++i) {
    CHECK(world.Finish(call())->Status() == 503);
  }
  CHECK(world.m_ends == kMostEnds);
  CHECK(world.Finish(well)->Status() == 200);
}

TEST_CASE("a host that starts later knows of a quarantined request") {
  CrashWorld world;
  world.Start();
  while (world.m_ends < kMostEnds) {
    world.Finish(MakeCall({.m_path = "/unsafe/x"}));
  }
  auto& later = world.AddHost("h2", "z");
  auto& in_other_domain = world.AddHost("h3", "y");
  world.RunFor(kContactTime);
  for (auto* host : {&later, &in_other_domain}) {
    const auto call = MakeCall({.m_path = "/unsafe/x"});
    CHECK(world.FinishAt(*host, call)->Status() == 503);
  }
  CHECK(world.m_ends == kMostEnds);
}

TEST_CASE("ends are told while the lead of the own domain is silent") {
  CrashWorld world;
  ScriptedEndpoint silent(world.m_loop, [](const Request& /*request*/) {});
  world.PutLead("z", "h9", silent);
  world.StartFollower();
  auto& other = world.AddHost("h3", "y");
  world.RunUntil([&other] { return other.leads(); });
  while (world.m_ends < kMostEnds) {
    world.FinishAt(other, MakeCall({.m_path = "/unsafe/x"}));
  }
  world.RunFor(kContactTime);
  CHECK(world.Finish(MakeCall({.m_path = "/unsafe/x"}))->Status() == 503);
  CHECK(world.m_ends == kMostEnds);
}

}  // namespace
}  // namespace dotterelshed
