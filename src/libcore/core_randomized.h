#ifndef DOTTERELSHED_LIBCORE_CORE_RANDOMIZED_H_
#define DOTTERELSHED_LIBCORE_CORE_RANDOMIZED_H_

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <pcg_random.hpp>
#include <set>
#include <string>
#include <vector>

#include "core_state.h"

/// @file
/// Random walks over several cores with a fake platform, fake endpoints and a
/// network that loses, doubles, delays and reorders. Each step checks the
/// promises to callers. For tests.

namespace dotterelshed::randomized {

/// Bound of what one attempt costs.
inline constexpr std::int64_t kAttemptCostBound = 100;

struct RandomizedTestOptions {
  std::uint64_t m_seed = 1;
  /// 0 takes three to five from the seed.
  int m_hosts = 0;
  int m_steps = 4000;
  int m_programs = 3;
  /// Chance per thousand steps of one fault.
  int m_faults = 6;
  /// Budget of a root program, in bounds of one call; 0 takes it from the seed.
  int m_budget_calls = 0;
  /// Two copies survive one loss, so an owner of the pool fails only while the
  /// other one, or in an outage another live host, has what callers were told.
  /// Off, owners fail at any moment.
  bool m_preserve_last_copy = true;
  /// Three lost heartbeats make a host count as down, so no message is lost in
  /// walks with only planned stops. Off, messages are lost there as well.
  bool m_lossless_drains = true;
  CoreMechanisms m_mechanisms;
};

struct RandomizedTestResult {
  /// What broke; empty if everything held.
  std::string m_violation;
  /// What broke needs a history or a spend whose last copy crashed before.
  bool m_copies_lost = false;
  int m_answers = 0;
  int m_provisional = 0;
  int m_runs = 0;
  int m_crashes = 0;
  int m_outages = 0;
  int m_pauses = 0;
  int m_drains = 0;
};

/// Runs one walk.
auto RunRandomizedTest(const RandomizedTestOptions& options)
    -> RandomizedTestResult;

/// One host: its core, and what faults made of it.
struct SimulatedHost {
  HostRef m_ref;
  std::shared_ptr<HostCore> m_core;
  TimePoint m_next_tick;
  TimePoint m_paused_until;
  TimePoint m_down_until;
  bool m_lead_duty = false;
  /// It said that it may exit.
  bool m_drained = false;
};

/// A message under way, or an event that a host will get.
struct PendingDelivery {
  HostId m_to;
  /// Events are for this start of the host only; messages for any.
  std::optional<Incarnation> m_incarnation;
  Event m_event;
  /// Not delivered before.
  TimePoint m_not_before;
};

/// One thing that a host asked of the world outside.
struct PendingEffect {
  HostRef m_from;
  Effect m_effect;
};

/// One caller with one program.
struct SimulatedCaller {
  ProgramId m_program;
  ProgramId m_root;
  std::optional<ContinuationToken> m_token;
  Turn m_turn{1};
  /// Requests sent for the turn, the last one is waited for.
  std::vector<RequestId> m_requests;
  TimePoint m_sent;
  bool m_waiting = false;
  bool m_non_repeatable = false;
  bool m_finished = false;
};

/// The world of one walk. Tests may drive it by hand as well.
class SimulatedCluster {
 public:
  explicit SimulatedCluster(const RandomizedTestOptions& options);

  /// One random step.
  auto StepOnce() -> void;
  /// Ends faults, lets callers go on and checks what must hold at the end.
  auto Finish() -> void;
  auto result() const -> const RandomizedTestResult& { return m_result; }

  auto Start(SimulatedHost& host) -> void;
  auto HandleEvent(SimulatedHost& host, const Event& event) -> void;
  auto Crash(SimulatedHost& host) -> void;

 private:
  auto RandomBelow(int sides) -> int;
  auto RecordViolation(const std::string& what) -> void;
  /// Violations that can follow from a lost history of a program, or
  /// from a lost spend of a root.
  auto RecordHistoryViolation(const std::string& what, const ProgramId& program)
      -> void;
  auto RecordBudgetViolation(const ProgramId& root) -> void;
  auto NoteLostCopies(const SimulatedHost& victim) -> void;
  auto IsUp(const SimulatedHost& host) const -> bool;
  auto AllUp() const -> bool;
  auto Find(const HostId& host) -> SimulatedHost&;
  auto TickHosts() -> void;
  auto DeliverOne() -> void;
  auto PerformOne() -> void;
  auto InjectFault() -> void;
  auto OnlyDrains() const -> bool;
  auto StopDrained(SimulatedHost& host) -> void;
  auto CheckDrain(const SimulatedHost& host, const CallAnswer& answer) -> void;
  auto RunOneCaller() -> void;
  auto EndProgram(const ProgramId& program) -> void;
  auto Send(SimulatedCaller& caller) -> void;
  auto Perform(const PendingEffect& request) -> void;
  auto Reply(const HostRef& host, const Event& event) -> void;
  auto HandleEffect(SimulatedHost& host, const Effect& effect) -> void;
  auto RunAtEndpoint(const HostRef& from, const StartAttempt& start) -> void;
  auto HandleAnswer(const CallAnswer& answer) -> void;
  auto CheckAnswer(const SimulatedCaller& caller, const CallAnswer& answer)
      -> void;
  auto CheckCopies(const CallAnswer& answer) -> void;
  auto CopiesOf(const ProgramId& program, Turn turn, const Digest& chain)
      -> std::set<HostId>;
  auto IsHealthy() const -> bool;
  auto HasCopyBesides(const SimulatedHost& victim,
                      const ContinuationToken& token) -> bool;
  auto IsFaultAllowed(const SimulatedHost& victim) -> bool;
  auto KnownSpent(const HostId& host, const ProgramId& root) -> Cost;
  auto ReadOrPutTable(const HostRef& from, const DomainTable* put) -> void;
  auto ReadOrPutClaimShard(const HostRef& from,
                           const ClaimShardId& id,
                           const ClaimShardObject* put) -> void;

  RandomizedTestOptions m_options;
  pcg32 m_random;
  RandomizedTestResult m_result;
  TimePoint m_now{std::chrono::seconds(1)};
  Cost m_budget;
  std::shared_ptr<const DeskConfig> m_config;
  std::map<HostId, SimulatedHost> m_hosts;
  std::vector<PendingDelivery> m_deliveries;
  std::vector<PendingEffect> m_requests;
  std::vector<SimulatedCaller> m_callers;
  std::set<std::pair<HostId, HostId>> m_partitioned;
  TimePoint m_partitioned_until;
  /// The host that is stopping as planned; nothing else fails meanwhile.
  HostId m_draining;
  TimePoint m_outage_until;
  TimePoint m_last_crash;
  bool m_faults_ended = false;
  int m_next_request = 1;

  DomainTable m_table;
  std::map<ClaimShardId, ClaimShardObject> m_claim_shards;
  std::map<EndpointId, std::map<HoldId, HoldRecord>> m_kv_holds;
  std::set<AttemptId> m_cancelled;
  std::map<RequestId, int> m_runs_by_request;
  std::map<std::string, int> m_runs_by_key;
  std::map<ProgramId, Cost> m_spent;
  std::set<ProgramId> m_lost_histories;
  std::set<ProgramId> m_lost_spends;
  std::set<RequestId> m_not_run;
  struct Released {
    std::string m_body;
    bool m_provisional = false;
  };
  std::map<std::pair<ProgramId, Turn>, Released> m_released;
  std::map<ProgramId, ContinuationToken> m_last_token;
  /// Histories that were released without the copy holder.
  std::vector<ContinuationToken> m_provisional;
};

}  // namespace dotterelshed::randomized

#endif  // DOTTERELSHED_LIBCORE_CORE_RANDOMIZED_H_
