#include <algorithm>
#include <bit>
#include <map>
#include <memory>
#include <set>

#include "scheduler.h"

namespace dotterelshed::bench {

namespace {

/// Calls that wait for the next dispatch and where running ones are.
struct BaselineState {
  std::vector<RequestId> m_arrived;
  std::vector<int> m_outstanding;
  std::map<AttemptId, int> m_running;
  int m_next = 0;
};

auto ChooseNext(BaselineState& state) -> int {
  const auto chosen = state.m_next;
  state.m_next =
      (state.m_next + 1) % static_cast<int>(state.m_outstanding.size());
  return chosen;
}

auto ChooseLeast(BaselineState& state) -> int {
  const auto least =
      std::min_element(state.m_outstanding.begin(), state.m_outstanding.end());
  return static_cast<int>(least - state.m_outstanding.begin());
}

using Choose = int (*)(BaselineState&);

auto DispatchArrived(BaselineState& state, Choose choose)
    -> std::vector<Dispatched> {
  std::vector<Dispatched> out;
  for (const auto& request : state.m_arrived) {
    const auto endpoint = choose(state);
    const AttemptId attempt(request.value());
    ++state.m_outstanding[static_cast<std::size_t>(endpoint)];
    state.m_running[attempt] = endpoint;
    out.push_back({.m_attempt = attempt,
                   .m_request = request,
                   .m_endpoint = EndpointName(endpoint)});
  }
  state.m_arrived.clear();
  return out;
}

auto FinishBaseline(BaselineState& state, const AttemptId& attempt)
    -> FinishVerdict {
  const auto found = state.m_running.find(attempt);
  if (found != state.m_running.end()) {
    --state.m_outstanding[static_cast<std::size_t>(found->second)];
    state.m_running.erase(found);
  }
  return {};
}

auto MakeBaseline(const std::string& name, int endpoints, Choose choose)
    -> Scheduler {
  auto state = std::make_shared<BaselineState>();
  state->m_outstanding.resize(static_cast<std::size_t>(endpoints));
  Scheduler out;
  out.m_name = name;
  out.m_admit = [state](const ReplayCall& call, TimePoint) {
    state->m_arrived.push_back(call.m_call.m_request);
    return std::optional<Refusal>();
  };
  out.m_dispatch = [state, choose](TimePoint) {
    return DispatchArrived(*state, choose);
  };
  out.m_finish = [state](const AttemptId& attempt, const AttemptResult&,
                         TimePoint) { return FinishBaseline(*state, attempt); };
  return out;
}

struct OracleState {
  int m_slots = 16;
  std::map<RequestId, ReplayCall> m_calls;
  std::set<std::pair<std::int64_t, RequestId>> m_queue;
  std::vector<int> m_outstanding;
  std::map<AttemptId, int> m_running;
};

/// The emptiest endpoint, or -1 when all slots are taken.
auto ChooseForOracle(const OracleState& state) -> int {
  const auto least =
      std::min_element(state.m_outstanding.begin(), state.m_outstanding.end());
  if (*least >= state.m_slots) {
    return -1;
  }
  return static_cast<int>(least - state.m_outstanding.begin());
}

auto DispatchOracle(OracleState& state) -> std::vector<Dispatched> {
  std::vector<Dispatched> out;
  while (!state.m_queue.empty()) {
    const auto endpoint = ChooseForOracle(state);
    if (endpoint < 0) {
      break;
    }
    const auto [remaining, request] = *state.m_queue.begin();
    state.m_queue.erase(state.m_queue.begin());
    const AttemptId attempt(request.value());
    ++state.m_outstanding[static_cast<std::size_t>(endpoint)];
    state.m_running[attempt] = endpoint;
    out.push_back({.m_attempt = attempt,
                   .m_request = request,
                   .m_endpoint = EndpointName(endpoint),
                   .m_priority = static_cast<int>(
                       std::bit_width(static_cast<std::uint64_t>(remaining)))});
    state.m_calls.erase(request);
  }
  return out;
}

/// Drops calls of programs that are late already: they can't count any more.
auto ExpireOracle(OracleState& state, TimePoint now) -> std::vector<RequestId> {
  std::vector<RequestId> late;
  for (const auto& [remaining, request] : state.m_queue) {
    if (state.m_calls.at(request).m_call.m_deadline <= now) {
      late.push_back(request);
    }
  }
  for (const auto& request : late) {
    const auto& call = state.m_calls.at(request);
    state.m_queue.erase({call.m_remaining_tokens, request});
    state.m_calls.erase(request);
  }
  return late;
}

}  // namespace

auto EndpointName(int position) -> EndpointId {
  return EndpointId((position < 10 ? "e0" : "e") + std::to_string(position));
}

auto MakeRoundRobin(int endpoints) -> Scheduler {
  return MakeBaseline("round robin", endpoints, ChooseNext);
}

auto MakeLeastOutstanding(int endpoints) -> Scheduler {
  return MakeBaseline("least outstanding", endpoints, ChooseLeast);
}

auto MakeOracle(int endpoints, int slots) -> Scheduler {
  auto state = std::make_shared<OracleState>();
  state->m_slots = slots;
  state->m_outstanding.resize(static_cast<std::size_t>(endpoints));
  Scheduler out;
  out.m_name = "oracle";
  out.m_shared_cache = true;
  out.m_admit = [state](const ReplayCall& call, TimePoint) {
    state->m_queue.insert({call.m_remaining_tokens, call.m_call.m_request});
    state->m_calls[call.m_call.m_request] = call;
    return std::optional<Refusal>();
  };
  out.m_dispatch = [state](TimePoint) { return DispatchOracle(*state); };
  out.m_finish = [state](const AttemptId& attempt, const AttemptResult&,
                         TimePoint) {
    const auto found = state->m_running.find(attempt);
    if (found != state->m_running.end()) {
      --state->m_outstanding[static_cast<std::size_t>(found->second)];
      state->m_running.erase(found);
    }
    return FinishVerdict{};
  };
  out.m_expire = [state](TimePoint now) { return ExpireOracle(*state, now); };
  return out;
}

}  // namespace dotterelshed::bench
