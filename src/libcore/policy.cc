#include "dotterelshed/policy.h"

#include <algorithm>
#include <nlohmann/json.hpp>

#include "policy_state.h"

namespace dotterelshed {

namespace {

constexpr int kMaxTries = 3;

auto FindEndpoint(PoolPolicy& policy) -> pvt::PolicyEndpoint* {
  pvt::PolicyEndpoint* best = nullptr;
  for (auto& [id, endpoint] : policy.m_endpoints) {
    const auto running = endpoint.m_running.size();
    const auto limit =
        static_cast<std::size_t>(endpoint.m_config.m_max_concurrency);
    if (!endpoint.m_configured || endpoint.m_leaving || running >= limit) {
      continue;
    }
    if (best == nullptr || running < best->m_running.size()) {
      best = &endpoint;
    }
  }
  return best;
}

auto Start(PoolPolicy& policy,
           const RequestId& request,
           pvt::PolicyEndpoint& endpoint) -> Dispatched {
  const AttemptId attempt(request.value() + "." +
                          std::to_string(policy.m_next_attempt++));
  auto& call = policy.m_calls.at(request);
  call.m_attempts.insert(attempt);
  ++call.m_tries;
  endpoint.m_running.insert(attempt);
  policy.m_attempts[attempt] = {.m_request = request,
                                .m_endpoint = endpoint.m_config.m_id};
  return {.m_attempt = attempt,
          .m_request = request,
          .m_endpoint = endpoint.m_config.m_id};
}

auto MayRetry(const pvt::PolicyCallState& call, AttemptEnd end) -> bool {
  if (call.m_tries >= kMaxTries) {
    return false;
  }
  return CannotHaveRun(end) ||
         (end == AttemptEnd::kLost && call.m_call.m_repeatable);
}

}  // namespace

auto MakePoolPolicy(const PolicyOptions& options)
    -> std::shared_ptr<PoolPolicy> {
  auto policy = std::make_shared<PoolPolicy>();
  policy->m_options = options;
  return policy;
}

auto SetPoolConfig(PoolPolicy& policy,
                   const DeskConfig& /*config*/,
                   const std::vector<EndpointConfig>& endpoints,
                   TimePoint /*now*/) -> void {
  for (auto& [id, endpoint] : policy.m_endpoints) {
    endpoint.m_configured = false;
  }
  for (const auto& config : endpoints) {
    auto& endpoint = policy.m_endpoints[config.m_id];
    endpoint.m_config = config;
    endpoint.m_configured = true;
  }
}

auto Admit(PoolPolicy& policy, const PolicyCall& call, TimePoint /*now*/)
    -> std::optional<Refusal> {
  if (policy.m_quarantined.contains(call.m_content)) {
    return Refusal{.m_reason = ReasonCode::kQuarantined};
  }
  if (policy.m_queue.size() >=
      static_cast<std::size_t>(policy.m_options.m_max_queued)) {
    return Refusal{.m_reason = ReasonCode::kOverLimit,
                   .m_retry_after = std::chrono::seconds(1)};
  }
  policy.m_calls[call.m_request].m_call = call;
  policy.m_queue.push_back(call.m_request);
  return std::nullopt;
}

auto Dispatch(PoolPolicy& policy, TimePoint /*now*/)
    -> std::vector<Dispatched> {
  std::vector<Dispatched> started;
  while (!policy.m_queue.empty()) {
    auto* endpoint = FindEndpoint(policy);
    if (endpoint == nullptr) {
      break;
    }
    const auto request = policy.m_queue.front();
    policy.m_queue.pop_front();
    started.push_back(Start(policy, request, *endpoint));
  }
  return started;
}

auto Progress(PoolPolicy& /*policy*/,
              const AttemptId& /*attempt*/,
              Tokens /*generated*/,
              TimePoint /*now*/) -> void {}

auto Finish(PoolPolicy& policy,
            const AttemptId& attempt,
            const AttemptResult& result,
            TimePoint /*now*/) -> FinishVerdict {
  const auto found = policy.m_attempts.find(attempt);
  if (found == policy.m_attempts.end()) {
    return {.m_kind = FinishVerdict::Kind::kIgnore};
  }
  const auto running = found->second;
  policy.m_attempts.erase(found);
  policy.m_endpoints[running.m_endpoint].m_running.erase(attempt);
  auto& call = policy.m_calls.at(running.m_request);
  call.m_attempts.erase(attempt);
  if (MayRetry(call, result.m_end)) {
    policy.m_queue.push_back(running.m_request);
    return {.m_kind = FinishVerdict::Kind::kRetry};
  }
  policy.m_calls.erase(running.m_request);
  return {};
}

auto Cancel(PoolPolicy& policy, const RequestId& request, TimePoint /*now*/)
    -> std::vector<AttemptId> {
  const auto found = policy.m_calls.find(request);
  if (found == policy.m_calls.end()) {
    return {};
  }
  std::vector<AttemptId> running(found->second.m_attempts.begin(),
                                 found->second.m_attempts.end());
  for (const auto& attempt : running) {
    const auto& endpoint = policy.m_attempts.at(attempt).m_endpoint;
    policy.m_endpoints[endpoint].m_running.erase(attempt);
    policy.m_attempts.erase(attempt);
  }
  std::erase(policy.m_queue, request);
  policy.m_calls.erase(found);
  return running;
}

auto Expire(PoolPolicy& policy, TimePoint now) -> std::vector<RequestId> {
  std::vector<RequestId> expired;
  for (const auto& request : policy.m_queue) {
    const auto& call = policy.m_calls.at(request);
    if (call.m_tries == 0 && call.m_call.m_deadline <= now) {
      expired.push_back(request);
    }
  }
  for (const auto& request : expired) {
    std::erase(policy.m_queue, request);
    policy.m_calls.erase(request);
  }
  return expired;
}

auto NoteLoad(PoolPolicy& policy, const LoadReport& report, TimePoint now)
    -> void {
  if (report.m_leaving) {
    NoteLeaving(policy, report.m_endpoint, now);
  }
}

auto NoteCache(PoolPolicy& /*policy*/,
               const CacheReport& /*report*/,
               TimePoint /*now*/) -> void {}

auto NoteLeaving(PoolPolicy& policy,
                 const EndpointId& endpoint,
                 TimePoint /*now*/) -> void {
  const auto found = policy.m_endpoints.find(endpoint);
  if (found != policy.m_endpoints.end()) {
    found->second.m_leaving = true;
  }
}

auto NoteQuarantined(PoolPolicy& policy, const Digest& content) -> void {
  policy.m_quarantined.insert(content);
}

auto EndProgram(PoolPolicy& /*policy*/, const ProgramId& /*program*/)
    -> std::vector<HoldRecord> {
  return {};
}

auto NextDeadline(const PoolPolicy& policy) -> std::optional<TimePoint> {
  std::optional<TimePoint> next;
  for (const auto& request : policy.m_queue) {
    const auto deadline = policy.m_calls.at(request).m_call.m_deadline;
    next = next ? std::min(*next, deadline) : deadline;
  }
  return next;
}

auto Headroom(const PoolPolicy& policy) -> int {
  auto free = 0;
  for (const auto& [id, endpoint] : policy.m_endpoints) {
    if (endpoint.m_configured && !endpoint.m_leaving) {
      free += endpoint.m_config.m_max_concurrency -
              static_cast<int>(endpoint.m_running.size());
    }
  }
  return std::max(0, free - static_cast<int>(policy.m_queue.size()));
}

auto DumpPolicy(const PoolPolicy& policy, TimePoint /*now*/) -> std::string {
  nlohmann::ordered_json out;
  out["queued"] = policy.m_queue.size();
  out["running"] = policy.m_attempts.size();
  out["headroom"] = Headroom(policy);
  for (const auto& [id, endpoint] : policy.m_endpoints) {
    out["endpoints"][id.value()] = {{"running", endpoint.m_running.size()},
                                    {"leaving", endpoint.m_leaving}};
  }
  return out.dump();
}

}  // namespace dotterelshed
