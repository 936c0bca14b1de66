#include <algorithm>

#include "core_randomized.h"
#include "program/budget_ledger.h"

// Callers of the randomized test and the checks of their answers; see
// core_randomized.h.

namespace dotterelshed::randomized {

namespace {

using std::chrono::milliseconds;

constexpr auto kCallTimeout = milliseconds(400);
constexpr auto kDeadline = milliseconds(1500);

auto ContentOf(const SimulatedCaller& caller) -> Digest {
  return Digest(caller.m_program.value() + "#" +
                std::to_string(caller.m_turn.value()));
}

}  // namespace

auto SimulatedCluster::Send(SimulatedCaller& caller) -> void {
  auto host =
      std::next(m_hosts.begin(), RandomBelow(static_cast<int>(m_hosts.size())));
  if (!IsUp(host->second)) {
    return;
  }
  CallRequest call{
      .m_request = RequestId("r" + std::to_string(m_next_request++)),
      .m_program = caller.m_program,
      .m_root = caller.m_root,
      .m_turn = caller.m_turn,
      .m_token = caller.m_token,
      .m_class = ClassId("any"),
      .m_content = ContentOf(caller),
      .m_max_tokens = Tokens(10),
      .m_cost_bound = Cost(kAttemptCostBound),
      .m_deadline = m_now + kDeadline};
  call.m_service = ServiceId("chat");
  if (caller.m_non_repeatable) {
    call.m_kind = ServiceKind::kPlain;
    call.m_service = ServiceId("book");
    call.m_repeatable = false;
    if (caller.m_turn.value() % 2 == 0) {
      call.m_key = IdempotencyKey("key-" + call.m_content.value());
    }
  }
  const auto route = RouteCall(*host->second.m_core, call, m_now);
  if (route.m_kind == Route::Kind::kRefuse) {
    return;
  }
  caller.m_requests.push_back(call.m_request);
  caller.m_sent = m_now;
  caller.m_waiting = true;
  const auto to =
      route.m_kind == Route::Kind::kLocal ? host->first : route.m_host;
  if (!m_partitioned.contains({host->first, to})) {
    m_deliveries.push_back({to, std::nullopt, CallArrived{call}});
  }
}

auto SimulatedCluster::RunOneCaller() -> void {
  auto& caller = m_callers[static_cast<std::size_t>(
      RandomBelow(static_cast<int>(m_callers.size())))];
  const auto waiting = caller.m_waiting && m_now < caller.m_sent + kCallTimeout;
  if (!caller.m_finished && !waiting) {
    Send(caller);
  }
}

auto SimulatedCluster::CheckDrain(const SimulatedHost& host,
                                  const CallAnswer& answer) -> void {
  const auto cut = answer.m_outcome == OutcomeKind::kUnknown &&
                   answer.m_reason == ReasonCode::kNotOwner &&
                   m_runs_by_request[answer.m_request] > 0;
  if (host.m_ref.m_host == m_draining && cut) {
    RecordViolation("planned stop interrupted a call: " +
                    answer.m_request.value());
  }
}

auto SimulatedCluster::HandleAnswer(const CallAnswer& answer) -> void {
  const auto found = std::find_if(m_callers.begin(), m_callers.end(),
                                  [&answer](const SimulatedCaller& caller) {
                                    return caller.m_program == answer.m_program;
                                  });
  if (found == m_callers.end()) {
    RecordViolation("answer for an unknown program: " +
                    answer.m_request.value());
    return;
  }
  auto& caller = *found;
  if (answer.m_outcome == OutcomeKind::kNotRun) {
    m_not_run.insert(answer.m_request);
    if (m_runs_by_request[answer.m_request] > 0) {
      RecordViolation("answered not_run, but it ran: " +
                      answer.m_request.value());
    }
  }
  CheckAnswer(caller, answer);
  CheckCopies(answer);
  const auto current =
      !caller.m_requests.empty() &&
      std::find(caller.m_requests.begin(), caller.m_requests.end(),
                answer.m_request) != caller.m_requests.end();
  if (!current || (!m_faults_ended && RandomBelow(10) == 0)) {
    return;  // Outdated, or lost before it reached the caller.
  }
  caller.m_waiting = false;
  caller.m_finished = answer.m_reason == ReasonCode::kBudgetExceeded ||
                      answer.m_reason == ReasonCode::kQuarantined;
  if (!answer.m_token) {
    return;
  }
  if (answer.m_provisional) {
    m_provisional.push_back(*answer.m_token);
  }
  ++m_result.m_answers;
  m_result.m_provisional += answer.m_provisional ? 1 : 0;
  caller.m_token = answer.m_token;
  caller.m_turn = caller.m_turn.Next();
  caller.m_requests.clear();
  caller.m_non_repeatable = RandomBelow(5) == 0;
}

auto SimulatedCluster::CheckAnswer(const SimulatedCaller& caller,
                                   const CallAnswer& answer) -> void {
  if (!answer.m_token) {
    return;
  }
  const auto content =
      caller.m_program.value() + "#" + std::to_string(answer.m_turn.value());
  const auto matches = answer.m_body.rfind(content + "@", 0) == 0;
  if (answer.m_outcome == OutcomeKind::kDone && !matches) {
    RecordViolation("wrong answer: " + answer.m_body + " for " + content);
  }
  auto& last = m_last_token[answer.m_program];
  if (last.m_turn <= answer.m_turn) {
    last = *answer.m_token;
  }
  auto& released = m_released[{answer.m_program, answer.m_turn}];
  const auto first = released.m_body.empty();
  const auto provisional = released.m_provisional || answer.m_provisional;
  if (!first && released.m_body != answer.m_body && !provisional) {
    RecordHistoryViolation("two different answers for " + content,
                           caller.m_program);
  }
  released = {answer.m_body, provisional};
}

auto SimulatedCluster::CopiesOf(const ProgramId& program,
                                Turn turn,
                                const Digest& chain) -> std::set<HostId> {
  std::set<HostId> copies;
  for (auto& [id, host] : m_hosts) {
    if (host.m_core == nullptr) {
      continue;
    }
    for (auto& [pool_id, pool] : host.m_core->m_pools) {
      auto* entry = pvt::FindProgram(pool.m_store, program);
      if (entry == nullptr) {
        continue;
      }
      auto histories = entry->m_branches;
      histories.push_back(entry->m_record);
      for (const auto& history : histories) {
        if (pvt::ChainAt(history, turn) == chain) {
          copies.insert(id);
        }
      }
    }
  }
  return copies;
}

auto SimulatedCluster::CheckCopies(const CallAnswer& answer) -> void {
  if (!answer.m_token || answer.m_provisional ||
      answer.m_token->m_holders.size() < 2) {
    return;
  }
  // A holder that crashed since then counts: it had the turn when it confirmed.
  const auto& holders = answer.m_token->m_holders;
  const auto crashed = std::any_of(holders.begin(), holders.end(),
                                   [this](const HostRef& holder) {
                                     return Find(holder.m_host).m_ref != holder;
                                   });
  const auto copies =
      CopiesOf(answer.m_program, answer.m_turn, answer.m_token->m_chain);
  if (copies.size() + (crashed ? 1 : 0) < 2) {
    RecordViolation("answer released with one copy: " +
                    answer.m_request.value());
  }
}

/// Both owners of the pool are up and the copy is complete.
auto SimulatedCluster::IsHealthy() const -> bool {
  const auto& owners = m_table.m_pools.begin()->second;
  const auto role = [&](const HostRef& ref) -> const pvt::PoolState* {
    const auto found = m_hosts.find(ref.m_host);
    if (found == m_hosts.end() || found->second.m_ref != ref ||
        !IsUp(found->second)) {
      return nullptr;
    }
    const auto pool = found->second.m_core->m_pools.find(owners.m_pool);
    const auto known = pool != found->second.m_core->m_pools.end() &&
                       pool->second.m_assignment.m_term == owners.m_term;
    return known ? &pool->second : nullptr;
  };
  const auto* primary = role(owners.m_primary);
  const auto* holder = role(owners.m_holder);
  return m_partitioned.empty() && primary != nullptr && holder != nullptr &&
         primary->m_role == pvt::PoolRole::kPrimary &&
         primary->m_mode == pvt::CopyMode::kHolder && holder->m_complete;
}

auto SimulatedCluster::HasCopyBesides(const SimulatedHost& victim,
                                      const ContinuationToken& token) -> bool {
  auto copies = CopiesOf(token.m_program, token.m_turn, token.m_chain);
  copies.erase(victim.m_ref.m_host);
  return !copies.empty();
}

auto SimulatedCluster::IsFaultAllowed(const SimulatedHost& victim) -> bool {
  if (!m_options.m_preserve_last_copy) {
    return true;
  }
  // A pool has two copies and tolerates one failure, then the next one once it
  // has two copies again. Platform outages occur at any time; in an outage a
  // host may fail if another one still has all released state.
  if (IsHealthy() && std::all_of(m_provisional.begin(), m_provisional.end(),
                                 [&](const ContinuationToken& token) {
                                   return HasCopyBesides(victim, token);
                                 })) {
    return true;
  }
  if (m_outage_until <= m_now) {
    return false;
  }
  std::set<HostId> others;
  for (const auto& [id, host] : m_hosts) {
    if (IsUp(host) && id != victim.m_ref.m_host) {
      others.insert(id);
    }
  }
  const auto kept = [&](const SimulatedCaller& caller) {
    const auto known = m_last_token.find(caller.m_program);
    const auto needed = known != m_last_token.end();
    const auto copies =
        needed ? CopiesOf(known->second.m_program, known->second.m_turn,
                          known->second.m_chain)
               : std::set<HostId>();
    return std::any_of(others.begin(), others.end(), [&](const HostId& host) {
      return (!needed || copies.contains(host)) &&
             KnownSpent(host, caller.m_root) >= m_spent[caller.m_root];
    });
  };
  return m_partitioned.empty() &&
         std::all_of(m_callers.begin(), m_callers.end(), kept);
}

auto SimulatedCluster::KnownSpent(const HostId& host, const ProgramId& root)
    -> Cost {
  Cost known;
  for (auto& [id, pool] : Find(host).m_core->m_pools) {
    const auto ledger = pool.m_store.m_ledgers.find(root);
    if (ledger != pool.m_store.m_ledgers.end()) {
      known = pvt::TotalSpent(ledger->second);
    }
    for (const auto& program : pool.m_store.m_trees[root]) {
      const auto& open = pool.m_store.m_programs.at(program).m_record.m_open;
      known += open ? open->m_amount : Cost(0);
    }
  }
  return known;
}

auto SimulatedCluster::RecordHistoryViolation(const std::string& what,
                                              const ProgramId& program)
    -> void {
  if (m_result.m_violation.empty()) {
    m_result.m_copies_lost = m_lost_histories.contains(program);
  }
  RecordViolation(what);
}

auto SimulatedCluster::RecordBudgetViolation(const ProgramId& root) -> void {
  if (m_result.m_violation.empty()) {
    m_result.m_copies_lost = m_lost_spends.contains(root);
  }
  RecordViolation("budget exceeded: " + root.value());
}

auto SimulatedCluster::NoteLostCopies(const SimulatedHost& victim) -> void {
  for (const auto& caller : m_callers) {
    const auto token = m_last_token.find(caller.m_program);
    if (token != m_last_token.end() && !HasCopyBesides(victim, token->second)) {
      m_lost_histories.insert(caller.m_program);
    }
    const auto known =
        std::any_of(m_hosts.begin(), m_hosts.end(), [&](const auto& item) {
          return item.first != victim.m_ref.m_host &&
                 item.second.m_core != nullptr &&
                 KnownSpent(item.first, caller.m_root) >=
                     m_spent[caller.m_root];
        });
    if (!known) {
      m_lost_spends.insert(caller.m_root);
    }
  }
}

auto SimulatedCluster::EndProgram(const ProgramId& program) -> void {
  for (auto& [id, host] : m_hosts) {
    if (IsUp(host)) {
      HandleEvent(host, ProgramEndRequested{program});
    }
  }
}

auto SimulatedCluster::Finish() -> void {
  m_faults_ended = true;
  m_partitioned.clear();
  m_outage_until = m_now;
  for (auto& [id, host] : m_hosts) {
    host.m_paused_until = m_now;
    host.m_down_until = m_now;
  }
  std::map<ProgramId, Turn> before;
  for (const auto& caller : m_callers) {
    before[caller.m_program] = caller.m_turn;
  }
  const auto stuck = [&before](const SimulatedCaller& caller) {
    return !caller.m_finished && caller.m_turn == before[caller.m_program];
  };
  // A host that found the platform down retries only after seconds.
  for (auto i = 0; i < m_options.m_steps * 10; ++i) {
    const auto waits = i < m_options.m_steps / 4 ||
                       std::any_of(m_callers.begin(), m_callers.end(), stuck);
    if (waits) {
      StepOnce();
    }
  }
  for (auto& caller : m_callers) {
    if (stuck(caller)) {
      RecordHistoryViolation(
          "history lost or program stuck: " + caller.m_program.value(),
          caller.m_program);
    }
    caller.m_finished = true;
  }
  for (auto i = 0; i < m_options.m_steps; ++i) {
    const auto& caller =
        m_callers[static_cast<std::size_t>(i / 50) % m_callers.size()];
    if (i % 50 == 0) {
      EndProgram(caller.m_program);
    }
    StepOnce();
  }
  for (const auto& [endpoint, holds] : m_kv_holds) {
    if (!holds.empty()) {
      RecordViolation("KV cache memory still held at " + endpoint.value());
    }
  }
}

auto RunRandomizedTest(const RandomizedTestOptions& options)
    -> RandomizedTestResult {
  SimulatedCluster cluster(options);
  for (auto i = 0; i < options.m_steps; ++i) {
    cluster.StepOnce();
    if (!cluster.result().m_violation.empty()) {
      return cluster.result();
    }
  }
  cluster.Finish();
  return cluster.result();
}

}  // namespace dotterelshed::randomized
