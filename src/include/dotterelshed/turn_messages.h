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
/// One-way messages of the turn protocol, between a pool's primary, its copy
/// holder and hosts that take the pool over. Each may be lost, doubled, delayed
/// or overtaken; replies are messages of their own.

namespace dotterelshed {

/// One finished turn of a program.
struct TurnRecord {
  Turn m_turn;
  RequestId m_request;
  /// Digest of the request's content.
  Digest m_content;
  /// Chain digest after this turn.
  Digest m_chain;
  OutcomeKind m_outcome = OutcomeKind::kUnknown;
  ReasonCode m_reason = ReasonCode::kNone;
  int m_http_status = 200;
  std::string m_answer;
  Usage m_usage;
  bool m_provisional = false;
};

/// Money set aside for a call that has not been settled. A program has at most
/// one, since its calls run one after the other.
struct Reservation {
  RequestId m_request;
  Turn m_turn;
  /// Upper bound of all attempts of the call together.
  Cost m_amount;
  /// Who runs the call, and in which term.
  HostRef m_host;
  Term m_term;
  /// Taken out of that host's escrow and not out of the common budget.
  bool m_from_escrow = false;
};

/// What one host spent in one term. Only that host adds to it, so that two
/// versions are merged by taking the larger amount.
struct SpendEntry {
  HostRef m_host;
  Term m_term;
  bool m_from_escrow = false;
  Cost m_amount;
};

/// Money that only @p m_host may spend, in @p m_term, without asking another
/// host. It only ever shrinks, so that two versions are merged by taking the
/// smaller amount.
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

/// KV memory that an endpoint keeps for a program.
struct HoldRecord {
  HoldId m_id;
  EndpointId m_endpoint;
  ProgramId m_program;
  bool m_release_pending = false;
};

/// Everything a pool knows of one program: what is copied between hosts.
struct ProgramRecord {
  ProgramId m_program;
  ProgramId m_root;
  AccountId m_account;
  ClassId m_class;
  /// Number of the last change by a primary; later changes have higher ones.
  std::int64_t m_sequence = 0;
  /// Who made that change, and in which term.
  HostRef m_writer;
  Term m_term;
  /// Highest turn that may have run.
  Turn m_last_attempted;
  std::vector<TurnRecord> m_turns;
  std::optional<Reservation> m_open;
  std::vector<HoldRecord> m_holds;
  bool m_ended = false;
};

/// Primary to copy holder: record this reservation before the call runs.
struct ReserveRequest {
  PoolId m_pool;
  Term m_term;
  HostRef m_from;
  ProgramId m_program;
  std::int64_t m_sequence = 0;
  Reservation m_reservation;
  /// Chain digest that the primary continues from; empty for a new program.
  Digest m_previous_chain;
  BudgetLedger m_ledger;
  /// Sent with a program's first reservation.
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

/// Primary to copy holder: settle the reservation and, if the turn was decided,
/// record it.
struct AppendRequest {
  PoolId m_pool;
  Term m_term;
  HostRef m_from;
  ProgramId m_program;
  std::int64_t m_sequence = 0;
  Digest m_previous_chain;
  /// Absent when the call did not use up its turn.
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

/// A piece of a pool's state, to a new copy holder or a new primary. It never
/// shortens a chain that the receiver holds.
struct StateCopy {
  PoolId m_pool;
  Term m_term;
  HostRef m_from;
  std::vector<ProgramRecord> m_programs;
  std::vector<BudgetLedger> m_ledgers;
  /// Position of this piece and whether it is the last one.
  int m_part = 0;
  bool m_last = true;
};

/// Answer to a StateCopy: chains of the receiver that were longer.
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

/// Asks a host for everything it holds of a pool, or of one program.
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
