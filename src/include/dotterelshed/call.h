#ifndef DOTTERELSHED_CALL_H_
#define DOTTERELSHED_CALL_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "dotterelshed/ids.h"
#include "dotterelshed/units.h"

/// @file
/// A caller's request, its answer and the token that ties a program's turns
/// together. Plain data, shared by every package above libbase.

namespace dotterelshed {

/// How a call ended. The four are never mixed: kNotRun is said only when no
/// attempt under the call's key can have reached an endpoint.
enum class OutcomeKind {
  kDone,     ///< Ran and succeeded; the answer is complete.
  kFailed,   ///< Ran and failed.
  kNotRun,   ///< Did not run and will not run under this request.
  kUnknown,  ///< May have run; never re-sent on its own.
};

/// Stable lower-case name: done, failed, not_run, unknown.
auto ToString(OutcomeKind kind) -> std::string_view;

/// Why a call was refused or ended as it did, in a form programs can test.
enum class ReasonCode {
  kNone,
  kBadRequest,        ///< Malformed; 400.
  kUnknownService,    ///< No such service, model or class; 404.
  kBadToken,          ///< Token forged, or history does not match; 409.
  kTurnOutOfOrder,    ///< An earlier turn is still open or missing; 409.
  kBudgetExceeded,    ///< The bound of this call does not fit; 402.
  kOverLimit,         ///< Account, queue or memory limit; 429.
  kDeadlineTooClose,  ///< Can't finish in time; refused early; 503.
  kNotOwner,          ///< This host does not own the pool now; 503.
  kNoEndpoint,        ///< No endpoint may take it now; 503.
  kNoPlatform,        ///< A claim can't be written; 503.
  kHomeUnreachable,   ///< The program's home is cut off; 503.
  kDraining,          ///< The host is stopping; 503.
  kQuarantined,       ///< This content crashed endpoints; 422.
  kLoopDetected,      ///< Identical calls repeated beyond the limit; 422.
  kProgramEnded,      ///< The program is over; 410.
  kTimedOut,          ///< A timeout of the service passed; 504.
  kEndpointError,     ///< The endpoint answered with an error; 502.
  kClaimedElsewhere,  ///< Another request holds this key; 409.
  kKeyUnreadable,     ///< The key's record can't be read now; 503.
  kNoRecord,          ///< No request of this id is on record; 404.
};

/// Stable lower-case name with underscores.
auto ToString(ReasonCode code) -> std::string_view;

/// Proof, signed by the home pool, of where a program's history ends.
struct ContinuationToken {
  ProgramId m_program;
  /// Last finished turn; 0 before the first.
  Turn m_turn;
  /// Chain digest after that turn.
  Digest m_chain;
  /// Hosts that held the history when the token was released.
  std::vector<HostRef> m_holders;
  /// Spend of the whole program so far.
  Cost m_spent;
};

/// What kind of back end a call goes to.
enum class ServiceKind {
  kModel,  ///< A model engine: chat completions, streamed.
  kPlain,  ///< A plain service: one HTTP request and answer.
};

/// One call of a program, as the entry host understood it.
struct CallRequest {
  RequestId m_request;
  ProgramId m_program;
  /// Root of the program tree: home, budget and order belong to it.
  ProgramId m_root;
  /// Set for a sub-agent's program.
  std::optional<ProgramId> m_parent;
  /// 0 lets the home assign the next turn.
  Turn m_turn;
  std::optional<ContinuationToken> m_token;
  /// Set for calls that must run at most once.
  std::optional<IdempotencyKey> m_key;
  AccountId m_account;
  ClassId m_class;
  ServiceKind m_kind = ServiceKind::kModel;
  ServiceId m_service;
  ModelId m_model;
  /// Body to send to the endpoint.
  std::string m_body;
  /// Path below the service, for plain services.
  std::string m_path;
  /// Digest of service, path and body: repeats and crash suspects match on it.
  Digest m_content;
  Tokens m_prompt_tokens;
  Tokens m_max_tokens;
  /// Upper bound of what one attempt can cost.
  Cost m_cost_bound;
  /// Budget of the whole program; taken from the class if absent.
  std::optional<Cost> m_budget;
  /// Absolute on the clock of the host that decides; converted on each hop.
  TimePoint m_deadline;
  /// Whether the service says that a call may be repeated.
  bool m_repeatable = true;
  bool m_stream = false;
  /// True when the caller announces the program's last call.
  bool m_end_program = false;
  /// Expected pause before the program's next call; 0 if not announced.
  Duration m_expected_pause{0};
};

/// Tokens and money that a call used.
struct Usage {
  Tokens m_prompt;
  Tokens m_cached;
  Tokens m_generated;
  Cost m_cost;
};

/// The final event of a call. Streamed bytes may have gone before it; m_body
/// is the whole answer.
struct CallAnswer {
  RequestId m_request;
  ProgramId m_program;
  Turn m_turn;
  OutcomeKind m_outcome = OutcomeKind::kUnknown;
  ReasonCode m_reason = ReasonCode::kNone;
  /// For people; names what to do where something can be done.
  std::string m_message;
  std::string m_body;
  /// Status that a plain service gave; 200 for models.
  int m_http_status = 200;
  Usage m_usage;
  Cost m_spent;
  Cost m_remaining;
  /// Set when it makes sense to ask again, and not before this long.
  std::optional<Duration> m_retry_after;
  /// Absent unless the turn is recorded; lets the program go on.
  std::optional<ContinuationToken> m_token;
  /// True for an answer given without the primary during an outage.
  bool m_provisional = false;
};

}  // namespace dotterelshed

#endif  // DOTTERELSHED_CALL_H_
