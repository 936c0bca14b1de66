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
/// The decision core of one host, as three functions. It has no threads,
/// sockets, clocks or random devices: time comes in with each event, random
/// numbers come from the seed in CoreOptions, and everything to be done comes
/// out as effects. The daemon, the failure tests and the replay all run it
/// through this header.
///
/// @code
///   auto core = MakeCore({.m_self = self, .m_domain = domain, .m_seed = 1});
///   for (const Effect& effect : Step(*core, Tick{}, now)) { ... }
/// @endcode

namespace dotterelshed {

/// Safety mechanisms, each of which a failure test turns off to see the
/// promise break that rests on it. All stay on in the daemon.
struct CoreMechanisms {
  /// A call runs only after its reservation is confirmed.
  bool m_reserve_before_run = true;
  /// An answer is released only after its turn is confirmed.
  bool m_append_before_release = true;
  /// A copy holder does not answer a repeat from its copy.
  bool m_holder_withholds_repeats = true;
  /// A copy never shortens the chain of its receiver.
  bool m_keep_longer_chain = true;
  /// A copy holder refuses messages of an old term.
  bool m_refuse_old_terms = true;
  /// A new primary asks every live host for what it holds.
  bool m_collect_on_takeover = true;
  /// A new primary serves only after its holder confirmed the whole state.
  bool m_copy_before_serving = true;
  /// Reservations of a lost primary count as spent.
  bool m_settle_inherited = true;
  /// Service without the copy holder or the primary has a share of its own.
  bool m_escrow = true;
  /// The caller's token must match the history.
  bool m_check_token = true;
  /// Non-idempotent calls are claimed in the platform before they are sent.
  bool m_claim_before_send = true;
  /// Unconfirmed releases of engine memory are sent again.
  bool m_retry_release = true;
  /// Engine memory that nobody remembers is looked for and freed.
  bool m_sweep_holds = true;
};

/// What a core is told once. Limits bound its memory; see docs/operators.
struct CoreOptions {
  HostRef m_self;
  DomainId m_domain;
  HostAddresses m_addresses;
  bool m_has_disk = false;
  std::uint64_t m_seed = 1;
  /// Directory with the state charts.
  std::string m_charts_dir;
  Duration m_heartbeat_interval = std::chrono::milliseconds(500);
  /// Missed heartbeats after which a host counts as down.
  int m_missed_heartbeats = 4;
  /// Added per rank before a host proposes itself.
  Duration m_rank_delay = std::chrono::milliseconds(300);
  /// Time after which an unanswered reserve, append or copy is sent again.
  Duration m_copy_retry = std::chrono::milliseconds(200);
  int m_max_programs = 100000;
  int m_max_queued_calls = 20000;
  /// Stored answers of one program; older ones keep their digest only.
  int m_max_stored_answers = 64;
  int m_max_quarantined = 1024;
  int m_claim_shard_count = 16;
  /// Wall-clock time at TimePoint zero, for what is kept for a time.
  std::optional<Duration> m_wall_clock_offset;
  /// Pieces of a pool's state are copied with this many histories each.
  int m_copy_batch = 200;
  /// Ended programs are remembered this long, for late repeats.
  Duration m_ended_retention = std::chrono::minutes(10);
  /// Unconfirmed releases of engine memory kept; beyond it the sweep finds
  /// them.
  int m_max_releases = 100000;
  Duration m_release_retry = std::chrono::seconds(1);
  Duration m_sweep_interval = std::chrono::seconds(10);
  CoreMechanisms m_mechanisms;
};

/// State of one host's decisions; defined in src/libcore.
struct HostCore;

/// Where a call has to go first.
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

/// Builds a core. Fails when a chart is missing or unsound.
auto MakeCore(const CoreOptions& options) -> Result<std::shared_ptr<HostCore>>;

/// Takes one event and returns what has to be done, in order.
auto Step(HostCore& core, const Event& event, TimePoint now) -> Effects;

/// Finds the host that decides on @p call. Changes nothing.
auto RouteCall(const HostCore& core, const CallRequest& call, TimePoint now)
    -> Route;

/// Endpoints of the pools that this host is primary of; the daemon polls their
/// load, cache events and holds.
auto OwnedEndpoints(const HostCore& core) -> std::vector<EndpointConfig>;

/// The configuration in force; null before the first one.
auto CurrentConfig(const HostCore& core) -> std::shared_ptr<const DeskConfig>;

/// Where @p host listens, if known.
auto AddressesOf(const HostCore& core, const HostId& host)
    -> std::optional<HostAddresses>;

/// Stable JSON of the whole state, for dumps and status.
auto DumpCore(const HostCore& core, TimePoint now) -> std::string;

}  // namespace dotterelshed

#endif  // DOTTERELSHED_CORE_H_
