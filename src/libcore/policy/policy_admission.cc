#include "policy/policy_admission.h"

#include <algorithm>

#include "policy/policy_endpoint.h"
#include "policy/policy_hedging.h"
#include "policy/policy_order.h"
#include "policy/policy_quarantine.h"

namespace dotterelshed {

namespace pvt {

namespace {

constexpr Duration kMinRetryAfter = std::chrono::milliseconds(500);
constexpr Duration kMaxRetryAfter = std::chrono::seconds(30);

auto RetryAfter(double seconds) -> Duration {
  return std::clamp(FromSeconds(seconds), kMinRetryAfter, kMaxRetryAfter);
}

/// Whether any endpoint can serve the call, now or later. Endpoints that have
/// not reported their models count in any state.
auto HasEndpoint(const PoolPolicy& policy, const ScheduledCall& call) -> bool {
  return std::any_of(
      policy.m_endpoints.begin(), policy.m_endpoints.end(),
      [&call](const auto& entry) {
        const auto& endpoint = entry.second;
        return endpoint.m_configured && !endpoint.m_leaving &&
               (AcceptsCall(endpoint, call) || endpoint.m_models.empty());
      });
}

auto ExpectedRun(const PoolPolicy& policy, const ClassId& id) -> double {
  const auto found = policy.m_classes.find(id);
  return found == policy.m_classes.end() ? policy.m_run_s
                                         : found->second.m_run_s;
}

/// Only a root program's first call is refused early, so that work already
/// done for a program is not lost.
auto IsFirstCall(const PolicyCall& call) -> bool {
  return call.m_program == call.m_root && call.m_turn <= Turn(1);
}

auto RefuseLate(const PoolPolicy& policy,
                const ScheduledCall& call,
                TimePoint now) -> std::optional<Refusal> {
  if (call.m_call.m_deadline <= now) {
    return Refusal{.m_reason = ReasonCode::kDeadlineTooClose};
  }
  if (!policy.m_options.m_early_refusal || !IsFirstCall(call.m_call)) {
    return std::nullopt;
  }
  const auto wait = ExpectedWait(policy, call.m_level);
  const auto needed = wait + ExpectedRun(policy, call.m_call.m_class);
  if (now + FromSeconds(needed) <= call.m_call.m_deadline) {
    return std::nullopt;
  }
  return Refusal{.m_reason = ReasonCode::kDeadlineTooClose,
                 .m_retry_after = RetryAfter(wait)};
}

auto Refuse(const PoolPolicy& policy, const ScheduledCall& call, TimePoint now)
    -> std::optional<Refusal> {
  if (policy.m_quarantined.contains(call.m_call.m_content)) {
    return Refusal{.m_reason = ReasonCode::kQuarantined};
  }
  if (policy.m_queued >= policy.m_options.m_max_queued) {
    return Refusal{.m_reason = ReasonCode::kOverLimit,
                   .m_retry_after = RetryAfter(ExpectedWait(policy, 0))};
  }
  if (!HasEndpoint(policy, call)) {
    return Refusal{.m_reason = ReasonCode::kNoEndpoint,
                   .m_retry_after = kMinRetryAfter};
  }
  return RefuseLate(policy, call, now);
}

/// Removes the longest idle programs beyond m_max_programs.
auto TrimPrograms(PoolPolicy& policy) -> void {
  const auto max_programs =
      static_cast<std::size_t>(policy.m_options.m_max_programs);
  while (policy.m_programs.size() > max_programs &&
         !policy.m_idle_programs.empty()) {
    const auto idle = policy.m_idle_programs.begin()->second;
    ForgetProgram(policy, idle);
  }
}

}  // namespace

auto ServingSlots(const PoolPolicy& policy) -> double {
  auto slots = 0.0;
  for (const auto& [id, endpoint] : policy.m_endpoints) {
    if (endpoint.m_configured && !endpoint.m_leaving &&
        endpoint.m_state == EndpointState::kServing) {
      slots += endpoint.m_limit;
    }
  }
  return std::max(1.0, slots);
}

auto ExpectedWait(const PoolPolicy& policy, int level) -> double {
  auto ahead = 0;
  for (auto i = 0; i <= level; ++i) {
    ahead += policy.m_queued_by_level.at(static_cast<std::size_t>(i));
  }
  return ahead * policy.m_run_s / ServingSlots(policy);
}

auto RegisterCall(PoolPolicy& policy, const PolicyCall& call, TimePoint now)
    -> void {
  const auto [found, added] = policy.m_programs.try_emplace(call.m_program);
  auto& program = found->second;
  if (added) {
    program.m_root = call.m_root;
    auto& root = policy.m_roots.try_emplace(call.m_root).first->second;
    if (root.m_programs++ == 0) {
      root.m_first_seen = now;
    }
  }
  policy.m_idle_programs.erase({program.m_last_used, call.m_program});
  ++program.m_open_calls;
  program.m_last_used = now;
}

auto CloseCall(PoolPolicy& policy, const ProgramId& program, TimePoint now)
    -> void {
  auto& state = policy.m_programs.at(program);
  --state.m_open_calls;
  state.m_last_used = now;
  if (state.m_open_calls == 0) {
    policy.m_idle_programs.emplace(now, program);
  }
}

auto ForgetProgram(PoolPolicy& policy, const ProgramId& program) -> void {
  const auto found = policy.m_programs.find(program);
  if (found == policy.m_programs.end() || found->second.m_open_calls > 0) {
    return;
  }
  const auto root = policy.m_roots.find(found->second.m_root);
  if (--root->second.m_programs == 0) {
    policy.m_roots.erase(root);
  }
  policy.m_idle_programs.erase({found->second.m_last_used, program});
  policy.m_programs.erase(found);
}

}  // namespace pvt

auto Admit(PoolPolicy& policy, const PolicyCall& call, TimePoint now)
    -> std::optional<Refusal> {
  pvt::RegisterCall(policy, call, now);
  pvt::ScheduledCall state{.m_call = call, .m_admitted = now};
  pvt::RankCall(policy, state);
  const auto refusal = pvt::Refuse(policy, state, now);
  if (refusal) {
    pvt::CloseCall(policy, call.m_program, now);
    pvt::TrimPrograms(policy);
    return refusal;
  }
  pvt::EarnRetryBudget(policy);
  state.m_suspect = call.m_repeatable && pvt::IsSuspect(policy, call.m_content);
  const auto [placed, added] =
      policy.m_calls.try_emplace(call.m_request, std::move(state));
  DOTTERELSHED_CHECK(added);
  pvt::Enqueue(policy, placed->second, now);
  pvt::TrimPrograms(policy);
  return std::nullopt;
}

auto Headroom(const PoolPolicy& policy) -> int {
  auto free = 0.0;
  for (const auto& [id, endpoint] : policy.m_endpoints) {
    if (endpoint.m_configured && !endpoint.m_leaving &&
        endpoint.m_state == EndpointState::kServing) {
      free += endpoint.m_limit - static_cast<double>(endpoint.m_running.size());
    }
  }
  return std::max(0, static_cast<int>(free) - policy.m_queued);
}

}  // namespace dotterelshed
