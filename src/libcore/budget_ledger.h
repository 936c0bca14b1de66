#ifndef DOTTERELSHED_LIBCORE_BUDGET_LEDGER_H_
#define DOTTERELSHED_LIBCORE_BUDGET_LEDGER_H_

#include "dotterelshed/turn_messages.h"

/// @file
/// Arithmetic on the budget of a program tree. A ledger is merged from any
/// number of old and new versions in any order; the result never shows less
/// than what was spent.

namespace dotterelshed::pvt {

/// Takes in everything that @p other knows.
auto MergeLedger(BudgetLedger& ledger, const BudgetLedger& other) -> void;

/// Adds to what @p host spent in @p term.
auto AddSpend(BudgetLedger& ledger,
              const HostRef& host,
              Term term,
              bool from_escrow,
              Cost amount) -> void;

/// Everything spent, from escrows too.
auto TotalSpent(const BudgetLedger& ledger) -> Cost;

/// What can't be used for new reservations: spends, and escrows in full even
/// where they are not spent. Open reservations come on top.
auto Committed(const BudgetLedger& ledger) -> Cost;

/// Makes sure that @p host has an escrow in @p term, of at most @p amount and
/// of what is left. Does nothing if it has one, shrunk or not.
auto OpenEscrow(BudgetLedger& ledger,
                const HostRef& host,
                Term term,
                Cost amount,
                Cost left) -> void;

/// Shrinks the escrow of @p host in @p term by up to @p amount, but not below
/// what it spent; returns by how much it shrank.
auto ShrinkEscrow(BudgetLedger& ledger,
                  const HostRef& host,
                  Term term,
                  Cost amount) -> Cost;

/// Closes all escrows of @p host in terms below @p term: that host has said
/// what it spent out of them and will not use them any more.
auto CloseEscrows(BudgetLedger& ledger, const HostRef& host, Term term) -> void;

/// What @p host may still spend on its own in @p term.
auto EscrowLeft(const BudgetLedger& ledger, const HostRef& host, Term term)
    -> Cost;

}  // namespace dotterelshed::pvt

#endif  // DOTTERELSHED_LIBCORE_BUDGET_LEDGER_H_
