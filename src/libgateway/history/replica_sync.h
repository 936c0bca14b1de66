#ifndef DOTTERELSHED_REPLICA_SYNC_H_
#define DOTTERELSHED_REPLICA_SYNC_H_

#include <functional>
#include <map>
#include <string>
#include <vector>

#include "connection_pool.h"
#include "dotterelshed/turn_index.h"
#include "history/replica_directory.h"
#include "history/replica_messages.h"

/// @file
/// Anti-entropy between replicas of turns. Each replica reads the list of each
/// other one, from where it stopped, and copies the turns that it should have
/// and lacks. This repairs what a restart, a replaced disk or a lost write left
/// out.

namespace dotterelshed {

struct ReplicaSyncOptions {
  HostId m_host;
  /// Has turns stored that were copied; the callback gets the outcome.
  std::function<void(std::vector<TurnRecord>,
                     const std::function<void(const Status&)>&)>
      m_store_turns;
};

class ReplicaSync {
 public:
  using SyncedCallback = std::function<void(bool)>;

  /// @param index  Turns of this replica; only read here.
  ReplicaSync(EventLoop& loop,
              ConnectionPool& peers,
              ReplicaDirectory& directory,
              const TurnIndex& index,
              ReplicaSyncOptions options);

  /// Begins the syncs that are due.
  auto Tick(TimePoint now) -> void;
  /// Reads the whole list of another replica, which is leaving, from its start.
  /// @p synced gets whether this replica now has all that it should.
  auto SyncBeforeLeave(const HostId& leaving, SyncedCallback synced) -> void;
  /// Returns the other hosts that may have turns.
  auto Others() const -> std::vector<ReplicaHost>;

 private:
  /// How far this replica has read the list of another one.
  struct PeerState {
    /// Start of the other replica that m_after belongs to.
    Incarnation m_incarnation;
    std::uint64_t m_after = 0;
    TimePoint m_next_at;
    bool m_busy = false;
    bool m_caught_up = false;
    /// Syncs that failed since the last one that didn't.
    int m_failed = 0;
    /// Callbacks for which a pass over the whole list has to begin.
    std::vector<SyncedCallback> m_waiting;
    /// Callbacks that the current pass serves when it ends.
    std::vector<SyncedCallback> m_served;
  };

  /// Returns the replicas that are due, those that answered last first.
  auto DuePeers(TimePoint now) -> std::vector<ReplicaHost>;
  auto BeginPass(const ReplicaHost& peer) -> void;
  auto ReadPage(const ReplicaHost& peer) -> void;
  auto OnList(const ReplicaHost& peer, const TurnListResponse& list) -> void;
  /// Returns the listed turns that this replica should have and lacks.
  auto LackingTurns(const TurnListResponse& list) const
      -> std::vector<RequestId>;
  auto CopyTurns(const ReplicaHost& peer,
                 std::vector<RequestId> lacking,
                 const TurnListResponse& list) -> void;
  auto OnSynced(const ReplicaHost& peer, const TurnListResponse& list) -> void;
  auto OnFailed(const ReplicaHost& peer, const std::string& reason) -> void;
  auto EndPass(PeerState& state, bool synced) -> void;

  EventLoop& m_loop;
  ConnectionPool& m_connections;
  ReplicaDirectory& m_directory;
  const TurnIndex& m_index;
  ReplicaSyncOptions m_options;
  std::map<HostId, PeerState> m_peers;
};

}  // namespace dotterelshed

#endif  // DOTTERELSHED_REPLICA_SYNC_H_
