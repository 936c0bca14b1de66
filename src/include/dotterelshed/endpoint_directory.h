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
/// The endpoints that a host knows of, as the platform lists them, and the rule
/// for entries that lapsed while the platform itself was away.

namespace dotterelshed {

struct EndpointEntry {
  EndpointId m_id;
  ServiceId m_service;
  /// "IP:port".
  std::string m_address;
  DomainId m_domain;
  int m_slots = 1;
  /// True when it takes no new work.
  bool m_leaving = false;
  /// Time of its start by its own clock in Unix milliseconds; a change says
  /// that it forgot everything.
  std::int64_t m_started_unix_ms = 0;
  ResourceVersion m_version;
};

/// What decides whether a vanished entry may be one that lapsed in an outage.
struct ExpiryLimits {
  /// Entries lapse after some missed heartbeats, so not in a shorter outage.
  Duration m_min_outage = std::chrono::milliseconds(2400);
  /// Longest time that an entry is held after the platform was away for
  /// certain: by then one that left for good must be out of use.
  Duration m_max_grace_period = std::chrono::milliseconds(4800);
};

/// How an outage of the platform looked from this host.
struct PlatformOutage {
  /// Last answer before the outage.
  TimePoint m_last_seen;
  /// When the last call that failed was sent.
  TimePoint m_failed_call_sent;
  TimePoint m_recovered_at;
};

struct EndpointDirectory {
  ExpiryLimits m_limits;
  std::map<EndpointId, EndpointEntry> m_entries;
  std::map<ServiceId, std::vector<EndpointId>> m_by_service;
  /// Entries that vanished with an outage, and until when they are still used.
  std::map<EndpointId, TimePoint> m_expiring;
  /// Until when a vanished entry may be one that lapsed in an outage.
  std::optional<TimePoint> m_grace_period_end;
};

/// What one call changed for an endpoint.
enum class EndpointChangeKind {
  kNone,
  kReady,      ///< New, or takes work again.
  kLeaving,    ///< Takes no new work from now on.
  kRestarted,  ///< Started anew under its id; it forgot everything.
  kRemoved,
  kHeld,     ///< Vanished with an outage; stays in use for a moment.
  kExpired,  ///< Was held and didn't come back.
};

/// Stable lower-case name, for logs.
auto ToString(EndpointChangeKind kind) -> std::string_view;

struct EndpointChange {
  EndpointId m_endpoint;
  EndpointChangeKind m_kind = EndpointChangeKind::kNone;
  /// Address before the change; empty for a new one.
  std::string m_old_address;
  /// It took no new work before the change.
  bool m_was_leaving = false;
};

/// The platform answers again after it didn't.
auto NotePlatformRecovered(EndpointDirectory& directory,
                           const PlatformOutage& platform) -> void;

/// Time for which vanished entries are still held; zero for none.
auto GracePeriodLeft(const EndpointDirectory& directory, TimePoint now)
    -> Duration;

/// Another host holds vanished entries until @p until; so does this one.
auto ExtendGracePeriod(EndpointDirectory& directory, TimePoint until) -> void;

/// Takes a new or changed entry.
auto PutEndpoint(EndpointDirectory& directory, EndpointEntry entry)
    -> EndpointChange;

/// Takes note of a removed entry; shortly after an outage it stays in use for a
/// moment.
auto RemoveEndpoint(EndpointDirectory& directory,
                    const EndpointId& id,
                    TimePoint now) -> EndpointChange;

/// Replaces all entries by a complete listing. Returns what that changed.
auto ReplaceEndpoints(EndpointDirectory& directory,
                      std::vector<EndpointEntry> entries,
                      TimePoint now) -> std::vector<EndpointChange>;

/// Drops entries whose time to come back is over, and returns them.
auto DropExpiredEndpoints(EndpointDirectory& directory, TimePoint now)
    -> std::vector<EndpointChange>;

auto FindEndpoint(const EndpointDirectory& directory, const EndpointId& id)
    -> const EndpointEntry*;

}  // namespace dotterelshed

#endif  // DOTTERELSHED_ENDPOINT_DIRECTORY_H_
