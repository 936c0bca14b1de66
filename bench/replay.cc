#include "replay.h"

#include <algorithm>
#include <queue>
#include <set>
#include <tuple>
#include <variant>

#include "program_tree.h"
#include "replay_events.h"

namespace dotterelshed::bench {

namespace {

/// A replay that lasts longer has a call that never ends.
constexpr Duration kLongestReplay = std::chrono::hours(48);

struct OpenCall {
  std::size_t m_node = 0;
  TimePoint m_arrived;
  std::set<AttemptId> m_attempts;
};

struct OpenAttempt {
  RequestId m_request;
  std::size_t m_engine = 0;
  std::optional<TimePoint> m_joined;
  std::optional<TimePoint> m_first_token;
  TimePoint m_last_token;
  std::int64_t m_uncached = 0;
};

/// The event loop and all state of one replay.
class Replayer {
 public:
  Replayer(const Trace& trace,
           Scheduler scheduler,
           const ReplayOptions& options)
      : m_trace(trace),
        m_scheduler(std::move(scheduler)),
        m_options(options),
        m_tree(BuildProgramTree(trace)) {
    auto engine = options.m_engine;
    engine.m_slots = trace.m_header.m_engine_slots;
    engine.m_kv_capacity = trace.m_header.m_kv_capacity;
    m_engines.resize(static_cast<std::size_t>(trace.m_header.m_endpoints));
    m_epochs.resize(m_engines.size());
    for (std::size_t i = 0; i < m_engines.size(); ++i) {
      m_engines[i].m_options = engine;
      m_engine_places[EndpointName(static_cast<int>(i))] = i;
    }
    for (const auto& entry : trace.m_classes) {
      m_deadlines[entry.m_id] = entry.m_deadline;
    }
    m_options.m_engine = engine;
    m_result.m_scheduler = m_scheduler.m_name;
  }

  auto Run() -> ReplayResult {
    ScheduleTrace();
    while (!m_schedule.empty() && m_open_roots > 0) {
      m_now = m_schedule.top().m_at;
      DOTTERELSHED_CHECK(m_now.time_since_epoch() < kLongestReplay);
      while (!m_schedule.empty() && m_schedule.top().m_at == m_now) {
        const auto what = m_schedule.top().m_what;
        m_schedule.pop();
        std::visit([this](const auto& it) { On(it); }, what);
      }
      RunScheduler();
    }
    return std::move(m_result);
  }

 private:
  auto At(TimePoint at, Happening what) -> void {
    m_schedule.push({at, m_next_order++, std::move(what)});
  }

  auto ScheduleTrace() -> void {
    for (const auto& [node, root] : m_tree.m_roots) {
      At(TimePoint{} + root.m_arrival, CallDue{node});
    }
    m_open_roots = m_tree.m_roots.size();
    for (const auto& slowdown : m_trace.m_slowdowns) {
      const auto engine = static_cast<std::size_t>(slowdown.m_endpoint);
      const auto begin = TimePoint{} + slowdown.m_at;
      At(begin, SlowdownDue{engine, slowdown.m_factor});
      At(begin + slowdown.m_length, SlowdownDue{engine, 1});
    }
    if (m_scheduler.m_load) {
      At(TimePoint{} + m_options.m_report_interval, ReportDue{});
    }
  }

  auto On(const CallDue& due) -> void {
    const auto request = AddCall(due.m_node);
    auto replay_call = DescribeCall(due.m_node, request);
    ++m_result.m_calls_arrived;
    const auto refusal = m_scheduler.m_admit(replay_call, m_now);
    if (refusal) {
      ++m_result.m_refused;
      m_open_calls.erase(request);
      BreakProgram(due.m_node);
    }
  }

  auto AddCall(std::size_t node_index) -> RequestId {
    const auto& node = m_tree.m_nodes[node_index];
    RequestId request(node.m_id.value() + "/" +
                      std::to_string(node.m_next_call + 1));
    m_open_calls[request] = {.m_node = node_index, .m_arrived = m_now};
    return request;
  }

  auto DescribeCall(std::size_t node_index, const RequestId& request) const
      -> ReplayCall {
    const auto& node = m_tree.m_nodes[node_index];
    const auto& call = *node.m_calls[node.m_next_call];
    const auto& root = m_tree.m_roots.at(node.m_root);
    const auto content = call.m_crashes
                             ? "crash" + std::to_string(call.m_prompt.value())
                             : request.value();
    Duration pause{0};
    if (node.m_next_call + 1 < node.m_calls.size()) {
      pause = node.m_calls[node.m_next_call + 1]->m_pause;
    }
    return {.m_call = {.m_request = request,
                       .m_program = node.m_id,
                       .m_root = m_tree.m_nodes[node.m_root].m_id,
                       .m_class = call.m_class,
                       .m_service = call.m_service,
                       .m_model = call.m_model,
                       .m_turn = call.m_turn,
                       .m_prompt_tokens = call.m_prompt,
                       .m_max_tokens = call.m_max_generated,
                       .m_content = Digest(content),
                       .m_deadline = TimePoint{} + root.m_arrival +
                                     DeadlineOf(call.m_class),
                       .m_repeatable = call.m_repeatable,
                       .m_last = call.m_last,
                       .m_expected_pause = pause},
            .m_remaining_tokens = root.m_remaining_tokens};
  }

  auto DeadlineOf(const ClassId& id) const -> Duration {
    const auto found = m_deadlines.find(id);
    return found == m_deadlines.end() ? Duration(std::chrono::minutes(10))
                                      : found->second;
  }

  auto RunScheduler() -> void {
    if (m_scheduler.m_expire) {
      for (const auto& request : m_scheduler.m_expire(m_now)) {
        ++m_result.m_expired;
        FailCall(request);
      }
    }
    for (auto& dispatched : m_scheduler.m_dispatch(m_now)) {
      StartAttempt(std::move(dispatched));
    }
    if (m_scheduler.m_next) {
      ScheduleWakeUp(m_scheduler.m_next());
    }
  }

  auto ScheduleWakeUp(std::optional<TimePoint> next) -> void {
    if (!next || (m_wake_up > m_now && m_wake_up <= *next)) {
      return;
    }
    m_wake_up = std::max(*next, m_now + Duration(1));
    At(m_wake_up, WakeUp{});
  }

  auto StartAttempt(Dispatched dispatched) -> void {
    ++m_result.m_attempts;
    m_result.m_hedges += dispatched.m_hedge ? 1 : 0;
    for (const auto& hold : dispatched.m_release) {
      Release(hold);
    }
    auto& call = m_open_calls.at(dispatched.m_request);
    call.m_attempts.insert(dispatched.m_attempt);
    m_open_attempts[dispatched.m_attempt] = {
        .m_request = dispatched.m_request,
        .m_engine = m_engine_places.at(dispatched.m_endpoint)};
    At(m_now + m_options.m_network_delay, SubmitDue{std::move(dispatched)});
  }

  auto Release(const HoldRecord& hold) -> void {
    bench::ReleaseHold(m_engines[m_engine_places.at(hold.m_endpoint)],
                       hold.m_id);
  }

  auto On(const SubmitDue& due) -> void {
    const auto found = m_open_attempts.find(due.m_dispatched.m_attempt);
    if (found == m_open_attempts.end()) {
      return;
    }
    const auto engine = found->second.m_engine;
    const auto& node =
        m_tree.m_nodes[m_open_calls.at(due.m_dispatched.m_request).m_node];
    const auto& call = *node.m_calls[node.m_next_call];
    const EngineRequest request{
        .m_attempt = due.m_dispatched.m_attempt,
        .m_program = node.m_id,
        .m_prompt = std::max<std::int64_t>(1, call.m_prompt.value()),
        .m_to_generate = std::max<std::int64_t>(1, call.m_generated.value()),
        .m_priority = due.m_dispatched.m_priority,
        .m_hold = due.m_dispatched.m_hold,
        .m_given = m_scheduler.m_shared_cache ? m_known_tokens[node.m_id] : 0,
        .m_crashes = call.m_crashes};
    if (!Submit(m_engines[engine], request, m_now)) {
      At(m_now + m_options.m_network_delay,
         FinishDue{request.m_attempt, {.m_end = AttemptEnd::kRefused}});
      return;
    }
    StartStep(engine);
  }

  auto StartStep(std::size_t engine) -> void {
    if (m_engines[engine].m_stepping) {
      return;
    }
    EngineStep step;
    const auto length = BeginStep(m_engines[engine], m_now, step);
    for (const auto& joined : step.m_joined) {
      CountJoined(joined);
    }
    if (length) {
      At(m_now + *length, StepDue{engine, m_epochs[engine]});
    }
  }

  /// Counts what is prefilled, and what of it was computed before.
  auto CountJoined(const EngineSequence& joined) -> void {
    const auto& request = joined.m_request;
    auto& known = m_known_tokens[request.m_program];
    m_result.m_prefilled_tokens += request.m_prompt - joined.m_cached;
    m_result.m_wasted_tokens += std::max<std::int64_t>(
        0, std::min(request.m_prompt - 1, known) - joined.m_cached);
    known = std::max(known, request.m_prompt);
    auto& attempt = m_open_attempts.at(request.m_attempt);
    attempt.m_joined = m_now;
    attempt.m_uncached = request.m_prompt - joined.m_cached;
  }

  auto On(const StepDue& due) -> void {
    if (due.m_epoch != m_epochs[due.m_engine]) {
      return;
    }
    EngineStep step;
    EndStep(m_engines[due.m_engine], m_now, step);
    for (const auto& [attempt, generated] : step.m_progress) {
      CountToken(attempt);
      if (m_scheduler.m_progress) {
        m_scheduler.m_progress(attempt, generated, m_now);
      }
    }
    if (step.m_crashed) {
      ++m_result.m_crashes;
      ++m_epochs[due.m_engine];
    }
    for (const auto& [attempt, result] : step.m_finished) {
      On(FinishDue{attempt, result});
    }
    StartStep(due.m_engine);
  }

  auto CountToken(const AttemptId& id) -> void {
    auto& attempt = m_open_attempts.at(id);
    if (attempt.m_first_token) {
      const auto gap = std::chrono::duration_cast<std::chrono::milliseconds>(
          m_now - attempt.m_last_token);
      const auto place = std::min<std::size_t>(
          m_result.m_gaps.size() - 1, static_cast<std::size_t>(gap.count()));
      ++m_result.m_gaps.at(place);
    } else {
      attempt.m_first_token = m_now;
    }
    attempt.m_last_token = m_now;
  }

  auto On(const FinishDue& due) -> void {
    const auto found = m_open_attempts.find(due.m_attempt);
    if (found == m_open_attempts.end()) {
      return;
    }
    const auto attempt = found->second;
    m_open_attempts.erase(found);
    m_open_calls.at(attempt.m_request).m_attempts.erase(due.m_attempt);
    const auto verdict =
        m_scheduler.m_finish(due.m_attempt, due.m_result, m_now);
    for (const auto& cancelled : verdict.m_cancel) {
      CancelAttempt(cancelled);
    }
    if (verdict.m_kind == FinishVerdict::Kind::kRetry) {
      ++m_result.m_retries;
      return;
    }
    if (verdict.m_kind == FinishVerdict::Kind::kIgnore) {
      return;
    }
    if (due.m_result.m_end == AttemptEnd::kCompleted) {
      FinishCall(attempt);
    } else {
      ++m_result.m_failed;
      FailCall(attempt.m_request);
    }
  }

  auto CancelAttempt(const AttemptId& id) -> void {
    const auto found = m_open_attempts.find(id);
    if (found == m_open_attempts.end()) {
      return;
    }
    CancelRequest(m_engines[found->second.m_engine], id, m_now);
    m_open_calls.at(found->second.m_request).m_attempts.erase(id);
    m_open_attempts.erase(found);
  }

  auto FailCall(const RequestId& request) -> void {
    const auto call = m_open_calls.at(request);
    for (const auto& attempt : call.m_attempts) {
      CancelAttempt(attempt);
    }
    m_open_calls.erase(request);
    BreakProgram(call.m_node);
  }

  auto FinishCall(const OpenAttempt& attempt) -> void {
    const auto call = m_open_calls.at(attempt.m_request);
    m_open_calls.erase(attempt.m_request);
    auto& node = m_tree.m_nodes[call.m_node];
    const auto& traced = *node.m_calls[node.m_next_call];
    m_result.m_calls.push_back(
        {.m_class = traced.m_class,
         .m_arrival = call.m_arrived.time_since_epoch(),
         .m_latency = m_now - call.m_arrived,
         .m_first_token = *attempt.m_first_token - call.m_arrived,
         .m_wait = *attempt.m_joined - call.m_arrived,
         .m_uncached = attempt.m_uncached});
    auto& known = m_known_tokens[node.m_id];
    known =
        std::max(known, traced.m_prompt.value() + traced.m_generated.value());
    m_tree.m_roots.at(node.m_root).m_remaining_tokens -=
        NewTokens(node, node.m_next_call);
    ++node.m_next_call;
    StartChildren(call.m_node, traced.m_turn);
    GoOn(call.m_node);
  }

  auto StartChildren(std::size_t node, Turn turn) -> void {
    const auto [first, last] =
        m_tree.m_nodes[node].m_children.equal_range(turn);
    for (auto child = first; child != last; ++child) {
      ++m_tree.m_nodes[node].m_open_children;
      At(m_now, CallDue{child->second});
    }
  }

  /// Starts the program's next turn, or ends it.
  auto GoOn(std::size_t index) -> void {
    auto& node = m_tree.m_nodes[index];
    if (node.m_open_children > 0) {
      node.m_joining = true;
      return;
    }
    if (node.m_next_call < node.m_calls.size()) {
      At(m_now + node.m_calls[node.m_next_call]->m_pause, CallDue{index});
      return;
    }
    EndNode(index);
  }

  /// A call got no answer: the root does not count as served, and this
  /// program goes no further.
  auto BreakProgram(std::size_t index) -> void {
    m_tree.m_roots.at(m_tree.m_nodes[index].m_root).m_broken = true;
    m_tree.m_nodes[index].m_next_call = m_tree.m_nodes[index].m_calls.size();
    EndNode(index);
  }

  auto EndNode(std::size_t index) -> void {
    const auto& node = m_tree.m_nodes[index];
    if (m_scheduler.m_end_program) {
      for (const auto& hold : m_scheduler.m_end_program(node.m_id)) {
        Release(hold);
      }
    }
    if (!node.m_parent) {
      FinishRoot(index);
      return;
    }
    auto& parent = m_tree.m_nodes[*node.m_parent];
    --parent.m_open_children;
    if (parent.m_joining && parent.m_open_children == 0) {
      parent.m_joining = false;
      GoOn(*node.m_parent);
    }
  }

  auto FinishRoot(std::size_t index) -> void {
    --m_open_roots;
    const auto& node = m_tree.m_nodes[index];
    const auto& root = m_tree.m_roots.at(index);
    const auto& first = *node.m_calls.front();
    ProgramResult program{
        .m_program = node.m_id,
        .m_class = first.m_class,
        .m_arrival = root.m_arrival,
        .m_deadline = DeadlineOf(first.m_class),
        .m_least_latency = LeastLatency(m_tree, index, m_options.m_engine),
        .m_in_crest = root.m_arrival >= m_trace.m_header.m_crest_begin &&
                      root.m_arrival < m_trace.m_header.m_crest_end,
        .m_crashes = first.m_crashes};
    if (!root.m_broken) {
      program.m_latency = m_now.time_since_epoch() - root.m_arrival;
    }
    m_result.m_programs.push_back(std::move(program));
  }

  auto On(const ReportDue& /*due*/) -> void {
    for (const auto& [id, place] : m_engine_places) {
      At(m_now + m_options.m_report_lag,
         ReportArrives{ReportLoad(m_engines[place], id)});
    }
    At(m_now + m_options.m_report_interval, ReportDue{});
  }

  auto On(const ReportArrives& arrival) -> void {
    m_scheduler.m_load(arrival.m_report, m_now);
  }

  auto On(const SlowdownDue& due) -> void {
    m_engines[due.m_engine].m_slow_factor = due.m_factor;
  }

  auto On(const WakeUp& /*due*/) -> void {}

  const Trace& m_trace;
  Scheduler m_scheduler;
  ReplayOptions m_options;
  ProgramTree m_tree;
  std::vector<EngineModel> m_engines;
  std::vector<std::uint64_t> m_epochs;
  std::map<EndpointId, std::size_t> m_engine_places;
  std::map<ClassId, Duration> m_deadlines;
  std::map<RequestId, OpenCall> m_open_calls;
  std::map<AttemptId, OpenAttempt> m_open_attempts;
  std::map<ProgramId, std::int64_t> m_known_tokens;
  std::priority_queue<Scheduled, std::vector<Scheduled>, Later> m_schedule;
  std::uint64_t m_next_order = 0;
  std::size_t m_open_roots = 0;
  TimePoint m_now;
  TimePoint m_wake_up;
  ReplayResult m_result;
};

}  // namespace

auto RunReplay(const Trace& trace,
               Scheduler scheduler,
               const ReplayOptions& options) -> ReplayResult {
  return Replayer(trace, std::move(scheduler), options).Run();
}

}  // namespace dotterelshed::bench
