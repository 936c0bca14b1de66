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
/// Scheduling of one pool: admission, order of calls, choice of endpoint,
/// retries, hedging, ejection and prefix retention. Free functions over
/// PoolPolicy; the daemon and the replay use them unchanged.
///
/// A call goes Admit -> Dispatch -> (Progress)* -> Finish. Finish says whether
/// the call is over or was put back for another attempt.

namespace dotterelshed {

/// Which mechanisms are on; the replay turns each off alone.
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
  /// From LoadEndpointChart. Without it endpoints are never ejected.
  std::shared_ptr<const EndpointChart> m_endpoint_chart;
  int m_max_queued = 20000;
  int m_max_quarantined = 1024;
  /// Programs remembered between their calls; the longest idle go first.
  int m_max_programs = 100000;
};

/// What the policy knows of a call before it runs.
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
  /// True when the caller announced the program's last call.
  bool m_last = false;
  Duration m_expected_pause{0};
};

/// State of one pool's scheduling; defined in src/libcore.
struct PoolPolicy;

struct Refusal {
  ReasonCode m_reason = ReasonCode::kNone;
  std::optional<Duration> m_retry_after;
};

/// One attempt to start.
struct Dispatched {
  AttemptId m_attempt;
  RequestId m_request;
  EndpointId m_endpoint;
  /// True for a second attempt beside a slow first one.
  bool m_hedge = false;
  /// For engines that honour priorities; a lower number goes first.
  int m_priority = 0;
  /// Prefix to keep after the call; empty for none.
  HoldId m_hold;
  /// Prefixes to free first, to make room.
  std::vector<HoldRecord> m_release;
};

/// What becomes of a call after one of its attempts ended.
struct FinishVerdict {
  enum class Kind {
    kFinal,       ///< The attempt's result is the call's result.
    kRetry,       ///< The call is queued again.
    kIgnore,      ///< Another attempt of the call goes on or has won.
    kQuarantine,  ///< Its content crashed two endpoints; refuse it.
  };
  Kind m_kind = Kind::kFinal;
  /// Other attempts of the call to stop.
  std::vector<AttemptId> m_cancel;
  /// Set with kQuarantine.
  Digest m_quarantined;
};

auto MakePoolPolicy(const PolicyOptions& options)
    -> std::shared_ptr<PoolPolicy>;

/// Takes classes, limits and this pool's endpoints from the configuration.
/// Endpoints that are gone get no new work; running attempts go on.
auto SetPoolConfig(PoolPolicy& policy,
                   const DeskConfig& config,
                   const std::vector<EndpointConfig>& endpoints,
                   TimePoint now) -> void;

/// Queues a call, or refuses it before it runs.
auto Admit(PoolPolicy& policy, const PolicyCall& call, TimePoint now)
    -> std::optional<Refusal>;

/// All attempts that should start now, hedges included.
auto Dispatch(PoolPolicy& policy, TimePoint now) -> std::vector<Dispatched>;

auto Progress(PoolPolicy& policy,
              const AttemptId& attempt,
              Tokens generated,
              TimePoint now) -> void;

auto Finish(PoolPolicy& policy,
            const AttemptId& attempt,
            const AttemptResult& result,
            TimePoint now) -> FinishVerdict;

/// Forgets a call; returns its running attempts, to be stopped.
auto Cancel(PoolPolicy& policy, const RequestId& request, TimePoint now)
    -> std::vector<AttemptId>;

/// Calls that waited past their deadline and were dropped from the queue. None
/// of their attempts runs now; one that failed may have run before.
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
/// What the platform's list says of an endpoint. While it is listed as leaving
/// it gets no new work, whatever it says itself.
auto SetEndpointListedLeaving(PoolPolicy& policy,
                              const EndpointId& endpoint,
                              bool leaving,
                              TimePoint now) -> void;
auto NoteQuarantined(PoolPolicy& policy, const Digest& content) -> void;

/// The program is over: every prefix kept for it, to be freed.
auto EndProgram(PoolPolicy& policy, const ProgramId& program)
    -> std::vector<HoldRecord>;

/// Earliest time at which Dispatch or Expire has something to do.
auto NextDeadline(const PoolPolicy& policy) -> std::optional<TimePoint>;

/// Calls that this pool could take on beyond its own, for overflow.
auto Headroom(const PoolPolicy& policy) -> int;

/// Stable JSON, for dumps and status.
auto DumpPolicy(const PoolPolicy& policy, TimePoint now) -> std::string;

}  // namespace dotterelshed

#endif  // DOTTERELSHED_POLICY_H_
