#include "policy/policy_order.h"

#include <algorithm>
#include <array>

#include "policy/policy_endpoint.h"

namespace dotterelshed::pvt {

namespace {

/// Exclusive upper bounds of the levels, in generated tokens.
constexpr std::array<std::int64_t, kLevelCount - 1> kLevelTokens{512, 2048,
                                                                 8192, 32768};
/// Rank penalty by level, for classes of weight 1.
constexpr std::array<Duration, kLevelCount> kLevelPenalty{
    std::chrono::milliseconds(500), std::chrono::seconds(2),
    std::chrono::seconds(8), std::chrono::seconds(32),
    std::chrono::seconds(128)};
/// Level from which a program counts as long.
constexpr int kLongLevel = 2;
/// Prompt tokens that cost as much as one generated token.
constexpr std::int64_t kPromptTokensPerGenerated = 8;
/// Finished programs of a class from which its average is used.
constexpr std::int64_t kEnoughPrograms = 5;
/// Limit on the age of a short program that reduces the rank of its calls.
constexpr Duration kMaxAgeCredit = std::chrono::seconds(30);
/// Rank reduction of a program's last call if its prefix is cached.
constexpr Duration kLastCallCredit = std::chrono::milliseconds(500);
/// Minimum time that a call waits in a warm queue before it may leave it.
constexpr Duration kMinWarmWait = std::chrono::milliseconds(500);
/// Additional wait, as a multiple of the time to prefill the prefix again.
constexpr double kWarmWaitFactor = 2;

auto QueueOf(PoolPolicy& policy, const ScheduledCall& call) -> CallQueue& {
  if (call.m_placement == CallPlacement::kWarmQueue) {
    return policy.m_endpoints.at(call.m_warm_endpoint).m_warm;
  }
  return policy.m_shared_queues[call.m_call.m_model];
}

auto Insert(CallQueue& queue, const ScheduledCall& call) -> void {
  auto& half = call.m_long ? queue.m_long : queue.m_short;
  half.emplace(call.m_key, call.m_call.m_request);
}

auto Remove(CallQueue& queue, const ScheduledCall& call) -> void {
  auto& half = call.m_long ? queue.m_long : queue.m_short;
  half.erase(call.m_key);
}

/// Returns the endpoint that caches the call's prefix if it accepts the call,
/// or null.
auto FindWarmEndpoint(PoolPolicy& policy, const ScheduledCall& call)
    -> ScheduledEndpoint* {
  const auto* prefix = FindPrefix(policy, call.m_call.m_program);
  if (!policy.m_options.m_warm_queues || prefix == nullptr ||
      call.m_tries > 0) {
    return nullptr;
  }
  const auto found = policy.m_endpoints.find(prefix->m_endpoint);
  if (found == policy.m_endpoints.end() || !AcceptsCall(found->second, call)) {
    return nullptr;
  }
  return &found->second;
}

auto WarmWaitLimit(const PoolPolicy& policy,
                   const ScheduledEndpoint& endpoint,
                   const ScheduledCall& call) -> Duration {
  const auto* prefix = FindPrefix(policy, call.m_call.m_program);
  const auto tokens = static_cast<double>(prefix->m_tokens);
  return kMinWarmWait +
         FromSeconds(kWarmWaitFactor * tokens * endpoint.m_prefill_s);
}

auto ExpectedService(const PoolPolicy& policy, const ScheduledCall& call)
    -> std::int64_t {
  const auto& root = policy.m_roots.at(call.m_call.m_root);
  const auto stats = policy.m_classes.find(call.m_call.m_class);
  if (stats == policy.m_classes.end() ||
      stats->second.m_programs < kEnoughPrograms) {
    return root.m_attained;
  }
  return std::max(root.m_attained,
                  static_cast<std::int64_t>(stats->second.m_attained / 2));
}

auto WeightOf(const PoolPolicy& policy, const ClassId& id) -> int {
  const auto found = policy.m_classes.find(id);
  return found == policy.m_classes.end() ? 1
                                         : std::max(1, found->second.m_weight);
}

}  // namespace

auto LevelOf(std::int64_t attained) -> int {
  const auto end =
      std::upper_bound(kLevelTokens.begin(), kLevelTokens.end(), attained);
  return static_cast<int>(end - kLevelTokens.begin());
}

auto ServiceOf(std::int64_t uncached, std::int64_t generated) -> std::int64_t {
  return generated + uncached / kPromptTokensPerGenerated;
}

auto RankCall(PoolPolicy& policy, ScheduledCall& call) -> void {
  const auto sequence = policy.m_next_sequence++;
  call.m_key = {.m_rank = call.m_admitted, .m_sequence = sequence};
  if (!policy.m_options.m_attained_service_order) {
    return;
  }
  call.m_level = LevelOf(ExpectedService(policy, call));
  call.m_long = policy.m_options.m_short_share && call.m_level >= kLongLevel;
  const auto penalty = kLevelPenalty.at(static_cast<std::size_t>(call.m_level));
  call.m_key.m_rank += penalty / WeightOf(policy, call.m_call.m_class);
  if (call.m_level < kLongLevel) {
    const auto age =
        call.m_admitted - policy.m_roots.at(call.m_call.m_root).m_first_seen;
    call.m_key.m_rank -= std::min(age, kMaxAgeCredit);
  }
  if (call.m_call.m_last &&
      FindPrefix(policy, call.m_call.m_program) != nullptr) {
    call.m_key.m_rank -= kLastCallCredit;
  }
}

auto Enqueue(PoolPolicy& policy, ScheduledCall& call, TimePoint now) -> void {
  RankCall(policy, call);
  ++policy.m_queued;
  ++policy.m_queued_by_level.at(static_cast<std::size_t>(call.m_level));
  if (call.m_attempts.empty()) {
    policy.m_deadlines.emplace(call.m_call.m_deadline, call.m_call.m_request);
  }
  if (call.m_suspect) {
    call.m_placement = CallPlacement::kIsolation;
    policy.m_isolation.push_back(call.m_call.m_request);
    return;
  }
  auto* warm = FindWarmEndpoint(policy, call);
  call.m_placement =
      warm == nullptr ? CallPlacement::kSharedQueue : CallPlacement::kWarmQueue;
  if (warm != nullptr) {
    call.m_warm_endpoint = warm->m_config.m_id;
    policy.m_warm_waiting.insert(call.m_warm_endpoint);
    policy.m_warm_timers.emplace(now + WarmWaitLimit(policy, *warm, call),
                                 call.m_call.m_request);
  }
  Insert(QueueOf(policy, call), call);
}

auto Dequeue(PoolPolicy& policy, ScheduledCall& call) -> void {
  --policy.m_queued;
  --policy.m_queued_by_level.at(static_cast<std::size_t>(call.m_level));
  if (call.m_placement == CallPlacement::kIsolation) {
    std::erase(policy.m_isolation, call.m_call.m_request);
  } else {
    Remove(QueueOf(policy, call), call);
  }
  if (call.m_placement == CallPlacement::kWarmQueue &&
      policy.m_endpoints.at(call.m_warm_endpoint).m_warm.empty()) {
    policy.m_warm_waiting.erase(call.m_warm_endpoint);
  }
  call.m_placement = CallPlacement::kRunning;
}

auto MoveToSharedQueue(PoolPolicy& policy, ScheduledCall& call) -> void {
  auto& warm = policy.m_endpoints.at(call.m_warm_endpoint).m_warm;
  Remove(warm, call);
  if (warm.empty()) {
    policy.m_warm_waiting.erase(call.m_warm_endpoint);
  }
  call.m_placement = CallPlacement::kSharedQueue;
  Insert(QueueOf(policy, call), call);
}

auto MoveOverdueWarmCalls(PoolPolicy& policy, TimePoint now) -> void {
  while (!policy.m_warm_timers.empty() &&
         policy.m_warm_timers.begin()->first <= now) {
    const auto request = policy.m_warm_timers.begin()->second;
    policy.m_warm_timers.erase(policy.m_warm_timers.begin());
    const auto found = policy.m_calls.find(request);
    if (found == policy.m_calls.end() ||
        found->second.m_placement != CallPlacement::kWarmQueue) {
      continue;
    }
    if (FindFreeEndpoint(policy, found->second) != nullptr) {
      MoveToSharedQueue(policy, found->second);
    } else {
      policy.m_warm_timers.emplace(now + kMinWarmWait, request);
    }
  }
}

}  // namespace dotterelshed::pvt
