#include "dotterelshed/endpoint_directory.h"

#include <algorithm>
#include <set>
#include <utility>

namespace dotterelshed {

namespace {

/// Endpoints register again within this time of the platform's return.
constexpr Duration kReturnTime = std::chrono::milliseconds(2200);

auto Unlink(EndpointDirectory& directory, const EndpointEntry& entry) -> void {
  const auto found = directory.m_by_service.find(entry.m_service);
  if (found == directory.m_by_service.end()) {
    return;
  }
  std::erase(found->second, entry.m_id);
  if (found->second.empty()) {
    directory.m_by_service.erase(found);
  }
}

auto Drop(EndpointDirectory& directory, const EndpointId& id) -> void {
  directory.m_lapsing.erase(id);
  const auto found = directory.m_entries.find(id);
  if (found == directory.m_entries.end()) {
    return;
  }
  Unlink(directory, found->second);
  directory.m_entries.erase(found);
}

}  // namespace

auto NotePlatformBack(EndpointDirectory& directory, TimePoint now) -> void {
  directory.m_lapse_window_end = now + kReturnTime;
}

auto PutEndpoint(EndpointDirectory& directory, EndpointEntry entry) -> void {
  directory.m_lapsing.erase(entry.m_id);
  const auto found = directory.m_entries.find(entry.m_id);
  if (found != directory.m_entries.end()) {
    if (found->second.m_version > entry.m_version) {
      return;
    }
    Unlink(directory, found->second);
  }
  const auto id = entry.m_id;
  directory.m_by_service[entry.m_service].push_back(id);
  directory.m_entries[id] = std::move(entry);
}

auto RemoveEndpoint(EndpointDirectory& directory,
                    const EndpointId& id,
                    TimePoint now) -> void {
  const auto found = directory.m_entries.find(id);
  if (found == directory.m_entries.end()) {
    return;
  }
  const auto window = directory.m_lapse_window_end;
  if (window && now < *window && !found->second.m_leaving) {
    directory.m_lapsing.emplace(id, *window);
    return;
  }
  Drop(directory, id);
}

auto ReplaceEndpoints(EndpointDirectory& directory,
                      std::vector<EndpointEntry> entries,
                      TimePoint now) -> void {
  std::set<EndpointId> listed;
  for (auto& entry : entries) {
    listed.insert(entry.m_id);
    PutEndpoint(directory, std::move(entry));
  }
  std::vector<EndpointId> missing;
  for (const auto& [id, entry] : directory.m_entries) {
    if (!listed.contains(id)) {
      missing.push_back(id);
    }
  }
  for (const auto& id : missing) {
    RemoveEndpoint(directory, id, now);
  }
}

auto DropLapsed(EndpointDirectory& directory, TimePoint now) -> void {
  std::vector<EndpointId> over;
  for (const auto& [id, until] : directory.m_lapsing) {
    if (until <= now) {
      over.push_back(id);
    }
  }
  for (const auto& id : over) {
    Drop(directory, id);
  }
}

auto FindEndpoint(const EndpointDirectory& directory, const EndpointId& id)
    -> const EndpointEntry* {
  const auto found = directory.m_entries.find(id);
  return found == directory.m_entries.end() ? nullptr : &found->second;
}

}  // namespace dotterelshed
