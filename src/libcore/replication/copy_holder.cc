#include "replication/copy_holder.h"

#include <algorithm>

#include "program/budget_ledger.h"
#include "program/program_limits.h"
#include "replication/pool_takeover.h"

namespace dotterelshed::pvt {

namespace {

/// True if a message of @p term may change this host's state: messages of
/// earlier terms are rejected.
auto AcceptsTerm(StepContext& step, PoolState& pool, Term term) -> bool {
  ObserveTerm(step, pool, term);
  const auto current = term == pool.m_highest;
  return current || !step.m_core.m_options.m_mechanisms.m_refuse_old_terms;
}

/// True if changes of @p from are accepted. A primary of the current term
/// accepts none. A holder that spent from its escrow accepts none for that
/// program tree until the sender's ledger includes the spending.
auto AcceptsChangesFrom(const HostCore& core,
                        const PoolState& pool,
                        const HostRef& from,
                        const BudgetLedger& ledger) -> bool {
  if (pool.m_role != PoolRole::kHolder && pool.m_role != PoolRole::kNone) {
    return pool.m_assignment.m_term < pool.m_highest ||
           !core.m_options.m_mechanisms.m_refuse_old_terms;
  }
  const auto known = pool.m_store.m_ledgers.find(ledger.m_root);
  if (known == pool.m_store.m_ledgers.end() || from == core.m_options.m_self) {
    return true;
  }
  for (const auto& entry : known->second.m_spends) {
    if (entry.m_host != core.m_options.m_self || !entry.m_from_escrow) {
      continue;
    }
    const auto seen = std::any_of(
        ledger.m_spends.begin(), ledger.m_spends.end(),
        [&entry](const SpendEntry& other) {
          return other.m_host == entry.m_host && other.m_term == entry.m_term &&
                 other.m_from_escrow && other.m_amount >= entry.m_amount;
        });
    if (!seen) {
      return false;
    }
  }
  return true;
}

/// True while this host itself runs a call of the tree.
auto HasOwnCall(const PoolState& pool, const ProgramId& root) -> bool {
  return std::any_of(
      pool.m_open.begin(), pool.m_open.end(), [&pool, &root](const auto& open) {
        return pool.m_calls.at(open.second).m_call.m_root == root;
      });
}

/// kConflicting: a third host holds a reservation of the program in this term.
enum class ChangeOrder { kNew, kRepeat, kOld, kConflicting };

/// Position of a change in the sequence of changes of its program.
template <typename Message>
auto GetChangeOrder(const ProgramRecord& record,
                    const HostRef& self,
                    const Message& message) -> ChangeOrder {
  if (record.m_writer != message.m_from) {
    const auto conflicting = record.m_term == message.m_term && record.m_open &&
                             record.m_open->m_host != self &&
                             record.m_open->m_host != message.m_from;
    return conflicting ? ChangeOrder::kConflicting : ChangeOrder::kNew;
  }
  // A primary that keeps its role continues its sequence in the next term.
  if (message.m_sequence == record.m_sequence) {
    return ChangeOrder::kRepeat;
  }
  return message.m_sequence > record.m_sequence ? ChangeOrder::kNew
                                                : ChangeOrder::kOld;
}

template <typename Message>
auto Stamp(ProgramRecord& record, const Message& message) -> void {
  record.m_sequence = message.m_sequence;
  record.m_writer = message.m_from;
  record.m_term = message.m_term;
}

auto ApplyReserve(StepContext& step,
                  PoolState& pool,
                  const ReserveRequest& message) -> bool {
  auto* entry = FindProgram(pool.m_store, message.m_program);
  if (entry == nullptr && message.m_new_program) {
    if (!HasProgramCapacity(step.m_core)) {
      return false;
    }
    InsertProgram(pool.m_store, *message.m_new_program, step.m_now);
    MergeLedgers(pool.m_store, {message.m_ledger});
    return true;
  }
  if (entry == nullptr) {
    return false;
  }
  auto& record = entry->m_record;
  const auto order =
      GetChangeOrder(record, step.m_core.m_options.m_self, message);
  if (order == ChangeOrder::kRepeat || order == ChangeOrder::kOld) {
    return order == ChangeOrder::kRepeat;
  }
  if (order == ChangeOrder::kConflicting ||
      ChainEnd(record) != message.m_previous_chain) {
    return false;
  }
  Stamp(record, message);
  record.m_open = message.m_reservation;
  record.m_last_attempted =
      std::max(record.m_last_attempted, message.m_reservation.m_turn);
  entry->m_last_used = step.m_now;
  MergeLedgers(pool.m_store, {message.m_ledger});
  return true;
}

auto ApplyAppend(StepContext& step,
                 PoolState& pool,
                 const AppendRequest& message) -> bool {
  auto* entry = FindProgram(pool.m_store, message.m_program);
  if (entry == nullptr) {
    return false;
  }
  auto& record = entry->m_record;
  const auto order =
      GetChangeOrder(record, step.m_core.m_options.m_self, message);
  if (order == ChangeOrder::kRepeat || order == ChangeOrder::kOld) {
    return order == ChangeOrder::kRepeat;
  }
  // A copy of the whole program may already contain the turn.
  const auto known =
      message.m_record && ChainEnd(record) == message.m_record->m_chain;
  if (order == ChangeOrder::kConflicting ||
      (!known && ChainEnd(record) != message.m_previous_chain)) {
    return false;
  }
  Stamp(record, message);
  if (record.m_open && record.m_open->m_host == message.m_from) {
    record.m_open.reset();
  }
  record.m_holds = message.m_holds;
  record.m_ended = record.m_ended || message.m_ended;
  if (message.m_record && !known) {
    record.m_turns.push_back(*message.m_record);
    TrimAnswers(record, step.m_core.m_options.m_max_stored_answers);
  }
  entry->m_last_used = step.m_now;
  MergeLedgers(pool.m_store, {message.m_ledger});
  return true;
}

template <typename Reply, typename Message, typename Apply>
auto OnChange(StepContext& step, const Message& message, Apply apply) -> void {
  auto& pool = step.m_core.m_pools[message.m_pool];
  const auto accepted =
      AcceptsTerm(step, pool, message.m_term) &&
      AcceptsChangesFrom(step.m_core, pool, message.m_from, message.m_ledger) &&
      !HasOwnCall(pool, message.m_ledger.m_root) && apply(step, pool, message);
  step.m_out.push_back(SendPeer{message.m_from.m_host,
                                Reply{.m_pool = message.m_pool,
                                      .m_term = message.m_term,
                                      .m_from = step.m_core.m_options.m_self,
                                      .m_program = message.m_program,
                                      .m_sequence = message.m_sequence,
                                      .m_accepted = accepted,
                                      .m_highest = pool.m_highest}});
}

/// Merges a copied history into the store and collects in @p longer the local
/// histories that the copy lacks.
auto ApplyCopy(StepContext& step,
               PoolState& pool,
               const ProgramRecord& record,
               std::vector<ProgramRecord>& longer) -> void {
  auto* entry = FindProgram(pool.m_store, record.m_program);
  if (entry != nullptr &&
      !step.m_core.m_options.m_mechanisms.m_keep_longer_chain) {
    entry->m_record = record;
    entry->m_branches.clear();
    return;
  }
  if (entry != nullptr) {
    const auto beyond = MissingHistories(*entry, record);
    longer.insert(longer.end(), beyond.begin(), beyond.end());
  }
  MergeProgram(pool.m_store, record, false, step.m_now);
  // The sender continues this history; a differing local one becomes a branch.
  entry = FindProgram(pool.m_store, record.m_program);
  SelectHistory(*entry, ChainLength(record), ChainEnd(record));
}

/// Adds this host's histories of one program, from any of its pools.
auto AddProgram(HostCore& core, const ProgramId& program, CollectReply& reply)
    -> void {
  for (auto& [id, pool] : core.m_pools) {
    const auto* entry = FindProgram(pool.m_store, program);
    if (entry == nullptr) {
      continue;
    }
    reply.m_programs.insert(reply.m_programs.end(), entry->m_branches.begin(),
                            entry->m_branches.end());
    reply.m_programs.push_back(entry->m_record);
    reply.m_ledgers.push_back(
        pool.m_store.m_ledgers.at(entry->m_record.m_root));
  }
}

}  // namespace

auto OnReserveRequest(StepContext& step, const ReserveRequest& message)
    -> void {
  OnChange<ReserveReply>(step, message, ApplyReserve);
}

auto OnAppendRequest(StepContext& step, const AppendRequest& message) -> void {
  OnChange<AppendReply>(step, message, ApplyAppend);
}

auto OnStateCopy(StepContext& step, const StateCopy& message) -> void {
  auto& core = step.m_core;
  auto& pool = core.m_pools[message.m_pool];
  const auto single = message.m_part < 0;
  auto accepted =
      AcceptsTerm(step, pool, message.m_term) &&
      (pool.m_role == PoolRole::kHolder || pool.m_role == PoolRole::kNone);
  // A copy of the whole pool counts only for the current assignment.
  const auto assigned = pool.m_assignment.m_term == message.m_term &&
                        pool.m_role == PoolRole::kHolder;
  accepted =
      accepted && (single || (assigned && message.m_part <= pool.m_next_part));
  StateCopyReply reply{.m_pool = message.m_pool,
                       .m_term = message.m_term,
                       .m_from = core.m_options.m_self,
                       .m_part = message.m_part,
                       .m_accepted = accepted,
                       .m_highest = pool.m_highest};
  if (accepted) {
    for (const auto& record : message.m_programs) {
      if (!HasOwnCall(pool, record.m_root)) {
        ApplyCopy(step, pool, record, reply.m_longer);
      }
    }
    MergeLedgers(pool.m_store, message.m_ledgers);
    for (const auto& ledger : message.m_ledgers) {
      reply.m_ledgers.push_back(pool.m_store.m_ledgers.at(ledger.m_root));
    }
  }
  if (accepted && !single && message.m_part == pool.m_next_part) {
    ++pool.m_next_part;
    pool.m_complete = pool.m_complete || message.m_last;
  }
  step.m_out.push_back(SendPeer{message.m_from.m_host, std::move(reply)});
}

auto OnCollectRequest(StepContext& step, const CollectRequest& message)
    -> void {
  auto& core = step.m_core;
  CollectReply reply{.m_pool = message.m_pool,
                     .m_term = message.m_term,
                     .m_from = core.m_options.m_self,
                     .m_program = message.m_program};
  auto& pool = core.m_pools[message.m_pool];
  if (!message.m_program) {
    ObserveTerm(step, pool, message.m_term);
    reply.m_programs = AllHistories(pool.m_store);
    reply.m_ledgers = AllLedgers(pool.m_store);
  } else {
    AddProgram(core, *message.m_program, reply);
  }
  step.m_out.push_back(SendPeer{message.m_from.m_host, std::move(reply)});
}

}  // namespace dotterelshed::pvt
