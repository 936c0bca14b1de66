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
/// background until it answers, so that no request waits for it meanwhile. One
/// that is silent for longer than calls take is passed over before its call
/// times out, and the other hosts of its domain are probed, so that a domain
/// that is cut off is known as a whole.

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
  /// Failing hosts, and those that have left a call without an answer for
  /// longer than calls take.
  auto Avoided(TimePoint now) const -> std::set<HostId>;
  /// Records that a call begins. Each needs its outcome, see NoteCall().
  auto NoteCallBegun(const HostId& host, TimePoint now) -> void;
  /// Records the outcome of a call.
  auto NoteCall(const HostId& host, bool answered, TimePoint now) -> void;
  /// Records that a host is being drained, before the store lists it so.
  auto MarkLeaving(const HostId& host) -> void;

 private:
  struct Failures {
    int m_in_a_row = 0;
    TimePoint m_next_probe;
  };
  /// Calls to a host.
  struct Traffic {
    /// Begin of the first call since the host last answered or failed.
    std::optional<TimePoint> m_waiting_since;
    TimePoint m_last_outcome;
  };

  auto Apply(const StoredObject& object) -> void;
  auto IsSilent(const HostId& host, TimePoint now) const -> bool;
  /// Probes the hosts of domains with a host that is silent or failing, unless
  /// they had a call lately.
  auto ProbeDomains(TimePoint now) -> void;
  auto Probe(const ReplicaHost& host, TimePoint now) -> void;

  EventLoop& m_loop;
  ConnectionPool& m_peers;
  std::vector<ReplicaHost> m_hosts;
  std::map<HostId, Failures> m_failures;
  std::map<HostId, Traffic> m_traffic;
  std::shared_ptr<ObjectWatcher> m_watcher;
  bool m_started = false;
};

}  // namespace dotterelshed

#endif  // DOTTERELSHED_REPLICA_DIRECTORY_H_
