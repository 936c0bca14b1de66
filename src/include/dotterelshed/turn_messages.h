#ifndef DOTTERELSHED_TURN_MESSAGES_H_
#define DOTTERELSHED_TURN_MESSAGES_H_

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

/// Money set aside for an attempt that has not been settled.
struct Reservation {
  RequestId m_request;
  ProgramId m_program;
  Turn m_turn;
  Cost m_amount;
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
  Cost m_budget;
  Cost m_spent;
  std::vector<TurnRecord> m_turns;
  std::vector<Reservation> m_open;
  std::vector<HoldRecord> m_holds;
  bool m_ended = false;
};

/// Primary to copy holder: record this reservation before the call runs.
struct ReserveRequest {
  PoolId m_pool;
  Term m_term;
  HostRef m_from;
  Reservation m_reservation;
  /// Chain digest that the primary continues from; empty for a new program.
  Digest m_previous_chain;
  /// Sent with a program's first reservation.
  std::optional<ProgramRecord> m_new_program;
};

struct ReserveReply {
  PoolId m_pool;
  Term m_term;
  HostRef m_from;
  RequestId m_request;
  ProgramId m_program;
  bool m_accepted = false;
  /// Highest term that the holder has seen.
  Term m_highest;
};

/// Primary to copy holder: record this turn and settle its reservation.
struct AppendRequest {
  PoolId m_pool;
  Term m_term;
  HostRef m_from;
  ProgramId m_program;
  Digest m_previous_chain;
  TurnRecord m_record;
  std::vector<HoldRecord> m_holds;
  bool m_ended = false;
};

struct AppendReply {
  PoolId m_pool;
  Term m_term;
  HostRef m_from;
  RequestId m_request;
  ProgramId m_program;
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
  std::vector<ProgramRecord> m_longer;
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
};

}  // namespace dotterelshed

#endif  // DOTTERELSHED_TURN_MESSAGES_H_
