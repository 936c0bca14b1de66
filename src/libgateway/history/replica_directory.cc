#include "history/replica_directory.h"

#include <algorithm>

#include "dotterelshed/log_events.h"
#include "dotterelshed/steady_time.h"
#include "history/replica_messages.h"
#include "peer_call.h"

namespace dotterelshed {

namespace {

/// Disk hosts come and go seldom, and a missing one costs a call at most.
constexpr Duration kMaxAge = std::chrono::seconds(10);
constexpr Duration kReaderWait = std::chrono::seconds(5);
/// Delay before the first probe of a failing host; doubles with each further
/// failure.
constexpr Duration kFirstProbeDelay = std::chrono::milliseconds(200);
constexpr int kMaxDoublings = 3;
constexpr Duration kProbeTimeout = std::chrono::milliseconds(400);
/// A write takes one flush of the disk, and a read none; a host that has not
/// answered after this time is slow or cut off.
constexpr Duration kSilentAfter = std::chrono::milliseconds(100);
/// A host of a domain in which another one is silent is probed if it had no
/// outcome for this time.
constexpr Duration kOutcomeAge = std::chrono::milliseconds(500);

}  // namespace

ReplicaDirectory::ReplicaDirectory(EventLoop& loop,
                                   ObjectStore& store,
                                   ConnectionPool& peers,
                                   std::optional<ViewReader> reader)
    : m_loop(loop),
      m_peers(peers),
      m_watcher(std::make_shared<ObjectWatcher>(
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
  for (const auto& host : m_hosts) {
    const auto found = m_failures.find(host.m_host);
    const auto due = found != m_failures.end() && !host.m_drained &&
                     found->second.m_next_probe <= now;
    if (due) {
      found->second.m_next_probe = now + kProbeTimeout * 2;
      Probe(host, now);
    }
  }
  ProbeDomains(now);
}

auto ReplicaDirectory::ProbeDomains(TimePoint now) -> void {
  std::set<DomainId> suspected;
  const auto avoided = Avoided(now);
  for (const auto& host : m_hosts) {
    if (!host.m_drained && avoided.contains(host.m_host)) {
      suspected.insert(host.m_domain);
    }
  }
  for (const auto& host : m_hosts) {
    const auto& traffic = m_traffic[host.m_host];
    const auto due = !host.m_drained && suspected.contains(host.m_domain) &&
                     !avoided.contains(host.m_host) &&
                     !traffic.m_waiting_since &&
                     now - traffic.m_last_outcome >= kOutcomeAge;
    if (due) {
      Probe(host, now);
    }
  }
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

auto ReplicaDirectory::Failing() const -> std::set<HostId> {
  std::set<HostId> failing;
  for (const auto& [host, failures] : m_failures) {
    failing.insert(host);
  }
  return failing;
}

auto ReplicaDirectory::IsSilent(const HostId& host, TimePoint now) const
    -> bool {
  const auto found = m_traffic.find(host);
  return found != m_traffic.end() && found->second.m_waiting_since &&
         now - *found->second.m_waiting_since >= kSilentAfter;
}

auto ReplicaDirectory::Avoided(TimePoint now) const -> std::set<HostId> {
  auto avoided = Failing();
  for (const auto& host : m_hosts) {
    if (IsSilent(host.m_host, now)) {
      avoided.insert(host.m_host);
    }
  }
  return avoided;
}

auto ReplicaDirectory::NoteCallBegun(const HostId& host, TimePoint now)
    -> void {
  auto& waiting_since = m_traffic[host].m_waiting_since;
  if (!waiting_since) {
    waiting_since = now;
  }
}

auto ReplicaDirectory::NoteCall(const HostId& host,
                                bool answered,
                                TimePoint now) -> void {
  m_traffic[host] = {.m_last_outcome = now};
  if (answered) {
    m_failures.erase(host);
    return;
  }
  auto& failures = m_failures[host];
  const auto doublings = std::min(failures.m_in_a_row, kMaxDoublings);
  failures.m_next_probe = now + kFirstProbeDelay * (1 << doublings);
  ++failures.m_in_a_row;
}

auto ReplicaDirectory::Probe(const ReplicaHost& host, TimePoint now) -> void {
  NoteCallBegun(host.m_host, now);
  CallPeer(m_loop, m_peers, host.m_address, kTurnReadPath,
           EncodeTurnReadRequest({}), kProbeTimeout,
           [this, host = host.m_host](const Result<std::string>& reply) {
             NoteCall(host, reply.has_value(), SteadyTime());
           });
}

auto ReplicaDirectory::MarkLeaving(const HostId& host) -> void {
  for (auto& one : m_hosts) {
    if (one.m_host == host) {
      one.m_leaving = true;
    }
  }
}

}  // namespace dotterelshed
