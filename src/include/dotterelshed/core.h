#ifndef DOTTERELSHED_CORE_H_
#define DOTTERELSHED_CORE_H_

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "dotterelshed/core_effects.h"
#include "dotterelshed/core_events.h"
#include "dotterelshed/ids.h"
#include "dotterelshed/units.h"

/// @file
/// The decision core of one host: a deterministic state machine. It has no
/// threads, sockets, clocks or random devices: each event carries its time,
/// random numbers derive from the seed in CoreOptions, and everything to be
/// done is returned as effects. The daemon, the failure tests and the replay
/// all run it through this header.
///
/// @code
///   auto core = MakeCore({.m_self = self, .m_domain = domain, .m_seed = 1});
///   for (const Effect& effect : Step(*core, Tick{}, now)) { ... }
/// @endcode

namespace dotterelshed {

/// Safety mechanisms. Tests turn each of them off to show that the guarantee
/// which depends on it is then violated. All stay on in the daemon.
struct CoreMechanisms {
  /// A call runs only after the replica confirmed the reservation of its
  /// budget.
  bool m_reserve_before_run = true;
  /// An answer is returned only after the replica confirmed its turn.
  bool m_append_before_release = true;
  /// A copy holder does not answer a repeated call from its copy, since only
  /// the primary knows whether the stored turn is final.
  bool m_holder_withholds_repeats = true;
  /// A received copy never discards a longer history of its program.
  bool m_keep_longer_chain = true;
  /// Hosts refuse pool messages of an old term.
  bool m_refuse_old_terms = true;
  /// A new primary collects the pool's state from every live host and the
  /// former owners.
  bool m_collect_on_takeover = true;
  /// A new primary serves only after its copy holder confirmed the whole state.
  bool m_copy_before_serving = true;
  /// Open reservations of earlier primaries count as spent.
  bool m_settle_inherited = true;
  /// While the primary or the copy holder is unreachable, the other one spends
  /// at most its escrow, a share of the budget set aside for it.
  bool m_escrow = true;
  /// The caller's continuation token must match the history.
  bool m_check_token = true;
  /// Calls that may run at most once are claimed in the platform before they
  /// are sent.
  bool m_claim_before_send = true;
  /// Unconfirmed releases of engine KV memory are sent again.
  bool m_retry_release = true;
  /// Engine KV memory without a live program is found by listing and released.
  bool m_sweep_holds = true;
};

/// Fixed options of a core. The limits bound its memory; see docs/operators.
struct CoreOptions {
  HostRef m_self;
  DomainId m_domain;
  HostAddresses m_addresses;
  bool m_has_disk = false;
  std::uint64_t m_seed = 1;
  /// Directory with the state machine files.
  std::string m_charts_dir;
  Duration m_heartbeat_interval = std::chrono::milliseconds(500);
  /// Missed heartbeats after which a host counts as down.
  int m_missed_heartbeats = 4;
  /// Delay per rank before a host proposes itself as the lead.
  Duration m_rank_delay = std::chrono::milliseconds(300);
  /// Time after which an unanswered reservation, append or copy is sent again.
  Duration m_copy_retry = std::chrono::milliseconds(200);
  int m_max_programs = 100000;
  int m_max_queued_calls = 20000;
  /// Stored answers per program; of older ones only the digest is kept.
  int m_max_stored_answers = 64;
  int m_max_quarantined = 1024;
  int m_claim_shard_count = 16;
  /// Wall-clock time at TimePoint zero, for the retention of claims.
  std::optional<Duration> m_wall_clock_offset;
  /// Number of program histories in each message that copies a pool's state.
  int m_copy_batch = 200;
  /// Retention of ended programs, so that late repeats get their answer.
  Duration m_ended_retention = std::chrono::minutes(10);
  /// Limit on unconfirmed releases of engine KV memory that are kept. The sweep
  /// finds those above it.
  int m_max_releases = 100000;
  Duration m_release_retry = std::chrono::seconds(1);
  Duration m_sweep_interval = std::chrono::seconds(10);
  CoreMechanisms m_mechanisms;
};

/// State of the decision core; defined in src/libcore.
struct HostCore;

/// Routing decision for a call: the host that has to process it first.
struct Route {
  enum class Kind { kLocal, kForward, kRefuse };
  Kind m_kind = Kind::kRefuse;
  PoolId m_pool;
  /// Set for kForward.
  HostId m_host;
  HostAddresses m_addresses;
  /// Set for kRefuse.
  ReasonCode m_reason = ReasonCode::kNone;
  Duration m_retry_after{0};
};

/// Creates a core. Fails when a state machine file is missing or invalid.
auto MakeCore(const CoreOptions& options) -> Result<std::shared_ptr<HostCore>>;

/// Processes one event and returns the effects to carry out, in order.
auto Step(HostCore& core, const Event& event, TimePoint now) -> Effects;

/// Finds the host that decides on @p call. Does not change the state.
auto RouteCall(const HostCore& core, const CallRequest& call, TimePoint now)
    -> Route;

/// Endpoints of the pools whose primary is this host. The daemon polls their
/// load, cache events and holds.
auto OwnedEndpoints(const HostCore& core) -> std::vector<EndpointConfig>;

/// The configuration in force; null before the first one.
auto CurrentConfig(const HostCore& core) -> std::shared_ptr<const DeskConfig>;

/// Addresses of @p host, if known.
auto AddressesOf(const HostCore& core, const HostId& host)
    -> std::optional<HostAddresses>;

/// JSON of the whole state with a stable order of keys, for dumps and status.
auto DumpCore(const HostCore& core, TimePoint now) -> std::string;

}  // namespace dotterelshed

#endif  // DOTTERELSHED_CORE_H_
