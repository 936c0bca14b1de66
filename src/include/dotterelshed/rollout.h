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
/// Configuration roll-out between hosts. A generation is the version number of
/// a configuration. A host accepts only generations above its own, learns of
/// newer ones from heartbeats and digests, and fetches them from the peer that
/// sent those, as a difference where possible.

namespace dotterelshed {

/// State of one host's configuration; defined in src/libcore.
struct Rollout;

struct RolloutOptions {
  HostRef m_self;
  DomainId m_domain;
  std::string m_charts_dir;
  /// Time after which an unanswered request to a peer is sent again.
  Duration m_request_timeout = std::chrono::milliseconds(400);
  /// Unanswered requests to peers before the platform is read.
  int m_peer_requests = 3;
  /// Interval at which a host without a configuration reads the platform.
  Duration m_first_read_interval = std::chrono::seconds(2);
  /// Earlier texts kept as bases for differences.
  int m_kept_texts = 4;
  /// Minimum time between status writes of a lead.
  Duration m_status_interval = std::chrono::milliseconds(500);
};

struct RolloutStep {
  Effects m_effects;
  /// Set when this step put another configuration in force.
  std::shared_ptr<const DeskConfig> m_adopted;
};

/// Fails when the state machine "rollout" is missing or invalid.
auto MakeRollout(const RolloutOptions& options)
    -> Result<std::shared_ptr<Rollout>>;

/// Takes a configuration that the process read from the platform or a file.
auto OnConfigArrived(Rollout& rollout,
                     const ConfigArrived& event,
                     TimePoint now) -> RolloutStep;
/// Notes that @p from has @p generation, as its heartbeat or digest reports.
auto OnGenerationSeen(Rollout& rollout,
                      const HostRef& from,
                      Generation generation,
                      TimePoint now) -> RolloutStep;
auto OnConfigRequest(Rollout& rollout,
                     const ConfigRequest& message,
                     TimePoint now) -> RolloutStep;
auto OnConfigOffer(Rollout& rollout, const ConfigOffer& message, TimePoint now)
    -> RolloutStep;
/// Repeats requests that are due. A host without a configuration reads the
/// platform.
auto TickRollout(Rollout& rollout, TimePoint now) -> RolloutStep;

/// Called by the lead on each tick with the live members of its domain. Writes
/// the domain's status when it has changed, and again when the platform becomes
/// reachable.
auto ReportRollout(Rollout& rollout,
                   const std::vector<MemberInfo>& members,
                   bool platform_reachable,
                   TimePoint now) -> RolloutStep;

/// Request that a host without a configuration sends to its seed peers. Nothing
/// once it has one.
auto SeedConfigRequest(const Rollout& rollout) -> std::optional<ConfigRequest>;

/// The configuration in force; null before the first one.
auto ConfigInUse(const Rollout& rollout) -> std::shared_ptr<const DeskConfig>;
/// Generation of the configuration in force; 0 before the first one.
auto GenerationInUse(const Rollout& rollout) -> Generation;

auto DumpRollout(const Rollout& rollout, TimePoint now) -> std::string;

}  // namespace dotterelshed

#endif  // DOTTERELSHED_ROLLOUT_H_
