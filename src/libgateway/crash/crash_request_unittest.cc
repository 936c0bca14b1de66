#include <algorithm>
#include <catch2/catch.hpp>
#include <set>
#include <string>

#include "crash/crash_messages.h"
#include "peer_call.h"
#include "test_calls.h"
#include "test_environment.h"

/// @file
/// Requests that crash endpoints: how many crashes one may cause across all
/// hosts, and how calls that run beside it are treated.

namespace dotterelshed {
namespace {

using Request = ScriptedEndpoint::Request;

constexpr int kEndpoints = 16;
/// Crashes that a request may cause before it is quarantined.
constexpr int kMaxCrashes = 3;
/// Connected hosts know of the last crash after this time.
constexpr Duration kPropagationTime = std::chrono::milliseconds(3200);

/// Parts of a call; equal calls differ only in their request id.
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

/// An environment whose endpoints crash on the body "poison", and don't answer
/// the body "slow" before m_answer_slow is set.
class CrashEnvironment : public TestEnvironment {
 public:
  CrashEnvironment() {
    for (int i = 0; i < kEndpoints; ++i) {
      AddEndpoint([this, index = m_endpoints.size()](const Request& request) {
        OnRequest(index, request);
      });
    }
  }

  auto OnRequest(std::size_t index, const Request& request) -> void {
    if (request.m_body == "poison") {
      if (m_begins_answers) {
        request.m_stream->Write(ChunkedHead(request));
      }
      Crash(index);
    } else if (request.m_body == "slow" && !m_answer_slow) {
      ++m_slow;
    } else {
      request.m_stream->Write(request.Complete("id: 1\ndata: t\n\n"));
    }
  }

  auto Crash(std::size_t index) -> void {
    ++m_crashes;
    m_endpoints[index]->Crash();
    if (m_stays_listed) {
      return;
    }
    m_store.Remove("servers", EndpointName(index));
  }

  int m_crashes = 0;
  int m_slow = 0;
  bool m_answer_slow = false;
  bool m_stays_listed = false;
  /// Endpoints send the head of their answer before they crash.
  bool m_begins_answers = false;
};

TEST_CASE("a request that crashed three endpoints is sent to no further one") {
  CrashEnvironment environment;
  const auto path = GENERATE("/safe/x", "/unsafe/x", "/turn/x");
  const auto store_down = GENERATE(false, true);
  environment.Start();
  environment.m_store.SetDown(store_down);
  while (environment.m_crashes < kMaxCrashes) {
    CHECK(environment.Finish(MakeCall({.m_path = path}))->Status() != 200);
  }
  for (int i = 0; i < 12; ++i) {
    const auto caller = environment.Finish(MakeCall({.m_path = path}));
    CHECK(caller->Status() == 503);
    CHECK(caller->m_got.find("Retry-After: ") != std::string::npos);
  }
  CHECK(environment.m_crashes == kMaxCrashes);
  const auto other = MakeCall({.m_path = path, .m_body = "well"});
  CHECK(environment.Finish(other)->Status() == 200);
}

TEST_CASE("crashes seen by one host quarantine the request on all hosts") {
  CrashEnvironment environment;
  const auto store_down = GENERATE(false, true);
  environment.Start();
  auto& second = environment.AddHost("h2", "z");
  auto& third = environment.AddHost("h3", "y");
  environment.RunUntil([&third] { return third.leads(); });
  environment.m_store.SetDown(store_down);
  while (environment.m_crashes < kMaxCrashes) {
    environment.Finish(MakeCall({.m_path = "/unsafe/x"}));
  }
  environment.RunFor(kPropagationTime);
  for (int i = 0; i < 4; ++i) {
    for (auto* host : {environment.m_host.get(), &second, &third}) {
      const auto call = MakeCall({.m_path = "/unsafe/x"});
      CHECK(environment.FinishAt(*host, call)->Status() == 503);
    }
  }
  CHECK(environment.m_crashes == kMaxCrashes);
}

TEST_CASE("calls that ran on the crashed endpoints are still served") {
  CrashEnvironment environment;
  const auto same_call = GENERATE(true, false);
  environment.Start();
  // Every endpoint runs a slow call when it crashes.
  std::vector<std::shared_ptr<TestCaller>> slow;
  for (int i = 0; i < 2 * kEndpoints; ++i) {
    const auto* program = same_call ? "q" : nullptr;
    const auto name = program ? program : "q" + std::to_string(i);
    slow.push_back(environment.Call(MakeCall(
        {.m_path = "/unsafe/x", .m_body = "slow", .m_program = name})));
  }
  environment.RunUntil(
      [&environment] { return environment.m_slow == 2 * kEndpoints; });
  environment.RunFor(std::chrono::milliseconds(50));
  while (environment.m_crashes < kMaxCrashes) {
    environment.Finish(MakeCall({.m_path = "/unsafe/x"}));
  }
  CHECK(environment.Finish(MakeCall({.m_path = "/unsafe/x"}))->Status() == 503);
  CHECK(environment.m_crashes == kMaxCrashes);
  environment.m_answer_slow = true;
  for (const auto* program : {"q", "q0", "q1", "q2"}) {
    const auto again = MakeCall(
        {.m_path = "/unsafe/x", .m_body = "slow", .m_program = program});
    CHECK(environment.Finish(again)->Status() == 200);
  }
}

TEST_CASE("crashes behind the head of an answer count before entries lapse") {
  CrashEnvironment environment;
  environment.m_stays_listed = true;
  environment.m_begins_answers = true;
  environment.Start();
  const auto call = [] { return MakeCall({.m_path = "/turn/x"}); };
  while (environment.m_crashes < kMaxCrashes) {
    environment.Finish(call());
    environment.RunFor(std::chrono::milliseconds(500));
  }
  const auto crashes = environment.m_crashes;
  for (int i = 0; i < 6; ++i) {
    CHECK(environment.Finish(call())->Status() == 503);
  }
  CHECK(environment.m_crashes == crashes);
}

TEST_CASE("other calls of a quarantined request's path are served") {
  CrashEnvironment environment;
  environment.Start();
  while (environment.m_crashes < kMaxCrashes) {
    environment.Finish(MakeCall({}));
  }
  CHECK(environment.Finish(MakeCall({}))->Status() == 503);
  for (const auto* body : {"", "well", "poison "}) {
    for (const auto* program : {"p", "q"}) {
      const auto call = MakeCall({.m_body = body, .m_program = program});
      CHECK(environment.Finish(call)->Status() == 200);
    }
  }
  CHECK(environment.m_crashes == kMaxCrashes);
}

TEST_CASE("restarted endpoints don't clear a quarantined request") {
  CrashEnvironment environment;
  environment.m_stays_listed = true;
  const auto store_down = GENERATE(false, true);
  // Only one endpoint stays, which crashes repeatedly.
  for (std::size_t i = 1; i < kEndpoints; ++i) {
    environment.m_store.Remove("servers", TestEnvironment::EndpointName(i));
  }
  environment.Start();
  environment.m_store.SetDown(store_down);
  std::int64_t started = 1;
  const auto call = [] { return MakeCall({.m_path = "/unsafe/x"}); };
  const auto well =
      MakeCall({.m_path = "/unsafe/x", .m_body = "well", .m_program = "q"});
  while (environment.m_crashes < kMaxCrashes) {
    environment.Finish(call());
    environment.RunFor(std::chrono::milliseconds(1500));
    environment.m_endpoints[0]->Restart();
    environment.PutEndpoint(0, ++started);
    environment.RunUntil([&environment, &well] {
      return environment.Finish(well)->Status() == 200;
    });
  }
  for (int i = 0; i < 6; ++i) {
    CHECK(environment.Finish(call())->Status() == 503);
  }
  CHECK(environment.m_crashes == kMaxCrashes);
  CHECK(environment.Finish(well)->Status() == 200);
}

TEST_CASE("a host that starts later learns of a quarantined request") {
  CrashEnvironment environment;
  environment.Start();
  while (environment.m_crashes < kMaxCrashes) {
    environment.Finish(MakeCall({.m_path = "/unsafe/x"}));
  }
  auto& later = environment.AddHost("h2", "z");
  auto& in_other_domain = environment.AddHost("h3", "y");
  environment.RunFor(kPropagationTime);
  for (auto* host : {&later, &in_other_domain}) {
    const auto call = MakeCall({.m_path = "/unsafe/x"});
    CHECK(environment.FinishAt(*host, call)->Status() == 503);
  }
  CHECK(environment.m_crashes == kMaxCrashes);
}

TEST_CASE("crashes are reported while the own domain's lead doesn't answer") {
  CrashEnvironment environment;
  ScriptedEndpoint silent(environment.m_loop,
                          [](const Request& /*request*/) {});
  environment.PutLead("z", "h9", silent);
  environment.StartFollower();
  auto& other = environment.AddHost("h3", "y");
  environment.RunUntil([&other] { return other.leads(); });
  while (environment.m_crashes < kMaxCrashes) {
    environment.FinishAt(other, MakeCall({.m_path = "/unsafe/x"}));
  }
  environment.RunFor(kPropagationTime);
  CHECK(environment.Finish(MakeCall({.m_path = "/unsafe/x"}))->Status() == 503);
  CHECK(environment.m_crashes == kMaxCrashes);
}

TEST_CASE("all hosts tell a new lead of a quarantined request") {
  CrashEnvironment environment;
  environment.Start();
  auto& follower = environment.AddHost("h2", "z");
  while (environment.m_crashes < kMaxCrashes) {
    environment.Finish(MakeCall({.m_path = "/unsafe/x"}));
  }
  environment.RunFor(kPropagationTime);
  // A lead that knows nothing, as after a restart of all leads.
  std::set<Incarnation> tellers;
  ScriptedEndpoint fresh(
      environment.m_loop, [&tellers](const Request& request) {
        const auto update = DecodeCrashUpdate(request.m_body, SteadyTime());
        const auto pushed =
            request.m_head.m_target == kCrashUpdatePath && update.has_value();
        if (pushed &&
            std::any_of(update->m_contents.begin(), update->m_contents.end(),
                        [](const DigestedContent& item) {
                          return item.second.m_quarantine.has_value();
                        })) {
          tellers.insert(update->m_incarnation);
        }
        request.m_stream->Write(request.Complete(""));
      });
  environment.PutLead("y", "h9", fresh);
  environment.RunFor(kPropagationTime);
  CHECK(tellers.size() == 2);
  const auto call = MakeCall({.m_path = "/unsafe/x"});
  CHECK(environment.FinishAt(follower, call)->Status() == 503);
  CHECK(environment.m_crashes == kMaxCrashes);
}

}  // namespace
}  // namespace dotterelshed
