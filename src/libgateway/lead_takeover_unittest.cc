#include <algorithm>
#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "lead_messages.h"
#include "peer_call.h"
#include "test_world.h"

/// @file
/// When a host takes its domain's lead from another one.

namespace dotterelshed {
namespace {

using Request = ScriptedEndpoint::Request;

const std::string kTurn =
    "POST /turn/x HTTP/1.1\r\nHost: desk\r\nRequest-Id: r1\r\n"
    "Program-Id: p\r\nSession-Id: p\r\nToken-Budget: 100\r\n"
    "Token-Counts: 100,10\r\nContent-Length: 0\r\n\r\n";

auto LeadHost(TestWorld& world) -> std::string {
  return world.m_store.Find("leads", "z")["spec"]["host"];
}

TEST_CASE("a silent lead is replaced") {
  TestWorld world;
  ScriptedEndpoint silent(world.m_loop, [](const Request& /*request*/) {});
  world.PutLead("z", "h2", silent);
  world.AddEndpoint(AnswerTurn);
  world.StartFollower();
  world.Finish(kTurn);
  CHECK(silent.requests() > 0);
  CHECK(LeadHost(world) == "h1");
}

TEST_CASE("a lead isn't replaced for the silence of the one before") {
  TestWorld world;
  ScriptedEndpoint silent(world.m_loop, [](const Request& /*request*/) {});
  ScriptedEndpoint next(world.m_loop, [](const Request& request) {
    const auto answer =
        request.m_head.m_target == kGrantPath
            ? EncodeTurnGrantResponse(
                  {.m_verdict = GrantVerdict::kGranted, .m_tokens = Tokens(10)})
            : std::string();
    request.m_stream->Write(request.Whole(answer));
  });
  world.PutLead("z", "h2", silent);
  world.AddEndpoint(AnswerTurn);
  world.StartFollower();
  const auto caller = world.Call(kTurn);
  world.RunUntil([&silent] { return silent.requests() > 0; });
  world.PutLead("z", "h3", next);
  world.RunUntil([&caller] { return caller->m_ended || caller->Body(); });
  CHECK(caller->Status() == 200);
  CHECK(next.requests() > 0);
  CHECK(LeadHost(world) == "h3");
}

TEST_CASE("a write whose answer is lost doesn't cost the turn or the lead") {
  TestWorld world;
  world.AddEndpoint(AnswerTurn);
  world.Start();
  const auto incarnation =
      world.m_store.Find("leads", "z")["spec"]["incarnation"];
  world.m_store.LoseAnswers("ledgers", 1);
  CHECK(world.Finish(kTurn)->Status() == 200);
  CHECK(world.m_host->leads());
  CHECK(world.m_store.Find("leads", "z")["spec"]["incarnation"] == incarnation);
}

TEST_CASE("a claim whose answer is lost is found by reading") {
  TestWorld world;
  world.AddEndpoint([](const Request& /*request*/) {});
  world.m_store.LoseAnswers("leads", 1);
  // No news reaches the host by itself.
  world.m_store.SetSilentWatches(true);
  world.Start();
  CHECK(LeadHost(world) == "h1");
}

TEST_CASE("a much larger host asks the lead to give way") {
  // The host under test has the share 1.
  const auto [share, leader] =
      GENERATE(std::pair(0.4, "h1"), std::pair(0.6, "h2"));
  TestWorld world;
  std::vector<std::string> questions;
  ScriptedEndpoint lead(world.m_loop, [&questions](const Request& request) {
    questions.push_back(request.m_head.m_target);
    request.m_stream->Write(request.Whole(
        request.m_head.m_target == kGrantPath
            ? EncodeTurnGrantResponse(
                  {.m_verdict = GrantVerdict::kGranted, .m_tokens = Tokens(10)})
            : std::string()));
  });
  world.PutLead("z", "h2", lead, share);
  world.AddEndpoint(AnswerTurn);
  world.StartFollower();
  world.Finish(kTurn);
  if (share < 0.5) {
    world.RunUntil([&world] { return world.m_host->leads(); });
  }
  CHECK(LeadHost(world) == leader);
  const auto asked = std::find(questions.begin(), questions.end(), kYieldPath);
  CHECK((asked != questions.end()) == (share < 0.5));
}

TEST_CASE("a lead that doesn't give way goes on") {
  TestWorld world;
  ScriptedEndpoint lead(world.m_loop, [](const Request& request) {
    request.m_stream->Write(request.Head(409, "Content-Length: 0\r\n"));
  });
  world.PutLead("z", "h2", lead, 0.1);
  world.AddEndpoint(AnswerTurn);
  world.StartFollower();
  world.RunUntil([&lead] { return lead.requests() > 0; });
  world.m_loop.run_for(std::chrono::milliseconds(100));
  CHECK(LeadHost(world) == "h2");
}

TEST_CASE("a lead that gives way records what was granted, nothing ahead") {
  TestWorld world;
  world.AddEndpoint(AnswerTurn);
  world.Start();
  CHECK(world.Finish(kTurn)->Status() == 200);
  const auto bounds = [&world] {
    return world.m_store.Find("ledgers", "z")["spec"]["bounds"];
  };
  world.RunUntil([&bounds] { return bounds().value("p", 0) > 10; });
  const auto lead = world.m_store.Find("leads", "z");
  const auto entry = DecodeLeadEntry(lead["spec"]);
  REQUIRE(entry);
  const auto version =
      ResourceVersion(std::stoll(lead["metadata"]["revision"].dump()));
  ConnectionPool pool(world.m_loop, {});
  std::optional<bool> yielded;
  CallPeer(
      world.m_loop, pool, entry->m_peer_address, kYieldPath,
      EncodeKnownLead(
          {.m_domain = DomainId("z"), .m_entry = *entry, .m_version = version}),
      std::chrono::seconds(5), [&yielded](const Result<std::string>& reply) {
        yielded = reply.has_value();
      });
  world.RunUntil([&yielded] { return yielded.has_value(); });
  CHECK(*yielded);
  CHECK_FALSE(world.m_host->leads());
  // The turn counts at its most until its end is reported.
  CHECK(bounds().value("p", 0) <= 10);
  // Nobody else claims, so it leads again.
  world.RunUntil([&world] { return world.m_host->leads(); });
}

}  // namespace
}  // namespace dotterelshed
