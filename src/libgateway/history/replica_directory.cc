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
      Probe(host);
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

auto ReplicaDirectory::CountDomains(const std::set<HostId>& left_out) const
    -> std::size_t {
  std::set<DomainId> domains;
  for (const auto& host : m_hosts) {
    const auto counts =
        !host.m_leaving && !host.m_drained && !left_out.contains(host.m_host);
    if (counts) {
      domains.insert(host.m_domain);
    }
  }
  return domains.size();
}

auto ReplicaDirectory::MemberDomains() const -> std::size_t {
  return CountDomains({});
}

auto ReplicaDirectory::UsableDomains() const -> std::size_t {
  return CountDomains(Failing());
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
  failures.m_next_probe = now + kFirstProbeDelay * (1 << doublings);
  ++failures.m_in_a_row;
}

auto ReplicaDirectory::Probe(const ReplicaHost& host) -> void {
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
