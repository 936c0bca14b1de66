#include <algorithm>
#include <boost/random/uniform_int_distribution.hpp>
#include <catch2/catch.hpp>
#include <pcg_random.hpp>

#include "policy/policy_test_pool.h"

namespace dotterelshed {
namespace {

/// Applies random events to a small pool and checks its invariants after each.
class PolicyRandomizedTest {
 public:
  explicit PolicyRandomizedTest(std::uint64_t seed)
      : m_random(seed),
        m_pool({.m_policy = {.m_seed = seed},
                .m_endpoints = 4,
                .m_concurrency = 3,
                .m_kv_capacity = Tokens(3000)}) {}

  auto Run(int steps) -> void {
    for (auto step = 0; step < steps; ++step) {
      m_pool.m_now += std::chrono::milliseconds(Draw(0, 400));
      TakeStep();
      StartAll();
      Check();
    }
    FinishAllCalls();
  }

 private:
  auto Draw(int low, int high) -> int {
    return boost::random::uniform_int_distribution<int>(low, high)(m_random);
  }

  auto TakeStep() -> void {
    switch (Draw(0, 9)) {
      case 0:
      case 1:
      case 2:
        return AddCall();
      case 3:
      case 4:
      case 5:
        return EndOne(Draw(0, 3) == 0);
      case 6:
        return ProgressOne();
      case 7:
        return CancelOne();
      case 8:
        return ChangeEndpoints();
      default:
        for (const auto& request : Expire(*m_pool.m_policy, m_pool.m_now)) {
          Over(request);
        }
    }
  }

  auto AddCall() -> void {
    const auto program = "p" + std::to_string(Draw(0, 30));
    auto call = m_pool.Call(program, ++m_calls);
    call.m_repeatable = Draw(0, 3) != 0;
    call.m_content = Digest(std::to_string(Draw(0, 200)));
    call.m_deadline = m_pool.m_now + std::chrono::seconds(Draw(1, 60));
    if (!m_pool.Add(call)) {
      m_open[call.m_request] = call.m_repeatable;
    }
  }

  auto StartAll() -> void {
    for (const auto& attempt : m_pool.Start()) {
      REQUIRE(m_open.contains(attempt.m_request));
      const auto others = std::count_if(
          m_running.begin(), m_running.end(), [&](const Dispatched& other) {
            return other.m_request == attempt.m_request;
          });
      CHECK((others == 0 || (others == 1 && attempt.m_hedge)));
      const auto first = m_ran.insert(attempt.m_request).second;
      CHECK((first || m_open.at(attempt.m_request)));
      m_running.push_back(attempt);
    }
  }

  auto TakeRunning() -> Dispatched {
    const auto place = Draw(0, static_cast<int>(m_running.size()) - 1);
    auto attempt = m_running[static_cast<std::size_t>(place)];
    m_running.erase(m_running.begin() + place);
    return attempt;
  }

  auto EndOne(bool badly) -> void {
    if (m_running.empty()) {
      return;
    }
    const auto attempt = TakeRunning();
    const auto end =
        badly ? static_cast<AttemptEnd>(Draw(0, 8)) : AttemptEnd::kCompleted;
    const auto verdict = m_pool.End(attempt, end, Draw(1, 900));
    Forget(verdict.m_cancel);
    if (verdict.m_kind == FinishVerdict::Kind::kFinal ||
        verdict.m_kind == FinishVerdict::Kind::kQuarantine) {
      Over(attempt.m_request);
    }
  }

  auto ProgressOne() -> void {
    if (!m_running.empty()) {
      const auto& attempt = m_running[static_cast<std::size_t>(
          Draw(0, static_cast<int>(m_running.size()) - 1))];
      Progress(*m_pool.m_policy, attempt.m_attempt, Tokens(++m_tokens),
               m_pool.m_now);
    }
  }

  auto CancelOne() -> void {
    if (m_open.empty() || Draw(0, 3) != 0) {
      return;
    }
    const auto request =
        std::next(m_open.begin(), Draw(0, static_cast<int>(m_open.size()) - 1))
            ->first;
    Forget(Cancel(*m_pool.m_policy, request, m_pool.m_now));
    Over(request);
  }

  auto ChangeEndpoints() -> void {
    const EndpointId endpoint("e" + std::to_string(Draw(1, 3)));
    ApplyLoadReport(*m_pool.m_policy,
                    {.m_endpoint = endpoint, .m_leaving = Draw(0, 5) == 0},
                    m_pool.m_now);
    EndProgram(*m_pool.m_policy, ProgramId("p" + std::to_string(Draw(0, 30))));
  }

  auto Forget(const std::vector<AttemptId>& attempts) -> void {
    for (const auto& id : attempts) {
      std::erase_if(m_running, [&id](const Dispatched& attempt) {
        return attempt.m_attempt == id;
      });
    }
  }

  auto Over(const RequestId& request) -> void {
    REQUIRE(m_open.erase(request) == 1);
    CHECK(std::none_of(m_running.begin(), m_running.end(),
                       [&request](const Dispatched& attempt) {
                         return attempt.m_request == request;
                       }));
  }

  auto Check() -> void {
    const auto& policy = *m_pool.m_policy;
    REQUIRE(policy.m_calls.size() == m_open.size());
    REQUIRE(policy.m_attempts.size() == m_running.size());
    auto queued = 0;
    for (const auto& [request, call] : policy.m_calls) {
      const auto waits = call.m_placement != pvt::CallPlacement::kRunning;
      REQUIRE((waits || !call.m_attempts.empty()));
      queued += waits ? 1 : 0;
    }
    REQUIRE(policy.m_queued == queued);
    for (const auto& [id, endpoint] : policy.m_endpoints) {
      REQUIRE(endpoint.m_running.size() <= 3);
      REQUIRE(endpoint.m_running_memory >= 0);
      REQUIRE(endpoint.m_held_memory >= 0);
      REQUIRE(endpoint.m_pending_short >= 0);
      REQUIRE(endpoint.m_pending_long >= 0);
    }
  }

  /// Checks that every admitted call ends once no attempt fails any more.
  auto FinishAllCalls() -> void {
    for (auto round = 0; round < 400 && !m_open.empty(); ++round) {
      m_pool.m_now += std::chrono::milliseconds(500);
      StartAll();
      EndOne(false);
      for (const auto& request : Expire(*m_pool.m_policy, m_pool.m_now)) {
        Over(request);
      }
      Check();
    }
    INFO(DumpPolicy(*m_pool.m_policy, m_pool.m_now));
    REQUIRE(m_open.empty());
  }

  pcg64 m_random;
  TestPool m_pool;
  /// Open calls and whether they may be repeated.
  std::map<RequestId, bool> m_open;
  std::set<RequestId> m_ran;
  std::vector<Dispatched> m_running;
  int m_calls = 0;
  int m_tokens = 0;
};

TEST_CASE("random events lose no call, start none twice and keep all limits") {
  for (std::uint64_t seed = 1; seed <= 300; ++seed) {
    CAPTURE(seed);
    PolicyRandomizedTest(seed).Run(200);
  }
}

}  // namespace
}  // namespace dotterelshed
