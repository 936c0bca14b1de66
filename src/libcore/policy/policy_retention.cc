#include "policy/policy_retention.h"

#include <algorithm>

#include "policy/policy_endpoint.h"

namespace dotterelshed::pvt {

namespace {

/// Share of an endpoint's KV cache that holds and running calls may fill.
constexpr double kMemoryShare = 0.95;
/// Prefixes are not kept over a longer expected pause.
constexpr Duration kMaxExpectedPause = std::chrono::minutes(5);
/// Memory planned for an answer, as a multiple of its expected length.
constexpr double kLengthMargin = 1.5;
constexpr char kHoldSeparator = '@';

auto MemoryOf(const ScheduledEndpoint& endpoint) -> double {
  return kMemoryShare *
         static_cast<double>(endpoint.m_config.m_kv_capacity.value());
}

/// Expected time until the program's next call.
auto ExpectedPause(const PoolPolicy& policy, const ScheduledCall& call)
    -> Duration {
  if (call.m_call.m_expected_pause.count() > 0) {
    return call.m_call.m_expected_pause;
  }
  const auto found = policy.m_classes.find(call.m_call.m_class);
  return FromSeconds(found == policy.m_classes.end() ? 2
                                                     : found->second.m_pause_s);
}

}  // namespace

auto MemoryNeed(const PoolPolicy& policy, const ScheduledCall& call)
    -> std::int64_t {
  return call.m_call.m_prompt_tokens.value() +
         static_cast<std::int64_t>(kLengthMargin *
                                   ExpectedGenerated(policy, call));
}

auto ProgramOfHold(const HoldId& hold) -> ProgramId {
  return ProgramId(hold.value().substr(0, hold.value().rfind(kHoldSeparator)));
}

auto ChooseHold(const PoolPolicy& policy,
                const ScheduledEndpoint& endpoint,
                const ScheduledCall& call) -> HoldId {
  const auto fits =
      static_cast<double>(MemoryNeed(policy, call)) <= MemoryOf(endpoint) / 2;
  if (!policy.m_options.m_retention || call.m_call.m_last || !fits ||
      ExpectedPause(policy, call) > kMaxExpectedPause) {
    return HoldId();
  }
  return HoldId(call.m_call.m_program.value() + kHoldSeparator +
                endpoint.m_config.m_id.value());
}

auto ReleaseForStart(PoolPolicy& policy,
                     ScheduledEndpoint& endpoint,
                     const ScheduledCall& call) -> std::vector<HoldRecord> {
  std::vector<HoldRecord> out;
  const auto& program = call.m_call.m_program;
  const auto* prefix = &policy.m_programs.at(program).m_prefix;
  if (*prefix && (*prefix)->m_endpoint != endpoint.m_config.m_id &&
      call.m_attempts.empty()) {
    out = DropPrefix(policy, program);
  }
  UsePrefix(policy, endpoint, program);
  const auto room = static_cast<std::int64_t>(MemoryOf(endpoint));
  while (!endpoint.m_holds.empty() && endpoint.m_running_memory +
                                              endpoint.m_held_memory +
                                              MemoryNeed(policy, call) >
                                          room) {
    const auto last = std::prev(endpoint.m_holds.end());
    const auto dropped = DropPrefix(policy, ProgramId(last->second));
    out.insert(out.end(), dropped.begin(), dropped.end());
  }
  return out;
}

auto UsePrefix(PoolPolicy& policy,
               ScheduledEndpoint& endpoint,
               const ProgramId& program) -> void {
  auto& prefix = policy.m_programs.at(program).m_prefix;
  if (!prefix || prefix->m_endpoint != endpoint.m_config.m_id ||
      prefix->m_hold.empty() || prefix->m_in_use) {
    return;
  }
  prefix->m_in_use = true;
  endpoint.m_holds.erase({prefix->m_expected_return, program});
  endpoint.m_held_memory -= prefix->m_tokens;
}

auto MemoryOverflow(const PoolPolicy& policy,
                    const ScheduledEndpoint& endpoint,
                    const ScheduledCall& call) -> std::int64_t {
  if (endpoint.m_config.m_kv_capacity.value() == 0) {
    return 0;
  }
  const auto found = policy.m_programs.find(call.m_call.m_program);
  auto own = std::int64_t{0};
  if (found != policy.m_programs.end() && found->second.m_prefix &&
      found->second.m_prefix->m_endpoint == endpoint.m_config.m_id) {
    own = found->second.m_prefix->m_tokens;
  }
  const auto used = endpoint.m_running_memory + endpoint.m_held_memory - own;
  return std::max<std::int64_t>(
      0, used + MemoryNeed(policy, call) -
             static_cast<std::int64_t>(MemoryOf(endpoint)));
}

auto KeepPrefix(PoolPolicy& policy,
                ScheduledEndpoint& endpoint,
                const ScheduledCall& call,
                const HoldId& hold,
                Tokens context,
                TimePoint now) -> void {
  const auto& program = call.m_call.m_program;
  DropPrefix(policy, program);
  if (call.m_call.m_last) {
    return;
  }
  const auto expected = now + ExpectedPause(policy, call);
  policy.m_programs.at(program).m_prefix = {
      .m_endpoint = endpoint.m_config.m_id,
      .m_tokens = context.value(),
      .m_hold = hold,
      .m_expected_return = expected};
  if (!hold.empty()) {
    endpoint.m_holds.emplace(expected, program);
    endpoint.m_held_memory += context.value();
  }
}

auto DropPrefix(PoolPolicy& policy, const ProgramId& program)
    -> std::vector<HoldRecord> {
  const auto found = policy.m_programs.find(program);
  if (found == policy.m_programs.end() || !found->second.m_prefix) {
    return {};
  }
  const auto prefix = *found->second.m_prefix;
  found->second.m_prefix.reset();
  const auto endpoint = policy.m_endpoints.find(prefix.m_endpoint);
  if (prefix.m_hold.empty() || endpoint == policy.m_endpoints.end()) {
    return {};
  }
  if (!prefix.m_in_use) {
    endpoint->second.m_holds.erase({prefix.m_expected_return, program});
    endpoint->second.m_held_memory -= prefix.m_tokens;
  }
  return {{.m_id = prefix.m_hold,
           .m_endpoint = prefix.m_endpoint,
           .m_program = program}};
}

}  // namespace dotterelshed::pvt
