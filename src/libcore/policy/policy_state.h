#ifndef DOTTERELSHED_LIBCORE_POLICY_POLICY_STATE_H_
#define DOTTERELSHED_LIBCORE_POLICY_POLICY_STATE_H_

#include <array>
#include <compare>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "dotterelshed/policy.h"

/// @file
/// Scheduler state behind dotterelshed/policy.h, shared by policy_*.cc.

namespace dotterelshed {

namespace pvt {

/// Number of attained-service levels; the last one is unbounded.
constexpr int kLevelCount = 5;

/// Sort key of a queued call; the smallest is dispatched first.
struct QueueKey {
  TimePoint m_rank;
  std::uint64_t m_sequence = 0;
  auto operator<=>(const QueueKey&) const = default;
};

/// Queued calls. Short ones are kept apart since they may use reserved slots.
struct CallQueue {
  std::map<QueueKey, RequestId> m_short;
  std::map<QueueKey, RequestId> m_long;
  auto empty() const -> bool { return m_short.empty() && m_long.empty(); }
};

/// Queue in which a call waits, if any.
enum class CallPlacement {
  kRunning,
  kSharedQueue,  ///< In the queue of its model, for any endpoint.
  kWarmQueue,    ///< In the queue of the endpoint that caches its prefix.
  kIsolation,    ///< Waits for an endpoint on which it runs alone.
};

struct ScheduledCall {
  PolicyCall m_call;
  TimePoint m_admitted;
  QueueKey m_key;
  int m_level = 0;
  bool m_long = false;
  CallPlacement m_placement = CallPlacement::kRunning;
  /// Endpoint whose warm queue contains the call.
  EndpointId m_warm_endpoint;
  std::set<AttemptId> m_attempts;
  int m_tries = 0;
  /// Attempts that certainly did not run, such as refused ones.
  int m_refused_tries = 0;
  bool m_hedged = false;
  /// The content was running on an endpoint that crashed.
  bool m_suspect = false;
};

struct ScheduledAttempt {
  RequestId m_request;
  EndpointId m_endpoint;
  TimePoint m_started;
  std::optional<TimePoint> m_first_token;
  TimePoint m_last_progress;
  Tokens m_generated;
  /// Prompt tokens to prefill, and those of other calls prefilled before them.
  std::int64_t m_uncached = 0;
  std::int64_t m_ahead = 0;
  Duration m_expected_first_token{0};
  std::int64_t m_memory = 0;
  bool m_long = false;
  bool m_hedge = false;
  HoldId m_hold;
  /// Time of the next stall check.
  TimePoint m_check_at;
};

/// A prompt prefix cached on an endpoint between two calls of a program.
struct PrefixState {
  EndpointId m_endpoint;
  std::int64_t m_tokens = 0;
  /// Empty if the endpoint may have evicted the prefix.
  HoldId m_hold;
  TimePoint m_expected_return;
  /// True while a call uses the prefix; its memory then counts as the call's.
  bool m_in_use = false;
};

struct ProgramState {
  ProgramId m_root;
  std::optional<PrefixState> m_prefix;
  int m_open_calls = 0;
  TimePoint m_last_used;
};

/// A root program together with its sub-agents.
struct RootState {
  std::int64_t m_attained = 0;
  TimePoint m_first_seen;
  int m_programs = 0;
};

struct ScheduledEndpoint {
  EndpointConfig m_config;
  bool m_configured = true;
  bool m_leaving = false;
  /// The platform lists the endpoint as leaving.
  bool m_listed_leaving = false;
  TimePoint m_left_at;
  EndpointState m_state = EndpointState::kServing;
  std::set<AttemptId> m_running;
  int m_running_long = 0;
  /// Maximum number of concurrent calls, from the configuration.
  int m_limit = 1;
  CallQueue m_warm;
  /// Moving average of the seconds between tokens; slow steps weigh more.
  double m_token_gap_s = 0;
  /// Moving average of the prefill seconds per prompt token.
  double m_prefill_s = 0;
  /// Prompt tokens of short and of long calls that await their first token.
  std::int64_t m_pending_short = 0;
  std::int64_t m_pending_long = 0;
  std::int64_t m_running_memory = 0;
  std::int64_t m_held_memory = 0;
  /// Programs whose prefix has a hold here, by the expected time of reuse.
  std::set<std::pair<TimePoint, ProgramId>> m_holds;
  int m_slow_steps = 0;
  int m_normal_steps = 0;
  TimePoint m_last_step_at;
  TimePoint m_probe_at;
  /// Accepts a regular call as probe, since no duplicate became available.
  bool m_direct_probe = false;
  int m_ejections = 0;
  /// Suspect call for which the endpoint is reserved; empty for none.
  RequestId m_isolated;
  /// Discounted load of other clients in the last report, and its arrival.
  int m_external_load = 0;
  TimePoint m_reported_at;
  std::vector<ModelId> m_models;
  /// Key in PoolPolicy::m_free while the endpoint has a free slot.
  std::optional<std::pair<int, EndpointId>> m_free_key;
};

/// Configured weight and observed averages of a class of programs.
struct ClassStats {
  int m_weight = 1;
  double m_generated = 128;
  double m_run_s = 1;
  double m_attained = 0;
  double m_pause_s = 2;
  std::int64_t m_programs = 0;
};

}  // namespace pvt

struct PoolPolicy {
  PolicyOptions m_options;
  std::map<ClassId, pvt::ClassStats> m_classes;
  int m_short_share_percent = 25;
  int m_retry_share_percent = 10;

  std::map<EndpointId, pvt::ScheduledEndpoint> m_endpoints;
  std::map<RequestId, pvt::ScheduledCall> m_calls;
  std::map<AttemptId, pvt::ScheduledAttempt> m_attempts;
  std::map<ProgramId, pvt::ProgramState> m_programs;
  std::map<ProgramId, pvt::RootState> m_roots;
  std::set<std::pair<TimePoint, ProgramId>> m_idle_programs;

  std::map<ModelId, pvt::CallQueue> m_shared_queues;
  std::deque<RequestId> m_isolation;
  /// Endpoints with a free slot, ordered by load.
  std::set<std::pair<int, EndpointId>> m_free;
  /// Endpoints with calls in their warm queue.
  std::set<EndpointId> m_warm_waiting;
  /// Times from which calls in warm queues may move to a shared queue.
  std::set<std::pair<TimePoint, RequestId>> m_warm_timers;
  /// Stall checks of running attempts, by due time.
  std::set<std::pair<TimePoint, AttemptId>> m_attempt_timers;
  /// Deadlines of queued calls without a running attempt.
  std::set<std::pair<TimePoint, RequestId>> m_deadlines;
  /// Endpoints in state kProbing.
  std::set<EndpointId> m_probing;
  /// Endpoint probes, by due time.
  std::set<std::pair<TimePoint, EndpointId>> m_probe_timers;

  std::array<int, pvt::kLevelCount> m_queued_by_level{};
  int m_queued = 0;
  double m_run_s = 1;
  /// Retries and hedges left.
  double m_retry_budget = 0;
  double m_reference_gap_s = 0;
  TimePoint m_reference_at;

  std::map<Digest, std::set<EndpointId>> m_suspects;
  std::deque<Digest> m_suspect_order;
  std::set<Digest> m_quarantined;
  std::deque<Digest> m_quarantine_order;
  /// Time of the latest crash of each endpoint.
  std::map<EndpointId, TimePoint> m_crashes;

  std::uint64_t m_next_sequence = 1;
  std::uint64_t m_next_attempt = 1;
};

}  // namespace dotterelshed

#endif  // DOTTERELSHED_LIBCORE_POLICY_POLICY_STATE_H_
