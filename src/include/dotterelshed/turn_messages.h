#ifndef DOTTERELSHED_TURN_MESSAGES_H_
#define DOTTERELSHED_TURN_MESSAGES_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "dotterelshed/call.h"
#include "dotterelshed/ids.h"
#include "dotterelshed/units.h"

/// @file
/// One-way messages of the protocol that replicates program turns between a
/// pool's primary, its copy holder (the backup replica) and hosts that take the
/// pool over. Messages may be lost, duplicated, delayed or reordered; replies
/// are separate messages.

namespace dotterelshed {

/// One finished turn (call and answer) of a program.
struct TurnRecord {
  Turn m_turn;
  RequestId m_request;
  /// Digest of the request's content.
  Digest m_content;
  /// Hash chain over the program's turns up to and including this one.
  Digest m_chain;
  OutcomeKind m_outcome = OutcomeKind::kUnknown;
  ReasonCode m_reason = ReasonCode::kNone;
  int m_http_status = 200;
  std::string m_answer;
  Usage m_usage;
  bool m_provisional = false;
};

/// Budget reserved for a call that has not been settled. A program has at most
/// one reservation, since its calls run one after the other.
struct Reservation {
  RequestId m_request;
  Turn m_turn;
  /// Upper bound on the cost of all attempts of the call together.
  Cost m_amount;
  /// Host that runs the call, and the term in which it does.
  HostRef m_host;
  Term m_term;
  /// Reserved from that host's escrow and not from the shared budget.
  bool m_from_escrow = false;
};

/// Amount spent by one host in one term. Only that host increases it, so two
/// versions are merged by taking the larger amount.
struct SpendEntry {
  HostRef m_host;
  Term m_term;
  bool m_from_escrow = false;
  Cost m_amount;
};

/// Escrow: part of the budget that only @p m_host may spend, in @p m_term,
/// without confirmation by another host. The amount only decreases, so two
/// versions are merged by taking the smaller one.
struct EscrowEntry {
  HostRef m_host;
  Term m_term;
  Cost m_amount;
};

/// Budget of a root program and its sub-agents.
struct BudgetLedger {
  ProgramId m_root;
  Cost m_budget;
  std::vector<SpendEntry> m_spends;
  std::vector<EscrowEntry> m_escrows;
};

/// KV-cache memory that an endpoint retains for a program.
struct HoldRecord {
  HoldId m_id;
  EndpointId m_endpoint;
  ProgramId m_program;
  bool m_release_pending = false;
};

/// State of one program in a pool, as replicated between hosts.
struct ProgramRecord {
  ProgramId m_program;
  ProgramId m_root;
  AccountId m_account;
  ClassId m_class;
  /// Number of the last change by a primary; increases with each change.
  std::int64_t m_sequence = 0;
  /// Host that made that change, and its term.
  HostRef m_writer;
  Term m_term;
  /// Highest turn that may have run.
  Turn m_last_attempted;
  std::vector<TurnRecord> m_turns;
  std::optional<Reservation> m_open;
  std::vector<HoldRecord> m_holds;
  bool m_ended = false;
};

/// Primary to copy holder: store a reservation before the call runs.
struct ReserveRequest {
  PoolId m_pool;
  Term m_term;
  HostRef m_from;
  ProgramId m_program;
  std::int64_t m_sequence = 0;
  Reservation m_reservation;
  /// Chain digest before this call; empty for a new program.
  Digest m_previous_chain;
  BudgetLedger m_ledger;
  /// Sent until the program has a finished turn.
  std::optional<ProgramRecord> m_new_program;
};

struct ReserveReply {
  PoolId m_pool;
  Term m_term;
  HostRef m_from;
  ProgramId m_program;
  std::int64_t m_sequence = 0;
  bool m_accepted = false;
  /// Highest term that the holder has seen.
  Term m_highest;
};

/// Primary to copy holder: settle the reservation and append the turn, if the
/// call finished one.
struct AppendRequest {
  PoolId m_pool;
  Term m_term;
  HostRef m_from;
  ProgramId m_program;
  std::int64_t m_sequence = 0;
  Digest m_previous_chain;
  /// Absent if the call did not finish its turn.
  std::optional<TurnRecord> m_record;
  BudgetLedger m_ledger;
  std::vector<HoldRecord> m_holds;
  bool m_ended = false;
};

struct AppendReply {
  PoolId m_pool;
  Term m_term;
  HostRef m_from;
  ProgramId m_program;
  std::int64_t m_sequence = 0;
  bool m_accepted = false;
  Term m_highest;
};

/// One part of a pool's state, sent to a new copy holder or a new primary. It
/// never shortens a chain that the receiver holds.
struct StateCopy {
  PoolId m_pool;
  Term m_term;
  HostRef m_from;
  std::vector<ProgramRecord> m_programs;
  std::vector<BudgetLedger> m_ledgers;
  /// Index of this part, negative for a copy of single programs, and whether it
  /// is the last part.
  int m_part = 0;
  bool m_last = true;
};

/// Reply to a StateCopy, with the receiver's histories that the copy lacked.
struct StateCopyReply {
  PoolId m_pool;
  Term m_term;
  HostRef m_from;
  int m_part = 0;
  bool m_accepted = false;
  Term m_highest;
  std::vector<ProgramRecord> m_longer;
  std::vector<BudgetLedger> m_ledgers;
};

/// Requests everything that a host holds of a pool, or of one program.
struct CollectRequest {
  PoolId m_pool;
  Term m_term;
  HostRef m_from;
  std::optional<ProgramId> m_program;
};

struct CollectReply {
  PoolId m_pool;
  Term m_term;
  HostRef m_from;
  std::optional<ProgramId> m_program;
  std::vector<ProgramRecord> m_programs;
  std::vector<BudgetLedger> m_ledgers;
};

}  // namespace dotterelshed

#endif  // DOTTERELSHED_TURN_MESSAGES_H_
