#ifndef DOTTERELSHED_REPLICA_DIRECTORY_H_
#define DOTTERELSHED_REPLICA_DIRECTORY_H_

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <vector>

#include "dotterelshed/replica_placement.h"
#include "dotterelshed/units.h"
#include "view/object_watcher.h"

/// @file
/// The disk hosts that store turns, as the platform's store lists them, and
/// which of them fail this host's calls. One that failed is probed in the
/// background until it answers, so that no request waits for it meanwhile.

namespace dotterelshed {

class ReplicaDirectory {
 public:
  /// @param reader  Host that reads the store for this one, if any.
  ReplicaDirectory(EventLoop& loop,
                   ObjectStore& store,
                   ConnectionPool& peers,
                   std::optional<ViewReader> reader);

  /// Begins to follow the store; later calls do nothing.
  auto Start() -> void;
  auto Stop() -> void { m_watcher->Stop(); }
  /// Answers hosts that wait for a change of the list, and probes failing disk
  /// hosts; call several times per second.
  auto Tick(TimePoint now) -> void;
  auto started() const -> bool { return m_started; }
  /// Returns true once the hosts are known.
  auto listed() const -> bool { return m_watcher->listed(); }
  /// Watcher of the list, which other hosts may read through this one.
  auto watcher() -> ObjectWatcher& { return *m_watcher; }
  auto hosts() const -> const std::vector<ReplicaHost>& { return m_hosts; }
  /// Hosts that failed the last call to them.
  auto Failing() const -> std::set<HostId>;
  /// Number of failure domains with a host that takes turns.
  auto MemberDomains() const -> std::size_t;
  /// Number of failure domains with a host that takes turns and does not fail.
  auto UsableDomains() const -> std::size_t;
  /// Records the outcome of a call.
  auto NoteCall(const HostId& host, bool answered, TimePoint now) -> void;
  /// Records that a host is being drained, before the store lists it so.
  auto MarkLeaving(const HostId& host) -> void;

 private:
  struct Failures {
    int m_in_a_row = 0;
    TimePoint m_next_probe;
  };

  auto Apply(const StoredObject& object) -> void;
  auto CountDomains(const std::set<HostId>& left_out) const -> std::size_t;
  auto Probe(const ReplicaHost& host) -> void;

  EventLoop& m_loop;
  ConnectionPool& m_peers;
  std::vector<ReplicaHost> m_hosts;
  std::map<HostId, Failures> m_failures;
  std::shared_ptr<ObjectWatcher> m_watcher;
  bool m_started = false;
};

}  // namespace dotterelshed

#endif  // DOTTERELSHED_REPLICA_DIRECTORY_H_
