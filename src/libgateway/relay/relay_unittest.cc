#include <catch2/catch.hpp>
#include <chrono>
#include <optional>
#include <string>
#include <vector>

#include "dotterelshed/http_client.h"
#include "dotterelshed/metrics.h"
#include "peer_call.h"
#include "relay/relay_messages.h"
#include "test_calls.h"
#include "test_environment.h"

/// @file
/// Hosts that have lost their links to endpoints, and those that pass their
/// attempts on.

namespace dotterelshed {
namespace {

using Request = ScriptedEndpoint::Request;

/// A lead with links, and a host of its domain without.
struct CutEnvironment : public TestEnvironment {
  explicit CutEnvironment(const ScriptedEndpoint::Handler& handler) {
    ResetMetrics();
    for (int i = 0; i < 3; ++i) {
      AddEndpoint(handler);
    }
    Start();
    m_cut = &AddHost("h2", "z");
    m_cut->endpoint_connections().SetBlocked(true);
  }

  /// Sends calls until the host knows that its links are lost.
  auto AwaitRelays() -> void {
    RunUntil([this] { return FinishAt(*m_cut, kSafeCall)->Status() == 200; });
  }
  auto Requests() const -> int {
    int requests = 0;
    for (const auto& endpoint : m_endpoints) {
      requests += endpoint->requests();
    }
    return requests;
  }

  EntryHost* m_cut = nullptr;
};

/// Number of connections that were made through other hosts.
auto RelayedAttempts() -> int {
  const auto text = FormatMetrics();
  const std::string name =
      "dotterelshed_relayed_attempts_total{outcome=\"connected\"} ";
  const auto found = text.find(name);
  return found == std::string::npos
             ? 0
             : std::stoi(text.substr(found + name.size()));
}

// Guards against hosts whose callers aren't served without links to endpoints.
TEST_CASE("a host without links to endpoints serves through another host") {
  CutEnvironment environment(AnswerPlain);
  environment.AwaitRelays();
  CHECK(RelayedAttempts() > 0);
  const auto before = environment.Requests();
  for (int i = 0; i < 20; ++i) {
    CHECK(environment.FinishAt(*environment.m_cut, kSafeCall)->Status() == 200);
  }
  CHECK(environment.Requests() - before == 20);
}

TEST_CASE("a turn runs once through another host, with its events") {
  CutEnvironment environment([](const Request& request) {
    request.m_stream->Write(request.m_head.m_target == "/turn/x"
                                ? ChunkedHead(request) + Chunks(1, 3) +
                                      std::string(kLastChunk)
                                : request.Complete("x"));
  });
  environment.AwaitRelays();
  const auto before = environment.Requests();
  const auto caller =
      environment.FinishAt(*environment.m_cut, MakeTurn("r2", 100, 10));
  CHECK(caller->Status() == 200);
  CHECK(caller->Body() == MakeEvent(1) + MakeEvent(2) + MakeEvent(3));
  CHECK(environment.Requests() - before == 1);
}

TEST_CASE("a host uses its own links again when they are back") {
  CutEnvironment environment(AnswerPlain);
  environment.AwaitRelays();
  environment.m_cut->endpoint_connections().SetBlocked(false);
  environment.RunFor(std::chrono::milliseconds(1500));
  const auto relayed = RelayedAttempts();
  CHECK(environment.FinishAt(*environment.m_cut, kSafeCall)->Status() == 200);
  CHECK(RelayedAttempts() == relayed);
}

TEST_CASE("without links and other hosts calls are refused as not run") {
  TestEnvironment environment;
  for (int i = 0; i < 3; ++i) {
    environment.AddEndpoint(AnswerPlain);
  }
  environment.Start();
  environment.m_host->endpoint_connections().SetBlocked(true);
  for (int i = 0; i < 10; ++i) {
    CHECK(environment.Finish(kSafeCall)->Status() == 503);
    environment.RunFor(std::chrono::milliseconds(50));
  }
  CHECK_FALSE(environment.m_host->ready());
  environment.m_host->endpoint_connections().SetBlocked(false);
  environment.RunUntil([&environment] { return environment.m_host->ready(); });
  CHECK(environment.Finish(kSafeCall)->Status() == 200);
}

TEST_CASE("a caller that leaves ends its attempt behind another host") {
  bool silent = false;
  CutEnvironment environment([&silent](const Request& request) {
    if (!silent) {
      AnswerPlain(request);
    }
  });
  environment.AwaitRelays();
  silent = true;
  const auto ended = [&environment] {
    int count = 0;
    for (const auto& endpoint : environment.m_endpoints) {
      count += endpoint->ended();
    }
    return count;
  };
  environment.RunFor(std::chrono::milliseconds(300));
  const auto before = environment.Requests();
  const auto caller = environment.CallAt(*environment.m_cut, kSafeCall);
  environment.RunUntil([&] { return environment.Requests() > before; });
  const auto ended_before = ended();
  caller->m_stream->Close();
  environment.RunUntil([&] { return ended() > ended_before; });
}

TEST_CASE("a host passes nothing on to an address that it doesn't list") {
  CutEnvironment environment(AnswerPlain);
  const auto lead = environment.m_store.Find("leads", "z");
  const auto entry = DecodeLeadEntry(lead["spec"]);
  REQUIRE(entry);
  ScriptedEndpoint unlisted(environment.m_loop, AnswerPlain);
  ConnectionPool pool(environment.m_loop, {});
  std::optional<bool> answered;
  CallPeer(environment.m_loop, pool, entry->m_peer_address, kRelayPath,
           EncodeRelayRequest(
               {.m_endpoint_address = FormatTcpAddress(unlisted.address())}),
           std::chrono::seconds(5),
           [&answered](const Result<std::string>& reply) {
             answered = reply.has_value();
           });
  environment.RunUntil([&answered] { return answered.has_value(); });
  CHECK_FALSE(*answered);
  CHECK(unlisted.connections() == 0);
}

// Guards against attempts of hosts that are gone, which would fill a relay.
TEST_CASE("a relay ends what lasts longer than any request may") {
  TestEnvironment environment;
  auto config = environment.m_store.Find("config", "main")["spec"];
  for (auto& route : config["routes"]) {
    route["timeoutMs"] = 300;
  }
  environment.m_store.Put("config", "main", config);
  auto& silent = environment.AddEndpoint([](const Request& /*request*/) {});
  environment.Start();
  const auto entry =
      DecodeLeadEntry(environment.m_store.Find("leads", "z")["spec"]);
  REQUIRE(entry);
  auto connection = std::make_shared<ClientConnection>(environment.m_loop);
  int status = 0;
  connection->ConnectThrough(
      *ParseTcpAddress(entry->m_peer_address),
      FormatRequest("POST", kRelayPath, {{"Host", "h"}},
                    EncodeRelayRequest({.m_endpoint_address = FormatTcpAddress(
                                            silent.address())})),
      {}, [&status](int answer) { status = answer; });
  environment.RunUntil([&status] { return status != 0; });
  CHECK(status == 200);
  const auto begun = SteadyTime();
  environment.RunUntil([&silent] { return silent.ended() == 1; });
  CHECK(SteadyTime() - begun > std::chrono::milliseconds(300));
}

// Guards against an answer without length that looks complete since a host
// between ended.
TEST_CASE("an answer is complete only if the relay announces its end") {
  const auto announced = GENERATE(false, true);
  EventLoop loop;
  ScriptedEndpoint relay(loop, [announced](const Request& request) {
    if (request.m_head.m_target == kRelayPath) {
      request.m_stream->Write(
          "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
      return;
    }
    request.m_stream->Write(FormatChunk("HTTP/1.1 200 OK\r\n\r\npart"));
    request.m_stream->Write(announced ? kLastChunk : std::string_view());
    request.m_stream->CloseAfterWrites();
  });
  auto connection = std::make_shared<ClientConnection>(loop);
  std::string body;
  std::optional<bool> complete;
  connection->ConnectThrough(
      relay.address(), FormatRequest("POST", kRelayPath, {{"Host", "h"}}, "{}"),
      {}, [&](int status) {
        REQUIRE(status == 200);
        connection->Exchange(
            FormatRequest("GET", "/safe/x", {{"Host", "desk"}}, ""), false,
            {.m_on_head =
                 [](ResponseHead& /*head*/) { return HeadVerdict::kTake; },
             .m_on_body = [&body](std::string_view bytes) { body += bytes; },
             .m_on_done = [&complete] { complete = true; },
             .m_on_failure =
                 [&complete](ExchangeFailure /*failure*/) {
                   complete = false;
                 }});
      });
  while (!complete) {
    REQUIRE(loop.run_one_for(std::chrono::seconds(5)) > 0);
  }
  CHECK(body == "part");
  CHECK(*complete == announced);
  CHECK_FALSE(connection->reusable());
}

}  // namespace
}  // namespace dotterelshed
