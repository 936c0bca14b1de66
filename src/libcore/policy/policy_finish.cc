#include <algorithm>

#include "policy/policy_admission.h"
#include "policy/policy_ejection.h"
#include "policy/policy_endpoint.h"
#include "policy/policy_hedging.h"
#include "policy/policy_order.h"
#include "policy/policy_quarantine.h"
#include "policy/policy_retention.h"

namespace dotterelshed {

namespace pvt {

namespace {

/// Maximum attempts of one call, not counting those that did not run.
constexpr int kMaxTries = 4;
/// Maximum attempts of one call that did not run; these cost only time.
constexpr int kMaxRefusedTries = 16;
/// Weight of a new call in the moving averages of its class.
constexpr double kStatsWeight = 0.02;

auto UpdateMean(double& mean, double sample) -> void {
  mean += kStatsWeight * (sample - mean);
}

/// Removes an attempt and its load from its endpoint.
auto RemoveAttempt(PoolPolicy& policy, const AttemptId& id)
    -> ScheduledAttempt {
  auto attempt = policy.m_attempts.at(id);
  policy.m_attempts.erase(id);
  policy.m_attempt_timers.erase({attempt.m_check_at, id});
  auto& endpoint = policy.m_endpoints.at(attempt.m_endpoint);
  endpoint.m_running.erase(id);
  endpoint.m_running_long -= attempt.m_long ? 1 : 0;
  endpoint.m_running_memory -= attempt.m_memory;
  if (!attempt.m_first_token) {
    AddPending(endpoint, attempt.m_long, -attempt.m_uncached);
  }
  UpdateFree(policy, endpoint);
  return attempt;
}

/// Removes and returns the running attempts of a call, to be cancelled.
auto StopAttempts(PoolPolicy& policy, ScheduledCall& call)
    -> std::vector<AttemptId> {
  std::vector<AttemptId> stopped(call.m_attempts.begin(),
                                 call.m_attempts.end());
  for (const auto& id : stopped) {
    RemoveAttempt(policy, id);
  }
  call.m_attempts.clear();
  return stopped;
}

/// Removes a finished call from all queues and indexes.
auto ForgetCall(PoolPolicy& policy, const RequestId& request, TimePoint now)
    -> void {
  auto& call = policy.m_calls.at(request);
  if (call.m_placement != CallPlacement::kRunning) {
    Dequeue(policy, call);
  }
  policy.m_deadlines.erase({call.m_call.m_deadline, request});
  if (call.m_suspect) {
    EndIsolation(policy, request);
  }
  CloseCall(policy, call.m_call.m_program, now);
  policy.m_calls.erase(request);
}

/// Updates averages and attained service from a completed attempt.
auto UpdateStatistics(PoolPolicy& policy,
                      const ScheduledCall& call,
                      const ScheduledAttempt& attempt,
                      const Usage& usage,
                      TimePoint now) -> void {
  const auto generated =
      std::max(usage.m_generated, attempt.m_generated).value();
  const auto run = ToSeconds(now - attempt.m_started);
  auto& stats = policy.m_classes[call.m_call.m_class];
  auto& root = policy.m_roots.at(call.m_call.m_root);
  UpdateMean(stats.m_generated, static_cast<double>(generated));
  UpdateMean(stats.m_run_s, run);
  UpdateMean(policy.m_run_s, run);
  root.m_attained += ServiceOf(attempt.m_uncached, generated);
  if (call.m_call.m_last && call.m_call.m_program == call.m_call.m_root) {
    ++stats.m_programs;
    const auto weight =
        std::max(1.0 / static_cast<double>(stats.m_programs), kStatsWeight);
    stats.m_attained +=
        weight * (static_cast<double>(root.m_attained) - stats.m_attained);
  }
}

auto FinishCompleted(PoolPolicy& policy,
                     ScheduledCall& call,
                     const ScheduledAttempt& attempt,
                     const AttemptResult& result,
                     TimePoint now) -> FinishVerdict {
  FinishVerdict verdict{.m_cancel = StopAttempts(policy, call)};
  auto& endpoint = policy.m_endpoints.at(attempt.m_endpoint);
  UpdateStatistics(policy, call, attempt, result.m_usage, now);
  if (!attempt.m_first_token && endpoint.m_state == EndpointState::kProbing) {
    ApplyEndpointEvent(policy, endpoint, EndpointEvent::kRecovered, now);
  }
  const auto generated =
      std::max(result.m_usage.m_generated, attempt.m_generated);
  KeepPrefix(policy, endpoint, call, attempt.m_hold,
             call.m_call.m_prompt_tokens + generated, now);
  if (call.m_suspect) {
    EndIsolation(policy, call.m_call.m_request);
    ClearSuspect(policy, call);
  }
  ForgetCall(policy, RequestId(call.m_call.m_request), now);
  return verdict;
}

auto MayRetry(const ScheduledCall& call, AttemptEnd end, TimePoint now)
    -> bool {
  const auto repeats = end == AttemptEnd::kLost ||
                       end == AttemptEnd::kErrored ||
                       end == AttemptEnd::kTimedOut;
  const auto ran = call.m_tries - call.m_refused_tries;
  const auto tries_left =
      ran < kMaxTries && call.m_refused_tries < kMaxRefusedTries;
  return call.m_call.m_repeatable && tries_left &&
         call.m_call.m_deadline > now && (repeats || CannotHaveRun(end));
}

/// Derives an endpoint event from the end of an attempt.
auto UpdateEndpointHealth(PoolPolicy& policy,
                          ScheduledEndpoint& endpoint,
                          AttemptEnd end,
                          TimePoint now) -> void {
  switch (end) {
    case AttemptEnd::kRefused:
      ApplyEndpointEvent(policy, endpoint, EndpointEvent::kUnreachable, now);
      break;
    case AttemptEnd::kLost:
    case AttemptEnd::kTimedOut:
    case AttemptEnd::kErrored:
      ApplyEndpointEvent(policy, endpoint, EndpointEvent::kFailed, now);
      break;
    case AttemptEnd::kLeaving:
      MarkEndpointLeaving(policy, endpoint.m_config.m_id, now);
      break;
    case AttemptEnd::kFenced:
    case AttemptEnd::kCompleted:
    case AttemptEnd::kRejected:
    case AttemptEnd::kCancelled:
      break;
  }
}

auto Quarantine(PoolPolicy& policy, ScheduledCall& call, TimePoint now)
    -> FinishVerdict {
  FinishVerdict verdict{.m_kind = FinishVerdict::Kind::kQuarantine,
                        .m_cancel = StopAttempts(policy, call),
                        .m_quarantined = call.m_call.m_content};
  AddQuarantined(policy, call.m_call.m_content);
  ForgetCall(policy, RequestId(call.m_call.m_request), now);
  return verdict;
}

auto FinishFailed(PoolPolicy& policy,
                  ScheduledCall& call,
                  const ScheduledAttempt& attempt,
                  AttemptEnd end,
                  TimePoint now) -> FinishVerdict {
  auto& endpoint = policy.m_endpoints.at(attempt.m_endpoint);
  UpdateEndpointHealth(policy, endpoint, end, now);
  call.m_refused_tries += CannotHaveRun(end) ? 1 : 0;
  if (call.m_suspect) {
    EndIsolation(policy, call.m_call.m_request);
  }
  const auto* prefix = FindPrefix(policy, call.m_call.m_program);
  if (end == AttemptEnd::kLost && prefix != nullptr &&
      prefix->m_endpoint == attempt.m_endpoint) {
    DropPrefix(policy, call.m_call.m_program);
  }
  if (end == AttemptEnd::kLost &&
      RecordCrash(policy, call, attempt.m_endpoint, now)) {
    return Quarantine(policy, call, now);
  }
  if (!call.m_attempts.empty()) {
    return {.m_kind = FinishVerdict::Kind::kIgnore};
  }
  if (call.m_placement != CallPlacement::kRunning) {
    // The second attempt is already queued. Queue it anew, since a call that
    // has become a suspect must run in isolation.
    Dequeue(policy, call);
    Enqueue(policy, call, now);
    return {.m_kind = FinishVerdict::Kind::kRetry};
  }
  if (MayRetry(call, end, now) && SpendRetryBudget(policy)) {
    Enqueue(policy, call, now);
    return {.m_kind = FinishVerdict::Kind::kRetry};
  }
  ForgetCall(policy, RequestId(call.m_call.m_request), now);
  return {};
}

}  // namespace

}  // namespace pvt

auto Progress(PoolPolicy& policy,
              const AttemptId& id,
              Tokens generated,
              TimePoint now) -> void {
  const auto found = policy.m_attempts.find(id);
  if (found == policy.m_attempts.end() ||
      generated <= found->second.m_generated) {
    return;
  }
  auto& attempt = found->second;
  auto& endpoint = policy.m_endpoints.at(attempt.m_endpoint);
  if (attempt.m_first_token) {
    const auto tokens =
        static_cast<double>((generated - attempt.m_generated).value());
    pvt::RecordTokenGap(policy, endpoint,
                        ToSeconds(now - attempt.m_last_progress) / tokens, now);
  } else {
    const auto took = now - attempt.m_started;
    attempt.m_first_token = now;
    AddPending(endpoint, attempt.m_long, -attempt.m_uncached);
    pvt::RecordFirstToken(endpoint, attempt, took);
    pvt::UpdateFree(policy, endpoint);
  }
  attempt.m_last_progress = now;
  attempt.m_generated = generated;
}

auto Finish(PoolPolicy& policy,
            const AttemptId& id,
            const AttemptResult& result,
            TimePoint now) -> FinishVerdict {
  if (!policy.m_attempts.contains(id)) {
    return {.m_kind = FinishVerdict::Kind::kIgnore};
  }
  const auto attempt = pvt::RemoveAttempt(policy, id);
  auto& call = policy.m_calls.at(attempt.m_request);
  call.m_attempts.erase(id);
  if (result.m_end == AttemptEnd::kCompleted) {
    return pvt::FinishCompleted(policy, call, attempt, result, now);
  }
  return pvt::FinishFailed(policy, call, attempt, result.m_end, now);
}

auto Cancel(PoolPolicy& policy, const RequestId& request, TimePoint now)
    -> std::vector<AttemptId> {
  const auto found = policy.m_calls.find(request);
  if (found == policy.m_calls.end()) {
    return {};
  }
  auto stopped = pvt::StopAttempts(policy, found->second);
  pvt::ForgetCall(policy, request, now);
  return stopped;
}

auto Expire(PoolPolicy& policy, TimePoint now) -> std::vector<RequestId> {
  std::vector<RequestId> expired;
  while (!policy.m_deadlines.empty() &&
         policy.m_deadlines.begin()->first <= now) {
    const auto request = policy.m_deadlines.begin()->second;
    pvt::ForgetCall(policy, request, now);
    expired.push_back(request);
  }
  return expired;
}

}  // namespace dotterelshed
