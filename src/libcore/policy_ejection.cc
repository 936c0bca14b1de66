#include "policy_ejection.h"

#include <algorithm>

#include "policy_endpoint.h"
#include "policy_order.h"

namespace dotterelshed::pvt {

namespace {

/// A step is slow beyond this factor on the pool's typical one.
constexpr double kSlowFactor = 3;
/// Slow steps in a row before an endpoint is ejected.
constexpr int kSlowSteps = 2;
/// Good steps in a row after which it is well again.
constexpr int kNormalSteps = 4;
/// Weights of a new step in the mean.
constexpr double kSlowStepWeight = 0.5;
constexpr double kStepWeight = 0.05;
constexpr double kFirstTokenWeight = 0.1;
/// One endpoint in this many may be out at once.
constexpr int kMaxEjectedDivisor = 3;
constexpr Duration kFirstProbeWait = std::chrono::milliseconds(1000);
/// Time to wait for a call whose duplicate can serve as probe.
constexpr Duration kDirectProbeWait = std::chrono::seconds(5);
constexpr int kMaxProbeDoublings = 4;
constexpr Duration kReferenceInterval = std::chrono::milliseconds(100);

auto UpdateMean(double& rate, double sample, double weight) -> void {
  rate = rate <= 0 ? sample : rate + weight * (sample - rate);
}

/// Slow and failing endpoints are better than too few. One that refuses
/// connections is no use, so of those all but one may be out.
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

/// Spreads probes by a fraction that depends on seed and endpoint.
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

/// Has all attempts on the endpoint looked at for hedging at once.
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

/// Counts slow or good steps in a row.
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

/// What still runs on the endpoint tells of it at no cost. Otherwise it is
/// probed with a duplicate of some call, and if none comes, with a call that
/// runs nowhere else.
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
  // All sequences of a batch get their tokens in the same step.
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
  const auto& chart = policy.m_options.m_endpoint_chart;
  if (!policy.m_options.m_ejection || chart == nullptr) {
    return;
  }
  const auto* step = chart->Find(endpoint.m_state, event);
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
