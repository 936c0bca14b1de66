#ifndef DOTTERELSHED_ROLLOUT_H_
#define DOTTERELSHED_ROLLOUT_H_

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "dotterelshed/core_effects.h"
#include "dotterelshed/core_events.h"
#include "dotterelshed/desk_config.h"
#include "dotterelshed/error.h"
#include "dotterelshed/ids.h"
#include "dotterelshed/membership_messages.h"

/// @file
/// Configuration roll-out between hosts. A host takes only generations above
/// the one that it has, learns of newer ones from heartbeats and digests, and
/// fetches them from the peer that showed them, as a difference where it can.

namespace dotterelshed {

/// State of one host's configuration; defined in src/libcore.
struct Rollout;

struct RolloutOptions {
  HostRef m_self;
  DomainId m_domain;
  std::string m_charts_dir;
  /// A request to a peer is sent again after this time.
  Duration m_request_timeout = std::chrono::milliseconds(400);
  /// Requests to peers before the platform is asked.
  int m_peer_requests = 3;
  /// A host without any configuration asks the platform this often.
  Duration m_first_read_interval = std::chrono::seconds(2);
  /// Earlier texts kept to make differences from.
  int m_kept_texts = 4;
  /// Status writes of a lead are at least this far apart.
  Duration m_status_interval = std::chrono::milliseconds(500);
};

struct RolloutStep {
  Effects m_effects;
  /// Set when another configuration is in force from now on.
  std::shared_ptr<const DeskConfig> m_adopted;
};

/// Fails when the chart "rollout" is missing or unsound.
auto MakeRollout(const RolloutOptions& options)
    -> Result<std::shared_ptr<Rollout>>;

/// A configuration read by the process, from the platform or a file.
auto OnConfigArrived(Rollout& rollout,
                     const ConfigArrived& event,
                     TimePoint now) -> RolloutStep;
/// @p from has @p generation, as its heartbeat or digest says.
auto OnGenerationSeen(Rollout& rollout,
                      const HostRef& from,
                      Generation generation,
                      TimePoint now) -> RolloutStep;
auto OnConfigRequest(Rollout& rollout,
                     const ConfigRequest& message,
                     TimePoint now) -> RolloutStep;
auto OnConfigOffer(Rollout& rollout, const ConfigOffer& message, TimePoint now)
    -> RolloutStep;
/// Sends requests again. A host without any configuration asks the platform.
auto TickRollout(Rollout& rollout, TimePoint now) -> RolloutStep;

/// Called by the lead on each tick with the live members of its domain: writes
/// the domain's status when it changed, and again when the platform is back.
auto ReportRollout(Rollout& rollout,
                   const std::vector<MemberInfo>& members,
                   bool platform_reachable,
                   TimePoint now) -> RolloutStep;

/// What a host without configuration sends to its seed peers. Nothing once it
/// has one.
auto SeedConfigRequest(const Rollout& rollout) -> std::optional<ConfigRequest>;

/// The configuration in force; null before the first one.
auto ConfigInUse(const Rollout& rollout) -> std::shared_ptr<const DeskConfig>;
/// Its generation; 0 before the first one.
auto GenerationInUse(const Rollout& rollout) -> Generation;

auto DumpRollout(const Rollout& rollout, TimePoint now) -> std::string;

}  // namespace dotterelshed

#endif  // DOTTERELSHED_ROLLOUT_H_
