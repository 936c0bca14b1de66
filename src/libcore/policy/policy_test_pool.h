#ifndef DOTTERELSHED_LIBCORE_POLICY_POLICY_TEST_POOL_H_
#define DOTTERELSHED_LIBCORE_POLICY_POLICY_TEST_POOL_H_

#include <string>
#include <vector>

#include "dotterelshed/policy.h"
#include "policy/policy_state.h"

/// @file
/// Test fixture for the scheduler: a pool with endpoints e0, e1, ... and a
/// manual clock.

namespace dotterelshed {

struct TestPoolOptions {
  PolicyOptions m_policy;
  int m_endpoints = 2;
  int m_concurrency = 4;
  Tokens m_kv_capacity{100000};
};

/// Scheduler under test, its configuration and the current time.
struct TestPool {
  explicit TestPool(const TestPoolOptions& options) {
    auto policy_options = options.m_policy;
    policy_options.m_endpoint_chart =
        LoadEndpointChart(DOTTERELSHED_CHARTS_DIR).value();
    m_policy = MakePoolPolicy(policy_options);
    m_config.m_classes[ClassId("light")] = {.m_id = ClassId("light"),
                                            .m_weight = 1};
    m_config.m_classes[ClassId("heavy")] = {.m_id = ClassId("heavy"),
                                            .m_weight = 8};
    for (auto i = 0; i < options.m_endpoints; ++i) {
      m_endpoints.push_back({.m_id = EndpointId("e" + std::to_string(i)),
                             .m_max_concurrency = options.m_concurrency,
                             .m_kv_capacity = options.m_kv_capacity});
    }
    SetPoolConfig(*m_policy, m_config, m_endpoints, m_now);
  }

  auto Call(const std::string& program, int turn = 1) const -> PolicyCall {
    return {.m_request = RequestId(program + "/" + std::to_string(turn)),
            .m_program = ProgramId(program),
            .m_root = ProgramId(program),
            .m_class = ClassId("light"),
            .m_turn = Turn(turn),
            .m_prompt_tokens = Tokens(100),
            .m_max_tokens = Tokens(50),
            .m_content = Digest(program + "/" + std::to_string(turn)),
            .m_deadline = m_now + std::chrono::minutes(10)};
  }

  auto Add(const PolicyCall& call) -> std::optional<Refusal> {
    return Admit(*m_policy, call, m_now);
  }

  auto Start() -> std::vector<Dispatched> { return Dispatch(*m_policy, m_now); }

  auto End(const Dispatched& attempt, AttemptEnd end, int generated = 10)
      -> FinishVerdict {
    return Finish(*m_policy, attempt.m_attempt,
                  {.m_end = end, .m_usage = {.m_generated = Tokens(generated)}},
                  m_now);
  }

  /// Runs one call to completion and returns the endpoint that ran it.
  auto RunToCompletion(const PolicyCall& call, int generated = 10)
      -> EndpointId {
    Add(call);
    const auto started = Start();
    const auto& attempt = started.at(0);
    Progress(*m_policy, attempt.m_attempt, Tokens(1), m_now);
    End(attempt, AttemptEnd::kCompleted, generated);
    return attempt.m_endpoint;
  }

  auto Endpoint(int number) -> pvt::ScheduledEndpoint& {
    return m_policy->m_endpoints.at(EndpointId("e" + std::to_string(number)));
  }

  std::shared_ptr<PoolPolicy> m_policy;
  DeskConfig m_config;
  std::vector<EndpointConfig> m_endpoints;
  TimePoint m_now{std::chrono::seconds(100)};
};

}  // namespace dotterelshed

#endif  // DOTTERELSHED_LIBCORE_POLICY_POLICY_TEST_POOL_H_
