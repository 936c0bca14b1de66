#include <algorithm>
#include <nlohmann/json.hpp>
#include <vector>

#include "lead/lead_messages.h"
#include "peer_call.h"
#include "test_environment.h"

/// @file
/// Which view of the store a host uses when a watch gets no answer.

namespace dotterelshed {
namespace {

auto LeavingSpec(const ScriptedEndpoint& endpoint) -> nlohmann::json {
  return {{"service", "s"},  {"address", FormatTcpAddress(endpoint.address())},
          {"zone", "z"},     {"version", "v1"},
          {"slots", 4},      {"state", "draining"},
          {"coldLeftMs", 0}, {"seq", 1},
          {"born", 0}};
}

TEST_CASE("requests stop reaching an endpoint that left during a lost watch") {
  TestEnvironment environment;
  auto& endpoint = environment.AddEndpoint([](const auto& request) {
    request.m_stream->Write(request.Complete("x"));
  });
  environment.Start();
  environment.m_store.StallWatches();
  environment.m_store.Put("servers", "e1", LeavingSpec(endpoint));
  environment.RunUntil([&environment] {
    return environment.Finish("GET /safe/1 HTTP/1.1\r\nHost: desk\r\n\r\n")
               ->Status() == 503;
  });
  const auto before = endpoint.requests();
  environment.Finish("GET /safe/2 HTTP/1.1\r\nHost: desk\r\n\r\n");
  CHECK(endpoint.requests() == before);
}

TEST_CASE("a configuration changed during a lost watch is applied") {
  TestEnvironment environment;
  environment.AddEndpoint([](const auto& request) {
    request.m_stream->Write(request.Complete("x"));
  });
  environment.Start();
  environment.m_store.StallWatches();
  environment.m_store.Put("config", "main",
                          nlohmann::json::parse(R"({"version":2,
      "routes":[
       {"name":"new","host":"desk","pathPrefix":"/new/","kind":"safe",
        "service":"s","timeoutMs":4000}],
      "services":[{"name":"s"}],
      "limits":{"headerBytes":4000,"maxBodyBytes":10000}})"));
  environment.RunUntil([&environment] {
    return environment.Finish("GET /new/1 HTTP/1.1\r\nHost: desk\r\n\r\n")
               ->Status() == 200;
  });
}

constexpr auto kSafeCall = "GET /safe/1 HTTP/1.1\r\nHost: desk\r\n\r\n";

TEST_CASE("a host uses the view that its domain's lead has read") {
  TestEnvironment environment;
  environment.AddEndpoint(AnswerPlain);
  // Not listed by the store; only the lead's view has it.
  ScriptedEndpoint named(environment.m_loop, AnswerPlain);
  const StoredObject object{
      .m_name = "e9",
      .m_version = ResourceVersion(1 << 20),
      .m_spec = {{"service", "s"},
                 {"address", FormatTcpAddress(named.address())},
                 {"zone", "z"},
                 {"version", "v1"},
                 {"slots", 4},
                 {"state", "ready"},
                 {"coldLeftMs", 0},
                 {"seq", 1},
                 {"born", 0}}};
  ScriptedEndpoint lead(environment.m_loop, [&object](const auto& request) {
    const auto view_request = DecodeViewRequest(request.m_body);
    if (view_request && view_request->m_kind == ObjectKind::kEndpoints &&
        view_request->m_version < object.m_version) {
      request.m_stream->Write(request.Complete(EncodeViewResponse(
          {.m_version = object.m_version}, EncodeViewObjects({&object}))));
    }
  });
  environment.PutLead("z", "h2", lead);
  environment.StartFollower();
  environment.RunUntil([&environment, &named] {
    environment.Finish(kSafeCall);
    return named.requests() > 0;
  });
}

TEST_CASE("a host stops using the view of a lead whose view is old") {
  TestEnvironment environment;
  auto& endpoint = environment.AddEndpoint(AnswerPlain);
  // Cut off from the store, as the reported age of its view shows.
  ScriptedEndpoint lead(environment.m_loop, [](const auto& request) {
    const auto view_request = DecodeViewRequest(request.m_body);
    if (view_request) {
      request.m_stream->Write(request.Complete(
          EncodeViewResponse({.m_version = view_request->m_version,
                              .m_age = std::chrono::seconds(20)},
                             "")));
    }
  });
  environment.PutLead("z", "h2", lead);
  environment.StartFollower();
  environment.m_store.Put("servers", "e1", LeavingSpec(endpoint));
  environment.RunUntil([&environment] {
    return environment.Finish(kSafeCall)->Status() == 503;
  });
}

TEST_CASE(
    "a host stops using its lead's view in time if only the lead is cut off") {
  TestEnvironment environment;
  auto& endpoint = environment.AddEndpoint(AnswerPlain);
  // Only the lead gets no answers from the store; it reports the age of its
  // view.
  auto silent_since = SteadyTime() + std::chrono::hours(1);
  ScriptedEndpoint lead(
      environment.m_loop, [&silent_since](const auto& request) {
        const auto view_request = DecodeViewRequest(request.m_body);
        if (view_request) {
          const auto age = std::max(SteadyTime() - silent_since, Duration{0});
          request.m_stream->Write(request.Complete(EncodeViewResponse(
              {.m_version = view_request->m_version, .m_age = age}, "")));
        }
      });
  environment.PutLead("z", "h2", lead);
  environment.StartFollower();
  environment.RunFor(std::chrono::seconds(3));
  silent_since = SteadyTime();
  environment.m_store.Put("servers", "e1", LeavingSpec(endpoint));
  environment.RunUntil([&environment] {
    return environment.Finish(kSafeCall)->Status() == 503;
  });
  CHECK(SteadyTime() - silent_since <= EntrySettings().m_endpoint_leave);
}

TEST_CASE("a configuration is in force in time if only the lead is cut off") {
  TestEnvironment environment;
  environment.AddEndpoint(AnswerPlain);
  auto silent_since = SteadyTime() + std::chrono::hours(1);
  // It responds with the age of its view, or not at all.
  const auto hangs = GENERATE(false, true);
  ScriptedEndpoint lead(
      environment.m_loop, [&silent_since, hangs](const auto& request) {
        const auto view_request = DecodeViewRequest(request.m_body);
        const auto silent = SteadyTime() >= silent_since;
        if (!view_request || (silent && hangs)) {
          return;
        }
        const auto age = std::max(SteadyTime() - silent_since, Duration{0});
        request.m_stream->Write(request.Complete(EncodeViewResponse(
            {.m_version = view_request->m_version, .m_age = age}, "")));
      });
  environment.PutLead("z", "h2", lead);
  environment.StartFollower();
  environment.RunFor(std::chrono::seconds(3));
  silent_since = SteadyTime();
  environment.m_store.Put("config", "main",
                          nlohmann::json::parse(R"({"version":2,
      "routes":[
       {"name":"new","host":"desk","pathPrefix":"/new/","kind":"safe",
        "service":"s","timeoutMs":4000}],
      "services":[{"name":"s"}],
      "limits":{"headerBytes":4000,"maxBodyBytes":10000}})"));
  environment.RunUntil([&environment] {
    return environment.Finish("GET /new/1 HTTP/1.1\r\nHost: desk\r\n\r\n")
               ->Status() == 200;
  });
  CHECK(SteadyTime() - silent_since <= EntrySettings().m_config_change);
}

TEST_CASE(
    "another domain's new lead is known in time if only the lead is cut off") {
  TestEnvironment environment;
  environment.AddEndpoint(AnswerTurn);
  auto silent_since = SteadyTime() + std::chrono::hours(1);
  // The turn's account is kept by the other domain.
  ScriptedEndpoint lead(environment.m_loop, [&silent_since](
                                                const auto& request) {
    if (const auto view = DecodeViewRequest(request.m_body)) {
      const auto age = std::max(SteadyTime() - silent_since, Duration{0});
      request.m_stream->Write(request.Complete(EncodeViewResponse(
          {.m_version = view->m_version, .m_age = age}, "")));
    } else if (request.m_head.m_target == kGrantPath) {
      request.m_stream->Write(request.Complete(EncodeTurnGrantResponse(
          {.m_verdict = GrantVerdict::kElsewhere, .m_domain = DomainId("y")})));
    }
  });
  ScriptedEndpoint other(environment.m_loop, [](const auto& request) {
    request.m_stream->Write(request.Complete(EncodeTurnGrantResponse(
        {.m_verdict = GrantVerdict::kGranted, .m_tokens = Tokens(10)})));
  });
  environment.PutLead("z", "h2", lead);
  environment.StartFollower();
  environment.RunFor(std::chrono::seconds(3));
  silent_since = SteadyTime();
  environment.PutLead("y", "h9", other);
  environment.RunUntil([&environment, &other] {
    environment.Finish(kTurnRequest);
    return other.requests() > 0;
  });
  // A turn waits for a grant for 1.5 s at most.
  CHECK(SteadyTime() - silent_since <= std::chrono::milliseconds(4500));
}

TEST_CASE("a host doesn't wait for a lead that never answers") {
  TestEnvironment environment;
  auto& endpoint = environment.AddEndpoint(AnswerPlain);
  ScriptedEndpoint lead(environment.m_loop, [](const auto& /*request*/) {});
  environment.PutLead("z", "h2", lead);
  environment.StartFollower();
  environment.m_store.Put("servers", "e1", LeavingSpec(endpoint));
  environment.RunUntil([&environment] {
    return environment.Finish(kSafeCall)->Status() == 503;
  });
}

TEST_CASE("a broken stream isn't resumed on an endpoint that left meanwhile") {
  TestEnvironment environment;
  std::vector<ScriptedEndpoint::Request> turns;
  auto& endpoint = environment.AddEndpoint([&turns](const auto& request) {
    if (request.m_head.m_target != "/turn/1") {
      request.m_stream->Write(request.Complete("x"));
      return;
    }
    turns.push_back(request);
    request.m_stream->Write(
        request.Head(200, "Transfer-Encoding: chunked\r\n") +
        "e\r\nid: 1\ndata: t\n\n\r\n");
  });
  environment.Start();
  const auto caller = environment.Call(
      "POST /turn/1 HTTP/1.1\r\nHost: desk\r\nContent-Length: "
      "0\r\n\r\n");
  environment.RunUntil([&turns] { return !turns.empty(); });
  environment.m_store.Put("servers", "e1", LeavingSpec(endpoint));
  environment.RunUntil([&environment] {
    return environment.Finish("GET /safe/1 HTTP/1.1\r\nHost: desk\r\n\r\n")
               ->Status() == 503;
  });
  turns.front().m_stream->Close();
  environment.RunUntil([&caller] { return caller->m_ended; });
  CHECK(turns.size() == 1);
}

}  // namespace
}  // namespace dotterelshed
