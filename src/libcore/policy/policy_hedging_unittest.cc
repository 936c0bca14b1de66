#include "policy/policy_hedging.h"

#include <catch2/catch.hpp>

#include "policy/policy_test_pool.h"

namespace dotterelshed {
namespace {

using std::chrono::seconds;

/// Starts @p call, lets it stall and returns its attempts.
auto StalledAttempts(TestPool& pool, const PolicyCall& call)
    -> std::vector<Dispatched> {
  pool.Add(call);
  auto all = pool.Start();
  pool.m_now += seconds(5);
  for (const auto& attempt : pool.Start()) {
    all.push_back(attempt);
  }
  return all;
}

TEST_CASE("a stalled repeatable call is hedged once, on another endpoint") {
  TestPool pool({.m_endpoints = 3});
  const auto attempts = StalledAttempts(pool, pool.Call("p"));
  REQUIRE(attempts.size() == 2);
  CHECK(attempts[1].m_hedge);
  CHECK(attempts[1].m_endpoint != attempts[0].m_endpoint);
  pool.m_now += seconds(5);
  CHECK(pool.Start().empty());
  const auto verdict = pool.End(attempts[1], AttemptEnd::kCompleted);
  CHECK(verdict.m_kind == FinishVerdict::Kind::kFinal);
  CHECK(verdict.m_cancel == std::vector{attempts[0].m_attempt});
}

TEST_CASE("with hedging disabled a stalled call gets no second attempt") {
  TestPool pool({.m_policy = {.m_hedging = false}, .m_endpoints = 3});
  CHECK(StalledAttempts(pool, pool.Call("p")).size() == 1);
}

TEST_CASE("a non-repeatable call is neither hedged nor retried") {
  for (const auto end :
       {AttemptEnd::kLost, AttemptEnd::kTimedOut, AttemptEnd::kErrored,
        AttemptEnd::kRefused, AttemptEnd::kLeaving, AttemptEnd::kFenced}) {
    TestPool pool({.m_endpoints = 3});
    auto call = pool.Call("p");
    call.m_repeatable = false;
    const auto attempts = StalledAttempts(pool, call);
    REQUIRE(attempts.size() == 1);
    CHECK(pool.End(attempts[0], end).m_kind == FinishVerdict::Kind::kFinal);
    CHECK(pool.Start().empty());
  }
}

TEST_CASE("a failed repeatable call is retried, a rejected one is not") {
  TestPool pool({.m_endpoints = 3});
  pool.Add(pool.Call("p"));
  const auto first = pool.Start().at(0);
  CHECK(pool.End(first, AttemptEnd::kErrored).m_kind ==
        FinishVerdict::Kind::kRetry);
  const auto second = pool.Start().at(0);
  CHECK(pool.End(second, AttemptEnd::kRejected).m_kind ==
        FinishVerdict::Kind::kFinal);
}

TEST_CASE("refused attempts do not count against a call's attempt limit") {
  constexpr int kRounds = 5;
  TestPool pool({.m_endpoints = 2});
  pool.Add(pool.Call("p"));
  for (auto round = 0; round < kRounds; ++round) {
    const auto started = pool.Start();
    REQUIRE_FALSE(started.empty());
    for (const auto& attempt : started) {
      CHECK(pool.End(attempt, AttemptEnd::kRefused).m_kind !=
            FinishVerdict::Kind::kFinal);
    }
    pool.m_now += std::chrono::seconds(30);
  }
}

TEST_CASE("the end of a cancelled attempt is ignored") {
  TestPool pool({.m_endpoints = 3});
  const auto attempts = StalledAttempts(pool, pool.Call("p"));
  pool.End(attempts.at(1), AttemptEnd::kCompleted);
  CHECK(pool.End(attempts.at(0), AttemptEnd::kCancelled).m_kind ==
        FinishVerdict::Kind::kIgnore);
}

TEST_CASE("retries and hedges stay within their budget if all attempts fail") {
  constexpr int kCalls = 4000;
  TestPool pool({.m_endpoints = 6, .m_concurrency = 16});
  auto attempts = 0;
  for (auto i = 0; i < kCalls; ++i) {
    pool.m_now += std::chrono::milliseconds(10);
    pool.Add(pool.Call("p" + std::to_string(i)));
    const auto ends = {AttemptEnd::kRefused, AttemptEnd::kErrored,
                       AttemptEnd::kLost, AttemptEnd::kTimedOut};
    for (auto started = pool.Start(); !started.empty();
         started = pool.Start()) {
      for (const auto& attempt : started) {
        pool.End(attempt, *(ends.begin() + attempts++ % 4));
      }
    }
  }
  const auto share = pool.m_config.m_retry_share_percent / 100.0;
  CHECK(attempts - kCalls <= share * kCalls + pvt::RetryReserve());
  CHECK(attempts >= kCalls / 2);
}

}  // namespace
}  // namespace dotterelshed
