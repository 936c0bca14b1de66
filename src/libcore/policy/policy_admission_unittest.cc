#include "policy/policy_admission.h"

#include <catch2/catch.hpp>

#include "policy/policy_test_pool.h"

namespace dotterelshed {
namespace {

using std::chrono::seconds;

TEST_CASE("a full queue refuses calls with a retry-after time") {
  TestPool pool({.m_policy = {.m_max_queued = 3}});
  for (const auto* name : {"a", "b", "c"}) {
    CHECK_FALSE(pool.Add(pool.Call(name)));
  }
  const auto refusal = pool.Add(pool.Call("d"));
  REQUIRE(refusal);
  CHECK(refusal->m_reason == ReasonCode::kOverLimit);
  CHECK(refusal->m_retry_after);
}

TEST_CASE("a new program that cannot meet its deadline is refused early") {
  for (const auto early : {true, false}) {
    TestPool pool({.m_policy = {.m_early_refusal = early},
                   .m_endpoints = 1,
                   .m_concurrency = 1});
    for (auto i = 0; i < 50; ++i) {
      pool.Add(pool.Call("p" + std::to_string(i)));
    }
    auto hurried = pool.Call("hurried");
    hurried.m_deadline = pool.m_now + seconds(5);
    const auto refusal = pool.Add(hurried);
    REQUIRE(refusal.has_value() == early);
    if (early) {
      CHECK(refusal->m_reason == ReasonCode::kDeadlineTooClose);
      CHECK(refusal->m_retry_after);
    }
    auto under_way = pool.Call("under way", 2);
    under_way.m_deadline = hurried.m_deadline;
    CHECK_FALSE(pool.Add(under_way));
  }
}

TEST_CASE("a call queued past its deadline expires without having run") {
  TestPool pool({.m_endpoints = 1, .m_concurrency = 1});
  pool.Add(pool.Call("running"));
  const auto running = pool.Start().at(0);
  auto late = pool.Call("late");
  late.m_deadline = pool.m_now + seconds(20);
  pool.Add(late);
  CHECK(Expire(*pool.m_policy, pool.m_now).empty());
  pool.m_now += seconds(20);
  REQUIRE(NextDeadline(*pool.m_policy).value() <= pool.m_now);
  CHECK(Expire(*pool.m_policy, pool.m_now) == std::vector{late.m_request});
  pool.End(running, AttemptEnd::kCompleted);
  CHECK(pool.Start().empty());
}

TEST_CASE("a call that waits for a retry expires at its deadline") {
  TestPool pool({.m_endpoints = 1});
  auto call = pool.Call("p");
  call.m_deadline = pool.m_now + seconds(20);
  pool.Add(call);
  const auto attempt = pool.Start().at(0);
  MarkEndpointLeaving(*pool.m_policy, EndpointId("e0"), pool.m_now);
  CHECK(pool.End(attempt, AttemptEnd::kLeaving).m_kind ==
        FinishVerdict::Kind::kRetry);
  CHECK(pool.Start().empty());
  pool.m_now += seconds(20);
  CHECK(Expire(*pool.m_policy, pool.m_now) == std::vector{call.m_request});
}

TEST_CASE("idle programs beyond the limit are removed") {
  TestPool pool({.m_policy = {.m_max_programs = 10}});
  for (auto i = 0; i < 100; ++i) {
    pool.RunToCompletion(pool.Call("p" + std::to_string(i)));
    pool.m_now += seconds(1);
  }
  CHECK(pool.m_policy->m_programs.size() <= 11);
  CHECK(pool.m_policy->m_roots.size() <= 11);
}

TEST_CASE("headroom is the number of free slots minus queued calls") {
  TestPool pool({.m_endpoints = 2, .m_concurrency = 4});
  CHECK(Headroom(*pool.m_policy) == 8);
  for (auto i = 0; i < 10; ++i) {
    pool.Add(pool.Call("p" + std::to_string(i)));
  }
  pool.Start();
  CHECK(Headroom(*pool.m_policy) == 0);
}

}  // namespace
}  // namespace dotterelshed
