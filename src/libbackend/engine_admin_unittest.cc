#include <catch2/catch.hpp>
#include <string>

#include "dotterelshed/backend_client.h"
#include "test_server.h"

namespace dotterelshed {

namespace {

auto Answer(TestServer& server, const char* path, const char* body) -> void {
  server.m_http.Get(path, [body](const auto&, auto& response) {
    response.set_content(body, "application/json");
  });
}

}  // namespace

TEST_CASE("load, cache events and holds are read") {
  TestServer server;
  Answer(server, "/v1/load",
         R"({"running":3,"waiting":1,"kv_used":70,"kv_capacity":100,
             "models":["m"],"leaving":true})");
  Answer(server, "/v1/cache_events",
         R"({"events":[{"type":"stored","hold":"a"},
                       {"type":"evicted","hold":"b"}],"next":9,"gap":true})");
  Answer(server, "/v1/holds", R"({"holds":[{"id":"h","program":"p"}]})");
  server.Start();
  const auto load = ReadLoad(server.Endpoint());
  REQUIRE(load);
  CHECK(load->m_running == 3);
  CHECK(load->m_kv_capacity == Tokens(100));
  CHECK(load->m_models == std::vector{ModelId("m")});
  CHECK(load->m_leaving);
  const auto events = ReadCacheEvents(server.Endpoint(), 7);
  REQUIRE(events);
  CHECK(events->m_next == 9);
  CHECK(events->m_report.m_gap);
  CHECK(events->m_report.m_evicted == std::vector{HoldId("b")});
  const auto holds = ListEngineHolds(server.Endpoint());
  REQUIRE(holds);
  REQUIRE(holds->size() == 1);
  CHECK(holds->front().m_program == ProgramId("p"));
}

TEST_CASE("answers of the wrong shape are errors, not crashes") {
  TestServer server;
  Answer(server, "/v1/load", "[1]");
  Answer(server, "/v1/cache_events", R"({"events":7,"next":"x"})");
  Answer(server, "/v1/holds", R"({"holds":[1,{}]})");
  server.Start();
  CHECK_FALSE(ReadLoad(server.Endpoint()));
  CHECK(ReadCacheEvents(server.Endpoint(), 7)->m_next == 7);
  CHECK(ListEngineHolds(server.Endpoint())->size() == 1);
}

TEST_CASE("releasing what is gone already succeeds") {
  TestServer server;
  server.Start();
  CHECK(ReleaseEngineHold(server.Endpoint(), HoldId("h")));
  CHECK(CancelStream(server.Endpoint(), AttemptId("a")));
}

TEST_CASE("releasing at an endpoint that can't be reached is not a success") {
  const auto released = ReleaseEngineHold(ClosedEndpoint(), HoldId("h"));
  REQUIRE_FALSE(released);
  CHECK(released.error().m_code == ErrorCode::kUnavailable);
}

TEST_CASE("an order with an old fencing number is forbidden") {
  TestServer server;
  server.m_http.Post(
      "/v1/orders", [](const auto&, auto& response) { response.status = 412; });
  server.Start();
  const auto given = SendEngineOrder(server.Endpoint(), {});
  REQUIRE_FALSE(given);
  CHECK(given.error().m_code == ErrorCode::kForbidden);
}

}  // namespace dotterelshed
