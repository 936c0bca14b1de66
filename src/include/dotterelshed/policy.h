#ifndef DOTTERELSHED_POLICY_H_
#define DOTTERELSHED_POLICY_H_

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "dotterelshed/call.h"
#include "dotterelshed/desk_config.h"
#include "dotterelshed/endpoint_chart.h"
#include "dotterelshed/endpoint_types.h"
#include "dotterelshed/ids.h"
#include "dotterelshed/turn_messages.h"
#include "dotterelshed/units.h"

/// @file
/// Scheduler of one pool of endpoints: admission control, queue order,
/// endpoint selection, retries, hedging, outlier ejection and prefix retention.
/// The free functions over PoolPolicy are shared by the daemon and the trace
/// replay.
///
/// A call goes through Admit -> Dispatch -> (Progress)* -> Finish. Finish
/// reports whether the call is complete or was queued for another attempt.

namespace dotterelshed {

/// Scheduling mechanisms and limits. The replay disables one mechanism at a
/// time to measure its effect.
struct PolicyOptions {
  std::uint64_t m_seed = 1;
  bool m_attained_service_order = true;
  bool m_short_share = true;
  bool m_cache_cost = true;
  bool m_ejection = true;
  bool m_hedging = true;
  bool m_early_refusal = true;
  bool m_retention = true;
  bool m_warm_queues = true;
  /// Ejection state machine from LoadEndpointChart; if null, no endpoint is
  /// ejected.
  std::shared_ptr<const EndpointChart> m_endpoint_chart;
  int m_max_queued = 20000;
  int m_max_quarantined = 1024;
  /// Programs tracked between their calls; the longest idle are dropped first.
  int m_max_programs = 100000;
};

/// Properties of a call that are known before it runs.
struct PolicyCall {
  RequestId m_request;
  ProgramId m_program;
  ProgramId m_root;
  ClassId m_class;
  ServiceId m_service;
  ModelId m_model;
  Turn m_turn;
  Tokens m_prompt_tokens;
  Tokens m_max_tokens;
  Digest m_content;
  TimePoint m_deadline;
  bool m_repeatable = true;
  /// True if the caller marked this as the program's last call.
  bool m_last = false;
  Duration m_expected_pause{0};
};

/// Scheduler state of one pool; defined in src/libcore/policy/policy_state.h.
struct PoolPolicy;

struct Refusal {
  ReasonCode m_reason = ReasonCode::kNone;
  std::optional<Duration> m_retry_after;
};

/// An attempt to start.
struct Dispatched {
  AttemptId m_attempt;
  RequestId m_request;
  EndpointId m_endpoint;
  /// True if another attempt of the call is already running.
  bool m_hedge = false;
  /// For engines that support priorities; lower values run first.
  int m_priority = 0;
  /// Hold for the prefix to keep after the call; empty for none.
  HoldId m_hold;
  /// Holds to release before the attempt starts.
  std::vector<HoldRecord> m_release;
};

/// Consequence of the end of an attempt for its call.
struct FinishVerdict {
  enum class Kind {
    kFinal,       ///< The attempt's result is the call's result.
    kRetry,       ///< The call is queued again.
    kIgnore,      ///< Another attempt is running or already completed the call.
    kQuarantine,  ///< The content crashed two endpoints and is refused.
  };
  Kind m_kind = Kind::kFinal;
  /// Other attempts of the call, to be cancelled.
  std::vector<AttemptId> m_cancel;
  /// Digest of the quarantined content; empty unless m_kind is kQuarantine.
  Digest m_quarantined;
};

auto MakePoolPolicy(const PolicyOptions& options)
    -> std::shared_ptr<PoolPolicy>;

/// Applies classes, limits and the pool's endpoints from the configuration.
/// Removed endpoints get no new attempts; their running attempts continue.
auto SetPoolConfig(PoolPolicy& policy,
                   const DeskConfig& config,
                   const std::vector<EndpointConfig>& endpoints,
                   TimePoint now) -> void;

/// Queues a call, or returns the reason why it is refused without having run.
auto Admit(PoolPolicy& policy, const PolicyCall& call, TimePoint now)
    -> std::optional<Refusal>;

/// Returns the attempts to start now, including hedges and probes.
auto Dispatch(PoolPolicy& policy, TimePoint now) -> std::vector<Dispatched>;

auto Progress(PoolPolicy& policy,
              const AttemptId& attempt,
              Tokens generated,
              TimePoint now) -> void;

auto Finish(PoolPolicy& policy,
            const AttemptId& attempt,
            const AttemptResult& result,
            TimePoint now) -> FinishVerdict;

/// Removes a call and returns its running attempts, to be cancelled.
auto Cancel(PoolPolicy& policy, const RequestId& request, TimePoint now)
    -> std::vector<AttemptId>;

/// Removes and returns queued calls whose deadline has passed. They have no
/// running attempt, but an earlier failed attempt may have run.
auto Expire(PoolPolicy& policy, TimePoint now) -> std::vector<RequestId>;

auto ApplyLoadReport(PoolPolicy& policy,
                     const LoadReport& report,
                     TimePoint now) -> void;
auto ApplyCacheReport(PoolPolicy& policy,
                      const CacheReport& report,
                      TimePoint now) -> void;
auto MarkEndpointLeaving(PoolPolicy& policy,
                         const EndpointId& endpoint,
                         TimePoint now) -> void;
/// Records whether the platform lists the endpoint as leaving. While it does,
/// the endpoint gets no new attempts, whatever its load reports say.
auto SetEndpointListedLeaving(PoolPolicy& policy,
                              const EndpointId& endpoint,
                              bool leaving,
                              TimePoint now) -> void;
auto NoteQuarantined(PoolPolicy& policy, const Digest& content) -> void;

/// Removes a finished program and returns its holds, to be released.
auto EndProgram(PoolPolicy& policy, const ProgramId& program)
    -> std::vector<HoldRecord>;

/// Earliest time at which Dispatch or Expire has work; nullopt for none.
auto NextDeadline(const PoolPolicy& policy) -> std::optional<TimePoint>;

/// Free slots beyond the queued calls, available to overflow of other pools.
auto Headroom(const PoolPolicy& policy) -> int;

/// Returns JSON with a fixed key order, for dumps and the status page.
auto DumpPolicy(const PoolPolicy& policy, TimePoint now) -> std::string;

}  // namespace dotterelshed

#endif  // DOTTERELSHED_POLICY_H_
