#include "test_world.h"

/// @file
/// What a host believes of the store when a waiting call gets no answer.

namespace dotterelshed {
namespace {

auto LeavingSpec(const ScriptedEndpoint& endpoint) -> nlohmann::json {
  return {{"service", "s"},
          {"address", FormatTcpAddress(endpoint.address())},
          {"zone", "z"},
          {"slots", 4},
          {"state", "draining"}};
}

TEST_CASE("requests reach an endpoint that left while a watch was lost") {
  TestWorld world;
  auto& endpoint = world.AddEndpoint(
      [](const auto& request) { request.m_stream->Write(request.Whole("x")); });
  world.Start();
  world.m_store.LoseWatches();
  world.m_store.Put("servers", "e1", LeavingSpec(endpoint));
  world.RunUntil([&world] {
    return world.Finish("GET /safe/1 HTTP/1.1\r\nHost: desk\r\n\r\n")
               ->Status() == 503;
  });
  const auto before = endpoint.requests();
  world.Finish("GET /safe/2 HTTP/1.1\r\nHost: desk\r\n\r\n");
  CHECK(endpoint.requests() == before);
}

TEST_CASE("a configuration that came while a watch was lost isn't taken") {
  TestWorld world;
  world.AddEndpoint(
      [](const auto& request) { request.m_stream->Write(request.Whole("x")); });
  world.Start();
  world.m_store.LoseWatches();
  world.m_store.Put("config", "main", nlohmann::json::parse(R"({"version":2,
      "routes":[
       {"name":"new","host":"desk","pathPrefix":"/new/","kind":"safe",
        "service":"s","timeoutMs":4000}],
      "services":[{"name":"s"}],
      "limits":{"headerBytes":4000,"maxBodyBytes":10000}})"));
  world.RunUntil([&world] {
    return world.Finish("GET /new/1 HTTP/1.1\r\nHost: desk\r\n\r\n")
               ->Status() == 200;
  });
}

constexpr auto kSafeCall = "GET /safe/1 HTTP/1.1\r\nHost: desk\r\n\r\n";

auto AnswerPlain(const ScriptedEndpoint::Request& request) -> void {
  request.m_stream->Write(request.Whole("x"));
}

TEST_CASE("a host believes what its domain's lead reads") {
  TestWorld world;
  world.AddEndpoint(AnswerPlain);
  // The store doesn't list this one: only the lead names it.
  ScriptedEndpoint named(world.m_loop, AnswerPlain);
  const StoredObject object{
      .m_name = "e9",
      .m_version = ResourceVersion(1 << 20),
      .m_spec = {{"service", "s"},
                 {"address", FormatTcpAddress(named.address())},
                 {"zone", "z"},
                 {"slots", 4},
                 {"state", "ready"}}};
  ScriptedEndpoint lead(world.m_loop, [&object](const auto& request) {
    const auto question = DecodeViewRequest(request.m_body);
    if (question && question->m_kind == ObjectKind::kEndpoints &&
        question->m_version < object.m_version) {
      request.m_stream->Write(request.Whole(EncodeViewResponse(
          {.m_version = object.m_version}, EncodeViewObjects({&object}))));
    }
  });
  world.PutLead("z", "h2", lead);
  world.StartFollower();
  world.RunUntil([&world, &named] {
    world.Finish(kSafeCall);
    return named.requests() > 0;
  });
}

TEST_CASE("a host goes on believing a lead whose own view grows old") {
  TestWorld world;
  auto& endpoint = world.AddEndpoint(AnswerPlain);
  // Cut off from the store, and says so by the age of its view.
  ScriptedEndpoint lead(world.m_loop, [](const auto& request) {
    const auto question = DecodeViewRequest(request.m_body);
    if (question) {
      request.m_stream->Write(request.Whole(EncodeViewResponse(
          {.m_version = question->m_version, .m_age = std::chrono::seconds(20)},
          "")));
    }
  });
  world.PutLead("z", "h2", lead);
  world.StartFollower();
  world.m_store.Put("servers", "e1", LeavingSpec(endpoint));
  world.RunUntil([&world] { return world.Finish(kSafeCall)->Status() == 503; });
}

TEST_CASE("a host in touch believes its lead's old view for too long", "[.]") {
  TestWorld world;
  auto& endpoint = world.AddEndpoint(AnswerPlain);
  // The store is silent to the lead alone, and the lead says how old its view
  // has become.
  auto silent_since = SteadyTime() + std::chrono::hours(1);
  ScriptedEndpoint lead(world.m_loop, [&silent_since](const auto& request) {
    const auto question = DecodeViewRequest(request.m_body);
    if (question) {
      const auto age = std::max(SteadyTime() - silent_since, Duration{0});
      request.m_stream->Write(request.Whole(EncodeViewResponse(
          {.m_version = question->m_version, .m_age = age}, "")));
    }
  });
  world.PutLead("z", "h2", lead);
  world.StartFollower();
  world.RunFor(std::chrono::seconds(3));
  silent_since = SteadyTime();
  world.m_store.Put("servers", "e1", LeavingSpec(endpoint));
  world.RunUntil([&world] { return world.Finish(kSafeCall)->Status() == 503; });
  CHECK(SteadyTime() - silent_since <= EntrySettings().m_endpoint_leave);
}

TEST_CASE("a host goes on waiting for a lead that is frozen") {
  TestWorld world;
  auto& endpoint = world.AddEndpoint(AnswerPlain);
  ScriptedEndpoint lead(world.m_loop, [](const auto& /*request*/) {});
  world.PutLead("z", "h2", lead);
  world.StartFollower();
  world.m_store.Put("servers", "e1", LeavingSpec(endpoint));
  world.RunUntil([&world] { return world.Finish(kSafeCall)->Status() == 503; });
}

TEST_CASE("a broken stream is resumed on an endpoint that left meanwhile") {
  TestWorld world;
  std::vector<ScriptedEndpoint::Request> turns;
  auto& endpoint = world.AddEndpoint([&turns](const auto& request) {
    if (request.m_head.m_target != "/turn/1") {
      request.m_stream->Write(request.Whole("x"));
      return;
    }
    turns.push_back(request);
    request.m_stream->Write(
        request.Head(200, "Transfer-Encoding: chunked\r\n") +
        "e\r\nid: 1\ndata: t\n\n\r\n");
  });
  world.Start();
  const auto caller = world.Call(
      "POST /turn/1 HTTP/1.1\r\nHost: desk\r\nContent-Length: "
      "0\r\n\r\n");
  world.RunUntil([&turns] { return !turns.empty(); });
  world.m_store.Put("servers", "e1", LeavingSpec(endpoint));
  world.RunUntil([&world] {
    return world.Finish("GET /safe/1 HTTP/1.1\r\nHost: desk\r\n\r\n")
               ->Status() == 503;
  });
  turns.front().m_stream->Close();
  world.RunUntil([&caller] { return caller->m_ended; });
  CHECK(turns.size() == 1);
}

}  // namespace
}  // namespace dotterelshed
