#include <catch2/catch.hpp>
#include <string>

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

auto PutLead(TestWorld& world,
             const std::string& host,
             const ScriptedEndpoint& lead) -> void {
  world.m_store.Put(
      "leads", "z",
      EncodeLeadEntry({.m_host = HostId(host),
                       .m_incarnation = Incarnation(1),
                       .m_peer_address = ToText(lead.address())}));
}

auto LeadHost(TestWorld& world) -> std::string {
  return world.m_store.Find("leads", "z")["spec"]["host"];
}

TEST_CASE("a silent lead is replaced") {
  TestWorld world;
  ScriptedEndpoint silent(world.m_loop, [](const Request& /*request*/) {});
  PutLead(world, "h2", silent);
  world.AddEndpoint([](const Request& request) {
    request.m_stream->Write(request.Whole("id: 1\ndata: t\n\n"));
  });
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
            ? EncodeGrantAnswer({.m_verdict = GrantVerdict::kGranted,
                                 .m_tokens = Tokens(10)})
            : std::string();
    request.m_stream->Write(request.Whole(answer));
  });
  PutLead(world, "h2", silent);
  world.AddEndpoint([](const Request& request) {
    request.m_stream->Write(request.Whole("id: 1\ndata: t\n\n"));
  });
  world.StartFollower();
  const auto caller = world.Call(kTurn);
  world.RunUntil([&silent] { return silent.requests() > 0; });
  PutLead(world, "h3", next);
  world.RunUntil([&caller] { return caller->m_ended || caller->Body(); });
  CHECK(caller->Status() == 200);
  CHECK(next.requests() > 0);
  CHECK(LeadHost(world) == "h3");
}

}  // namespace
}  // namespace dotterelshed
