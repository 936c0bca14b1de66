#ifndef DOTTERELSHED_LIBCORE_REPLICATION_POOL_STATE_H_
#define DOTTERELSHED_LIBCORE_REPLICATION_POOL_STATE_H_

#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <variant>
#include <vector>

#include "dotterelshed/chart.h"
#include "dotterelshed/membership_messages.h"
#include "dotterelshed/policy.h"
#include "program/program_store.h"

/// @file
/// State of one pool on one host, which is its primary or its copy holder, the
/// backup replica.

namespace dotterelshed::pvt {

/// States of the call state machine in src/charts/program.jsonc.
enum class CallState {
  kChecking,
  kFetching,
  kReserving,
  kQueued,
  kClaiming,
  kRunning,
  kSettling,
  kReleased,
};
enum class CallEvent {
  kHistoryMissing,
  kHistoryFetched,
  kAccepted,
  kReserved,
  kClaimNeeded,
  kDispatched,
  kRefused,
  kAnswered,
  kRecorded,
  kSuperseded,
};
enum class CallAction {
  kFetchHistory,
  kCheckCall,
  kSendReservation,
  kAdmitCall,
  kRequestClaim,
  kStartAttempts,
  kSendSettlement,
  kReleaseAnswer,
};
using CallStateMachine = Chart<CallState, CallEvent, CallAction>;

/// States of the pool role state machine in src/charts/pool_role.jsonc.
enum class PoolRole { kNone, kHolder, kCollecting, kCopying, kPrimary };
enum class PoolEvent {
  kMadeHolder,
  kMadePrimary,
  kMadeNone,
  kHolderChanged,
  kCollected,
  kCopied,
};
enum class PoolAction {
  kCollectState,
  kSettleInherited,
  kCopyState,
  kServeWaiting,
  kDropCalls,
};
using PoolRoleStateMachine = Chart<PoolRole, PoolEvent, PoolAction>;

/// A call in progress on the host that serves its program.
struct PendingCall {
  CallRequest m_call;
  CallState m_state = CallState::kChecking;
  TimePoint m_since;
  /// Other requests for the same turn with the same content.
  std::vector<RequestId> m_waiters;
  /// Holders named in the continuation token whose history is outstanding, and
  /// whether the fetch has ended.
  std::set<HostRef> m_fetch_from;
  bool m_fetched = false;
  /// The turn cannot have run before this call.
  bool m_first = false;
  /// Runs at most once and must be claimed in the platform first.
  bool m_needs_claim = false;
  /// Set once an attempt that ended or still runs may have had an effect.
  bool m_may_have_run = false;
  /// Attempts that wait for the claim or for a larger reservation.
  std::vector<Dispatched> m_ready;
  std::set<AttemptId> m_running;
  int m_reserved_attempts = 0;
  int m_started_attempts = 0;
  /// Cost of finished attempts.
  Cost m_cost;
  Usage m_usage;
  std::optional<TimePoint> m_send_by;
  /// Set once the outcome is decided.
  std::optional<CallAnswer> m_answer;
  bool m_record_turn = false;
};

/// A change to a program that the target host has not confirmed.
struct PendingChange {
  std::variant<ReserveRequest, AppendRequest> m_message;
  TimePoint m_sent;
  /// Time at which the whole program was last sent to the host that refused
  /// this change.
  std::optional<TimePoint> m_copied;
};

/// Kind of host that currently confirms changes.
enum class CopyMode {
  kHolder,  ///< The copy holder in the domain table.
  kSpare,   ///< Another live host, while the table cannot be changed.
  kAlone,   ///< None, since no other host is available.
};

struct PoolState {
  PoolAssignment m_assignment;
  PoolRole m_role = PoolRole::kNone;
  /// Highest term seen in any message. This host must not serve while it is
  /// above the term of the assignment.
  Term m_highest;
  ProgramStore m_store;
  /// Schedulers by service: the pool's own and others that its programs use.
  std::map<ServiceId, std::shared_ptr<PoolPolicy>> m_policies;
  std::map<RequestId, PendingCall> m_calls;
  /// Call in progress of each program.
  std::map<ProgramId, RequestId> m_open;
  std::map<ProgramId, PendingChange> m_changes;
  /// Calls that arrived before the pool could serve.
  std::deque<CallRequest> m_waiting;
  /// Start of the period in which calls wait and none is in progress.
  TimePoint m_no_open_call_since;

  /// New primary: hosts whose state has not been collected.
  std::set<HostRef> m_collect_from;
  /// Earlier owners that are asked even if they count as down, because this
  /// host has no complete copy.
  std::set<HostRef> m_former_owners;
  TimePoint m_collect_since;
  TimePoint m_collect_sent;

  /// Primary: progress of the state copy to the holder, sent in parts.
  int m_copy_part = 0;
  std::optional<ProgramId> m_copy_after;
  std::optional<ProgramId> m_copy_upto;
  TimePoint m_copy_sent;
  CopyMode m_mode = CopyMode::kAlone;
  HostRef m_target;

  /// Copy holder: parts received in m_assignment.m_term, and whether the copy
  /// is complete.
  int m_next_part = 0;
  bool m_complete = false;
  /// Last program visited by the idle check.
  ProgramId m_idle_cursor;
};

}  // namespace dotterelshed::pvt

#endif  // DOTTERELSHED_LIBCORE_REPLICATION_POOL_STATE_H_
