#include "replication/pool_takeover.h"

#include <algorithm>

#include "call_attempts.h"
#include "core_route.h"
#include "program/budget_ledger.h"
#include "program/hold_reclaim.h"
#include "program/pool_budget.h"
#include "replication/change_replication.h"
#include "replication/copy_target.h"
#include "replication/turn_primary.h"

namespace dotterelshed::pvt {

namespace {

/// Part number of a copy that holds a single program.
constexpr int kSingleProgram = -1;

auto RunAction(StepContext& step, PoolState& pool, PoolAction action) -> void;

auto Advance(StepContext& step, PoolState& pool, PoolEvent event) -> void {
  const auto* next = step.m_core.m_pool_state_machine.Find(pool.m_role, event);
  if (next == nullptr) {
    return;
  }
  pool.m_role = next->m_to;
  for (const auto action : next->m_actions) {
    RunAction(step, pool, action);
  }
}

auto HeartbeatTimeout(const HostCore& core) -> Duration {
  return core.m_options.m_heartbeat_interval *
         core.m_options.m_missed_heartbeats;
}

/// Requests the pool's state from the hosts in m_collect_from.
auto SendCollectRequests(StepContext& step, PoolState& pool) -> void {
  const CollectRequest request{.m_pool = pool.m_assignment.m_pool,
                               .m_term = pool.m_assignment.m_term,
                               .m_from = step.m_core.m_options.m_self};
  for (const auto& host : pool.m_collect_from) {
    step.m_out.push_back(SendPeer{host.m_host, request});
  }
  pool.m_collect_sent = step.m_now;
}

auto StartCollect(StepContext& step, PoolState& pool) -> void {
  pool.m_collect_from.clear();
  pool.m_collect_since = step.m_now;
  if (step.m_core.m_options.m_mechanisms.m_collect_on_takeover) {
    for (const auto& member : step.m_core.m_live) {
      if (member.m_alive && member.m_host != step.m_core.m_options.m_self) {
        pool.m_collect_from.insert(member.m_host);
      }
    }
    pool.m_collect_from.insert(pool.m_former_owners.begin(),
                               pool.m_former_owners.end());
  }
  SendCollectRequests(step, pool);
  if (pool.m_collect_from.empty()) {
    Advance(step, pool, PoolEvent::kCollected);
  }
}

/// Counts the open reservations of earlier owners as spent and releases the
/// holds of ended programs.
auto SettleInherited(StepContext& step, PoolState& pool) -> void {
  const auto& options = step.m_core.m_options;
  for (auto& [program, entry] : pool.m_store.m_programs) {
    if (options.m_mechanisms.m_settle_inherited) {
      SettleReservation(pool, entry.m_record);
    }
    entry.m_record.m_open.reset();
    for (auto& branch : entry.m_branches) {
      branch.m_open.reset();
    }
    if (entry.m_record.m_ended) {
      ReleaseProgramHolds(step, pool, entry);
    }
  }
}

/// Sends the next part of the pool's state to the copy holder.
auto SendCopyPart(StepContext& step, PoolState& pool) -> void {
  StateCopy copy{.m_pool = pool.m_assignment.m_pool,
                 .m_term = pool.m_assignment.m_term,
                 .m_from = step.m_core.m_options.m_self,
                 .m_part = pool.m_copy_part};
  const auto& programs = pool.m_store.m_programs;
  auto next = pool.m_copy_after ? programs.upper_bound(*pool.m_copy_after)
                                : programs.begin();
  const auto batch =
      static_cast<std::size_t>(step.m_core.m_options.m_copy_batch);
  pool.m_copy_upto = pool.m_copy_after;
  std::set<ProgramId> roots;
  while (next != programs.end() && copy.m_programs.size() < batch) {
    const auto& entry = next->second;
    copy.m_programs.insert(copy.m_programs.end(), entry.m_branches.begin(),
                           entry.m_branches.end());
    copy.m_programs.push_back(entry.m_record);
    roots.insert(entry.m_record.m_root);
    pool.m_copy_upto = next->first;
    ++next;
  }
  for (const auto& root : roots) {
    copy.m_ledgers.push_back(pool.m_store.m_ledgers.at(root));
  }
  copy.m_last = next == programs.end();
  pool.m_copy_sent = step.m_now;
  step.m_out.push_back(SendPeer{pool.m_target.m_host, std::move(copy)});
}

auto FinishCopy(StepContext& step, PoolState& pool) -> void {
  Advance(step, pool, PoolEvent::kCopied);
}

/// Renews the escrows, so that every host that may spend without confirmation
/// has a share in this term, and starts copying the state.
auto StartCopy(StepContext& step, PoolState& pool) -> void {
  RenewEscrows(step, pool);
  pool.m_copy_part = 0;
  pool.m_copy_after.reset();
  ChooseTarget(step, pool);
  const auto wait = step.m_core.m_options.m_mechanisms.m_copy_before_serving;
  if (pool.m_mode == CopyMode::kHolder) {
    SendCopyPart(step, pool);
  }
  if (pool.m_mode != CopyMode::kHolder || !wait) {
    FinishCopy(step, pool);
  }
}

/// Sends unconfirmed changes and serves the calls that waited.
auto StartServing(StepContext& step, PoolState& pool) -> void {
  ConfigurePolicies(step, pool);
  SendAllChanges(step, pool);
  ServeWaiting(step, pool);
}

/// Refuses the calls in progress from an older term; their answers are not
/// released any more.
auto DropCalls(StepContext& step, PoolState& pool) -> void {
  for (auto& [request, call] : pool.m_calls) {
    if (call.m_state == CallState::kReleased) {
      continue;
    }
    StopAttempts(step, pool, call);
    auto answer = MakeRefusal(call, ReasonCode::kNotOwner,
                              "another host owns the program's pool now");
    answer.m_retry_after = std::chrono::milliseconds(200);
    call.m_answer = std::move(answer);
    AdvanceCall(step, pool, call, CallEvent::kSuperseded);
  }
  for (auto& [program, entry] : pool.m_store.m_programs) {
    if (entry.m_record.m_open &&
        entry.m_record.m_open->m_host == step.m_core.m_options.m_self) {
      // The newer version keeps other hosts from settling it a second time.
      SettleReservation(pool, entry.m_record);
      ++entry.m_record.m_sequence;
    }
  }
  pool.m_changes.clear();
  pool.m_policies.clear();
  RemoveReleasedCalls(pool);
  if (pool.m_role != PoolRole::kCollecting) {
    ServeWaiting(step, pool);
  }
}

auto RunAction(StepContext& step, PoolState& pool, PoolAction action) -> void {
  switch (action) {
    case PoolAction::kCollectState:
      StartCollect(step, pool);
      return;
    case PoolAction::kSettleInherited:
      SettleInherited(step, pool);
      return;
    case PoolAction::kCopyState:
      StartCopy(step, pool);
      return;
    case PoolAction::kServeWaiting:
      StartServing(step, pool);
      return;
    case PoolAction::kDropCalls:
      DropCalls(step, pool);
      return;
  }
}

/// Event that a new assignment causes on this host.
auto EventForAssignment(const HostCore& core,
                        const PoolState& pool,
                        const PoolAssignment& after) -> PoolEvent {
  const auto& self = core.m_options.m_self;
  if (after.m_primary != self) {
    return after.m_holder == self ? PoolEvent::kMadeHolder
                                  : PoolEvent::kMadeNone;
  }
  const auto& before = pool.m_assignment;
  const auto stayed = before.m_primary == self &&
                      before.m_primary_since == after.m_primary_since;
  return stayed ? PoolEvent::kHolderChanged : PoolEvent::kMadePrimary;
}

/// Updates the hosts to ask if this host takes over without a complete copy.
auto UpdateFormerOwners(const HostCore& core,
                        PoolState& pool,
                        const PoolAssignment& before) -> void {
  const auto complete = pool.m_role == PoolRole::kPrimary ||
                        (pool.m_role == PoolRole::kHolder && pool.m_complete);
  if (complete) {
    pool.m_former_owners.clear();
    return;
  }
  for (const auto& owner : {before.m_primary, before.m_holder}) {
    if (!owner.m_host.empty() && owner != core.m_options.m_self) {
      pool.m_former_owners.insert(owner);
    }
  }
}

auto MergeReceived(StepContext& step,
                   PoolState& pool,
                   const std::vector<ProgramRecord>& programs,
                   const std::vector<BudgetLedger>& ledgers) -> void {
  MergeLedgers(pool.m_store, ledgers);
  for (const auto& record : programs) {
    const auto open = pool.m_open.find(record.m_program);
    if (open == pool.m_open.end()) {
      MergeProgram(pool.m_store, record, false, step.m_now);
      continue;
    }
    auto& call = pool.m_calls.at(open->second);
    const auto& entry = pool.m_store.m_programs.at(record.m_program);
    const auto longer = record.m_turns.size() > entry.m_record.m_turns.size();
    if (longer && call.m_state == CallState::kReserving) {
      // The turn is already recorded; the caller's retry gets its answer.
      call.m_may_have_run = true;
      RefuseCall(
          step, pool, call,
          MakeRefusal(call, ReasonCode::kNotOwner,
                      "the turn is already recorded; send the call again"));
      MergeProgram(pool.m_store, record, false, step.m_now);
    } else {
      MergeProgram(pool.m_store, record, true, step.m_now);
    }
  }
}

/// Handles the reply of a holder of a token's history. Calls continue once a
/// reply contains the history or all replies have arrived.
auto ResumeFetchedCalls(StepContext& step,
                        PoolState& pool,
                        const CollectReply& reply) -> void {
  auto* entry = FindProgram(pool.m_store, *reply.m_program);
  for (auto& [request, call] : pool.m_calls) {
    if (call.m_state != CallState::kFetching ||
        call.m_call.m_program != *reply.m_program) {
      continue;
    }
    call.m_fetch_from.erase(reply.m_from);
    const auto& token = *call.m_call.m_token;
    const auto found = entry != nullptr &&
                       !pool.m_open.contains(*reply.m_program) &&
                       SelectHistory(*entry, token.m_turn, token.m_chain);
    if (found) {
      ReplicateProgram(step, pool, *entry);
    }
    if (found || call.m_fetch_from.empty()) {
      ResumeAfterFetch(step, pool, call);
    }
  }
}

/// Resends the changes that were refused before the program was copied.
auto ResendAfterCopy(StepContext& step,
                     PoolState& pool,
                     const StateCopyReply& reply) -> void {
  for (const auto& ledger : reply.m_ledgers) {
    const auto tree = pool.m_store.m_trees.find(ledger.m_root);
    if (tree == pool.m_store.m_trees.end()) {
      continue;
    }
    for (const auto& program : tree->second) {
      SendChange(step, pool, program);
    }
  }
  RemoveReleasedCalls(pool);
}

/// Closes the escrows of a host that has given up its earlier roles and
/// reported its spending.
auto CloseReportedEscrows(PoolState& pool, const HostRef& from) -> void {
  for (auto& [root, ledger] : pool.m_store.m_ledgers) {
    CloseEscrows(ledger, from, pool.m_assignment.m_term);
  }
}

}  // namespace

auto OnRoleChange(StepContext& step, const RoleChange& change) -> void {
  const auto& after = change.m_after;
  const auto& id = after.m_pool.empty() ? change.m_before.m_pool : after.m_pool;
  auto& pool = step.m_core.m_pools[id];
  const auto removed = after.m_primary.m_host.empty();
  if (after.m_term <= pool.m_assignment.m_term && !removed) {
    return;
  }
  UpdateFormerOwners(step.m_core, pool, change.m_before);
  const auto event = EventForAssignment(step.m_core, pool, after);
  pool.m_assignment = after;
  pool.m_assignment.m_pool = id;
  // A pool that is removed and set up again starts from its first term.
  pool.m_highest = removed ? Term(0) : std::max(pool.m_highest, after.m_term);
  pool.m_next_part = 0;
  pool.m_complete = false;
  if (event == PoolEvent::kHolderChanged) {
    RenewReservations(step, pool);
  }
  Advance(step, pool, event);
  ChooseTarget(step, pool);
}

auto RecopyToHolder(StepContext& step, PoolState& pool) -> void {
  Advance(step, pool, PoolEvent::kHolderChanged);
}

auto OnStateCopyReply(StepContext& step, const StateCopyReply& reply) -> void {
  const auto found = step.m_core.m_pools.find(reply.m_pool);
  if (found == step.m_core.m_pools.end()) {
    return;
  }
  auto& pool = found->second;
  ObserveTerm(step, pool, reply.m_highest);
  const auto primary =
      pool.m_role == PoolRole::kCopying || pool.m_role == PoolRole::kPrimary;
  if (!primary || reply.m_term != pool.m_assignment.m_term ||
      reply.m_from != pool.m_target ||
      pool.m_highest > pool.m_assignment.m_term) {
    return;
  }
  MergeReceived(step, pool, reply.m_longer, reply.m_ledgers);
  RemoveReleasedCalls(pool);
  if (reply.m_part == kSingleProgram && reply.m_accepted) {
    ResendAfterCopy(step, pool, reply);
  }
  const auto expected =
      pool.m_role == PoolRole::kCopying && reply.m_part == pool.m_copy_part;
  if (!expected || !reply.m_accepted) {
    return;
  }
  const auto& programs = pool.m_store.m_programs;
  ++pool.m_copy_part;
  pool.m_copy_after = pool.m_copy_upto;
  const auto last = !pool.m_copy_after ||
                    programs.upper_bound(*pool.m_copy_after) == programs.end();
  if (last) {
    FinishCopy(step, pool);
  } else {
    SendCopyPart(step, pool);
  }
}

auto OnCollectReply(StepContext& step, const CollectReply& reply) -> void {
  const auto found = step.m_core.m_pools.find(reply.m_pool);
  if (found == step.m_core.m_pools.end()) {
    return;
  }
  auto& pool = found->second;
  if (reply.m_program) {
    MergeReceived(step, pool, reply.m_programs, reply.m_ledgers);
    ResumeFetchedCalls(step, pool, reply);
    RemoveReleasedCalls(pool);
    return;
  }
  if (reply.m_term != pool.m_assignment.m_term ||
      pool.m_highest > pool.m_assignment.m_term) {
    return;
  }
  MergeReceived(step, pool, reply.m_programs, reply.m_ledgers);
  CloseReportedEscrows(pool, reply.m_from);
  RemoveReleasedCalls(pool);
  if (pool.m_role == PoolRole::kCollecting &&
      pool.m_collect_from.erase(reply.m_from) > 0 &&
      pool.m_collect_from.empty()) {
    Advance(step, pool, PoolEvent::kCollected);
  }
}

auto TickTakeover(StepContext& step, PoolState& pool) -> void {
  const auto retry = step.m_core.m_options.m_copy_retry;
  if (pool.m_role == PoolRole::kCollecting) {
    if (step.m_now >= pool.m_collect_since + HeartbeatTimeout(step.m_core)) {
      pool.m_collect_from.clear();
      Advance(step, pool, PoolEvent::kCollected);
    } else if (step.m_now >= pool.m_collect_sent + retry) {
      SendCollectRequests(step, pool);
    }
  }
  if (pool.m_role == PoolRole::kCopying) {
    if (pool.m_mode != CopyMode::kHolder) {
      FinishCopy(step, pool);
    } else if (step.m_now >= pool.m_copy_sent + retry) {
      SendCopyPart(step, pool);
    }
  }
}

auto ObserveTerm(StepContext& step, PoolState& pool, Term term) -> void {
  if (term <= pool.m_highest) {
    return;
  }
  pool.m_highest = term;
  if (pool.m_role == PoolRole::kNone) {
    return;
  }
  step.m_out.push_back(ReadTable{step.m_core.m_options.m_domain});
  step.m_out.push_back(WriteLog{LogEventId::kStaleTermSeen,
                                {{"pool", pool.m_assignment.m_pool.value()},
                                 {"term", std::to_string(term.value())}}});
}

auto CopyProgram(StepContext& step, PoolState& pool, const ProgramId& program)
    -> void {
  const auto& entry = pool.m_store.m_programs.at(program);
  StateCopy copy{
      .m_pool = pool.m_assignment.m_pool,
      .m_term = pool.m_assignment.m_term,
      .m_from = step.m_core.m_options.m_self,
      .m_programs = entry.m_branches,
      .m_ledgers = {pool.m_store.m_ledgers.at(entry.m_record.m_root)},
      .m_part = kSingleProgram};
  copy.m_programs.push_back(entry.m_record);
  step.m_out.push_back(SendPeer{pool.m_target.m_host, std::move(copy)});
}

auto FetchHistory(StepContext& step, PoolState& pool, PendingCall& call)
    -> void {
  const CollectRequest request{.m_pool = pool.m_assignment.m_pool,
                               .m_term = pool.m_assignment.m_term,
                               .m_from = step.m_core.m_options.m_self,
                               .m_program = call.m_call.m_program};
  for (const auto& holder : call.m_call.m_token->m_holders) {
    if (holder != step.m_core.m_options.m_self) {
      call.m_fetch_from.insert(holder);
      step.m_out.push_back(SendPeer{holder.m_host, request});
    }
  }
  if (call.m_fetch_from.empty()) {
    ResumeAfterFetch(step, pool, call);
  }
}

}  // namespace dotterelshed::pvt
