#include "policy/policy_endpoint.h"

#include "policy/policy_retention.h"

#include <algorithm>
#include <cmath>

namespace dotterelshed::pvt {

namespace {

/// Maximum number of free endpoints compared for one call.
constexpr int kMaxCandidates = 12;
/// Seconds that each concurrent sequence adds to the time between tokens.
constexpr double kGapPerSequenceS = 0.0003;
/// Prompt tokens assumed for one request of another client.
constexpr std::int64_t kExternalPromptTokens = 256;

auto ServesModel(const ScheduledEndpoint& endpoint, const ModelId& model)
    -> bool {
  return model.empty() || endpoint.m_models.empty() ||
         std::find(endpoint.m_models.begin(), endpoint.m_models.end(), model) !=
             endpoint.m_models.end();
}

/// Slots that long calls may use, at least one.
auto LongSlots(const PoolPolicy& policy, const ScheduledEndpoint& endpoint)
    -> int {
  const auto share = 1 - policy.m_short_share_percent / 100.0;
  return std::max(1, static_cast<int>(endpoint.m_limit * share));
}

}  // namespace

auto FindPrefix(const PoolPolicy& policy, const ProgramId& program)
    -> const PrefixState* {
  const auto found = policy.m_programs.find(program);
  if (found == policy.m_programs.end() || !found->second.m_prefix) {
    return nullptr;
  }
  return &*found->second.m_prefix;
}

auto AcceptsCall(const ScheduledEndpoint& endpoint, const ScheduledCall& call)
    -> bool {
  if (!endpoint.m_configured || endpoint.m_leaving) {
    return false;
  }
  if (!endpoint.m_isolated.empty() &&
      endpoint.m_isolated != call.m_call.m_request) {
    return false;
  }
  if (endpoint.m_state == EndpointState::kEjected) {
    return false;
  }
  if (endpoint.m_state == EndpointState::kProbing && !endpoint.m_direct_probe) {
    return false;
  }
  return ServesModel(endpoint, call.m_call.m_model);
}

auto HasSlot(const PoolPolicy& policy,
             const ScheduledEndpoint& endpoint,
             bool is_long) -> bool {
  const auto running = static_cast<int>(endpoint.m_running.size());
  if (endpoint.m_state == EndpointState::kProbing) {
    return running == 0;
  }
  if (running >= endpoint.m_limit) {
    return false;
  }
  return !is_long || endpoint.m_running_long < LongSlots(policy, endpoint);
}

auto UncachedTokens(const PoolPolicy& policy,
                    const ScheduledEndpoint& endpoint,
                    const ScheduledCall& call) -> std::int64_t {
  const auto prompt = call.m_call.m_prompt_tokens.value();
  const auto* prefix = FindPrefix(policy, call.m_call.m_program);
  if (!policy.m_options.m_cache_cost || prefix == nullptr ||
      prefix->m_endpoint != endpoint.m_config.m_id) {
    return prompt;
  }
  return std::max<std::int64_t>(1, prompt - prefix->m_tokens);
}

auto ExpectedGenerated(const PoolPolicy& policy, const ScheduledCall& call)
    -> double {
  const auto found = policy.m_classes.find(call.m_call.m_class);
  const auto max_tokens = static_cast<double>(call.m_call.m_max_tokens.value());
  const auto mean =
      found == policy.m_classes.end() ? max_tokens : found->second.m_generated;
  return max_tokens > 0 ? std::min(mean, max_tokens) : mean;
}

auto PendingAhead(const ScheduledEndpoint& endpoint, bool is_long)
    -> std::int64_t {
  return endpoint.m_pending_short + (is_long ? endpoint.m_pending_long : 0);
}

auto AddPending(ScheduledEndpoint& endpoint, bool is_long, std::int64_t tokens)
    -> void {
  (is_long ? endpoint.m_pending_long : endpoint.m_pending_short) += tokens;
}

auto ExpectedCompletion(const PoolPolicy& policy,
                        const ScheduledEndpoint& endpoint,
                        const ScheduledCall& call) -> double {
  const auto foreign = endpoint.m_external_load * kExternalPromptTokens;
  const auto prompt = PendingAhead(endpoint, call.m_long) + foreign +
                      UncachedTokens(policy, endpoint, call);
  const auto running =
      static_cast<double>(endpoint.m_running.size()) + endpoint.m_external_load;
  const auto gap = endpoint.m_token_gap_s + kGapPerSequenceS * running;
  const auto overflow = policy.m_options.m_cache_cost
                            ? MemoryOverflow(policy, endpoint, call)
                            : 0;
  return static_cast<double>(prompt + overflow) * endpoint.m_prefill_s +
         ExpectedGenerated(policy, call) * gap;
}

auto FindFreeEndpoint(PoolPolicy& policy,
                      const ScheduledCall& call,
                      const EndpointId& avoid) -> ScheduledEndpoint* {
  ScheduledEndpoint* best = nullptr;
  auto best_time = 0.0;
  auto compared = 0;
  for (const auto& [load, id] : policy.m_free) {
    auto& endpoint = policy.m_endpoints.at(id);
    if (id == avoid || !AcceptsCall(endpoint, call) ||
        !HasSlot(policy, endpoint, call.m_long)) {
      continue;
    }
    const auto time = ExpectedCompletion(policy, endpoint, call);
    if (best == nullptr || time < best_time) {
      best = &endpoint;
      best_time = time;
    }
    if (++compared >= kMaxCandidates) {
      break;
    }
  }
  return best;
}

auto UpdateFree(PoolPolicy& policy, ScheduledEndpoint& endpoint) -> void {
  std::optional<std::pair<int, EndpointId>> key;
  if (endpoint.m_configured && !endpoint.m_leaving &&
      endpoint.m_state != EndpointState::kEjected &&
      HasSlot(policy, endpoint, false)) {
    key.emplace(
        static_cast<int>(endpoint.m_running.size()) + endpoint.m_external_load,
        endpoint.m_config.m_id);
  }
  if (key == endpoint.m_free_key) {
    return;
  }
  if (endpoint.m_free_key) {
    policy.m_free.erase(*endpoint.m_free_key);
  }
  if (key) {
    policy.m_free.insert(*key);
  }
  endpoint.m_free_key = std::move(key);
}

}  // namespace dotterelshed::pvt
