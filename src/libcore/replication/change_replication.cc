#include "replication/change_replication.h"

#include <algorithm>

#include "core_route.h"
#include "digests.h"
#include "program/budget_ledger.h"
#include "program/hold_reclaim.h"
#include "program/pool_budget.h"
#include "replication/pool_takeover.h"
#include "replication/turn_primary.h"

namespace dotterelshed::pvt {

namespace {

auto MarkChanged(const HostCore& core,
                 const PoolState& pool,
                 ProgramRecord& record) -> void {
  ++record.m_sequence;
  record.m_writer = core.m_options.m_self;
  record.m_term = pool.m_assignment.m_term;
}

auto MakeReserve(const HostCore& core,
                 const PoolState& pool,
                 const ProgramRecord& record) -> ReserveRequest {
  ReserveRequest message{.m_pool = pool.m_assignment.m_pool,
                         .m_term = pool.m_assignment.m_term,
                         .m_from = core.m_options.m_self,
                         .m_program = record.m_program,
                         .m_sequence = record.m_sequence,
                         .m_reservation = *record.m_open,
                         .m_previous_chain = ChainEnd(record),
                         .m_ledger = pool.m_store.m_ledgers.at(record.m_root)};
  if (record.m_turns.empty()) {
    message.m_new_program = record;
  }
  return message;
}

auto MakeAppend(const HostCore& core,
                const PoolState& pool,
                const ProgramRecord& record,
                const Digest& previous,
                const std::optional<TurnRecord>& turn) -> AppendRequest {
  return {.m_pool = pool.m_assignment.m_pool,
          .m_term = pool.m_assignment.m_term,
          .m_from = core.m_options.m_self,
          .m_program = record.m_program,
          .m_sequence = record.m_sequence,
          .m_previous_chain = previous,
          .m_record = turn,
          .m_ledger = pool.m_store.m_ledgers.at(record.m_root),
          .m_holds = record.m_holds,
          .m_ended = record.m_ended};
}

/// Final cost of a call: the cost of finished attempts plus the bound for each
/// attempt that may still run.
auto FinalCost(const PendingCall& call) -> Cost {
  const auto running = static_cast<std::int64_t>(call.m_running.size());
  return call.m_cost + call.m_call.m_cost_bound * running;
}

auto MakeTurn(const PendingCall& call, const ProgramRecord& record, bool alone)
    -> TurnRecord {
  TurnRecord turn{.m_turn = call.m_call.m_turn,
                  .m_request = call.m_call.m_request,
                  .m_content = call.m_call.m_content,
                  .m_outcome = call.m_answer->m_outcome,
                  .m_reason = call.m_answer->m_reason,
                  .m_http_status = call.m_answer->m_http_status,
                  .m_answer = call.m_answer->m_body,
                  .m_usage = call.m_usage,
                  .m_provisional = alone};
  turn.m_chain = ChainDigest(record.m_program, ChainEnd(record), turn);
  return turn;
}

auto AttachToken(const HostCore& core, const PoolState& pool, PendingCall& call)
    -> void {
  const auto& turn =
      pool.m_store.m_programs.at(call.m_call.m_program).m_record.m_turns.back();
  const auto& ledger = pool.m_store.m_ledgers.at(call.m_call.m_root);
  call.m_answer->m_token =
      ContinuationToken{.m_program = call.m_call.m_program,
                        .m_turn = turn.m_turn,
                        .m_chain = turn.m_chain,
                        .m_holders = {core.m_options.m_self},
                        .m_spent = TotalSpent(ledger)};
  if (pool.m_mode != CopyMode::kAlone) {
    call.m_answer->m_token->m_holders.push_back(pool.m_target);
  }
}

/// Handles the confirmation of the pending change of @p program.
auto ConfirmChange(StepContext& step, PoolState& pool, const ProgramId& program)
    -> void {
  pool.m_changes.erase(program);
  pool.m_store.m_programs.at(program).m_confirmed_by = pool.m_target;
  const auto open = pool.m_open.find(program);
  if (open == pool.m_open.end()) {
    return;
  }
  auto& call = pool.m_calls.at(open->second);
  if (call.m_state == CallState::kSettling) {
    AttachToken(step.m_core, pool, call);
    AdvanceCall(step, pool, call, CallEvent::kRecorded);
  } else {
    AdvanceCall(step, pool, call, CallEvent::kReserved);
  }
}

/// Checks an unconfirmed reservation against the budget again, since the copy
/// holder may have reported more spending. If it no longer fits, the call is
/// refused or, if an attempt already ran, its retry waits; returns true.
auto RefuseUnaffordable(StepContext& step,
                        PoolState& pool,
                        const ProgramId& program) -> bool {
  const auto& change = pool.m_changes.at(program);
  const auto* reserve = std::get_if<ReserveRequest>(&change.m_message);
  if (reserve == nullptr || reserve->m_reservation.m_from_escrow) {
    return false;
  }
  const auto& root = pool.m_store.m_programs.at(program).m_record.m_root;
  const auto& ledger = pool.m_store.m_ledgers.at(root);
  const auto total = Committed(ledger) + ReservedInTree(pool.m_store, root);
  if (total <= ledger.m_budget) {
    return false;
  }
  auto& call = pool.m_calls.at(pool.m_open.at(program));
  if (call.m_state == CallState::kReserving) {
    RefuseCall(
        step, pool, call,
        MakeRefusal(
            call, ReasonCode::kBudgetExceeded,
            "the remaining budget is below the cost bound of this call"));
  }
  return true;
}

/// True for a reservation from the shared budget in an outage: only the lost
/// copy holder may confirm it.
auto RequiresHolder(const PoolState& pool, const PendingChange& change)
    -> bool {
  const auto* reserve = std::get_if<ReserveRequest>(&change.m_message);
  return reserve != nullptr && !reserve->m_reservation.m_from_escrow &&
         UsesEscrow(pool);
}

template <typename Reply>
auto OnReply(StepContext& step, const Reply& reply) -> void {
  const auto found = step.m_core.m_pools.find(reply.m_pool);
  if (found == step.m_core.m_pools.end()) {
    return;
  }
  auto& pool = found->second;
  const auto strict = step.m_core.m_options.m_mechanisms.m_refuse_old_terms;
  if (strict) {
    ObserveTerm(step, pool, reply.m_highest);
  }
  const auto change = pool.m_changes.find(reply.m_program);
  const auto current = reply.m_term == pool.m_assignment.m_term &&
                       reply.m_from == pool.m_target &&
                       (!strict || pool.m_highest == pool.m_assignment.m_term);
  if (change == pool.m_changes.end() || !current) {
    return;
  }
  const auto sequence =
      std::visit([](const auto& message) { return message.m_sequence; },
                 change->second.m_message);
  if (sequence != reply.m_sequence) {
    return;
  }
  if (reply.m_accepted) {
    ConfirmChange(step, pool, reply.m_program);
    RemoveReleasedCalls(pool);
    return;
  }
  // The receiver's history differs from this host's; copy the program first.
  auto& copied = change->second.m_copied;
  const auto retry = step.m_core.m_options.m_copy_retry;
  if (!copied || step.m_now >= *copied + retry) {
    copied = step.m_now;
    CopyProgram(step, pool, reply.m_program);
  }
}

/// Updates a change with the current term, ledger and chain end, which may have
/// changed since it was created or last sent.
auto RefreshChange(const PoolState& pool,
                   const ProgramId& program,
                   PendingChange& change) -> void {
  const auto& record = pool.m_store.m_programs.at(program).m_record;
  const auto& ledger = pool.m_store.m_ledgers.at(record.m_root);
  std::visit(
      [&pool, &ledger](auto& message) {
        message.m_term = pool.m_assignment.m_term;
        message.m_ledger = ledger;
      },
      change.m_message);
  auto* append = std::get_if<AppendRequest>(&change.m_message);
  if (append != nullptr && !append->m_record) {
    append->m_previous_chain = ChainEnd(record);
  }
}

}  // namespace

auto SendAllChanges(StepContext& step, PoolState& pool) -> void {
  std::vector<ProgramId> pending;
  for (const auto& [program, change] : pool.m_changes) {
    pending.push_back(program);
  }
  for (const auto& program : pending) {
    SendChange(step, pool, program);
  }
}

auto ReserveAttempts(StepContext& step,
                     PoolState& pool,
                     PendingCall& call,
                     int attempts) -> bool {
  auto& core = step.m_core;
  auto& record = pool.m_store.m_programs.at(call.m_call.m_program).m_record;
  auto& ledger = pool.m_store.m_ledgers.at(record.m_root);
  const auto amount = call.m_call.m_cost_bound * attempts;
  const auto escrow = UsesEscrow(pool);
  const auto fits = escrow ? FitsInEscrow(core, pool, ledger, amount)
                           : TakeFromBudget(core, pool, ledger, amount);
  if (!fits) {
    return false;
  }
  const auto before = record.m_open ? record.m_open->m_amount : Cost(0);
  record.m_open = Reservation{.m_request = call.m_call.m_request,
                              .m_turn = call.m_call.m_turn,
                              .m_amount = before + amount,
                              .m_host = core.m_options.m_self,
                              .m_term = pool.m_assignment.m_term,
                              .m_from_escrow = escrow};
  record.m_last_attempted =
      std::max(record.m_last_attempted, call.m_call.m_turn);
  call.m_reserved_attempts += attempts;
  MarkChanged(core, pool, record);
  pool.m_changes[record.m_program] = {.m_message =
                                          MakeReserve(core, pool, record)};
  SendChange(step, pool, record.m_program);
  return true;
}

auto SettleCall(StepContext& step, PoolState& pool, PendingCall& call) -> void {
  auto& core = step.m_core;
  auto& entry = pool.m_store.m_programs.at(call.m_call.m_program);
  auto& record = entry.m_record;
  const auto open = record.m_open;
  if (open) {
    AddSpend(pool.m_store.m_ledgers.at(record.m_root), open->m_host,
             open->m_term, open->m_from_escrow, FinalCost(call));
    record.m_open.reset();
  }
  if (!call.m_record_turn && !call.m_may_have_run && call.m_first) {
    record.m_last_attempted = Turn(call.m_call.m_turn.value() - 1);
  }
  const auto previous = ChainEnd(record);
  std::optional<TurnRecord> turn;
  if (call.m_record_turn) {
    const auto provisional = UsesEscrow(pool);
    turn = MakeTurn(call, record, provisional);
    call.m_answer->m_provisional = provisional;
    record.m_turns.push_back(*turn);
    TrimAnswers(record, core.m_options.m_max_stored_answers);
    record.m_ended = record.m_ended || call.m_call.m_end_program;
  }
  MarkChanged(core, pool, record);
  pool.m_changes[record.m_program] = {
      .m_message = MakeAppend(core, pool, record, previous, turn)};
  SendChange(step, pool, record.m_program);
  if (record.m_ended) {
    EndTree(step, pool, record.m_program);
  }
}

auto EndProgramRecord(StepContext& step, PoolState& pool, ProgramEntry& entry)
    -> void {
  const auto ended = entry.m_record.m_ended;
  entry.m_record.m_ended = true;
  if (!ended && !pool.m_open.contains(entry.m_record.m_program)) {
    ReplicateProgram(step, pool, entry);
  }
}

auto EndTree(StepContext& step, PoolState& pool, const ProgramId& program)
    -> void {
  const auto tree = pool.m_store.m_trees.find(program);
  std::set<ProgramId> members{program};
  if (tree != pool.m_store.m_trees.end()) {
    members.insert(tree->second.begin(), tree->second.end());
  }
  for (const auto& member : members) {
    if (auto* entry = FindProgram(pool.m_store, member); entry != nullptr) {
      EndProgramRecord(step, pool, *entry);
      ReleaseProgramHolds(step, pool, *entry);
    }
  }
}

auto ReplicateProgram(StepContext& step, PoolState& pool, ProgramEntry& entry)
    -> void {
  auto& record = entry.m_record;
  MarkChanged(step.m_core, pool, record);
  pool.m_changes[record.m_program] = {
      .m_message = MakeAppend(step.m_core, pool, record, ChainEnd(record),
                              std::nullopt)};
  SendChange(step, pool, record.m_program);
}

auto SendChange(StepContext& step, PoolState& pool, const ProgramId& program)
    -> void {
  const auto stale = pool.m_highest > pool.m_assignment.m_term;
  if (pool.m_role == PoolRole::kCopying || stale) {
    return;  // Sent once the new copy holder has the whole state.
  }
  const auto found = pool.m_changes.find(program);
  if (found == pool.m_changes.end()) {
    return;
  }
  if (RequiresHolder(pool, found->second) ||
      RefuseUnaffordable(step, pool, program)) {
    return;
  }
  if (pool.m_mode == CopyMode::kAlone) {
    ConfirmChange(step, pool, program);
    return;
  }
  auto& change = found->second;
  change.m_sent = step.m_now;
  RefreshChange(pool, program, change);
  step.m_out.push_back(std::visit(
      [&pool](const auto& message) {
        return SendPeer{pool.m_target.m_host, message};
      },
      change.m_message));
  const auto& mechanisms = step.m_core.m_options.m_mechanisms;
  const auto reserve = std::holds_alternative<ReserveRequest>(change.m_message);
  if (reserve ? !mechanisms.m_reserve_before_run
              : !mechanisms.m_append_before_release) {
    ConfirmChange(step, pool, program);
  }
}

auto OnReserveReply(StepContext& step, const ReserveReply& reply) -> void {
  OnReply(step, reply);
}

auto OnAppendReply(StepContext& step, const AppendReply& reply) -> void {
  OnReply(step, reply);
}

auto ResendChanges(StepContext& step, PoolState& pool) -> void {
  std::vector<ProgramId> due;
  for (const auto& [program, change] : pool.m_changes) {
    if (step.m_now >= change.m_sent + step.m_core.m_options.m_copy_retry) {
      due.push_back(program);
    }
  }
  for (const auto& program : due) {
    SendChange(step, pool, program);
  }
  RemoveReleasedCalls(pool);
}

}  // namespace dotterelshed::pvt
