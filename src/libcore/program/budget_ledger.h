#ifndef DOTTERELSHED_LIBCORE_PROGRAM_BUDGET_LEDGER_H_
#define DOTTERELSHED_LIBCORE_PROGRAM_BUDGET_LEDGER_H_

#include "dotterelshed/turn_messages.h"

/// @file
/// Arithmetic on the budget ledger of a program tree. Any number of old and new
/// versions can be merged in any order; the result never shows less than what
/// was spent.

namespace dotterelshed::pvt {

/// Merges @p other into @p ledger.
auto MergeLedger(BudgetLedger& ledger, const BudgetLedger& other) -> void;

/// Adds @p amount to what @p host spent in @p term.
auto AddSpend(BudgetLedger& ledger,
              const HostRef& host,
              Term term,
              bool from_escrow,
              Cost amount) -> void;

/// Total amount spent, including from escrows.
auto TotalSpent(const BudgetLedger& ledger) -> Cost;

/// Amount not available for new reservations: everything spent plus the unspent
/// part of all escrows. Open reservations are not included.
auto Committed(const BudgetLedger& ledger) -> Cost;

/// Opens an escrow for @p host in @p term, of the smaller of @p amount and
/// @p left. Does nothing if it has one already, even one that was shrunk.
auto OpenEscrow(BudgetLedger& ledger,
                const HostRef& host,
                Term term,
                Cost amount,
                Cost left) -> void;

/// Shrinks the escrow of @p host in @p term by up to @p amount, but not below
/// what was spent from it. Returns the amount by which it shrank.
auto ShrinkEscrow(BudgetLedger& ledger,
                  const HostRef& host,
                  Term term,
                  Cost amount) -> Cost;

/// Closes all escrows of @p host in terms before @p term. To be called once the
/// host has reported what it spent from them and no longer uses them.
auto CloseEscrows(BudgetLedger& ledger, const HostRef& host, Term term) -> void;

/// Unspent part of the escrow of @p host in @p term.
auto EscrowLeft(const BudgetLedger& ledger, const HostRef& host, Term term)
    -> Cost;

}  // namespace dotterelshed::pvt

#endif  // DOTTERELSHED_LIBCORE_PROGRAM_BUDGET_LEDGER_H_
