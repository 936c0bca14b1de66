#include <algorithm>

#include "policy/policy_ejection.h"
#include "policy/policy_endpoint.h"
#include "policy/policy_hedging.h"
#include "policy/policy_order.h"
#include "policy/policy_quarantine.h"
#include "policy/policy_retention.h"

namespace dotterelshed {

namespace pvt {

namespace {

/// A queued call and the endpoint on which it can start, or null.
struct Candidate {
  QueueKey m_key;
  RequestId m_request;
  ScheduledEndpoint* m_endpoint = nullptr;
};

auto Consider(Candidate& best,
              const QueueKey& key,
              const RequestId& request,
              ScheduledEndpoint* endpoint) -> void {
  if (endpoint != nullptr && (best.m_endpoint == nullptr || key < best.m_key)) {
    best = {key, request, endpoint};
  }
}

/// Considers the first calls of warm queues whose endpoint has a free slot.
auto ConsiderWarmQueues(PoolPolicy& policy, Candidate& best) -> void {
  for (const auto& id : policy.m_warm_waiting) {
    auto& endpoint = policy.m_endpoints.at(id);
    if (!endpoint.m_isolated.empty()) {
      continue;
    }
    const auto& warm = endpoint.m_warm;
    if (!warm.m_short.empty() && HasSlot(policy, endpoint, false)) {
      Consider(best, warm.m_short.begin()->first, warm.m_short.begin()->second,
               &endpoint);
    }
    if (!warm.m_long.empty() && HasSlot(policy, endpoint, true)) {
      Consider(best, warm.m_long.begin()->first, warm.m_long.begin()->second,
               &endpoint);
    }
  }
}

/// Endpoint on which the call is already running; empty for none.
auto RunsOn(const PoolPolicy& policy, const ScheduledCall& call) -> EndpointId {
  return call.m_attempts.empty()
             ? EndpointId()
             : policy.m_attempts.at(*call.m_attempts.begin()).m_endpoint;
}

/// Considers the first calls of the shared queues that sort before @p best.
auto ConsiderSharedQueues(PoolPolicy& policy, Candidate& best) -> void {
  if (policy.m_free.empty()) {
    return;
  }
  for (const auto& [model, queue] : policy.m_shared_queues) {
    for (const auto* half : {&queue.m_short, &queue.m_long}) {
      if (half->empty() ||
          (best.m_endpoint != nullptr && best.m_key < half->begin()->first)) {
        continue;
      }
      const auto& [key, request] = *half->begin();
      const auto& call = policy.m_calls.at(request);
      Consider(best, key, request,
               FindFreeEndpoint(policy, call, RunsOn(policy, call)));
    }
  }
}

auto MakeAttemptId(PoolPolicy& policy, const RequestId& request) -> AttemptId {
  return AttemptId(request.value() + "." +
                   std::to_string(policy.m_options.m_seed % 100000) + "." +
                   std::to_string(policy.m_next_attempt++));
}

auto StartAttempt(PoolPolicy& policy,
                  ScheduledCall& call,
                  ScheduledEndpoint& endpoint,
                  bool hedge,
                  TimePoint now) -> Dispatched {
  const auto id = MakeAttemptId(policy, call.m_call.m_request);
  const auto uncached = UncachedTokens(policy, endpoint, call);
  const auto ahead = PendingAhead(endpoint, call.m_long);
  Dispatched out{.m_attempt = id,
                 .m_request = call.m_call.m_request,
                 .m_endpoint = endpoint.m_config.m_id,
                 .m_hedge = hedge,
                 .m_priority = call.m_level};
  out.m_hold = ChooseHold(policy, endpoint, call);
  if (!hedge) {
    out.m_release = ReleaseForStart(policy, endpoint, call);
  }
  const auto memory =
      call.m_call.m_prompt_tokens.value() + call.m_call.m_max_tokens.value();
  policy.m_attempts[id] = {
      .m_request = call.m_call.m_request,
      .m_endpoint = endpoint.m_config.m_id,
      .m_started = now,
      .m_last_progress = now,
      .m_uncached = uncached,
      .m_ahead = ahead,
      .m_expected_first_token = FromSeconds(
          static_cast<double>(uncached + ahead) * endpoint.m_prefill_s),
      .m_memory = memory,
      .m_long = call.m_long,
      .m_hedge = hedge,
      .m_hold = out.m_hold};
  call.m_attempts.insert(id);
  ++call.m_tries;
  endpoint.m_running.insert(id);
  endpoint.m_running_long += call.m_long ? 1 : 0;
  AddPending(endpoint, call.m_long, uncached);
  endpoint.m_running_memory += memory;
  ArmAttemptTimer(policy, id, now);
  UpdateFree(policy, endpoint);
  return out;
}

auto StartQueued(PoolPolicy& policy,
                 const RequestId& request,
                 ScheduledEndpoint& endpoint,
                 TimePoint now) -> Dispatched {
  auto& call = policy.m_calls.at(request);
  Dequeue(policy, call);
  policy.m_deadlines.erase({call.m_call.m_deadline, request});
  const auto second = !call.m_attempts.empty();
  return StartAttempt(policy, call, endpoint, second, now);
}

/// Returns a probing endpoint that can run a duplicate of the call, or null.
auto FindProbe(PoolPolicy& policy, const ScheduledCall& call)
    -> ScheduledEndpoint* {
  if (!call.m_call.m_repeatable || call.m_long || call.m_hedged ||
      call.m_suspect) {
    return nullptr;
  }
  for (const auto& id : policy.m_probing) {
    auto& endpoint = policy.m_endpoints.at(id);
    const auto usable = endpoint.m_configured && !endpoint.m_leaving &&
                        endpoint.m_isolated.empty();
    if (usable && endpoint.m_running.empty()) {
      return &endpoint;
    }
  }
  return nullptr;
}

/// Starts a duplicate of a call that has just started on a probing endpoint.
/// This costs compute, but the call does not wait for the probe.
auto StartDuplicateProbe(PoolPolicy& policy,
                         const RequestId& request,
                         TimePoint now,
                         std::vector<Dispatched>& out) -> void {
  auto& call = policy.m_calls.at(request);
  auto* endpoint = FindProbe(policy, call);
  if (endpoint != nullptr && policy.m_options.m_hedging &&
      SpendRetryBudget(policy)) {
    call.m_hedged = true;
    out.push_back(StartAttempt(policy, call, *endpoint, true, now));
  }
}

auto StartWaiting(PoolPolicy& policy,
                  TimePoint now,
                  std::vector<Dispatched>& out) -> void {
  while (true) {
    Candidate best;
    ConsiderWarmQueues(policy, best);
    ConsiderSharedQueues(policy, best);
    if (best.m_endpoint == nullptr) {
      return;
    }
    out.push_back(StartQueued(policy, best.m_request, *best.m_endpoint, now));
    StartDuplicateProbe(policy, best.m_request, now, out);
  }
}

}  // namespace

}  // namespace pvt

auto Dispatch(PoolPolicy& policy, TimePoint now) -> std::vector<Dispatched> {
  std::vector<Dispatched> out;
  pvt::StartProbes(policy, now);
  for (const auto& hedge : pvt::FindHedges(policy, now)) {
    auto& endpoint = policy.m_endpoints.at(hedge.m_endpoint);
    if (pvt::HasSlot(policy, endpoint, false)) {
      out.push_back(pvt::StartAttempt(
          policy, policy.m_calls.at(hedge.m_request), endpoint, true, now));
    }
  }
  for (const auto& start : pvt::FindIsolatedStarts(policy)) {
    out.push_back(pvt::StartQueued(
        policy, start.m_request, policy.m_endpoints.at(start.m_endpoint), now));
  }
  pvt::MoveOverdueWarmCalls(policy, now);
  pvt::StartWaiting(policy, now, out);
  return out;
}

auto NextDeadline(const PoolPolicy& policy) -> std::optional<TimePoint> {
  std::optional<TimePoint> next;
  const auto consider = [&next](const auto& timers) {
    if (!timers.empty()) {
      const auto at = timers.begin()->first;
      next = next ? std::min(*next, at) : at;
    }
  };
  consider(policy.m_deadlines);
  consider(policy.m_warm_timers);
  consider(policy.m_attempt_timers);
  consider(policy.m_probe_timers);
  return next;
}

}  // namespace dotterelshed
