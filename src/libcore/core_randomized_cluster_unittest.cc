#include <algorithm>
#include <array>

#include "core_randomized.h"

// Hosts, network, platform and endpoints of a walk; see core_randomized.h.

namespace dotterelshed::randomized {

namespace {

using std::chrono::milliseconds;

const DomainId kDomain("d");
constexpr auto kTickInterval = milliseconds(20);
constexpr auto kHeartbeat = milliseconds(60);

/// Tight and wide budgets by turns, unless the options say.
auto BudgetCalls(const RandomizedTestOptions& options) -> std::int64_t {
  constexpr auto kCalls = std::to_array<std::int64_t>({4, 8, 14, 30});
  return options.m_budget_calls > 0
             ? options.m_budget_calls
             : kCalls[options.m_seed / 4 % kCalls.size()];
}

auto MakeConfig(Cost budget) -> std::shared_ptr<const DeskConfig> {
  auto config = std::make_shared<DeskConfig>();
  config->m_generation = Generation(1);
  auto& chat = config->m_services[ServiceId("chat")];
  chat.m_id = ServiceId("chat");
  for (const auto* name : {"e1", "e2"}) {
    chat.m_endpoints.push_back({.m_id = EndpointId(name),
                                .m_domain = kDomain,
                                .m_max_concurrency = 4,
                                .m_kv_capacity = Tokens(100000)});
  }
  auto& book = config->m_services[ServiceId("book")];
  book.m_id = ServiceId("book");
  book.m_kind = ServiceKind::kPlain;
  book.m_repeatable = false;
  book.m_endpoints.push_back({.m_id = EndpointId("b1"), .m_domain = kDomain});
  config->m_default_class = ClassId("any");
  config->m_classes[ClassId("any")] = {
      .m_id = ClassId("any"), .m_budget = budget, .m_max_turns = 1000};
  return config;
}

auto Owner(const SimulatedHost& host) -> PoolAssignment {
  return {.m_pool = PoolId("d/0"),
          .m_term = Term(1),
          .m_primary_since = Term(1),
          .m_primary = host.m_ref};
}

}  // namespace

SimulatedCluster::SimulatedCluster(const RandomizedTestOptions& options)
    : m_options(options),
      m_random(options.m_seed),
      m_budget(kAttemptCostBound * BudgetCalls(options)),
      m_config(MakeConfig(m_budget)) {
  m_table = {.m_domain = kDomain, .m_version = ResourceVersion(1)};
  const auto seed_hosts = 3 + static_cast<int>(options.m_seed % 3);
  const auto hosts = options.m_hosts > 0 ? options.m_hosts : seed_hosts;
  for (auto i = 1; i <= hosts; ++i) {
    const HostRef ref{HostId("h" + std::to_string(i)), Incarnation(1)};
    m_hosts[ref.m_host] = {.m_ref = ref};
    m_table.m_members[ref.m_host] = {.m_incarnation = Incarnation(1)};
  }
  m_table.m_lead = m_hosts.begin()->second.m_ref;
  m_table.m_lead_term = Term(1);
  m_table.m_generation = Generation(1);
  m_table.m_highest_term = Term(1);
  auto pool = Owner(m_hosts.begin()->second);
  pool.m_holder = std::next(m_hosts.begin())->second.m_ref;
  m_table.m_pools[pool.m_pool] = pool;
  for (auto& [id, host] : m_hosts) {
    Start(host);
  }
  for (auto i = 0; i < options.m_programs; ++i) {
    const ProgramId root("d." + std::to_string(i));
    m_callers.push_back({.m_program = root, .m_root = root});
    m_callers.push_back(
        {.m_program = ProgramId(root.value() + "5"), .m_root = root});
  }
}

auto SimulatedCluster::RandomBelow(int sides) -> int {
  return static_cast<int>(m_random(static_cast<std::uint32_t>(sides)));
}

auto SimulatedCluster::RecordViolation(const std::string& what) -> void {
  if (m_result.m_violation.empty()) {
    m_result.m_violation = what;
  }
}

auto SimulatedCluster::IsUp(const SimulatedHost& host) const -> bool {
  return host.m_core != nullptr && host.m_paused_until <= m_now;
}

auto SimulatedCluster::AllUp() const -> bool {
  return std::all_of(m_hosts.begin(), m_hosts.end(),
                     [this](const auto& item) { return IsUp(item.second); });
}

auto SimulatedCluster::Find(const HostId& host) -> SimulatedHost& {
  return m_hosts.at(host);
}

auto SimulatedCluster::Start(SimulatedHost& host) -> void {
  auto core = MakeCore({.m_self = host.m_ref,
                        .m_domain = kDomain,
                        .m_seed = m_options.m_seed,
                        .m_charts_dir = DOTTERELSHED_CHARTS_DIR,
                        .m_heartbeat_interval = kHeartbeat,
                        .m_missed_heartbeats = 3,
                        .m_rank_delay = milliseconds(30),
                        .m_copy_retry = milliseconds(40),
                        .m_max_stored_answers = 1000,
                        .m_claim_shard_count = 2,
                        .m_copy_batch = 2,
                        .m_release_retry = milliseconds(100),
                        .m_sweep_interval = milliseconds(400),
                        .m_mechanisms = m_options.m_mechanisms});
  DOTTERELSHED_CHECK(core.has_value());
  host.m_core = *core;
  host.m_lead_duty = false;
  host.m_next_tick = m_now;
  HandleEvent(host, ConfigArrived{m_config, ""});
}

auto SimulatedCluster::Crash(SimulatedHost& host) -> void {
  NoteLostCopies(host);
  host.m_core.reset();
  host.m_ref.m_incarnation = host.m_ref.m_incarnation.Next();
  host.m_down_until = m_now + milliseconds(100 + RandomBelow(1500));
  m_last_crash = m_now;
  ++m_result.m_crashes;
}

auto SimulatedCluster::HandleEvent(SimulatedHost& host, const Event& event)
    -> void {
  for (const auto& effect : Step(*host.m_core, event, m_now)) {
    HandleEffect(host, effect);
  }
}

auto SimulatedCluster::Reply(const HostRef& host, const Event& event) -> void {
  m_deliveries.push_back({host.m_host, host.m_incarnation, event});
}

auto SimulatedCluster::HandleEffect(SimulatedHost& host, const Effect& effect)
    -> void {
  if (const auto* send = std::get_if<SendPeer>(&effect)) {
    m_deliveries.push_back(
        {send->m_to, std::nullopt, PeerArrived{send->m_message}});
    // A cut is looked at when the message is sent.
    if (m_partitioned.contains({host.m_ref.m_host, send->m_to})) {
      m_deliveries.pop_back();
    }
  } else if (const auto* finish = std::get_if<FinishCall>(&effect)) {
    CheckDrain(host, finish->m_answer);
    HandleAnswer(finish->m_answer);
  } else if (std::holds_alternative<DrainFinished>(effect)) {
    host.m_drained = true;
  } else if (const auto* cancel = std::get_if<CancelAttempt>(&effect)) {
    m_cancelled.insert(cancel->m_attempt);
  } else if (const auto* duty = std::get_if<SetLeadDuty>(&effect)) {
    host.m_lead_duty = duty->m_active;
  } else if (!std::holds_alternative<WriteLog>(effect)) {
    m_requests.push_back({host.m_ref, effect});
  }
}

auto SimulatedCluster::TickHosts() -> void {
  for (auto& [id, host] : m_hosts) {
    if (host.m_core == nullptr && host.m_down_until <= m_now) {
      Start(host);
    }
    if (host.m_drained) {
      StopDrained(host);
    }
    if (IsUp(host) && host.m_next_tick <= m_now) {
      host.m_next_tick = m_now + kTickInterval;
      HandleEvent(host, Tick{});
    }
  }
}

auto SimulatedCluster::DeliverOne() -> void {
  if (m_deliveries.empty()) {
    return;
  }
  const auto index = static_cast<std::size_t>(RandomBelow(
      static_cast<int>(std::min<std::size_t>(m_deliveries.size(), 8))));
  const auto delivery = m_deliveries[index];
  auto& host = Find(delivery.m_to);
  const auto message = !delivery.m_incarnation.has_value();
  if (delivery.m_not_before > m_now) {
    std::swap(m_deliveries[index], m_deliveries.back());  // Let others pass.
    return;
  }
  if (host.m_core != nullptr && host.m_paused_until > m_now) {
    return;  // It waits in the paused host's sockets.
  }
  // A call goes over a connection that delivers it once or not at all.
  const auto call = std::holds_alternative<CallArrived>(delivery.m_event);
  const auto keep = message && !call && !m_faults_ended && RandomBelow(20) == 0;
  if (!keep) {
    m_deliveries.erase(m_deliveries.begin() +
                       static_cast<std::ptrdiff_t>(index));
  }
  const auto lossless = OnlyDrains() && m_options.m_lossless_drains;
  const auto lossy = !m_faults_ended && !lossless;
  const auto lost = message && lossy && RandomBelow(25) == 0;
  const auto meant =
      message || *delivery.m_incarnation == host.m_ref.m_incarnation;
  if (host.m_core != nullptr && meant && !lost) {
    HandleEvent(host, delivery.m_event);
  }
}

auto SimulatedCluster::PerformOne() -> void {
  if (m_requests.empty()) {
    return;
  }
  const auto index = static_cast<std::size_t>(RandomBelow(
      static_cast<int>(std::min<std::size_t>(m_requests.size(), 6))));
  const auto request = m_requests[index];
  const auto& from = Find(request.m_from.m_host);
  const auto paused = from.m_ref == request.m_from && !IsUp(from);
  if (paused && RandomBelow(2) == 0) {
    return;  // The thread that would do it is paused as well.
  }
  m_requests.erase(m_requests.begin() + static_cast<std::ptrdiff_t>(index));
  if (from.m_ref == request.m_from || RandomBelow(2) == 0) {
    Perform(request);  // A dead host's request may be on its way already.
  }
}

auto SimulatedCluster::Perform(const PendingEffect& request) -> void {
  const auto& from = request.m_from;
  if (const auto* start = std::get_if<StartAttempt>(&request.m_effect)) {
    RunAtEndpoint(from, *start);
  } else if (std::holds_alternative<ReadTable>(request.m_effect)) {
    ReadOrPutTable(from, nullptr);
  } else if (const auto* table = std::get_if<PutTable>(&request.m_effect)) {
    ReadOrPutTable(from, &table->m_table);
  } else if (const auto* lane =
                 std::get_if<ReadClaimShard>(&request.m_effect)) {
    ReadOrPutClaimShard(from, lane->m_shard, nullptr);
  } else if (const auto* put = std::get_if<PutClaimShard>(&request.m_effect)) {
    ReadOrPutClaimShard(from, put->m_shard_object.m_shard,
                        &put->m_shard_object);
  } else if (const auto* free = std::get_if<ReleaseHold>(&request.m_effect)) {
    const auto works = m_faults_ended || RandomBelow(3) > 0;
    if (works) {
      m_kv_holds[free->m_endpoint].erase(free->m_hold);
    }
    Reply(from, HoldReleased{free->m_hold, free->m_endpoint,
                             works && (m_faults_ended || RandomBelow(4) > 0)});
  } else if (const auto* list = std::get_if<ListHolds>(&request.m_effect)) {
    HoldsListed listed{.m_endpoint = list->m_endpoint};
    for (const auto& [id, hold] : m_kv_holds[list->m_endpoint]) {
      listed.m_holds.push_back(hold);
    }
    Reply(from, listed);
  } else if (std::holds_alternative<ReadConfig>(request.m_effect)) {
    Reply(from, ConfigArrived{m_config, ""});
  }
}

auto SimulatedCluster::ReadOrPutTable(const HostRef& from,
                                      const DomainTable* put) -> void {
  const auto fail = [&](ErrorCode code) {
    Reply(from, TableArrived{kDomain, Fail(code, "fake"), put != nullptr});
  };
  if (m_outage_until > m_now) {
    fail(put == nullptr ? ErrorCode::kUnavailable : ErrorCode::kTimeout);
    return;
  }
  if (put != nullptr && put->m_version != m_table.m_version) {
    fail(ErrorCode::kConflict);
    return;
  }
  if (put != nullptr) {
    m_table = *put;
    m_table.m_version = m_table.m_version.Next();
    for (const auto& [id, host] : m_hosts) {
      if (host.m_lead_duty && host.m_core != nullptr) {
        Reply(host.m_ref, TableArrived{kDomain, m_table, false});
      }
    }
    if (!m_faults_ended && RandomBelow(10) == 0) {
      fail(ErrorCode::kTimeout);
      return;
    }
  }
  Reply(from, TableArrived{kDomain, m_table, put != nullptr});
}

auto SimulatedCluster::ReadOrPutClaimShard(const HostRef& from,
                                           const ClaimShardId& id,
                                           const ClaimShardObject* put)
    -> void {
  const auto fail = [&](ErrorCode code) {
    Reply(from, ClaimShardArrived{id, Fail(code, "fake"), put != nullptr});
  };
  const auto found = m_claim_shards.find(id);
  const auto version = found == m_claim_shards.end() ? ResourceVersion(0)
                                                     : found->second.m_version;
  if (m_outage_until > m_now) {
    fail(put == nullptr ? ErrorCode::kUnavailable : ErrorCode::kTimeout);
  } else if (put != nullptr && put->m_version != version) {
    fail(ErrorCode::kConflict);
  } else if (put != nullptr) {
    m_claim_shards[id] = *put;
    m_claim_shards[id].m_version = version.Next();
    if (!m_faults_ended && RandomBelow(10) == 0) {
      fail(ErrorCode::kTimeout);
    } else {
      Reply(from, ClaimShardArrived{id, m_claim_shards[id], true});
    }
  } else if (found == m_claim_shards.end()) {
    fail(ErrorCode::kNotFound);
  } else {
    Reply(from, ClaimShardArrived{id, found->second, false});
  }
}

auto SimulatedCluster::RunAtEndpoint(const HostRef& from,
                                     const StartAttempt& start) -> void {
  const auto& call = start.m_call;
  AttemptResult result{.m_end = AttemptEnd::kRefused};
  const auto late = start.m_send_by && *start.m_send_by < m_now;
  if (late || m_cancelled.contains(start.m_attempt) ||
      (!m_faults_ended && RandomBelow(20) == 0)) {
    Reply(from, AttemptFinished{start.m_attempt, result});
    return;
  }
  ++m_result.m_runs;
  ++m_runs_by_request[call.m_request];
  if (m_not_run.contains(call.m_request)) {
    RecordViolation("ran after not_run: " + call.m_request.value());
  }
  if (!call.m_repeatable) {
    const auto key = call.m_program.value() + "/" + call.m_content.value();
    if (++m_runs_by_key[key] > 1) {
      RecordViolation("ran twice: " + key);
    }
  }
  const Cost cost(RandomBelow(kAttemptCostBound + 1));
  auto& spent = m_spent[call.m_root];
  spent += cost;
  if (spent > m_budget) {
    RecordBudgetViolation(call.m_root);
  }
  if (!start.m_hold.empty()) {
    m_kv_holds[start.m_endpoint][start.m_hold] = {
        start.m_hold, start.m_endpoint, call.m_program, false};
  }
  const auto fate = m_faults_ended ? 9 : RandomBelow(20);
  result.m_end = fate == 0   ? AttemptEnd::kLost
                 : fate == 1 ? AttemptEnd::kErrored
                 : fate == 2 ? AttemptEnd::kTimedOut
                             : AttemptEnd::kCompleted;
  result.m_http_status = 200;
  result.m_body = call.m_content.value() + "@" + start.m_attempt.value() +
                  from.m_host.value() +
                  std::to_string(from.m_incarnation.value());
  result.m_usage.m_cost = cost;
  Reply(from, AttemptFinished{start.m_attempt, result});
  m_deliveries.back().m_not_before = m_now + milliseconds(RandomBelow(120));
}

auto SimulatedCluster::StopDrained(SimulatedHost& host) -> void {
  for (const auto& [id, pool] : host.m_core->m_pools) {
    if (!pool.m_calls.empty() || !pool.m_waiting.empty()) {
      RecordViolation("stopped with calls under way: " + id.value());
    }
  }
  host.m_core.reset();
  host.m_drained = false;
  host.m_ref.m_incarnation = host.m_ref.m_incarnation.Next();
  host.m_down_until = m_now + milliseconds(100);
  m_draining = HostId();
  ++m_result.m_drains;
}

/// In every fourth walk hosts stop as planned and nothing else fails.
auto SimulatedCluster::OnlyDrains() const -> bool {
  return m_options.m_seed % 4 == 0;
}

auto SimulatedCluster::InjectFault() -> void {
  const auto quiet = m_faults_ended || !m_draining.empty();
  if (quiet || RandomBelow(1000) >= m_options.m_faults) {
    return;
  }
  auto& victim =
      std::next(m_hosts.begin(), RandomBelow(static_cast<int>(m_hosts.size())))
          ->second;
  constexpr auto kDrain = 10;
  const auto fault = OnlyDrains() ? kDrain : RandomBelow(10);
  if (fault == kDrain && IsHealthy() && AllUp()) {
    m_draining = victim.m_ref.m_host;
    HandleEvent(victim, DrainRequested{});
  }
  if (fault < 3 && victim.m_core != nullptr &&
      m_now > m_last_crash + milliseconds(800) && IsFaultAllowed(victim)) {
    Crash(victim);
  } else if (fault < 6 && IsFaultAllowed(victim)) {
    victim.m_paused_until = m_now + milliseconds(50 + RandomBelow(900));
    ++m_result.m_pauses;
  } else if (fault == 6 || fault == 7) {
    m_outage_until = m_now + milliseconds(100 + RandomBelow(2500));
    ++m_result.m_outages;
  } else if ((fault == 8 || fault == 9) && IsFaultAllowed(victim) && AllUp()) {
    const auto other = std::next(m_hosts.begin(),
                                 RandomBelow(static_cast<int>(m_hosts.size())));
    if (other->first != victim.m_ref.m_host && IsFaultAllowed(other->second)) {
      m_partitioned.insert({victim.m_ref.m_host, other->first});
      m_partitioned.insert({other->first, victim.m_ref.m_host});
      m_partitioned_until = m_now + milliseconds(50 + RandomBelow(1200));
    }
  }
}

auto SimulatedCluster::StepOnce() -> void {
  m_now += std::chrono::microseconds(RandomBelow(1200));
  if (m_partitioned_until <= m_now) {
    m_partitioned.clear();
  }
  TickHosts();
  InjectFault();
  switch (RandomBelow(8)) {
    case 0:
      RunOneCaller();
      break;
    case 1:
    case 2:
    case 3:
      PerformOne();
      break;
    default:
      DeliverOne();
  }
}

}  // namespace dotterelshed::randomized
