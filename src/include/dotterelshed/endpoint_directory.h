#ifndef DOTTERELSHED_ENDPOINT_DIRECTORY_H_
#define DOTTERELSHED_ENDPOINT_DIRECTORY_H_

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "dotterelshed/ids.h"
#include "dotterelshed/units.h"

/// @file
/// The endpoints that the platform lists, as known to one host. Entries that
/// expired because endpoints couldn't reach the platform during an outage stay
/// in use for a grace period. An endpoint that said itself that it is leaving
/// takes no new work, whatever the list says, until it has restarted.

namespace dotterelshed {

struct EndpointEntry {
  EndpointId m_id;
  ServiceId m_service;
  /// "IP:port".
  std::string m_address;
  DomainId m_domain;
  /// Endpoints of several versions may serve a service side by side.
  SoftwareVersion m_software;
  int m_slots = 1;
  /// True when it takes no new work.
  bool m_leaving = false;
  /// Start time by its own clock, in Unix milliseconds. A change means that it
  /// restarted and lost its state.
  std::int64_t m_started_unix_ms = 0;
  ResourceVersion m_version;
};

/// Limits for deciding whether an entry was removed because it expired during
/// an outage of the platform.
struct ExpiryLimits {
  /// Entries expire after several missed heartbeats, so shorter outages don't
  /// make them expire.
  Duration m_min_outage = std::chrono::milliseconds(2400);
  /// Longest time that an entry stays in use after the last failed call was
  /// sent, when the platform was certainly unavailable. An endpoint that has
  /// left for good must be out of use by then.
  Duration m_max_grace_period = std::chrono::milliseconds(4800);
};

/// An outage of the platform as observed by this host.
struct PlatformOutage {
  /// Time of the last answer before the outage.
  TimePoint m_last_seen;
  /// Time at which the last call that failed was sent.
  TimePoint m_failed_call_sent;
  TimePoint m_recovered_at;
};

/// An endpoint's own statement that it is leaving.
struct LeaveAnnouncement {
  /// Start of the endpoint to which the statement applies.
  std::int64_t m_started_unix_ms = 0;
  TimePoint m_announced_at;
};

struct EndpointDirectory {
  ExpiryLimits m_limits;
  std::map<EndpointId, EndpointEntry> m_entries;
  std::map<ServiceId, std::vector<EndpointId>> m_by_service;
  /// Entries that were removed after an outage, and the end of their use.
  std::map<EndpointId, TimePoint> m_expiring;
  /// Endpoints that said that they are leaving.
  std::map<EndpointId, LeaveAnnouncement> m_announced;
  /// Until this time a removed entry may have expired during an outage.
  std::optional<TimePoint> m_grace_period_end;
};

/// How a call changed an endpoint's entry.
enum class EndpointChangeKind {
  kNone,
  kReady,      ///< New, or takes work again.
  kLeaving,    ///< Takes no new work from now on.
  kRestarted,  ///< Restarted under its id and lost its state.
  kRemoved,
  kHeld,     ///< Removed after an outage; in use for the grace period.
  kExpired,  ///< Didn't register again within the grace period.
};

/// Stable lower-case name, for logs.
auto ToString(EndpointChangeKind kind) -> std::string_view;

struct EndpointChange {
  EndpointId m_endpoint;
  EndpointChangeKind m_kind = EndpointChangeKind::kNone;
  /// Address before the change; empty for a new one.
  std::string m_old_address;
  /// True when it took no new work before the change.
  bool m_was_leaving = false;
};

/// The platform answers again after an outage. Starts a grace period if the
/// outage was long enough for entries to expire.
auto NotePlatformRecovered(EndpointDirectory& directory,
                           const PlatformOutage& outage) -> void;

/// Time for which removed entries still get a grace period; zero for none.
auto GracePeriodLeft(const EndpointDirectory& directory, TimePoint now)
    -> Duration;

/// Another host keeps removed entries in use until @p until; this host does so
/// for at least as long.
auto ExtendGracePeriod(EndpointDirectory& directory, TimePoint until) -> void;

/// Adds or updates an entry. An older version than the known one is ignored.
auto PutEndpoint(EndpointDirectory& directory, EndpointEntry entry)
    -> EndpointChange;

/// An endpoint said in an answer that it is leaving.
auto AnnounceLeaving(EndpointDirectory& directory,
                     const EndpointId& id,
                     TimePoint now) -> EndpointChange;

/// Removes an entry, or holds it until the end of the grace period if it may
/// have expired during an outage. Entries that were leaving are removed at
/// once.
auto RemoveEndpoint(EndpointDirectory& directory,
                    const EndpointId& id,
                    TimePoint now) -> EndpointChange;

/// Replaces all entries by a complete listing. Returns the changes.
auto ReplaceEndpoints(EndpointDirectory& directory,
                      std::vector<EndpointEntry> entries,
                      TimePoint now) -> std::vector<EndpointChange>;

/// Removes held entries whose grace period is over, and announcements that are
/// too old to matter. Returns the changes.
auto DropExpiredEndpoints(EndpointDirectory& directory, TimePoint now)
    -> std::vector<EndpointChange>;

auto FindEndpoint(const EndpointDirectory& directory, const EndpointId& id)
    -> const EndpointEntry*;

/// Returns the service of an endpoint; empty if it isn't known.
auto ServiceOf(const EndpointDirectory& directory, const EndpointId& id)
    -> ServiceId;

}  // namespace dotterelshed

#endif  // DOTTERELSHED_ENDPOINT_DIRECTORY_H_
