#include "policy/policy_quarantine.h"

#include <catch2/catch.hpp>

#include "policy/policy_test_pool.h"

namespace dotterelshed {
namespace {

/// Runs all calls. Content "killer" crashes its endpoint and with it all
/// attempts there; all other calls succeed. Returns the crashed endpoints.
auto RunWithCrashingContent(TestPool& pool,
                            std::map<RequestId, FinishVerdict::Kind>& ends)
    -> std::vector<EndpointId> {
  std::vector<EndpointId> crashed;
  for (auto started = pool.Start(); !started.empty(); started = pool.Start()) {
    std::map<EndpointId, std::vector<Dispatched>> by_endpoint;
    std::set<EndpointId> hit;
    for (const auto& attempt : started) {
      by_endpoint[attempt.m_endpoint].push_back(attempt);
      const auto& call = pool.m_policy->m_calls.at(attempt.m_request);
      if (call.m_call.m_content == Digest("killer")) {
        hit.insert(attempt.m_endpoint);
        crashed.push_back(attempt.m_endpoint);
      }
    }
    for (const auto& [endpoint, attempts] : by_endpoint) {
      const auto end =
          hit.contains(endpoint) ? AttemptEnd::kLost : AttemptEnd::kCompleted;
      for (const auto& attempt : attempts) {
        ends[attempt.m_request] = pool.End(attempt, end).m_kind;
      }
    }
    pool.m_now += std::chrono::seconds(30);
  }
  return crashed;
}

TEST_CASE(
    "content that crashes two endpoints is quarantined, others complete") {
  TestPool pool({.m_endpoints = 5});
  auto crashing_call = pool.Call("k");
  crashing_call.m_content = Digest("killer");
  pool.Add(crashing_call);
  for (auto i = 0; i < 18; ++i) {
    pool.Add(pool.Call("bystander" + std::to_string(i)));
  }
  std::map<RequestId, FinishVerdict::Kind> ends;
  const auto crashed = RunWithCrashingContent(pool, ends);
  REQUIRE(crashed.size() == 2);
  CHECK(crashed[0] != crashed[1]);
  REQUIRE(ends.size() == 19);
  for (const auto& [request, kind] : ends) {
    CHECK(kind == (request == crashing_call.m_request
                       ? FinishVerdict::Kind::kQuarantine
                       : FinishVerdict::Kind::kFinal));
  }
  auto again = pool.Call("resent");
  again.m_content = Digest("killer");
  CHECK(pool.Add(again)->m_reason == ReasonCode::kQuarantined);
}

TEST_CASE("a suspect runs alone on its endpoint") {
  TestPool pool({.m_endpoints = 1});
  pool.Add(pool.Call("a"));
  const auto first = pool.Start().at(0);
  pool.End(first, AttemptEnd::kLost);
  pool.Add(pool.Call("b"));
  const auto next = pool.Start();
  REQUIRE(next.size() == 1);
  CHECK(next[0].m_request == first.m_request);
  CHECK(pool.Start().empty());
  pool.End(next[0], AttemptEnd::kCompleted);
  CHECK(pool.Start().size() == 1);
}

TEST_CASE("queued calls with the same content crash no third endpoint") {
  TestPool pool({.m_endpoints = 12});
  for (auto i = 0; i < 4; ++i) {
    auto crashing_call = pool.Call("k" + std::to_string(i));
    crashing_call.m_content = Digest("killer");
    pool.Add(crashing_call);
    if (i == 0) {
      pool.End(pool.Start().at(0), AttemptEnd::kLost);
    }
  }
  const auto second = pool.Start();
  REQUIRE(second.size() == 1);
  CHECK(pool.End(second[0], AttemptEnd::kLost).m_kind ==
        FinishVerdict::Kind::kQuarantine);
  CHECK(pool.Start().empty());
  CHECK(Expire(*pool.m_policy, pool.m_now).size() == 3);
}

TEST_CASE("simultaneous crashes of many endpoints quarantine no content") {
  TestPool pool({.m_endpoints = 8, .m_concurrency = 1});
  for (auto i = 0; i < 8; ++i) {
    pool.Add(pool.Call("p" + std::to_string(i)));
  }
  for (const auto& attempt : pool.Start()) {
    pool.End(attempt, AttemptEnd::kLost);
  }
  auto suspects = 0;
  for (const auto& [request, call] : pool.m_policy->m_calls) {
    suspects += call.m_suspect ? 1 : 0;
  }
  CHECK(suspects <= 2);
  CHECK(pool.m_policy->m_quarantined.empty());
}

TEST_CASE("content quarantined by another host is refused") {
  TestPool pool({});
  auto call = pool.Call("p");
  NoteQuarantined(*pool.m_policy, call.m_content);
  CHECK(pool.Add(call)->m_reason == ReasonCode::kQuarantined);
}

TEST_CASE("the quarantine list is bounded and keeps the newest entries") {
  TestPool pool({.m_policy = {.m_max_quarantined = 10}});
  for (auto i = 0; i < 50; ++i) {
    NoteQuarantined(*pool.m_policy, Digest(std::to_string(i)));
  }
  CHECK(pool.m_policy->m_quarantined.size() == 10);
  CHECK(pool.m_policy->m_quarantined.contains(Digest("49")));
}

}  // namespace
}  // namespace dotterelshed
