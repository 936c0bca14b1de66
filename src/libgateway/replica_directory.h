#ifndef DOTTERELSHED_REPLICA_DIRECTORY_H_
#define DOTTERELSHED_REPLICA_DIRECTORY_H_

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <vector>

#include "dotterelshed/replica_placement.h"
#include "dotterelshed/units.h"
#include "object_watcher.h"

/// @file
/// The disk hosts that store turns, as the platform's store lists them, and
/// which of them have failed this host's calls lately.

namespace dotterelshed {

class ReplicaDirectory {
 public:
  /// @param reader  Host that reads the store for this one, if any.
  ReplicaDirectory(EventLoop& loop,
                   ObjectStore& store,
                   std::optional<ViewReader> reader);

  /// Begins to follow the store; later calls do nothing.
  auto Start() -> void;
  auto Stop() -> void { m_watcher->Stop(); }
  auto Tick(TimePoint now) -> void;
  auto started() const -> bool { return m_started; }
  /// Returns true once the hosts are known.
  auto listed() const -> bool { return m_watcher->listed(); }
  auto watcher() -> ObjectWatcher& { return *m_watcher; }
  auto hosts() const -> const std::vector<ReplicaHost>& { return m_hosts; }
  /// Hosts that failed lately.
  auto Avoided(TimePoint now) const -> std::set<HostId>;
  /// Records the outcome of a call.
  auto NoteCall(const HostId& host, bool answered, TimePoint now) -> void;
  /// Records that a host is being emptied, before the store lists it so.
  auto MarkLeaving(const HostId& host) -> void;

 private:
  struct Failures {
    int m_in_a_row = 0;
    TimePoint m_avoid_until;
  };

  auto Apply(const StoredObject& object) -> void;

  std::vector<ReplicaHost> m_hosts;
  std::map<HostId, Failures> m_failures;
  std::shared_ptr<ObjectWatcher> m_watcher;
  bool m_started = false;
};

}  // namespace dotterelshed

#endif  // DOTTERELSHED_REPLICA_DIRECTORY_H_
