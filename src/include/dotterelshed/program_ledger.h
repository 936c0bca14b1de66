#ifndef DOTTERELSHED_PROGRAM_LEDGER_H_
#define DOTTERELSHED_PROGRAM_LEDGER_H_

#include <map>
#include <optional>
#include <string_view>
#include <vector>

#include "dotterelshed/ids.h"
#include "dotterelshed/units.h"

/// @file
/// Token budgets of programs, kept by the lead of a failure domain (the host
/// that grants turns for all hosts of the domain). The tokens that a program's
/// turns generate stay within its budget plus one turn's maximum, even if the
/// lead loses its memory at any moment.
///
/// The lead writes a record to the platform's store: for each program, an upper
/// bound of the tokens granted so far. The sum of a program's grants stays
/// within its budget, and within the recorded bound plus an advance: one turn's
/// maximum that may be granted before the first record is written. A lead that
/// takes over counts the recorded bound as spent and gives no advance on it.
///
/// An advance that is lost with its lead's memory must remain the program's
/// only one. Each record therefore says whether its writer may give advances.
/// If it may, the successor gives none until the programs that had one have
/// ended or are forgotten. If it may not, because it waits itself or hands
/// over, the successor only continues the wait. A lead that was replaced
/// without noticing stops giving advances when its last confirmed write is
/// older than the lease, which is part of the wait. A predecessor that is still
/// there names its unrecorded grants, which ends the wait for them.
///
/// An account is unverified while the lead of another domain may keep one of
/// the same program. Its grants don't exceed the advance in total; the other
/// account stays within the budget by itself.
///
/// A lead that doesn't answer may keep an account that isn't in the store yet.
/// The lead that couldn't reach it increments the fence, a counter stored
/// beside the other's record, so that the other's next write fails with a
/// version conflict. A lead that finds its record fenced treats all its
/// accounts that aren't in the store as unverified.
///
/// A lead that can't write to the store keeps its record elsewhere. Its
/// successor grants nothing of the accounts that such a record may have raised
/// until it knows that record, or that there is none.
///
/// @code
///   const auto grant = RequestGrant(ledger, request, {}, now);
///   if (grant.m_decision == GrantDecision::kNeedsRecord) {
///     // Store BeginRecord(ledger, now), call NoteRecorded and request again.
///   }
/// @endcode

namespace dotterelshed {

struct LedgerOptions {
  /// A record reserves at least this many turns beyond those granted, ...
  int m_reserved_turns = 2;
  /// ... and at least 1/divisor of the remaining budget, so that programs can
  /// continue for a while when the store is unavailable.
  int m_reserve_divisor = 2;
  /// While the store is unavailable a turn may be granted less than its
  /// maximum, down to 1/divisor of it; most turns generate far less than their
  /// maximum.
  int m_min_partial_divisor = 3;
  /// Time after the last confirmed write from which unknown programs get no
  /// advance.
  Duration m_advance_lease = std::chrono::seconds(8);
  /// Time for which a program is remembered after its last turn. Must be longer
  /// than any pause between two turns of a program.
  Duration m_retention = std::chrono::seconds(75);
};

/// One program's account.
struct ProgramAccount {
  Tokens m_budget{0};
  /// Tokens of turns that have ended.
  Tokens m_spent{0};
  /// Upper bound of the grants in the last write that was confirmed.
  Tokens m_recorded_bound{0};
  /// Lowest bound of the unconfirmed writes since then; each of them may have
  /// reached the store.
  std::optional<Tokens> m_pending_bound;
  /// Largest maximum of a single turn so far.
  Tokens m_turn_max{0};
  /// Running turns and the tokens granted to each.
  std::map<RequestId, Tokens> m_running;
  TimePoint m_last_used;
  /// The record in the store has the program, so that leads of other domains
  /// find it there.
  bool m_in_store = false;
  /// Grants may exceed the recorded bound by one turn's maximum. True only
  /// before the first record, which limits what is uncounted when the lead is
  /// lost.
  bool m_has_advance = false;
  /// Another domain may keep an account of the program.
  bool m_unverified = false;
  /// An earlier lead may have granted more than was read of its records.
  bool m_unread = false;
};

/// A running turn and the tokens granted to it.
struct RunningTurn {
  ProgramId m_program;
  RequestId m_request;
  Tokens m_tokens{0};
};

/// Content of a domain's record in the store.
struct LedgerRecord {
  /// Upper bounds of the programs' grants.
  std::map<ProgramId, Tokens> m_bounds;
  /// Set only by a lead that hands over: its running turns. They are included
  /// in their program's bound until the next lead learns of their end.
  std::vector<RunningTurn> m_running;
  /// Time, as of this record, for which its writer's successor must give no
  /// advances. Nothing if the writer itself may give some after this record.
  std::optional<Duration> m_advance_wait;
};

/// Raises the bounds of the store's @p record to those in @p other, a record
/// from the journals of disk hosts. Programs that only @p other has are left
/// out: nothing was granted on that bound.
auto RaiseBounds(LedgerRecord& record, const LedgerRecord& other) -> void;

struct ProgramLedger {
  LedgerOptions m_options;
  std::map<ProgramId, ProgramAccount> m_accounts;
  /// Time from which no advance of an earlier lead matters.
  TimePoint m_advance_from;
  /// The stored record says that this lead may give advances.
  bool m_advances = false;
  /// Start of the write in progress.
  TimePoint m_write_started;
  /// Start of the last write that was confirmed.
  TimePoint m_confirmed_at;
  /// The recorded bound doesn't cover a further turn of some program, so a
  /// record should be written.
  bool m_dirty = false;
};

struct GrantRequest {
  ProgramId m_program;
  RequestId m_request;
  Tokens m_budget{0};
  /// The most that this turn generates.
  Tokens m_turn_max{0};
};

/// Conditions under which a grant is decided.
struct GrantConditions {
  /// Another domain may keep the program's account.
  bool m_unverified = false;
  /// A lead of another domain may have given the program an advance that isn't
  /// on record.
  bool m_other_advance = false;
  /// The store can't be written at present: grant less than the turn's maximum
  /// rather than nothing.
  bool m_allow_partial = false;
};

enum class GrantDecision {
  kGranted,
  kBudgetSpent,  ///< The remaining budget doesn't cover this turn.
  kNeedsRecord,  ///< A record has to be written first.
  kUnread,       ///< An earlier lead's record has to be read first.
};

/// Stable lower-case name, for logs.
auto ToString(GrantDecision decision) -> std::string_view;

struct TurnGrant {
  GrantDecision m_decision = GrantDecision::kNeedsRecord;
  /// Tokens that the turn may generate; less than its maximum for a partial
  /// grant.
  Tokens m_tokens{0};
};

/// Grants a turn and counts it as running. A repeated request id gets the same
/// grant and is counted once.
auto RequestGrant(ProgramLedger& ledger,
                  const GrantRequest& request,
                  const GrantConditions& conditions,
                  TimePoint now) -> TurnGrant;

/// Replaces a running turn's grant by the @p used tokens that it generated.
auto SettleTurn(ProgramLedger& ledger,
                const ProgramId& program,
                const RequestId& request,
                Tokens used,
                TimePoint now) -> void;

/// True when the program has an account here that isn't unverified.
auto HasVerifiedAccount(const ProgramLedger& ledger, const ProgramId& program)
    -> bool;

/// Returns the record to write now. From here on no grant exceeds its bounds,
/// since the store may hold it whether or not the write is confirmed.
auto BeginRecord(ProgramLedger& ledger, TimePoint now) -> LedgerRecord;

/// Returns the last record of a lead that hands over to another host. It
/// reserves nothing beyond the tokens granted and names the running turns, so
/// that the next lead counts nothing as spent that wasn't granted. From here on
/// this lead gives no advances until an ordinary record is confirmed.
auto BeginHandoverRecord(ProgramLedger& ledger, TimePoint now) -> LedgerRecord;

/// @p record has been stored under this lead's term, after all earlier ones.
auto NoteRecorded(ProgramLedger& ledger, const LedgerRecord& record) -> void;

/// @p record has been written to the journals of disk hosts, which only the
/// leads of this domain read. It counts only for accounts that the store's
/// record has too.
auto NoteJournaled(ProgramLedger& ledger, const LedgerRecord& record) -> void;

/// Another domain's lead has fenced the record: it may have opened accounts of
/// programs that this domain has not in the store.
auto NoteFence(ProgramLedger& ledger) -> void;

/// Returns the time for which an earlier lead of this domain may have given a
/// program an advance that isn't on record; zero afterwards.
auto AdvanceWaitLeft(const ProgramLedger& ledger, TimePoint now) -> Duration;

/// Returns what a lead that has stopped granting knows beyond the store's
/// record: the tokens granted to programs that aren't there, and its wait.
auto UnrecordedGrants(const ProgramLedger& ledger, TimePoint now)
    -> LedgerRecord;

/// Takes over the predecessor's @p unrecorded grants, so that only its own wait
/// is left. They count as unverified accounts: another domain may have fenced
/// the predecessor.
auto AdoptUnrecorded(ProgramLedger& ledger,
                     const LedgerRecord& unrecorded,
                     TimePoint now) -> void;

/// Changes the time for which programs are remembered. A wait for lost advances
/// becomes longer with it.
auto SetRetention(ProgramLedger& ledger, Duration retention, TimePoint now)
    -> void;

/// Begins a term with the record that the store holds.
auto AdoptRecord(ProgramLedger& ledger,
                 const LedgerRecord& record,
                 TimePoint now) -> void;

/// Grants nothing of the accounts that the ledger has now until NoteRead: the
/// earlier lead may have kept a newer record that can't be read at present.
auto NoteUnread(ProgramLedger& ledger) -> void;

/// @p newer, the newest record of the earlier lead, has been read.
auto NoteRead(ProgramLedger& ledger, const LedgerRecord& newer) -> void;

/// Erases programs that have been idle for longer than the retention time.
auto ForgetIdlePrograms(ProgramLedger& ledger, TimePoint now) -> void;

}  // namespace dotterelshed

#endif  // DOTTERELSHED_PROGRAM_LEDGER_H_
