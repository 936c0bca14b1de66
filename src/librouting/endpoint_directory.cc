#include "dotterelshed/endpoint_directory.h"

#include <algorithm>
#include <set>
#include <utility>

namespace dotterelshed {

namespace {

/// Endpoints register again within this time after the platform recovers.
constexpr Duration kReregistrationTime = std::chrono::milliseconds(2200);
/// An endpoint that is leaving has ended long before.
constexpr Duration kAnnouncementLifetime = std::chrono::minutes(10);

auto RemoveFromServiceIndex(EndpointDirectory& directory,
                            const EndpointEntry& entry) -> void {
  const auto found = directory.m_by_service.find(entry.m_service);
  if (found == directory.m_by_service.end()) {
    return;
  }
  std::erase(found->second, entry.m_id);
  if (found->second.empty()) {
    directory.m_by_service.erase(found);
  }
}

auto EraseEntry(EndpointDirectory& directory,
                const EndpointId& id,
                EndpointChangeKind kind) -> EndpointChange {
  directory.m_expiring.erase(id);
  const auto found = directory.m_entries.find(id);
  if (found == directory.m_entries.end()) {
    return {.m_endpoint = id};
  }
  EndpointChange change{.m_endpoint = id,
                        .m_kind = kind,
                        .m_old_address = found->second.m_address,
                        .m_was_leaving = found->second.m_leaving};
  RemoveFromServiceIndex(directory, found->second);
  directory.m_entries.erase(found);
  return change;
}

auto ClassifyUpdate(const EndpointEntry& before, const EndpointEntry& after)
    -> EndpointChangeKind {
  if (before.m_started_unix_ms != after.m_started_unix_ms) {
    return EndpointChangeKind::kRestarted;
  }
  if (before.m_leaving == after.m_leaving) {
    return EndpointChangeKind::kNone;
  }
  return after.m_leaving ? EndpointChangeKind::kLeaving
                         : EndpointChangeKind::kReady;
}

/// Applies what an endpoint said of itself to an entry of the list.
auto ApplyAnnouncement(EndpointDirectory& directory, EndpointEntry& entry)
    -> void {
  const auto found = directory.m_announced.find(entry.m_id);
  if (found == directory.m_announced.end()) {
    return;
  }
  if (found->second.m_started_unix_ms == entry.m_started_unix_ms) {
    entry.m_leaving = true;
  } else {
    directory.m_announced.erase(found);
  }
}

auto AddChange(std::vector<EndpointChange>& changes, EndpointChange change)
    -> void {
  if (change.m_kind != EndpointChangeKind::kNone) {
    changes.push_back(std::move(change));
  }
}

}  // namespace

auto ToString(EndpointChangeKind kind) -> std::string_view {
  switch (kind) {
    case EndpointChangeKind::kNone:
      return "none";
    case EndpointChangeKind::kReady:
      return "ready";
    case EndpointChangeKind::kLeaving:
      return "leaving";
    case EndpointChangeKind::kRestarted:
      return "restarted";
    case EndpointChangeKind::kRemoved:
      return "removed";
    case EndpointChangeKind::kHeld:
      return "held";
    case EndpointChangeKind::kExpired:
      return "lapsed";
  }
  return "none";
}

auto NotePlatformRecovered(EndpointDirectory& directory,
                           const PlatformOutage& outage) -> void {
  const auto& limits = directory.m_limits;
  if (outage.m_recovered_at - outage.m_last_seen < limits.m_min_outage) {
    return;
  }
  directory.m_grace_period_end =
      std::min(outage.m_recovered_at + kReregistrationTime,
               outage.m_failed_call_sent + limits.m_max_grace_period);
}

auto GracePeriodLeft(const EndpointDirectory& directory, TimePoint now)
    -> Duration {
  const auto end = directory.m_grace_period_end.value_or(now);
  return std::max(end - now, Duration{0});
}

auto ExtendGracePeriod(EndpointDirectory& directory, TimePoint until) -> void {
  auto& end = directory.m_grace_period_end;
  end = std::max(end.value_or(until), until);
}

auto PutEndpoint(EndpointDirectory& directory, EndpointEntry entry)
    -> EndpointChange {
  directory.m_expiring.erase(entry.m_id);
  ApplyAnnouncement(directory, entry);
  const auto id = entry.m_id;
  EndpointChange change{.m_endpoint = id,
                        .m_kind = entry.m_leaving ? EndpointChangeKind::kLeaving
                                                  : EndpointChangeKind::kReady};
  const auto found = directory.m_entries.find(id);
  if (found != directory.m_entries.end()) {
    const auto& before = found->second;
    if (before.m_version > entry.m_version) {
      return {.m_endpoint = id};
    }
    change.m_kind = ClassifyUpdate(before, entry);
    change.m_old_address = before.m_address;
    RemoveFromServiceIndex(directory, before);
  }
  directory.m_by_service[entry.m_service].push_back(id);
  directory.m_entries[id] = std::move(entry);
  return change;
}

auto AnnounceLeaving(EndpointDirectory& directory,
                     const EndpointId& id,
                     TimePoint now) -> EndpointChange {
  const auto found = directory.m_entries.find(id);
  if (found == directory.m_entries.end()) {
    return {.m_endpoint = id};
  }
  auto& entry = found->second;
  directory.m_announced[id] = {.m_started_unix_ms = entry.m_started_unix_ms,
                               .m_announced_at = now};
  if (std::exchange(entry.m_leaving, true)) {
    return {.m_endpoint = id};
  }
  return {.m_endpoint = id,
          .m_kind = EndpointChangeKind::kLeaving,
          .m_old_address = entry.m_address};
}

auto RemoveEndpoint(EndpointDirectory& directory,
                    const EndpointId& id,
                    TimePoint now) -> EndpointChange {
  const auto found = directory.m_entries.find(id);
  if (found == directory.m_entries.end()) {
    return {.m_endpoint = id};
  }
  const auto window = directory.m_grace_period_end;
  if (window && now < *window && !found->second.m_leaving) {
    const auto added = directory.m_expiring.emplace(id, *window).second;
    return {
        .m_endpoint = id,
        .m_kind = added ? EndpointChangeKind::kHeld : EndpointChangeKind::kNone,
        .m_old_address = found->second.m_address};
  }
  return EraseEntry(directory, id, EndpointChangeKind::kRemoved);
}

auto ReplaceEndpoints(EndpointDirectory& directory,
                      std::vector<EndpointEntry> entries,
                      TimePoint now) -> std::vector<EndpointChange> {
  std::vector<EndpointChange> changes;
  std::set<EndpointId> listed;
  for (auto& entry : entries) {
    listed.insert(entry.m_id);
    AddChange(changes, PutEndpoint(directory, std::move(entry)));
  }
  std::vector<EndpointId> missing;
  for (const auto& [id, entry] : directory.m_entries) {
    if (!listed.contains(id)) {
      missing.push_back(id);
    }
  }
  for (const auto& id : missing) {
    AddChange(changes, RemoveEndpoint(directory, id, now));
  }
  return changes;
}

auto DropExpiredEndpoints(EndpointDirectory& directory, TimePoint now)
    -> std::vector<EndpointChange> {
  std::erase_if(directory.m_announced, [now](const auto& item) {
    return now - item.second.m_announced_at > kAnnouncementLifetime;
  });
  std::vector<EndpointId> over;
  for (const auto& [id, until] : directory.m_expiring) {
    if (until <= now) {
      over.push_back(id);
    }
  }
  std::vector<EndpointChange> changes;
  for (const auto& id : over) {
    AddChange(changes, EraseEntry(directory, id, EndpointChangeKind::kExpired));
  }
  return changes;
}

auto FindEndpoint(const EndpointDirectory& directory, const EndpointId& id)
    -> const EndpointEntry* {
  const auto found = directory.m_entries.find(id);
  return found == directory.m_entries.end() ? nullptr : &found->second;
}

auto ServiceOf(const EndpointDirectory& directory, const EndpointId& id)
    -> ServiceId {
  const auto* entry = FindEndpoint(directory, id);
  return entry == nullptr ? ServiceId() : entry->m_service;
}

}  // namespace dotterelshed
