#ifndef DOTTERELSHED_LIBCORE_PROGRAM_POOL_BUDGET_H_
#define DOTTERELSHED_LIBCORE_PROGRAM_POOL_BUDGET_H_

#include "core_state.h"

/// @file
/// Spending limits on the budgets of a pool's programs. In normal service the
/// primary spends the common budget. While an owner of the pool is lost, each
/// host spends only its escrow: a share set aside for it in advance.

namespace dotterelshed::pvt {

/// Whether this host is limited to its escrow, which no other host can spend.
/// A primary to which the domain table assigns no copy holder spends the
/// common budget, even if no host is available to confirm changes.
auto UsesEscrow(const PoolState& pool) -> bool;

/// Makes @p amount available in the common budget by shrinking the escrows of
/// the copy holder, which has to confirm it, and of the primary. Returns false
/// if they do not suffice.
auto TakeFromBudget(const HostCore& core,
                    const PoolState& pool,
                    BudgetLedger& ledger,
                    Cost amount) -> bool;

/// Whether this host may spend @p amount more from its escrow, without
/// confirmation by another host.
auto FitsInEscrow(const HostCore& core,
                  const PoolState& pool,
                  const BudgetLedger& ledger,
                  Cost amount) -> bool;

/// Counts the open reservation of @p record as spent.
auto SettleReservation(PoolState& pool, ProgramRecord& record) -> void;

/// Closes this host's escrows of earlier terms and opens all escrows of the
/// current term.
auto RenewEscrows(StepContext& step, PoolState& pool) -> void;

/// Moves this host's open reservations to the new term and the common budget.
auto RenewReservations(StepContext& step, PoolState& pool) -> void;

/// Opens the escrows of the primary and the copy holder for this term.
auto OpenEscrows(StepContext& step, PoolState& pool, BudgetLedger& ledger)
    -> void;

/// Writes the spent and the remaining budget of @p root into @p answer.
auto FillBudget(const PoolState& pool,
                const ProgramId& root,
                CallAnswer& answer) -> void;

}  // namespace dotterelshed::pvt

#endif  // DOTTERELSHED_LIBCORE_PROGRAM_POOL_BUDGET_H_
