#include "dotterelshed/program_ledger.h"

#include <algorithm>

namespace dotterelshed {

namespace {

/// Tokens spent plus those granted to running turns.
auto GrantedTokens(const ProgramAccount& account) -> Tokens {
  auto sum = account.m_spent;
  for (const auto& [request, tokens] : account.m_running) {
    sum += tokens;
  }
  return sum;
}

/// Bound to record so that the next turns need no further record.
auto TargetBound(const ProgramLedger& ledger, const ProgramAccount& account)
    -> Tokens {
  const auto granted = GrantedTokens(account);
  const auto& options = ledger.m_options;
  const auto left = account.m_budget - granted;
  const auto ahead = std::max(account.m_turn_max * options.m_reserved_turns,
                              Tokens(left.value() / options.m_reserve_divisor));
  return std::max(std::min(account.m_budget, granted + ahead), granted);
}

/// Lower limit of the bound that the store may hold.
auto SecuredBound(const ProgramAccount& account) -> Tokens {
  return account.m_pending_bound
             ? std::min(account.m_recorded_bound, *account.m_pending_bound)
             : account.m_recorded_bound;
}

/// The most that all grants of a program may add up to without a new record.
auto GrantLimit(const ProgramAccount& account) -> Tokens {
  const auto advance = account.m_has_advance ? account.m_turn_max : Tokens(0);
  return account.m_unverified
             ? advance
             : std::min(account.m_budget, SecuredBound(account) + advance);
}

/// True when no other lead can be giving advances, nor have given one to a
/// program that may still go on.
auto CanAdvance(const ProgramLedger& ledger, TimePoint now) -> bool {
  return ledger.m_advances &&
         now - ledger.m_confirmed_at < ledger.m_options.m_advance_lease;
}

/// Wait after a lead that may have given advances until its last confirmed
/// write is too old for that, and until the programs that had one are
/// forgotten.
auto FullAdvanceWait(const LedgerOptions& options) -> Duration {
  return options.m_advance_lease + options.m_retention;
}

/// Wait that a lead which hands over leaves to its successor. Unverified
/// accounts aren't in its record.
auto HandoverAdvanceWait(const ProgramLedger& ledger, TimePoint now)
    -> Duration {
  const auto unrecorded =
      std::any_of(ledger.m_accounts.begin(), ledger.m_accounts.end(),
                  [](const auto& item) { return item.second.m_unverified; });
  return unrecorded ? FullAdvanceWait(ledger.m_options)
                    : AdvanceWaitLeft(ledger, now);
}

auto OpenAccount(ProgramLedger& ledger,
                 const GrantRequest& request,
                 const GrantConditions& conditions,
                 TimePoint now) -> ProgramAccount& {
  auto& account = ledger.m_accounts[request.m_program];
  account.m_has_advance =
      CanAdvance(ledger, now) && !conditions.m_other_advance;
  account.m_unverified = conditions.m_unverified;
  return account;
}

template <typename Bound>
auto MakeRecord(ProgramLedger& ledger, TimePoint now, Bound bound_of)
    -> LedgerRecord {
  LedgerRecord record;
  ledger.m_write_started = now;
  for (auto& [program, account] : ledger.m_accounts) {
    if (account.m_unverified) {
      continue;
    }
    const Tokens bound = bound_of(account);
    record.m_bounds.emplace(program, bound);
    account.m_pending_bound =
        std::min(account.m_pending_bound.value_or(bound), bound);
  }
  ledger.m_dirty = false;
  return record;
}

auto AddRunning(LedgerRecord& record,
                const ProgramId& program,
                const ProgramAccount& account) -> void {
  for (const auto& [request, tokens] : account.m_running) {
    record.m_running.push_back({program, request, tokens});
  }
}

/// Moves the grants of @p record's running turns from spent to running.
auto RestoreRunning(ProgramLedger& ledger, const LedgerRecord& record) -> void {
  for (const auto& turn : record.m_running) {
    auto& account = ledger.m_accounts[turn.m_program];
    account.m_spent -= turn.m_tokens;
    account.m_running.emplace(turn.m_request, turn.m_tokens);
  }
}

/// The part of @p room that a turn of at most @p most tokens is granted.
auto PartialGrant(const ProgramLedger& ledger,
                  Tokens room,
                  Tokens most,
                  bool partial) -> Tokens {
  if (room >= most) {
    return most;
  }
  const auto least =
      Tokens(most.value() / ledger.m_options.m_min_partial_divisor);
  return partial && room >= least ? room : Tokens(0);
}

}  // namespace

auto ToString(GrantDecision decision) -> std::string_view {
  switch (decision) {
    case GrantDecision::kGranted:
      return "granted";
    case GrantDecision::kBudgetSpent:
      return "budget_spent";
    case GrantDecision::kNeedsRecord:
      return "needs_record";
    case GrantDecision::kUnread:
      return "unread";
  }
  return "needs_record";
}

auto RaiseBounds(LedgerRecord& record, const LedgerRecord& other) -> void {
  for (auto& [program, bound] : record.m_bounds) {
    const auto kept = other.m_bounds.find(program);
    if (kept != other.m_bounds.end()) {
      bound = std::max(bound, kept->second);
    }
  }
}

auto RequestGrant(ProgramLedger& ledger,
                  const GrantRequest& request,
                  const GrantConditions& conditions,
                  TimePoint now) -> TurnGrant {
  const auto found = ledger.m_accounts.find(request.m_program);
  auto& account = found == ledger.m_accounts.end()
                      ? OpenAccount(ledger, request, conditions, now)
                      : found->second;
  account.m_last_used = now;
  account.m_budget = std::max(account.m_budget, request.m_budget);
  account.m_turn_max = std::max(account.m_turn_max, request.m_turn_max);
  if (account.m_unverified) {
    account.m_unverified = conditions.m_unverified;
    account.m_has_advance =
        account.m_has_advance && !conditions.m_other_advance;
  }
  const auto running = account.m_running.find(request.m_request);
  if (running != account.m_running.end()) {
    return {GrantDecision::kGranted, running->second};
  }
  const auto most = request.m_turn_max;
  const auto granted = GrantedTokens(account);
  if (!account.m_unverified && granted + most > account.m_budget) {
    return {GrantDecision::kBudgetSpent};
  }
  if (account.m_unread) {
    return {GrantDecision::kUnread};
  }
  const auto tokens = PartialGrant(ledger, GrantLimit(account) - granted, most,
                                   conditions.m_allow_partial);
  const auto next_fits = granted + tokens + most <= SecuredBound(account) ||
                         SecuredBound(account) >= account.m_budget;
  ledger.m_dirty = ledger.m_dirty || (!account.m_unverified && !next_fits);
  if (tokens == Tokens(0) && most > Tokens(0)) {
    return {GrantDecision::kNeedsRecord};
  }
  account.m_running.emplace(request.m_request, tokens);
  return {GrantDecision::kGranted, tokens};
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
    // Granted by an earlier lead; the adopted bound includes it.
    return;
  }
  account.m_spent += std::min(used, running->second);
  account.m_running.erase(running);
  account.m_last_used = now;
}

auto HasVerifiedAccount(const ProgramLedger& ledger, const ProgramId& program)
    -> bool {
  const auto found = ledger.m_accounts.find(program);
  return found != ledger.m_accounts.end() && !found->second.m_unverified;
}

auto BeginRecord(ProgramLedger& ledger, TimePoint now) -> LedgerRecord {
  auto record =
      MakeRecord(ledger, now, [&ledger](const ProgramAccount& account) {
        return account.m_unread ? GrantedTokens(account)
                                : TargetBound(ledger, account);
      });
  const auto wait = AdvanceWaitLeft(ledger, now);
  if (wait > Duration{0}) {
    record.m_advance_wait = wait;
  }
  return record;
}

auto BeginHandoverRecord(ProgramLedger& ledger, TimePoint now) -> LedgerRecord {
  auto record = MakeRecord(ledger, now, GrantedTokens);
  record.m_advance_wait = HandoverAdvanceWait(ledger, now);
  ledger.m_advances = false;
  for (const auto& [program, account] : ledger.m_accounts) {
    if (!account.m_unverified) {
      AddRunning(record, program, account);
    }
  }
  return record;
}

auto NoteRecorded(ProgramLedger& ledger, const LedgerRecord& record) -> void {
  ledger.m_confirmed_at = ledger.m_write_started;
  ledger.m_advances = !record.m_advance_wait;
  for (const auto& [program, bound] : record.m_bounds) {
    const auto found = ledger.m_accounts.find(program);
    if (found != ledger.m_accounts.end()) {
      found->second.m_recorded_bound = bound;
      found->second.m_pending_bound.reset();
      found->second.m_in_store = true;
      found->second.m_has_advance = false;
    }
  }
}

auto NoteJournaled(ProgramLedger& ledger, const LedgerRecord& record) -> void {
  ledger.m_confirmed_at = ledger.m_write_started;
  for (const auto& [program, bound] : record.m_bounds) {
    const auto found = ledger.m_accounts.find(program);
    if (found == ledger.m_accounts.end()) {
      continue;
    }
    auto& account = found->second;
    // Leads of other domains read only the store: one would open a second
    // account of a program that isn't there.
    if (account.m_in_store) {
      account.m_recorded_bound = bound;
      account.m_pending_bound.reset();
      account.m_has_advance = false;
    }
  }
}

auto NoteFence(ProgramLedger& ledger) -> void {
  for (auto& [program, account] : ledger.m_accounts) {
    account.m_unverified = account.m_unverified || !account.m_in_store;
  }
}

auto AdvanceWaitLeft(const ProgramLedger& ledger, TimePoint now) -> Duration {
  return std::max(ledger.m_advance_from - now, Duration{0});
}

auto SetRetention(ProgramLedger& ledger, Duration retention, TimePoint now)
    -> void {
  const auto longer = retention - ledger.m_options.m_retention;
  if (now < ledger.m_advance_from && longer > Duration{0}) {
    ledger.m_advance_from += longer;
  }
  ledger.m_options.m_retention = retention;
}

auto AdoptRecord(ProgramLedger& ledger,
                 const LedgerRecord& record,
                 TimePoint now) -> void {
  ledger.m_accounts.clear();
  ledger.m_advance_from =
      now + record.m_advance_wait.value_or(FullAdvanceWait(ledger.m_options));
  ledger.m_advances = false;
  ledger.m_confirmed_at = now;
  ledger.m_dirty = false;
  for (const auto& [program, bound] : record.m_bounds) {
    auto& account = ledger.m_accounts[program];
    account.m_spent = bound;
    account.m_recorded_bound = bound;
    account.m_in_store = true;
    account.m_last_used = now;
  }
  RestoreRunning(ledger, record);
}

auto UnrecordedGrants(const ProgramLedger& ledger, TimePoint now)
    -> LedgerRecord {
  LedgerRecord unrecorded;
  for (const auto& [program, account] : ledger.m_accounts) {
    if (!account.m_in_store) {
      unrecorded.m_bounds.emplace(program, GrantedTokens(account));
      AddRunning(unrecorded, program, account);
    }
  }
  unrecorded.m_advance_wait = AdvanceWaitLeft(ledger, now);
  return unrecorded;
}

auto AdoptUnrecorded(ProgramLedger& ledger,
                     const LedgerRecord& unrecorded,
                     TimePoint now) -> void {
  LedgerRecord added;
  for (const auto& [program, bound] : unrecorded.m_bounds) {
    const auto [found, is_new] = ledger.m_accounts.try_emplace(program);
    if (is_new) {
      found->second.m_spent = bound;
      found->second.m_unverified = true;
      found->second.m_last_used = now;
      added.m_bounds.emplace(program, bound);
    }
  }
  for (const auto& turn : unrecorded.m_running) {
    if (added.m_bounds.contains(turn.m_program)) {
      added.m_running.push_back(turn);
    }
  }
  RestoreRunning(ledger, added);
  if (unrecorded.m_advance_wait) {
    ledger.m_advance_from =
        std::min(ledger.m_advance_from, now + *unrecorded.m_advance_wait);
  }
}

auto NoteUnread(ProgramLedger& ledger) -> void {
  for (auto& [program, account] : ledger.m_accounts) {
    account.m_unread = true;
  }
}

auto NoteRead(ProgramLedger& ledger, const LedgerRecord& newer) -> void {
  for (auto& [program, account] : ledger.m_accounts) {
    const auto bound = newer.m_bounds.find(program);
    if (account.m_unread && bound != newer.m_bounds.end()) {
      account.m_spent +=
          std::max(bound->second - GrantedTokens(account), Tokens(0));
    }
    account.m_unread = false;
  }
  ledger.m_dirty = true;
}

auto ForgetIdlePrograms(ProgramLedger& ledger, TimePoint now) -> void {
  std::erase_if(ledger.m_accounts, [&ledger, now](const auto& item) {
    return now - item.second.m_last_used > ledger.m_options.m_retention;
  });
}

}  // namespace dotterelshed
