#include "program/budget_ledger.h"

#include <algorithm>

namespace dotterelshed::pvt {

namespace {

auto FindSpend(BudgetLedger& ledger,
               const HostRef& host,
               Term term,
               bool from_escrow) -> SpendEntry& {
  for (auto& entry : ledger.m_spends) {
    if (entry.m_host == host && entry.m_term == term &&
        entry.m_from_escrow == from_escrow) {
      return entry;
    }
  }
  ledger.m_spends.push_back(
      {.m_host = host, .m_term = term, .m_from_escrow = from_escrow});
  return ledger.m_spends.back();
}

auto FindEscrow(BudgetLedger& ledger, const HostRef& host, Term term)
    -> EscrowEntry* {
  for (auto& entry : ledger.m_escrows) {
    if (entry.m_host == host && entry.m_term == term) {
      return &entry;
    }
  }
  return nullptr;
}

auto EscrowSpent(const BudgetLedger& ledger, const HostRef& host, Term term)
    -> Cost {
  for (const auto& entry : ledger.m_spends) {
    if (entry.m_from_escrow && entry.m_host == host && entry.m_term == term) {
      return entry.m_amount;
    }
  }
  return Cost(0);
}

}  // namespace

auto MergeLedger(BudgetLedger& ledger, const BudgetLedger& other) -> void {
  if (ledger.m_root.empty()) {
    ledger = other;
    return;
  }
  for (const auto& entry : other.m_spends) {
    auto& local =
        FindSpend(ledger, entry.m_host, entry.m_term, entry.m_from_escrow);
    local.m_amount = std::max(local.m_amount, entry.m_amount);
  }
  for (const auto& entry : other.m_escrows) {
    auto* local = FindEscrow(ledger, entry.m_host, entry.m_term);
    if (local == nullptr) {
      ledger.m_escrows.push_back(entry);
    } else {
      local->m_amount = std::min(local->m_amount, entry.m_amount);
    }
  }
}

auto AddSpend(BudgetLedger& ledger,
              const HostRef& host,
              Term term,
              bool from_escrow,
              Cost amount) -> void {
  FindSpend(ledger, host, term, from_escrow).m_amount += amount;
}

auto TotalSpent(const BudgetLedger& ledger) -> Cost {
  Cost sum;
  for (const auto& entry : ledger.m_spends) {
    sum += entry.m_amount;
  }
  return sum;
}

auto Committed(const BudgetLedger& ledger) -> Cost {
  auto sum = TotalSpent(ledger);
  for (const auto& entry : ledger.m_escrows) {
    sum += EscrowLeft(ledger, entry.m_host, entry.m_term);
  }
  return sum;
}

auto OpenEscrow(BudgetLedger& ledger,
                const HostRef& host,
                Term term,
                Cost amount,
                Cost left) -> void {
  if (FindEscrow(ledger, host, term) != nullptr) {
    return;
  }
  const auto granted = std::max(Cost(0), std::min(amount, left));
  ledger.m_escrows.push_back(
      {.m_host = host, .m_term = term, .m_amount = granted});
}

auto ShrinkEscrow(BudgetLedger& ledger,
                  const HostRef& host,
                  Term term,
                  Cost amount) -> Cost {
  auto* entry = FindEscrow(ledger, host, term);
  if (entry == nullptr) {
    return Cost(0);
  }
  const auto shrunk = std::min(amount, EscrowLeft(ledger, host, term));
  entry->m_amount -= shrunk;
  return shrunk;
}

auto CloseEscrows(BudgetLedger& ledger, const HostRef& host, Term term)
    -> void {
  for (auto& entry : ledger.m_escrows) {
    if (entry.m_host == host && entry.m_term < term) {
      entry.m_amount = Cost(0);
    }
  }
}

auto EscrowLeft(const BudgetLedger& ledger, const HostRef& host, Term term)
    -> Cost {
  for (const auto& entry : ledger.m_escrows) {
    if (entry.m_host == host && entry.m_term == term) {
      const auto spent = EscrowSpent(ledger, host, term);
      return std::max(Cost(0), entry.m_amount - spent);
    }
  }
  return Cost(0);
}

}  // namespace dotterelshed::pvt
