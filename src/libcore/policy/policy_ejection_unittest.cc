#include "policy/policy_ejection.h"

#include <catch2/catch.hpp>

#include "policy/policy_test_pool.h"

namespace dotterelshed {
namespace {

using std::chrono::milliseconds;

/// Records @p steps decoding steps of length @p gap on an endpoint.
auto TakeSteps(TestPool& pool, int endpoint, int steps, Duration gap) -> void {
  for (auto step = 0; step < steps; ++step) {
    pool.m_now += gap;
    pvt::RecordTokenGap(*pool.m_policy, pool.Endpoint(endpoint), ToSeconds(gap),
                        pool.m_now);
  }
}

TEST_CASE("an endpoint is ejected after the second slow step, not the first") {
  TestPool pool({.m_endpoints = 5});
  TakeSteps(pool, 0, 1, milliseconds(200));
  CHECK(pool.Endpoint(0).m_state == EndpointState::kServing);
  TakeSteps(pool, 0, 1, milliseconds(200));
  CHECK(pool.Endpoint(0).m_state == EndpointState::kEjected);
  for (auto i = 0; i < 8; ++i) {
    CHECK(pool.RunToCompletion(pool.Call("p" + std::to_string(i))) !=
          EndpointId("e0"));
  }
}

TEST_CASE("at most a third of the endpoints are ejected as failed") {
  TestPool pool({.m_endpoints = 6});
  for (auto i = 0; i < 6; ++i) {
    pvt::ApplyEndpointEvent(*pool.m_policy, pool.Endpoint(i),
                            EndpointEvent::kFailed, pool.m_now);
  }
  auto out = 0;
  for (auto i = 0; i < 6; ++i) {
    out += pool.Endpoint(i).m_state == EndpointState::kServing ? 0 : 1;
  }
  CHECK(out == 2);
}

TEST_CASE("calls complete although refusals exceed the ejection limit") {
  TestPool pool({.m_endpoints = 5});
  TakeSteps(pool, 0, 2, milliseconds(200));
  for (auto i = 0; i < 8; ++i) {
    pool.Add(pool.Call("p" + std::to_string(i)));
  }
  auto done = 0;
  for (auto started = pool.Start(); !started.empty(); started = pool.Start()) {
    for (const auto& attempt : started) {
      const auto refuses = attempt.m_endpoint != EndpointId("e4");
      const auto end = refuses ? AttemptEnd::kRefused : AttemptEnd::kCompleted;
      done += pool.End(attempt, end).m_kind == FinishVerdict::Kind::kFinal &&
                      !refuses
                  ? 1
                  : 0;
    }
  }
  CHECK(done == 8);
}

TEST_CASE("the only endpoint of a pool is never ejected") {
  TestPool pool({.m_endpoints = 1});
  pvt::ApplyEndpointEvent(*pool.m_policy, pool.Endpoint(0),
                          EndpointEvent::kFailed, pool.m_now);
  CHECK(pool.RunToCompletion(pool.Call("p")) == EndpointId("e0"));
}

TEST_CASE("with ejection disabled a slow endpoint stays in service") {
  TestPool pool({.m_policy = {.m_ejection = false}, .m_endpoints = 5});
  TakeSteps(pool, 0, 5, milliseconds(200));
  CHECK(pool.Endpoint(0).m_state == EndpointState::kServing);
}

TEST_CASE("normal steps of a duplicate probe return an endpoint to service") {
  TestPool pool({.m_endpoints = 5});
  TakeSteps(pool, 0, 2, milliseconds(200));
  pool.m_now += std::chrono::seconds(3);
  pool.Add(pool.Call("p"));
  const auto started = pool.Start();
  REQUIRE(started.size() == 2);
  CHECK_FALSE(started[0].m_hedge);
  CHECK(started[1].m_hedge);
  CHECK(started[1].m_endpoint == EndpointId("e0"));
  for (auto token = 1; token < 6; ++token) {
    pool.m_now += milliseconds(20);
    Progress(*pool.m_policy, started[1].m_attempt, Tokens(token), pool.m_now);
  }
  CHECK(pool.Endpoint(0).m_state == EndpointState::kServing);
  const auto verdict = pool.End(started[0], AttemptEnd::kCompleted);
  CHECK(verdict.m_cancel == std::vector{started[1].m_attempt});
}

TEST_CASE("the probe back-off grows with each failed probe") {
  TestPool pool({.m_endpoints = 5});
  TakeSteps(pool, 0, 2, milliseconds(200));
  auto& endpoint = pool.Endpoint(0);
  auto last = endpoint.m_probe_at - pool.m_now;
  for (auto round = 0; round < 3; ++round) {
    pool.m_now = endpoint.m_probe_at;
    pvt::StartProbes(*pool.m_policy, pool.m_now);
    REQUIRE(endpoint.m_state == EndpointState::kProbing);
    pvt::ApplyEndpointEvent(*pool.m_policy, endpoint, EndpointEvent::kSlow,
                            pool.m_now);
    const auto wait = endpoint.m_probe_at - pool.m_now;
    CHECK(wait > last);
    last = wait;
  }
}

}  // namespace
}  // namespace dotterelshed
