#include "policy/policy_endpoint.h"

#include <catch2/catch.hpp>

#include "policy/policy_test_pool.h"

namespace dotterelshed {
namespace {

TEST_CASE("a program continues on the endpoint with its prefix if it is free") {
  TestPool pool({.m_endpoints = 4});
  for (auto turn = 1; turn < 6; ++turn) {
    auto call = pool.Call("p", turn);
    call.m_prompt_tokens = Tokens(std::int64_t{1000} * turn);
    CHECK(pool.RunToCompletion(call) == EndpointId("e0"));
  }
}

TEST_CASE("a call waits only a limited time for the endpoint with its prefix") {
  TestPool pool({.m_endpoints = 2, .m_concurrency = 1});
  pool.RunToCompletion(pool.Call("p"));
  auto other = pool.Call("other");
  other.m_repeatable = false;
  pool.Add(other);
  pool.Start();
  pool.m_policy->m_endpoints.at(EndpointId("e1")).m_limit = 0;
  pool.Add(pool.Call("p", 2));
  CHECK(pool.Start().empty());
  pool.m_policy->m_endpoints.at(EndpointId("e1")).m_limit = 1;
  pvt::UpdateFree(*pool.m_policy, pool.Endpoint(1));
  CHECK(pool.Start().empty());
  pool.m_now += std::chrono::seconds(2);
  REQUIRE(NextDeadline(*pool.m_policy).value() <= pool.m_now);
  const auto started = pool.Start();
  REQUIRE(started.size() == 1);
  CHECK(started[0].m_endpoint == EndpointId("e1"));
  REQUIRE(started[0].m_release.size() == 1);
  CHECK(started[0].m_release[0].m_endpoint == EndpointId("e0"));
}

TEST_CASE("a leaving endpoint gets no new calls, not even from its queue") {
  TestPool pool({.m_endpoints = 2, .m_concurrency = 1});
  pool.RunToCompletion(pool.Call("p"));
  pool.Add(pool.Call("a"));
  pool.Add(pool.Call("b"));
  const auto running = pool.Start();
  pool.Add(pool.Call("p", 2));
  MarkEndpointLeaving(*pool.m_policy, EndpointId("e0"), pool.m_now);
  for (const auto& attempt : running) {
    pool.End(attempt, AttemptEnd::kCompleted);
  }
  const auto started = pool.Start();
  REQUIRE(started.size() == 1);
  CHECK(started[0].m_endpoint == EndpointId("e1"));
}

TEST_CASE("a restarted endpoint gets calls again once its reports confirm it") {
  TestPool pool({.m_endpoints = 1});
  MarkEndpointLeaving(*pool.m_policy, EndpointId("e0"), pool.m_now);
  const LoadReport serving{.m_endpoint = EndpointId("e0")};
  pool.m_now += std::chrono::seconds(2);
  ApplyLoadReport(*pool.m_policy, serving, pool.m_now);
  CHECK(pool.Add(pool.Call("a"))->m_reason == ReasonCode::kNoEndpoint);
  pool.m_now += std::chrono::seconds(20);
  ApplyLoadReport(*pool.m_policy, serving, pool.m_now);
  CHECK_FALSE(pool.Add(pool.Call("a")));
  CHECK(pool.Start().size() == 1);
}

TEST_CASE("an endpoint gets no calls while the platform lists it as leaving") {
  TestPool pool({.m_endpoints = 1});
  const EndpointId endpoint("e0");
  SetEndpointListedLeaving(*pool.m_policy, endpoint, true, pool.m_now);
  pool.m_now += std::chrono::seconds(60);
  ApplyLoadReport(*pool.m_policy, {.m_endpoint = endpoint}, pool.m_now);
  CHECK(pool.Add(pool.Call("a"))->m_reason == ReasonCode::kNoEndpoint);
  SetEndpointListedLeaving(*pool.m_policy, endpoint, false, pool.m_now);
  ApplyLoadReport(*pool.m_policy, {.m_endpoint = endpoint}, pool.m_now);
  CHECK_FALSE(pool.Add(pool.Call("a")));
}

TEST_CASE("a call runs only on an endpoint that serves its model") {
  TestPool pool({.m_endpoints = 2});
  ApplyLoadReport(*pool.m_policy,
                  {.m_endpoint = EndpointId("e0"), .m_models = {ModelId("m1")}},
                  pool.m_now);
  ApplyLoadReport(*pool.m_policy,
                  {.m_endpoint = EndpointId("e1"), .m_models = {ModelId("m2")}},
                  pool.m_now);
  auto call = pool.Call("a");
  call.m_model = ModelId("m2");
  CHECK(pool.RunToCompletion(call) == EndpointId("e1"));
  call = pool.Call("b");
  call.m_model = ModelId("m3");
  CHECK(pool.Add(call)->m_reason == ReasonCode::kNoEndpoint);
}

}  // namespace
}  // namespace dotterelshed
