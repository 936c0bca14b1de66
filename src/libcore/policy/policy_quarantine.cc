#include "policy/policy_quarantine.h"

#include <algorithm>

#include "policy/policy_endpoint.h"

namespace dotterelshed::pvt {

namespace {

/// Number of crashed endpoints from which content is quarantined.
constexpr std::size_t kCrashesToQuarantine = 2;
/// Endpoints lost within kCrashWindow from which the crashes are attributed to
/// the machines.
constexpr int kMachineFailureCrashes = 3;
constexpr Duration kCrashWindow = std::chrono::seconds(2);
/// One endpoint in this many may be reserved for suspects, at least one.
constexpr int kIsolationDivisor = 5;

auto RecentCrashes(const PoolPolicy& policy, TimePoint now) -> int {
  return static_cast<int>(std::count_if(
      policy.m_crashes.begin(), policy.m_crashes.end(),
      [now](const auto& crash) { return now - crash.second <= kCrashWindow; }));
}

/// Removes the oldest suspects beyond the limit.
auto TrimSuspects(PoolPolicy& policy) -> void {
  const auto max_suspects =
      static_cast<std::size_t>(policy.m_options.m_max_quarantined);
  while (policy.m_suspect_order.size() > max_suspects) {
    policy.m_suspects.erase(policy.m_suspect_order.front());
    policy.m_suspect_order.pop_front();
  }
}

auto AddSuspect(PoolPolicy& policy,
                const Digest& content,
                const EndpointId& endpoint) -> std::size_t {
  const auto [entry, added] = policy.m_suspects.try_emplace(content);
  entry->second.insert(endpoint);
  const auto crashes = entry->second.size();
  if (added) {
    policy.m_suspect_order.push_back(content);
    TrimSuspects(policy);
  }
  return crashes;
}

auto ReservedEndpoints(const PoolPolicy& policy) -> int {
  return static_cast<int>(std::count_if(
      policy.m_endpoints.begin(), policy.m_endpoints.end(),
      [](const auto& entry) { return !entry.second.m_isolated.empty(); }));
}

/// Returns the endpoint with the fewest running attempts. One that the content
/// crashed before is chosen only if there is no other.
auto FindIsolationEndpoint(PoolPolicy& policy, const ScheduledCall& call)
    -> ScheduledEndpoint* {
  const auto crashed = policy.m_suspects.find(call.m_call.m_content);
  ScheduledEndpoint* best = nullptr;
  auto best_cost = std::size_t{0};
  for (auto& [id, endpoint] : policy.m_endpoints) {
    if (!endpoint.m_isolated.empty() || !AcceptsCall(endpoint, call)) {
      continue;
    }
    const auto again =
        crashed != policy.m_suspects.end() && crashed->second.contains(id);
    const auto cost = endpoint.m_running.size() + (again ? 100000 : 0);
    if (best == nullptr || cost < best_cost) {
      best = &endpoint;
      best_cost = cost;
    }
  }
  return best;
}

/// Cancels reservations on endpoints that no longer accept the suspect.
auto CancelUnusableReservations(PoolPolicy& policy) -> void {
  for (auto& [id, endpoint] : policy.m_endpoints) {
    if (endpoint.m_isolated.empty()) {
      continue;
    }
    const auto& call = policy.m_calls.at(endpoint.m_isolated);
    if (call.m_placement == CallPlacement::kIsolation &&
        !AcceptsCall(endpoint, call)) {
      endpoint.m_isolated = RequestId();
      UpdateFree(policy, endpoint);
    }
  }
}

/// Contents of the calls for which endpoints are reserved.
auto IsolatedContents(const PoolPolicy& policy) -> std::set<Digest> {
  std::set<Digest> out;
  for (const auto& [id, endpoint] : policy.m_endpoints) {
    if (!endpoint.m_isolated.empty()) {
      out.insert(policy.m_calls.at(endpoint.m_isolated).m_call.m_content);
    }
  }
  return out;
}

/// Makes the next Expire drop the calls with this content that wait for
/// isolation.
auto ExpireWaiting(PoolPolicy& policy, const Digest& content) -> void {
  for (const auto& request : policy.m_isolation) {
    auto& call = policy.m_calls.at(request).m_call;
    if (call.m_content == content) {
      policy.m_deadlines.erase({call.m_deadline, request});
      call.m_deadline = TimePoint{};
      policy.m_deadlines.emplace(call.m_deadline, request);
    }
  }
}

auto ReserveForSuspects(PoolPolicy& policy) -> void {
  const auto max_reserved = std::max<int>(
      1, static_cast<int>(policy.m_endpoints.size()) / kIsolationDivisor);
  auto reserved = ReservedEndpoints(policy);
  auto contents = IsolatedContents(policy);
  for (const auto& request : policy.m_isolation) {
    if (reserved >= max_reserved) {
      return;
    }
    const auto& call = policy.m_calls.at(request);
    if (policy.m_quarantined.contains(call.m_call.m_content) ||
        contents.contains(call.m_call.m_content)) {
      continue;
    }
    auto* endpoint = FindIsolationEndpoint(policy, call);
    if (endpoint != nullptr) {
      endpoint->m_isolated = request;
      contents.insert(call.m_call.m_content);
      ++reserved;
    }
  }
}

}  // namespace

auto RecordCrash(PoolPolicy& policy,
                 ScheduledCall& call,
                 const EndpointId& endpoint,
                 TimePoint now) -> bool {
  policy.m_crashes[endpoint] = now;
  if (RecentCrashes(policy, now) >= kMachineFailureCrashes) {
    return false;
  }
  call.m_suspect = true;
  return AddSuspect(policy, call.m_call.m_content, endpoint) >=
         kCrashesToQuarantine;
}

auto ClearSuspect(PoolPolicy& policy, ScheduledCall& call) -> void {
  if (call.m_suspect) {
    call.m_suspect = false;
    policy.m_suspects.erase(call.m_call.m_content);
    std::erase(policy.m_suspect_order, call.m_call.m_content);
  }
}

auto IsSuspect(const PoolPolicy& policy, const Digest& content) -> bool {
  return policy.m_suspects.contains(content);
}

auto AddQuarantined(PoolPolicy& policy, const Digest& content) -> void {
  if (!policy.m_quarantined.insert(content).second) {
    return;
  }
  ExpireWaiting(policy, content);
  policy.m_quarantine_order.push_back(content);
  const auto max_quarantined =
      static_cast<std::size_t>(policy.m_options.m_max_quarantined);
  while (policy.m_quarantine_order.size() > max_quarantined) {
    policy.m_quarantined.erase(policy.m_quarantine_order.front());
    policy.m_quarantine_order.pop_front();
  }
}

auto FindIsolatedStarts(PoolPolicy& policy) -> std::vector<IsolatedStart> {
  std::vector<IsolatedStart> out;
  if (policy.m_isolation.empty()) {
    return out;
  }
  CancelUnusableReservations(policy);
  ReserveForSuspects(policy);
  for (const auto& [id, endpoint] : policy.m_endpoints) {
    if (endpoint.m_isolated.empty() || !endpoint.m_running.empty()) {
      continue;
    }
    const auto& call = policy.m_calls.at(endpoint.m_isolated);
    if (call.m_placement == CallPlacement::kIsolation &&
        AcceptsCall(endpoint, call)) {
      out.push_back({endpoint.m_isolated, id});
    }
  }
  return out;
}

auto EndIsolation(PoolPolicy& policy, const RequestId& request) -> void {
  for (auto& [id, endpoint] : policy.m_endpoints) {
    if (endpoint.m_isolated == request) {
      endpoint.m_isolated = RequestId();
      UpdateFree(policy, endpoint);
    }
  }
}

}  // namespace dotterelshed::pvt
