#ifndef DOTTERELSHED_LIBCORE_POOL_STATE_H_
#define DOTTERELSHED_LIBCORE_POOL_STATE_H_

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
#include "program_store.h"

/// @file
/// What one host keeps of one pool, as its primary or as its copy holder.

namespace dotterelshed::pvt {

/// States of charts/program.jsonc.
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
using CallChart = Chart<CallState, CallEvent, CallAction>;

/// States of charts/pool_role.jsonc.
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
using PoolChart = Chart<PoolRole, PoolEvent, PoolAction>;

/// One call at its home.
struct PendingCall {
  CallRequest m_call;
  CallState m_state = CallState::kChecking;
  TimePoint m_since;
  /// Other requests that asked for the same turn with the same content.
  std::vector<RequestId> m_waiters;
  /// Holders named in the token that have not answered, and whether they were
  /// asked at all.
  std::set<HostRef> m_fetch_from;
  bool m_fetched = false;
  /// Its turn can't have run before this call.
  bool m_first = false;
  /// Has to be claimed in the platform, runs once.
  bool m_needs_claim = false;
  /// Set once an attempt ended or runs that may have had an effect.
  bool m_may_have_run = false;
  /// Attempts that wait for the claim or for more reserved money.
  std::vector<Dispatched> m_ready;
  std::set<AttemptId> m_running;
  int m_reserved_attempts = 0;
  int m_started_attempts = 0;
  /// Cost of attempts that ended.
  Cost m_cost;
  Usage m_usage;
  std::optional<TimePoint> m_send_by;
  /// Set once decided.
  std::optional<CallAnswer> m_answer;
  bool m_record_turn = false;
};

/// A change of a program that its copy holder has not confirmed.
struct PendingChange {
  std::variant<ReserveRequest, AppendRequest> m_message;
  TimePoint m_sent;
  /// When the whole program was last sent to the host that refused this.
  std::optional<TimePoint> m_copied;
};

/// Who confirms changes at the moment.
enum class CopyMode {
  kHolder,  ///< The copy holder of the table.
  kSpare,   ///< Another live host, while the table can't be changed.
  kAlone,   ///< Nobody: there is no other host.
};

struct PoolState {
  PoolAssignment m_assignment;
  PoolRole m_role = PoolRole::kNone;
  /// Highest term seen in any message; above the assignment's, this host must
  /// not serve.
  Term m_highest;
  ProgramStore m_store;
  /// By service; the pool's own and those that its programs use besides.
  std::map<ServiceId, std::shared_ptr<PoolPolicy>> m_policies;
  std::map<RequestId, PendingCall> m_calls;
  /// The call that each program has under way.
  std::map<ProgramId, RequestId> m_open;
  std::map<ProgramId, PendingChange> m_changes;
  /// Calls that came before the pool could serve.
  std::deque<CallRequest> m_waiting;
  /// Since when none of its calls is under way while others wait.
  TimePoint m_membership_stable_since;

  /// As new primary: who has not answered yet.
  std::set<HostRef> m_collect_from;
  /// Earlier owners that have to be asked although they count as down, because
  /// this host has no complete copy itself.
  std::set<HostRef> m_former_owners;
  TimePoint m_collect_since;
  TimePoint m_collect_sent;

  /// As primary: the copy to the holder, piece by piece.
  int m_copy_part = 0;
  std::optional<ProgramId> m_copy_after;
  std::optional<ProgramId> m_copy_upto;
  TimePoint m_copy_sent;
  CopyMode m_mode = CopyMode::kAlone;
  HostRef m_target;

  /// As holder: pieces received in m_assignment.m_term, and whether all were.
  int m_next_part = 0;
  bool m_complete = false;
  /// Last program looked at by the idle check.
  ProgramId m_idle_cursor;
};

}  // namespace dotterelshed::pvt

#endif  // DOTTERELSHED_LIBCORE_POOL_STATE_H_
