#include "policy/policy_ejection.h"

#include <algorithm>

#include "policy/policy_endpoint.h"
#include "policy/policy_order.h"

namespace dotterelshed::pvt {

namespace {

/// A decoding step is slow if it exceeds the pool's median by this factor.
constexpr double kSlowFactor = 3;
/// Consecutive slow steps after which an endpoint is ejected.
constexpr int kSlowSteps = 2;
/// Consecutive normal steps after which it returns to service.
constexpr int kNormalSteps = 4;
/// Weights of a new sample in the moving averages.
constexpr double kSlowStepWeight = 0.5;
constexpr double kStepWeight = 0.05;
constexpr double kFirstTokenWeight = 0.1;
/// One endpoint in this many may be ejected at once, at least one.
constexpr int kMaxEjectedDivisor = 3;
constexpr Duration kFirstProbeWait = std::chrono::milliseconds(1000);
/// Time to wait for a call that can be duplicated as a probe.
constexpr Duration kDirectProbeWait = std::chrono::seconds(5);
constexpr int kMaxProbeDoublings = 4;
constexpr Duration kReferenceInterval = std::chrono::milliseconds(100);

auto UpdateMean(double& rate, double sample, double weight) -> void {
  rate = rate <= 0 ? sample : rate + weight * (sample - rate);
}

/// Slow and failing endpoints still add capacity, so only MaxEjected of them
/// may be ejected. Unreachable ones add none: all but one may be ejected.
auto MayEject(const PoolPolicy& policy,
              const ScheduledEndpoint& endpoint,
              EndpointEvent event) -> bool {
  if (endpoint.m_state != EndpointState::kServing) {
    return true;
  }
  auto configured = 0;
  auto out = 0;
  for (const auto& [id, other] : policy.m_endpoints) {
    configured += other.m_configured && !other.m_leaving ? 1 : 0;
    out +=
        other.m_configured && other.m_state != EndpointState::kServing ? 1 : 0;
  }
  return event == EndpointEvent::kUnreachable ? out < configured - 1
                                              : out < MaxEjected(policy);
}

/// Delay of up to 255 ms, by seed and endpoint, that spreads probes.
auto ProbeJitter(const PoolPolicy& policy, const ScheduledEndpoint& endpoint)
    -> Duration {
  const auto mixed = (policy.m_options.m_seed * 31 +
                      std::hash<EndpointId>{}(endpoint.m_config.m_id)) %
                     256;
  return std::chrono::milliseconds(static_cast<std::int64_t>(mixed));
}

auto ScheduleProbe(PoolPolicy& policy,
                   ScheduledEndpoint& endpoint,
                   TimePoint now) -> void {
  const auto doublings = std::min(endpoint.m_ejections, kMaxProbeDoublings);
  ++endpoint.m_ejections;
  policy.m_probe_timers.erase({endpoint.m_probe_at, endpoint.m_config.m_id});
  endpoint.m_probe_at =
      now + kFirstProbeWait * (1 << doublings) + ProbeJitter(policy, endpoint);
  policy.m_probe_timers.emplace(endpoint.m_probe_at, endpoint.m_config.m_id);
}

/// Makes the stall checks of all attempts on the endpoint due now, so that
/// they are considered for hedging.
auto HedgeRunning(PoolPolicy& policy,
                  const ScheduledEndpoint& endpoint,
                  TimePoint now) -> void {
  for (const auto& id : endpoint.m_running) {
    auto& attempt = policy.m_attempts.at(id);
    policy.m_attempt_timers.erase({attempt.m_check_at, id});
    attempt.m_check_at = now;
    policy.m_attempt_timers.emplace(now, id);
  }
}

auto DoAction(PoolPolicy& policy,
              ScheduledEndpoint& endpoint,
              EndpointAction action,
              TimePoint now) -> void {
  switch (action) {
    case EndpointAction::kMoveWaiting:
      MoveWarmCallsToSharedQueue(policy, endpoint);
      break;
    case EndpointAction::kHedgeRunning:
      HedgeRunning(policy, endpoint, now);
      break;
    case EndpointAction::kScheduleProbe:
      ScheduleProbe(policy, endpoint, now);
      break;
    case EndpointAction::kResetProbes:
      endpoint.m_ejections = 0;
      break;
  }
}

/// Counts consecutive slow or normal steps.
auto CountStep(ScheduledEndpoint& endpoint, bool slow) -> void {
  endpoint.m_slow_steps = slow ? endpoint.m_slow_steps + 1 : 0;
  endpoint.m_normal_steps = slow ? 0 : endpoint.m_normal_steps + 1;
}

auto SetProbeTimer(PoolPolicy& policy,
                   ScheduledEndpoint& endpoint,
                   TimePoint at) -> void {
  endpoint.m_probe_at = at;
  policy.m_probe_timers.emplace(at, endpoint.m_config.m_id);
}

/// Postpones the probe while attempts on the endpoint still show its speed at
/// no cost. Otherwise lets it be probed with a duplicate of a call or, after
/// kDirectProbeWait without one, with a regular call.
auto StartProbe(PoolPolicy& policy, ScheduledEndpoint& endpoint, TimePoint now)
    -> void {
  if (endpoint.m_state == EndpointState::kProbing) {
    endpoint.m_direct_probe = true;
    UpdateFree(policy, endpoint);
    return;
  }
  if (!endpoint.m_running.empty()) {
    SetProbeTimer(policy, endpoint, now + kFirstProbeWait);
    return;
  }
  ApplyEndpointEvent(policy, endpoint, EndpointEvent::kProbeDue, now);
  if (endpoint.m_state == EndpointState::kProbing) {
    SetProbeTimer(policy, endpoint, now + kDirectProbeWait);
  }
}

}  // namespace

auto MaxEjected(const PoolPolicy& policy) -> int {
  auto configured = 0;
  for (const auto& [id, endpoint] : policy.m_endpoints) {
    configured += endpoint.m_configured && !endpoint.m_leaving ? 1 : 0;
  }
  return configured < 2 ? 0 : std::max(1, configured / kMaxEjectedDivisor);
}

auto ReferenceGap(PoolPolicy& policy, TimePoint now) -> double {
  if (now - policy.m_reference_at < kReferenceInterval &&
      policy.m_reference_gap_s > 0) {
    return policy.m_reference_gap_s;
  }
  std::vector<double> gaps;
  for (const auto& [id, endpoint] : policy.m_endpoints) {
    if (endpoint.m_configured && endpoint.m_token_gap_s > 0) {
      gaps.push_back(endpoint.m_token_gap_s);
    }
  }
  policy.m_reference_at = now;
  if (gaps.size() < 2) {
    return policy.m_reference_gap_s = 0;
  }
  const auto middle =
      gaps.begin() + static_cast<std::ptrdiff_t>((gaps.size() - 1) / 2);
  std::nth_element(gaps.begin(), middle, gaps.end());
  return policy.m_reference_gap_s = *middle;
}

auto RecordTokenGap(PoolPolicy& policy,
                    ScheduledEndpoint& endpoint,
                    double gap_s,
                    TimePoint now) -> void {
  // All sequences of a batch receive tokens in the same step; count it once.
  if (now == endpoint.m_last_step_at) {
    return;
  }
  endpoint.m_last_step_at = now;
  const auto reference = ReferenceGap(policy, now);
  const auto slow = reference > 0 && gap_s > kSlowFactor * reference;
  UpdateMean(endpoint.m_token_gap_s, gap_s,
             slow ? kSlowStepWeight : kStepWeight);
  if (reference <= 0) {
    return;
  }
  CountStep(endpoint, slow);
  if (endpoint.m_slow_steps >= kSlowSteps &&
      endpoint.m_state != EndpointState::kEjected) {
    ApplyEndpointEvent(policy, endpoint, EndpointEvent::kSlow, now);
  }
  if (endpoint.m_normal_steps >= kNormalSteps &&
      endpoint.m_state != EndpointState::kServing) {
    endpoint.m_token_gap_s = reference;
    ApplyEndpointEvent(policy, endpoint, EndpointEvent::kRecovered, now);
  }
}

auto RecordFirstToken(ScheduledEndpoint& endpoint,
                      const ScheduledAttempt& attempt,
                      Duration took) -> void {
  const auto prompt =
      std::max<std::int64_t>(64, attempt.m_uncached + attempt.m_ahead);
  UpdateMean(endpoint.m_prefill_s,
             ToSeconds(took) / static_cast<double>(prompt), kFirstTokenWeight);
}

auto ApplyEndpointEvent(PoolPolicy& policy,
                        ScheduledEndpoint& endpoint,
                        EndpointEvent event,
                        TimePoint now) -> void {
  const auto& state_machine = policy.m_options.m_endpoint_chart;
  if (!policy.m_options.m_ejection || state_machine == nullptr) {
    return;
  }
  const auto* step = state_machine->Find(endpoint.m_state, event);
  if (step == nullptr || (step->m_to == EndpointState::kEjected &&
                          !MayEject(policy, endpoint, event))) {
    return;
  }
  endpoint.m_state = step->m_to;
  endpoint.m_direct_probe = false;
  if (step->m_to == EndpointState::kProbing) {
    policy.m_probing.insert(endpoint.m_config.m_id);
  } else {
    policy.m_probing.erase(endpoint.m_config.m_id);
  }
  endpoint.m_slow_steps = 0;
  endpoint.m_normal_steps = 0;
  for (const auto action : step->m_actions) {
    DoAction(policy, endpoint, action, now);
  }
  UpdateFree(policy, endpoint);
}

auto StartProbes(PoolPolicy& policy, TimePoint now) -> void {
  while (!policy.m_probe_timers.empty() &&
         policy.m_probe_timers.begin()->first <= now) {
    const auto id = policy.m_probe_timers.begin()->second;
    policy.m_probe_timers.erase(policy.m_probe_timers.begin());
    const auto found = policy.m_endpoints.find(id);
    if (found != policy.m_endpoints.end()) {
      StartProbe(policy, found->second, now);
    }
  }
}

auto MoveWarmCallsToSharedQueue(PoolPolicy& policy, ScheduledEndpoint& endpoint)
    -> void {
  std::vector<RequestId> waiting;
  for (const auto& half : {endpoint.m_warm.m_short, endpoint.m_warm.m_long}) {
    for (const auto& [key, request] : half) {
      waiting.push_back(request);
    }
  }
  for (const auto& request : waiting) {
    MoveToSharedQueue(policy, policy.m_calls.at(request));
  }
}

}  // namespace dotterelshed::pvt
