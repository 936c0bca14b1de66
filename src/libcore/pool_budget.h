#ifndef DOTTERELSHED_LIBCORE_POOL_BUDGET_H_
#define DOTTERELSHED_LIBCORE_POOL_BUDGET_H_

#include "core_state.h"

/// @file
/// Who may spend what of the budgets of a pool's programs, in normal service
/// and while an owner of the pool is lost.

namespace dotterelshed::pvt {

/// True while this host spends only what nobody else can spend. A primary that
/// the table names without a copy holder spends the common budget, also while
/// it finds that there is nobody to copy to.
auto UsesEscrow(const PoolState& pool) -> bool;

/// Makes room for @p amount in the common budget, at the cost of the escrows
/// of the primary and of the copy holder, which has to confirm it.
auto TakeFromBudget(const HostCore& core,
                    const PoolState& pool,
                    BudgetLedger& ledger,
                    Cost amount) -> bool;

/// True if this host may spend @p amount more without asking another host.
auto FitsInEscrow(const HostCore& core,
                  const PoolState& pool,
                  const BudgetLedger& ledger,
                  Cost amount) -> bool;

/// Counts the open reservation of @p record as spent.
auto SettleReservation(PoolState& pool, ProgramRecord& record) -> void;

/// Closes this host's escrows of earlier terms and opens those of this one.
auto RenewEscrows(StepContext& step, PoolState& pool) -> void;

/// This host's own open reservations go on in the new term.
auto RenewReservations(StepContext& step, PoolState& pool) -> void;

/// Gives the primary and the copy holder of this term their escrows.
auto OpenEscrows(StepContext& step, PoolState& pool, BudgetLedger& ledger)
    -> void;

/// Spend and remaining budget, written into @p answer.
auto FillBudget(const PoolState& pool,
                const ProgramId& root,
                CallAnswer& answer) -> void;

}  // namespace dotterelshed::pvt

#endif  // DOTTERELSHED_LIBCORE_POOL_BUDGET_H_
