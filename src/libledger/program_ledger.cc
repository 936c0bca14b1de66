#include "dotterelshed/program_ledger.h"

#include <algorithm>

namespace dotterelshed {

namespace {

auto SumRunning(const ProgramAccount& account) -> Tokens {
  Tokens sum{0};
  for (const auto& [request, most] : account.m_running) {
    sum += most;
  }
  return sum;
}

/// Bound that the record should give, so that the next turns need no other.
auto WantedBound(const ProgramLedger& ledger, const ProgramAccount& account)
    -> Tokens {
  const auto granted = account.m_spent + SumRunning(account);
  const auto& options = ledger.m_options;
  const auto left = account.m_budget - granted;
  const auto ahead = std::max(account.m_turn_max * options.m_turns_ahead,
                              Tokens(left.value() / options.m_ahead_divisor));
  return std::max(std::min(account.m_budget, granted + ahead), granted);
}

/// The most that all grants of a program may sum up to without a new record.
auto SecuredBound(const ProgramAccount& account) -> Tokens {
  return account.m_recording
             ? std::min(account.m_recorded, *account.m_recording)
             : account.m_recorded;
}

/// Opens an account. Until the settle time is over, a program may have had its
/// advance from an earlier lead.
auto OpenAccount(ProgramLedger& ledger,
                 const GrantRequest& request,
                 TimePoint now) -> ProgramAccount& {
  auto& account = ledger.m_accounts[request.m_program];
  account.m_budget = request.m_budget;
  account.m_advance_used = now - ledger.m_since < ledger.m_options.m_settle_time;
  const auto blind = ledger.m_blind_grants.find(request.m_program);
  if (blind != ledger.m_blind_grants.end()) {
    account.m_spent = blind->second.m_turn_max;
    account.m_advance_used = true;
    ledger.m_blind_grants.erase(blind);
  }
  return account;
}

auto IsFirstTurn(const ProgramAccount& account) -> bool {
  return account.m_spent == Tokens(0) && account.m_running.empty();
}

}  // namespace

auto RequestGrant(ProgramLedger& ledger,
                  const GrantRequest& request,
                  TimePoint now) -> GrantDecision {
  const auto found = ledger.m_accounts.find(request.m_program);
  auto& account = found == ledger.m_accounts.end()
                      ? OpenAccount(ledger, request, now)
                      : found->second;
  account.m_last_used = now;
  account.m_turn_max = std::max(account.m_turn_max, request.m_turn_max);
  if (account.m_budget == Tokens(0)) {
    account.m_budget = request.m_budget;
  }
  if (account.m_running.contains(request.m_request)) {
    return GrantDecision::kGranted;
  }
  const auto granted =
      account.m_spent + SumRunning(account) + request.m_turn_max;
  if (granted > account.m_budget) {
    return GrantDecision::kBudgetSpent;
  }
  const auto advance = !account.m_advance_used && IsFirstTurn(account);
  if (granted > SecuredBound(account) && !advance) {
    ledger.m_dirty = true;
    return GrantDecision::kNeedsRecord;
  }
  account.m_advance_used = true;
  account.m_running.emplace(request.m_request, request.m_turn_max);
  if (granted + request.m_turn_max > account.m_recorded &&
      account.m_recorded < account.m_budget) {
    ledger.m_dirty = true;
  }
  return GrantDecision::kGranted;
}

auto RequestBlindGrant(ProgramLedger& ledger,
                       const GrantRequest& request,
                       TimePoint now) -> bool {
  // A lead that has just begun can't know whom the one before gave a turn.
  const auto settled = now - ledger.m_since >= ledger.m_options.m_settle_time;
  if (!settled || request.m_turn_max > request.m_budget) {
    return false;
  }
  const auto [grant, is_new] = ledger.m_blind_grants.try_emplace(
      request.m_program,
      BlindGrant{request.m_request, request.m_turn_max, now});
  return is_new || grant->second.m_request == request.m_request;
}

auto SettleTurn(ProgramLedger& ledger,
                const ProgramId& program,
                const RequestId& request,
                Tokens used,
                TimePoint now) -> void {
  const auto found = ledger.m_accounts.find(program);
  if (found == ledger.m_accounts.end()) {
    return;
  }
  auto& account = found->second;
  const auto running = account.m_running.find(request);
  if (running == account.m_running.end()) {
    // Granted by an earlier lead, whose record holds it already.
    return;
  }
  account.m_spent += std::min(used, running->second);
  account.m_running.erase(running);
  account.m_last_used = now;
}

auto KnowsProgram(const ProgramLedger& ledger, const ProgramId& program)
    -> bool {
  return ledger.m_accounts.contains(program);
}

auto BeginRecord(ProgramLedger& ledger) -> LedgerRecord {
  LedgerRecord record;
  for (auto& [program, account] : ledger.m_accounts) {
    const auto bound = WantedBound(ledger, account);
    record.m_bounds.emplace(program, bound);
    account.m_recording =
        std::min(account.m_recording.value_or(bound), bound);
  }
  ledger.m_dirty = false;
  return record;
}

auto NoteRecorded(ProgramLedger& ledger, const LedgerRecord& record) -> void {
  for (const auto& [program, bound] : record.m_bounds) {
    const auto found = ledger.m_accounts.find(program);
    if (found != ledger.m_accounts.end()) {
      found->second.m_recorded = bound;
      found->second.m_recording.reset();
    }
  }
}

auto AdoptRecord(ProgramLedger& ledger,
                 const LedgerRecord& record,
                 TimePoint now) -> void {
  ledger.m_accounts.clear();
  ledger.m_blind_grants.clear();
  ledger.m_since = now;
  ledger.m_dirty = false;
  for (const auto& [program, bound] : record.m_bounds) {
    auto& account = ledger.m_accounts[program];
    account.m_spent = bound;
    account.m_recorded = bound;
    account.m_last_used = now;
    account.m_advance_used = true;
  }
}

auto ForgetIdlePrograms(ProgramLedger& ledger, TimePoint now) -> void {
  std::erase_if(ledger.m_accounts, [&ledger, now](const auto& item) {
    return now - item.second.m_last_used > ledger.m_options.m_retention;
  });
  std::erase_if(ledger.m_blind_grants, [&ledger, now](const auto& item) {
    return now - item.second.m_granted_at > ledger.m_options.m_retention;
  });
}

}  // namespace dotterelshed
