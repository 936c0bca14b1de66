#ifndef DOTTERELSHED_PROGRAM_LEDGER_H_
#define DOTTERELSHED_PROGRAM_LEDGER_H_

#include <map>
#include <optional>
#include <string_view>
#include <vector>

#include "dotterelshed/ids.h"
#include "dotterelshed/units.h"

/// @file
/// Token budgets of programs, kept by the lead of a failure domain. The sum of
/// what a program's turns generate stays within its budget plus the most of one
/// turn, over any loss of the lead's memory.
///
/// The lead keeps a record of the programs in the platform's store: for each an
/// upper bound of the tokens granted so far. The sum of all grants stays within
/// the budget, and within what is on record plus an advance of one turn's most.
/// A lead that takes over starts from the record, counts it as spent and gives
/// no advance on it. To unknown programs it gives one only after the settle
/// time, and no lead gives one when its last confirmed write is older than
/// that: so a lead that was replaced without knowing stops before the next
/// begins.
///
/// An account is blind while it is unknown whether another domain's lead keeps
/// one of the same program. It grants no more than the advance: the other
/// account stays within the budget by itself.
///
/// A lead that another lead can't ask may keep an account that isn't on record
/// yet. The other one fences it: it changes a counter beside the record, so
/// that the next write of the record fails. A lead that finds its record fenced
/// takes all accounts that aren't on record for blind.
///
/// @code
///   const auto grant = RequestGrant(ledger, request, {}, now);
///   if (grant.m_decision == GrantDecision::kNeedsRecord) {
///     // store BeginRecord(ledger, now), then NoteRecorded and ask again
///   }
/// @endcode

namespace dotterelshed {

struct LedgerOptions {
  /// The record allows at least so many turns beyond those under way, ...
  int m_reserved_turns = 2;
  /// ... and one in so many parts of what is left of the budget, so that an
  /// outage of the store doesn't stop programs at once.
  int m_reserve_divisor = 2;
  /// Without a record a turn may get a part of its most, down to one in so
  /// many; most turns generate far less than their most.
  int m_min_partial_divisor = 3;
  /// Time after a takeover in which unknown programs get no advance, and after
  /// the last confirmed write from which on they get none. Longer than any
  /// pause between a program's turns.
  Duration m_advance_lease = std::chrono::seconds(8);
  /// Time for which a program is remembered after its last turn.
  Duration m_retention = std::chrono::seconds(75);
};

/// One program's account.
struct ProgramAccount {
  Tokens m_budget{0};
  /// Tokens of turns that have ended.
  Tokens m_spent{0};
  /// Upper bound on record in the store.
  Tokens m_recorded_bound{0};
  /// Lowest bound of the writes that may have reached the store since.
  std::optional<Tokens> m_pending_bound;
  /// The most of one turn.
  Tokens m_turn_max{0};
  /// Turns under way and what each was granted.
  std::map<RequestId, Tokens> m_running;
  TimePoint m_last_used;
  /// The store's record holds it, so that each other lead finds it there.
  bool m_in_store = false;
  /// True when grants may exceed the record by one turn's most: only before
  /// the first record, so that little is lost with the lead.
  bool m_has_advance = false;
  /// True while another domain may keep an account of the program.
  bool m_unverified = false;
};

/// A turn under way and what it was granted.
struct RunningTurn {
  ProgramId m_program;
  RequestId m_request;
  Tokens m_tokens{0};
};

/// What stands in the store: bounds of the programs' grants.
struct LedgerRecord {
  std::map<ProgramId, Tokens> m_bounds;
  /// In a lead's last record, the turns under way: part of their program's
  /// bound until the next lead hears of their end.
  std::vector<RunningTurn> m_running;
};

/// Raises the bounds of the store's @p record to those of one that was kept on
/// disk hosts. Programs that are only in the other one had nothing granted on
/// it.
auto RaiseBounds(LedgerRecord& record, const LedgerRecord& other) -> void;

struct ProgramLedger {
  LedgerOptions m_options;
  std::map<ProgramId, ProgramAccount> m_accounts;
  /// Start of this lead's term.
  TimePoint m_term_start;
  /// When the write under way began, and when the last confirmed one did.
  TimePoint m_write_started;
  TimePoint m_confirmed_at;
  /// True when a coming turn needs a higher bound on record.
  bool m_dirty = false;
};

struct GrantRequest {
  ProgramId m_program;
  RequestId m_request;
  Tokens m_budget{0};
  /// The most that this turn generates.
  Tokens m_turn_max{0};
};

/// What the lead knows while it decides.
struct GrantConditions {
  /// Another domain may keep the program's account.
  bool m_unverified = false;
  /// Another domain's lead couldn't be asked, and was fenced.
  bool m_other_fenced = false;
  /// The store can't be written now: a part of a turn is better than none.
  bool m_allow_partial = false;
};

enum class GrantDecision {
  kGranted,
  kBudgetSpent,  ///< The budget doesn't hold this turn.
  kNeedsRecord,  ///< A record has to be written first.
};

/// Stable lower-case name, for logs.
auto ToString(GrantDecision decision) -> std::string_view;

struct TurnGrant {
  GrantDecision m_decision = GrantDecision::kNeedsRecord;
  /// Tokens that the turn may generate; less than its most for a partial grant.
  Tokens m_tokens{0};
};

/// Grants a turn and counts it as running. A repeated request id is granted
/// again without being counted twice.
auto RequestGrant(ProgramLedger& ledger,
                  const GrantRequest& request,
                  const GrantConditions& conditions,
                  TimePoint now) -> TurnGrant;

/// A turn has ended after generating @p used tokens.
auto SettleTurn(ProgramLedger& ledger,
                const ProgramId& program,
                const RequestId& request,
                Tokens used,
                TimePoint now) -> void;

/// True when the program has an account here that isn't blind.
auto HasVerifiedAccount(const ProgramLedger& ledger, const ProgramId& program)
    -> bool;

/// The record to write now. From here on it may be what the store holds, so no
/// grant exceeds it, whether or not the write is known to have succeeded.
auto BeginRecord(ProgramLedger& ledger, TimePoint now) -> LedgerRecord;

/// The record of a lead that gives way to another one: it holds what has been
/// granted and nothing ahead, and names the turns under way. So the next lead
/// counts nothing as spent that wasn't granted.
auto BeginHandoverRecord(ProgramLedger& ledger, TimePoint now) -> LedgerRecord;

/// @p record has been stored under this lead's term, after all earlier ones.
auto NoteRecorded(ProgramLedger& ledger, const LedgerRecord& record) -> void;

/// @p record has been kept on disk hosts, where only the leads of this domain
/// look. It counts for accounts that the store's record holds too.
auto NoteJournaled(ProgramLedger& ledger, const LedgerRecord& record) -> void;

/// Another domain's lead has fenced the record: it may have opened accounts of
/// programs that aren't on record here.
auto NoteFence(ProgramLedger& ledger) -> void;

/// Begins a term from what the store holds.
auto AdoptRecord(ProgramLedger& ledger,
                 const LedgerRecord& record,
                 TimePoint now) -> void;

/// Forgets programs that have been idle for the retention time.
auto ForgetIdlePrograms(ProgramLedger& ledger, TimePoint now) -> void;

}  // namespace dotterelshed

#endif  // DOTTERELSHED_PROGRAM_LEDGER_H_
