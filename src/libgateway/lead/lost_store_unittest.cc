#include <algorithm>
#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

#include "lead/lead_messages.h"
#include "peer_call.h"
#include "test_environment.h"

/// @file
/// A lead that can't reach the store while other hosts of its domain can.

namespace dotterelshed {
namespace {

using Request = ScriptedEndpoint::Request;

/// A lead that serves no views and answers step-down requests with @p status.
auto AnswerWithoutStore(int status, std::vector<std::string>& targets)
    -> ScriptedEndpoint::Handler {
  return [status, &targets](const Request& request) {
    targets.push_back(request.m_head.m_target);
    const auto agrees =
        request.m_head.m_target == kStepDownPath && status == 200;
    request.m_stream->Write(
        request.Head(agrees ? 200 : 409, "Content-Length: 0\r\n"));
  };
}

TEST_CASE("a lead that lost the store is replaced by a host that reads it") {
  TestEnvironment environment;
  std::vector<std::string> targets;
  ScriptedEndpoint lead(environment.m_loop, AnswerWithoutStore(200, targets));
  environment.PutLead("z", "h2", lead);
  environment.AddEndpoint(AnswerTurn);
  environment.StartFollower();
  // No turn needs the lead.
  environment.RunUntil([&environment] { return environment.m_host->leads(); });
  CHECK(environment.LeadHost() == "h1");
}

TEST_CASE("a lead that goes on leading without views isn't replaced") {
  TestEnvironment environment;
  std::vector<std::string> targets;
  ScriptedEndpoint lead(environment.m_loop, AnswerWithoutStore(409, targets));
  environment.PutLead("z", "h2", lead);
  environment.AddEndpoint(AnswerTurn);
  environment.StartFollower();
  environment.RunFor(std::chrono::seconds(8));
  CHECK(environment.LeadHost() == "h2");
  const auto requests =
      std::count(targets.begin(), targets.end(), kStepDownPath);
  CHECK(requests >= 1);
  CHECK(requests <= 4);
}

TEST_CASE("a host that can't read the store either asks no lead to step down") {
  TestEnvironment environment;
  std::vector<std::string> targets;
  ScriptedEndpoint lead(environment.m_loop, AnswerWithoutStore(200, targets));
  environment.PutLead("z", "h2", lead);
  environment.AddEndpoint(AnswerTurn);
  environment.StartFollower();
  environment.m_store.SetDown(true);
  environment.RunFor(std::chrono::seconds(5));
  CHECK(std::count(targets.begin(), targets.end(), kStepDownPath) == 0);
}

/// Asks the lead of the environment to step down; returns whether it agrees.
auto RequestStepDown(TestEnvironment& environment) -> bool {
  const auto object = environment.m_store.Find("leads", "z");
  const auto entry = DecodeLeadEntry(object["spec"]);
  REQUIRE(entry);
  const KnownLead lead{.m_domain = DomainId("z"),
                       .m_entry = *entry,
                       .m_version = ResourceVersion(
                           std::stoll(object["metadata"]["revision"].dump()))};
  ConnectionPool pool(environment.m_loop, {});
  std::optional<bool> agreed;
  CallPeer(environment.m_loop, pool, entry->m_peer_address, kStepDownPath,
           EncodeKnownLead(lead), std::chrono::seconds(5),
           [&agreed](const Result<std::string>& reply) {
             agreed = reply.has_value();
           });
  environment.RunUntil([&agreed] { return agreed.has_value(); });
  return *agreed;
}

TEST_CASE("a lead steps down only while it can't write to the store") {
  TestEnvironment environment;
  environment.AddEndpoint(AnswerTurn);
  environment.Start();
  CHECK_FALSE(RequestStepDown(environment));
  CHECK(environment.m_host->leads());
  environment.m_store.SetDown(true);
  environment.RunUntil([&environment] { return RequestStepDown(environment); });
  CHECK_FALSE(environment.m_host->leads());
  environment.m_store.SetDown(false);
  environment.RunUntil([&environment] { return environment.m_host->leads(); });
}

}  // namespace
}  // namespace dotterelshed
