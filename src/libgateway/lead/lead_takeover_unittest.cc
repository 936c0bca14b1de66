#include <algorithm>
#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "lead/lead_messages.h"
#include "peer_call.h"
#include "test_environment.h"

/// @file
/// When a host takes over its domain's lead from another one.

namespace dotterelshed {
namespace {

using Request = ScriptedEndpoint::Request;

TEST_CASE("a lead that doesn't answer is replaced") {
  TestEnvironment environment;
  ScriptedEndpoint silent(environment.m_loop,
                          [](const Request& /*request*/) {});
  environment.PutLead("z", "h2", silent);
  environment.AddEndpoint(AnswerTurn);
  environment.StartFollower();
  environment.Finish(kTurnRequest);
  CHECK(silent.requests() > 0);
  CHECK(environment.LeadHost() == "h1");
}

TEST_CASE("a new lead isn't replaced for its predecessor's missing answer") {
  TestEnvironment environment;
  ScriptedEndpoint silent(environment.m_loop,
                          [](const Request& /*request*/) {});
  ScriptedEndpoint next(environment.m_loop, [](const Request& request) {
    const auto answer =
        request.m_head.m_target == kGrantPath
            ? EncodeTurnGrantResponse(
                  {.m_verdict = GrantVerdict::kGranted, .m_tokens = Tokens(10)})
            : std::string();
    request.m_stream->Write(request.Complete(answer));
  });
  environment.PutLead("z", "h2", silent);
  environment.AddEndpoint(AnswerTurn);
  environment.StartFollower();
  const auto caller = environment.Call(kTurnRequest);
  environment.RunUntil([&silent] { return silent.requests() > 0; });
  environment.PutLead("z", "h3", next);
  environment.RunUntil([&caller] { return caller->m_ended || caller->Body(); });
  CHECK(caller->Status() == 200);
  CHECK(next.requests() > 0);
  CHECK(environment.LeadHost() == "h3");
}

// Guards against leads that the store is about to turn away again.
TEST_CASE("a host that lost the store gives a new lead time to answer") {
  const auto lost = GENERATE(false, true);
  TestEnvironment environment;
  const auto no_answer = [](const Request& /*request*/) {};
  ScriptedEndpoint silent(environment.m_loop, no_answer);
  environment.AddEndpoint(AnswerTurn);
  environment.StartFollower();
  if (lost) {
    environment.m_store.SetDown(true);
    // Longer than a view may be old.
    environment.RunFor(std::chrono::milliseconds(3500));
    environment.m_store.SetDown(false);
    environment.RunFor(std::chrono::milliseconds(2500));
  }
  environment.PutLead("z", "h2", silent);
  environment.RunUntil([&environment, &silent] {
    environment.Finish(kTurnRequest);
    return silent.requests() > 0;
  });
  const auto asked_at = SteadyTime();
  environment.RunUntil([&environment] {
    environment.Finish(kTurnRequest);
    return environment.LeadHost() == "h1";
  });
  CHECK((SteadyTime() - asked_at > std::chrono::seconds(1)) == lost);
}

TEST_CASE(
    "a lost answer to a write neither fails the turn nor loses the lead") {
  TestEnvironment environment;
  environment.AddEndpoint(AnswerTurn);
  environment.Start();
  const auto incarnation =
      environment.m_store.Find("leads", "z")["spec"]["incarnation"];
  environment.m_store.DropAnswers("ledgers", 1);
  CHECK(environment.Finish(kTurnRequest)->Status() == 200);
  CHECK(environment.m_host->leads());
  CHECK(environment.m_store.Find("leads", "z")["spec"]["incarnation"] ==
        incarnation);
}

TEST_CASE("a claim whose answer is lost is confirmed by reading it") {
  TestEnvironment environment;
  environment.AddEndpoint([](const Request& /*request*/) {});
  environment.m_store.DropAnswers("leads", 1);
  // Watches report no changes, so the host has to read the object.
  environment.m_store.SetSilentWatches(true);
  environment.Start();
  CHECK(environment.LeadHost() == "h1");
}

TEST_CASE("a host with a much larger share asks the lead to yield") {
  // The host under test has the share 1.
  const auto [share, leader] =
      GENERATE(std::pair(0.4, "h1"), std::pair(0.6, "h2"));
  TestEnvironment environment;
  std::vector<std::string> targets;
  ScriptedEndpoint lead(environment.m_loop, [&targets](const Request& request) {
    targets.push_back(request.m_head.m_target);
    request.m_stream->Write(request.Complete(
        request.m_head.m_target == kGrantPath
            ? EncodeTurnGrantResponse(
                  {.m_verdict = GrantVerdict::kGranted, .m_tokens = Tokens(10)})
            : std::string()));
  });
  environment.PutLead("z", "h2", lead, share);
  environment.AddEndpoint(AnswerTurn);
  environment.StartFollower();
  environment.Finish(kTurnRequest);
  if (share < 0.5) {
    environment.RunUntil(
        [&environment] { return environment.m_host->leads(); });
  }
  CHECK(environment.LeadHost() == leader);
  const auto yield_request =
      std::find(targets.begin(), targets.end(), kYieldPath);
  CHECK((yield_request != targets.end()) == (share < 0.5));
}

// Guards against an overloaded small lead that other small hosts replace.
TEST_CASE("a small lead that doesn't answer a larger host is replaced") {
  TestEnvironment environment;
  ScriptedEndpoint lead(environment.m_loop, [](const Request& request) {
    if (request.m_head.m_target != kYieldPath) {
      request.m_stream->Write(request.Complete(""));
    }
  });
  environment.PutLead("z", "h2", lead, 0.1);
  environment.AddEndpoint(AnswerTurn);
  environment.StartFollower();
  environment.RunFor(std::chrono::milliseconds(2500));
  CHECK(environment.LeadHost() == "h1");
}

// Guards against a larger host that waits for its next request meanwhile.
TEST_CASE("a larger host asks each new small lead to yield") {
  TestEnvironment environment;
  int yield_requests = 0;
  ScriptedEndpoint lead(environment.m_loop, [&](const Request& request) {
    yield_requests += request.m_head.m_target == kYieldPath ? 1 : 0;
    request.m_stream->Write(request.Head(409, "Content-Length: 0\r\n"));
  });
  environment.PutLead("z", "h2", lead, 0.1);
  environment.AddEndpoint(AnswerTurn);
  environment.StartFollower();
  environment.RunUntil([&yield_requests] { return yield_requests > 0; });
  ScriptedEndpoint next(environment.m_loop, [](const Request& request) {
    request.m_stream->Write(request.Complete(""));
  });
  environment.PutLead("z", "h3", next, 0.1);
  environment.RunFor(std::chrono::milliseconds(1500));
  CHECK(environment.LeadHost() == "h1");
}

// Guards against a lead that is lost without a word two seconds later.
TEST_CASE("a host that is being stopped doesn't become lead") {
  TestEnvironment environment;
  ScriptedEndpoint silent(environment.m_loop,
                          [](const Request& /*request*/) {});
  environment.PutLead("z", "h2", silent);
  environment.AddEndpoint(AnswerTurn);
  environment.StartFollower();
  environment.m_host->Stop();
  environment.Finish(kTurnRequest);
  CHECK(silent.requests() > 0);
  CHECK(environment.LeadHost() == "h2");
}

// Guards against a lead that can't bear the load of the one it replaced.
TEST_CASE("a small host leaves a large lead's place to another large one") {
  TestEnvironment environment;
  ScriptedEndpoint silent(environment.m_loop,
                          [](const Request& /*request*/) {});
  environment.PutLead("z", "h2", silent);
  environment.AddEndpoint(AnswerTurn);
  environment.StartFollower();
  auto& small = environment.AddHost("h3", "z", 0.1);
  environment.CallAt(small, kTurnRequest);
  environment.RunFor(std::chrono::milliseconds(300));
  environment.Finish(kTurnRequest);
  CHECK(environment.LeadHost() == "h1");
}

TEST_CASE("a small host replaces a large lead that no other one replaces") {
  TestEnvironment environment;
  ScriptedEndpoint silent(environment.m_loop,
                          [](const Request& /*request*/) {});
  environment.PutLead("z", "h2", silent);
  environment.AddEndpoint(AnswerTurn);
  auto& small = environment.AddHost("h3", "z", 0.1);
  environment.RunUntil([&environment, &small] {
    environment.FinishAt(small, kTurnRequest);
    return environment.LeadHost() == "h3";
  });
}

TEST_CASE("a lead that refuses to yield stays lead") {
  TestEnvironment environment;
  ScriptedEndpoint lead(environment.m_loop, [](const Request& request) {
    request.m_stream->Write(request.Head(409, "Content-Length: 0\r\n"));
  });
  environment.PutLead("z", "h2", lead, 0.1);
  environment.AddEndpoint(AnswerTurn);
  environment.StartFollower();
  environment.RunUntil([&lead] { return lead.requests() > 0; });
  environment.m_loop.run_for(std::chrono::milliseconds(100));
  CHECK(environment.LeadHost() == "h2");
}

TEST_CASE("a lead that yields records only the tokens granted") {
  TestEnvironment environment;
  environment.AddEndpoint(AnswerTurn);
  environment.Start();
  CHECK(environment.Finish(kTurnRequest)->Status() == 200);
  const auto bounds = [&environment] {
    return environment.m_store.Find("ledgers", "z")["spec"]["bounds"];
  };
  environment.RunUntil([&bounds] { return bounds().value("p", 0) > 10; });
  const auto lead = environment.m_store.Find("leads", "z");
  const auto entry = DecodeLeadEntry(lead["spec"]);
  REQUIRE(entry);
  const auto version =
      ResourceVersion(std::stoll(lead["metadata"]["revision"].dump()));
  ConnectionPool pool(environment.m_loop, {});
  std::optional<bool> yielded;
  CallPeer(
      environment.m_loop, pool, entry->m_peer_address, kYieldPath,
      EncodeKnownLead(
          {.m_domain = DomainId("z"), .m_entry = *entry, .m_version = version}),
      std::chrono::seconds(5), [&yielded](const Result<std::string>& reply) {
        yielded = reply.has_value();
      });
  environment.RunUntil([&yielded] { return yielded.has_value(); });
  CHECK(*yielded);
  CHECK_FALSE(environment.m_host->leads());
  // The turn counts with its maximum until its end is reported.
  CHECK(bounds().value("p", 0) <= 10);
  // No other host claims the lead, so this host does so again.
  environment.RunUntil([&environment] { return environment.m_host->leads(); });
}

}  // namespace
}  // namespace dotterelshed
