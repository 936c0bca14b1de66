#include "replica_directory.h"

#include <algorithm>

#include "dotterelshed/log_events.h"
#include "replica_messages.h"

namespace dotterelshed {

namespace {

/// Disk hosts come and go seldom, and a missing one costs a call at most.
constexpr Duration kMaxAge = std::chrono::seconds(10);
constexpr Duration kReaderWait = std::chrono::seconds(5);
constexpr Duration kFirstAvoidance = std::chrono::milliseconds(500);
constexpr int kMaxDoublings = 3;

}  // namespace

ReplicaDirectory::ReplicaDirectory(EventLoop& loop,
                                   ObjectStore& store,
                                   std::optional<ViewReader> reader)
    : m_watcher(std::make_shared<ObjectWatcher>(
          loop,
          store,
          WatcherOptions{.m_kind = ObjectKind::kDiskHosts,
                         .m_max_age = kMaxAge,
                         .m_reader_wait = kReaderWait},
          HandleEachObject(
              [this](const StoredObject& object) { Apply(object); }),
          std::move(reader))) {}

auto ReplicaDirectory::Start() -> void {
  if (!m_started) {
    m_started = true;
    m_watcher->Start();
  }
}

auto ReplicaDirectory::Tick(TimePoint now) -> void {
  m_watcher->Tick(now);
}

auto ReplicaDirectory::Apply(const StoredObject& object) -> void {
  const auto host = DecodeReplicaHost(object.m_spec);
  if (!host) {
    LogEvent(LogEventId::kObjectRejected,
             {{"name", object.m_name}, {"reason", host.error().m_message}});
    return;
  }
  std::erase_if(m_hosts, [&host](const ReplicaHost& one) {
    return one.m_host == host->m_host;
  });
  m_hosts.push_back(*host);
}

auto ReplicaDirectory::Avoided(TimePoint now) const -> std::set<HostId> {
  std::set<HostId> avoided;
  for (const auto& [host, failures] : m_failures) {
    if (failures.m_avoid_until > now) {
      avoided.insert(host);
    }
  }
  return avoided;
}

auto ReplicaDirectory::NoteCall(const HostId& host,
                                bool answered,
                                TimePoint now) -> void {
  if (answered) {
    m_failures.erase(host);
    return;
  }
  auto& failures = m_failures[host];
  const auto doublings = std::min(failures.m_in_a_row, kMaxDoublings);
  failures.m_avoid_until = now + kFirstAvoidance * (1 << doublings);
  ++failures.m_in_a_row;
}

auto ReplicaDirectory::MarkLeaving(const HostId& host) -> void {
  for (auto& one : m_hosts) {
    if (one.m_host == host) {
      one.m_leaving = true;
    }
  }
}

}  // namespace dotterelshed
