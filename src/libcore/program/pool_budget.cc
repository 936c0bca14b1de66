#include "program/pool_budget.h"

#include <algorithm>

#include "program/budget_ledger.h"

namespace dotterelshed::pvt {

namespace {

/// Sum of the open reservations from this host's escrow in a program tree.
auto OpenFromEscrow(const HostCore& core,
                    const PoolState& pool,
                    const ProgramId& root) -> Cost {
  Cost sum;
  const auto tree = pool.m_store.m_trees.find(root);
  if (tree == pool.m_store.m_trees.end()) {
    return sum;
  }
  for (const auto& program : tree->second) {
    const auto& open = pool.m_store.m_programs.at(program).m_record.m_open;
    if (open && open->m_from_escrow && open->m_host == core.m_options.m_self) {
      sum += open->m_amount;
    }
  }
  return sum;
}

}  // namespace

auto UsesEscrow(const PoolState& pool) -> bool {
  const auto alone_by_table = pool.m_assignment.m_holder.m_host.empty() &&
                              pool.m_role >= PoolRole::kCopying;
  return pool.m_mode != CopyMode::kHolder && !alone_by_table;
}

auto TakeFromBudget(const HostCore& core,
                    const PoolState& pool,
                    BudgetLedger& ledger,
                    Cost amount) -> bool {
  const auto open = ReservedInTree(pool.m_store, ledger.m_root);
  const auto left = ledger.m_budget - Committed(ledger) - open;
  auto lacking = amount - left;
  if (lacking <= Cost(0)) {
    return true;
  }
  const auto& self = core.m_options.m_self;
  const auto& holder = pool.m_assignment.m_holder;
  const auto term = pool.m_assignment.m_term;
  // Calls started while the copy holder was lost may still hold reservations
  // from this host's escrow.
  const auto own = EscrowLeft(ledger, self, term) -
                   OpenFromEscrow(core, pool, ledger.m_root);
  if (own + EscrowLeft(ledger, holder, term) < lacking) {
    return false;
  }
  lacking -= ShrinkEscrow(ledger, holder, term, lacking);
  ShrinkEscrow(ledger, self, term, lacking);
  return true;
}

auto FitsInEscrow(const HostCore& core,
                  const PoolState& pool,
                  const BudgetLedger& ledger,
                  Cost amount) -> bool {
  const auto left =
      EscrowLeft(ledger, core.m_options.m_self, pool.m_assignment.m_term) -
      OpenFromEscrow(core, pool, ledger.m_root);
  return amount <= left || !core.m_options.m_mechanisms.m_escrow;
}

auto FillBudget(const PoolState& pool,
                const ProgramId& root,
                CallAnswer& answer) -> void {
  const auto found = pool.m_store.m_ledgers.find(root);
  if (found == pool.m_store.m_ledgers.end()) {
    return;
  }
  const auto& ledger = found->second;
  const auto open = ReservedInTree(pool.m_store, root);
  answer.m_spent = TotalSpent(ledger) + open;
  answer.m_remaining = std::max(Cost(0), ledger.m_budget - answer.m_spent);
}

auto SettleReservation(PoolState& pool, ProgramRecord& record) -> void {
  if (record.m_open) {
    AddSpend(pool.m_store.m_ledgers[record.m_root], record.m_open->m_host,
             record.m_open->m_term, record.m_open->m_from_escrow,
             record.m_open->m_amount);
    record.m_open.reset();
  }
}

auto RenewEscrows(StepContext& step, PoolState& pool) -> void {
  for (auto& [root, ledger] : pool.m_store.m_ledgers) {
    CloseEscrows(ledger, step.m_core.m_options.m_self,
                 pool.m_assignment.m_term);
    OpenEscrows(step, pool, ledger);
  }
}

auto RenewReservations(StepContext& step, PoolState& pool) -> void {
  for (const auto& [program, request] : pool.m_open) {
    auto& open = pool.m_store.m_programs.at(program).m_record.m_open;
    if (open && open->m_host == step.m_core.m_options.m_self) {
      open->m_term = pool.m_assignment.m_term;
      open->m_from_escrow = false;
    }
  }
}

auto OpenEscrows(StepContext& step, PoolState& pool, BudgetLedger& ledger)
    -> void {
  constexpr std::int64_t kPercent = 100;
  const auto share = std::min(step.m_core.m_config->m_escrow_percent, 50);
  const Cost amount(ledger.m_budget.value() / kPercent * share);
  const auto open = ReservedInTree(pool.m_store, ledger.m_root);
  const auto& assignment = pool.m_assignment;
  if (assignment.m_holder.m_host.empty()) {
    return;
  }
  for (const auto& host : {assignment.m_primary, assignment.m_holder}) {
    const auto left = ledger.m_budget - Committed(ledger) - open;
    OpenEscrow(ledger, host, assignment.m_term, amount, left);
  }
}

}  // namespace dotterelshed::pvt
