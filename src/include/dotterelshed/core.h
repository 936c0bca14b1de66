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
  int m_lane_count = 16;
  /// Wall-clock time at TimePoint zero, for what is kept for a time.
  std::optional<Duration> m_wall_clock_offset;
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
