#include "policy/policy_hedging.h"

#include <algorithm>

#include "policy/policy_ejection.h"
#include "policy/policy_endpoint.h"
#include "policy/policy_order.h"

namespace dotterelshed::pvt {

namespace {

/// Initial value and upper limit of the retry budget, in attempts.
constexpr double kBudgetReserve = 32;
/// A first token is overdue after its expected time times this factor plus
/// this slack.
constexpr int kFirstTokenFactor = 3;
constexpr Duration kFirstTokenSlack = std::chrono::milliseconds(300);
/// An answer has stalled after this many median times between tokens.
constexpr double kStallGaps = 10;
constexpr Duration kMinStallTimeout = std::chrono::milliseconds(250);
/// A second attempt must be expected to take at most this share of the first
/// attempt's remaining time.
constexpr double kMaxHedgeTimeShare = 0.5;
/// Minimum number of tokens that a running answer is expected to have left, as
/// a share of the mean length.
constexpr double kMinRemainingShare = 0.3;

auto StallLimit(PoolPolicy& policy, TimePoint now) -> Duration {
  return std::max(kMinStallTimeout,
                  FromSeconds(kStallGaps * ReferenceGap(policy, now)));
}

/// Time at which the attempt counts as stalled if no token arrives before.
auto StallTime(PoolPolicy& policy,
               const ScheduledAttempt& attempt,
               TimePoint now) -> TimePoint {
  if (attempt.m_first_token) {
    return attempt.m_last_progress + StallLimit(policy, now);
  }
  return attempt.m_started +
         attempt.m_expected_first_token * kFirstTokenFactor + kFirstTokenSlack;
}

/// Expected remaining time of the attempt on its endpoint, in seconds.
auto RemainingTime(PoolPolicy& policy,
                   const ScheduledAttempt& attempt,
                   const ScheduledCall& call,
                   TimePoint now) -> double {
  const auto& endpoint = policy.m_endpoints.at(attempt.m_endpoint);
  const auto mean = ExpectedGenerated(policy, call);
  const auto left =
      std::max(kMinRemainingShare * mean,
               mean - static_cast<double>(attempt.m_generated.value()));
  auto gap = endpoint.m_token_gap_s;
  if (attempt.m_first_token) {
    gap = std::max(gap, ToSeconds(now - attempt.m_last_progress));
    return left * gap;
  }
  return left * gap + ToSeconds(now - attempt.m_started);
}

auto MayHedge(const PoolPolicy& policy,
              const ScheduledCall& call,
              const ScheduledAttempt& attempt) -> bool {
  const auto& endpoint = policy.m_endpoints.at(attempt.m_endpoint);
  const auto out = endpoint.m_state != EndpointState::kServing;
  return policy.m_options.m_hedging && call.m_call.m_repeatable &&
         !call.m_hedged && !call.m_suspect && (!call.m_long || out);
}

/// Returns whether a second attempt that takes @p elsewhere_s seconds is worth
/// its cost; if so, takes it from the retry budget.
auto TryReserveHedge(PoolPolicy& policy,
                     const ScheduledAttempt& attempt,
                     ScheduledCall& call,
                     double elsewhere_s,
                     TimePoint now) -> bool {
  if (elsewhere_s >
          kMaxHedgeTimeShare * RemainingTime(policy, attempt, call, now) ||
      !SpendRetryBudget(policy)) {
    return false;
  }
  call.m_hedged = true;
  return true;
}

/// Returns an endpoint for a second attempt of the call, if it is worth it.
auto FindHedge(PoolPolicy& policy,
               const ScheduledAttempt& attempt,
               TimePoint now) -> std::optional<Hedge> {
  auto& call = policy.m_calls.at(attempt.m_request);
  if (!MayHedge(policy, call, attempt)) {
    return std::nullopt;
  }
  const auto* other = FindFreeEndpoint(policy, call, attempt.m_endpoint);
  if (other == nullptr ||
      !TryReserveHedge(policy, attempt, call,
                       ExpectedCompletion(policy, *other, call), now)) {
    return std::nullopt;
  }
  return Hedge{attempt.m_request, other->m_config.m_id};
}

/// Queues a second attempt of a call that runs on an ejected endpoint. The
/// first attempt to complete decides the call.
auto QueueSecondAttempt(PoolPolicy& policy,
                        const ScheduledAttempt& attempt,
                        TimePoint now) -> void {
  auto& call = policy.m_calls.at(attempt.m_request);
  const auto reference = ReferenceGap(policy, now);
  const auto elsewhere = reference * ExpectedGenerated(policy, call);
  if (MayHedge(policy, call, attempt) &&
      TryReserveHedge(policy, attempt, call, elsewhere, now)) {
    Enqueue(policy, call, now);
  }
}

}  // namespace

auto RetryReserve() -> double {
  return kBudgetReserve;
}

auto EarnRetryBudget(PoolPolicy& policy) -> void {
  policy.m_retry_budget =
      std::min(kBudgetReserve,
               policy.m_retry_budget + policy.m_retry_share_percent / 100.0);
}

auto SpendRetryBudget(PoolPolicy& policy) -> bool {
  if (policy.m_retry_budget < 1) {
    return false;
  }
  policy.m_retry_budget -= 1;
  return true;
}

auto FindHedges(PoolPolicy& policy, TimePoint now) -> std::vector<Hedge> {
  std::vector<Hedge> hedges;
  while (!policy.m_attempt_timers.empty() &&
         policy.m_attempt_timers.begin()->first <= now) {
    const auto id = policy.m_attempt_timers.begin()->second;
    policy.m_attempt_timers.erase(policy.m_attempt_timers.begin());
    auto& attempt = policy.m_attempts.at(id);
    auto& endpoint = policy.m_endpoints.at(attempt.m_endpoint);
    const auto stalled_at = StallTime(policy, attempt, now);
    const auto stalled = stalled_at <= now;
    if (stalled && attempt.m_first_token) {
      RecordTokenGap(policy, endpoint, ToSeconds(now - attempt.m_last_progress),
                     now);
    }
    if (stalled && !attempt.m_first_token &&
        endpoint.m_state == EndpointState::kProbing) {
      ApplyEndpointEvent(policy, endpoint, EndpointEvent::kSlow, now);
    }
    if (endpoint.m_state == EndpointState::kEjected) {
      QueueSecondAttempt(policy, attempt, now);
    } else if (stalled) {
      const auto hedge = FindHedge(policy, attempt, now);
      if (hedge) {
        hedges.push_back(*hedge);
      }
    }
    policy.m_attempt_timers.erase({attempt.m_check_at, id});
    attempt.m_check_at = std::max(stalled_at, now + kMinStallTimeout);
    policy.m_attempt_timers.emplace(attempt.m_check_at, id);
  }
  return hedges;
}

auto ArmAttemptTimer(PoolPolicy& policy, const AttemptId& id, TimePoint now)
    -> void {
  auto& attempt = policy.m_attempts.at(id);
  attempt.m_check_at = StallTime(policy, attempt, now);
  policy.m_attempt_timers.emplace(attempt.m_check_at, id);
}

}  // namespace dotterelshed::pvt
