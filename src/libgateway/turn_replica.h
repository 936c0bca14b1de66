#ifndef DOTTERELSHED_TURN_REPLICA_H_
#define DOTTERELSHED_TURN_REPLICA_H_

#include <functional>
#include <map>
#include <memory>
#include <vector>

#include "connection_pool.h"
#include "dotterelshed/http_listener.h"
#include "dotterelshed/turn_index.h"
#include "entry_settings.h"
#include "replica_directory.h"
#include "replica_messages.h"
#include "turn_log.h"

/// @file
/// Replica of kept turns on a disk host. It stores what entry hosts write,
/// answers their reads from memory, and compares its list with those of the
/// other replicas, from which it copies what it lacks: after a restart, with an
/// emptied disk, or since a write did not reach it.

namespace dotterelshed {

class TurnReplica {
 public:
  TurnReplica(EventLoop& loop,
              const EntrySettings& settings,
              ObjectStore& store);

  /// Reads the disk.
  auto Start() -> void;
  /// Stops comparing and closes the disk's files.
  auto Stop() -> void;
  /// Handles a request of another host; returns false if it is not about turns.
  auto Handle(const std::shared_ptr<ServerConnection>& connection,
              const IncomingRequest& request) -> bool;
  auto Tick(TimePoint now) -> void;
  /// Stops taking turns and has the other replicas copy those that are here.
  /// @p done is called once enough of them have.
  auto Empty(const std::function<void()>& done) -> void;
  auto turns() const -> std::size_t { return m_index.m_turns.size(); }

 private:
  /// How far this replica has compared itself with another one.
  struct PeerState {
    Incarnation m_incarnation;
    std::uint64_t m_after = 0;
    TimePoint m_next_at;
    bool m_busy = false;
    bool m_caught_up = false;
    std::vector<std::function<void(bool)>> m_waiting;
  };
  using Connection = std::shared_ptr<ServerConnection>;

  auto OnWrite(const Connection& connection, const std::string& body) -> void;
  auto OnRead(const Connection& connection, const std::string& body) -> void;
  auto OnList(const Connection& connection, const std::string& body) -> void;
  auto OnFetch(const Connection& connection, const std::string& body) -> void;
  auto OnWithdraw(const Connection& connection, const std::string& body)
      -> void;
  auto OnCopyRequest(const Connection& connection, const std::string& body)
      -> void;
  /// Adds turns and calls @p done when they are on the disk.
  auto StoreTurns(std::vector<TurnRecord> records,
                  const TurnLog::StoredCallback& done) -> void;
  auto OnDiskResult(const Status& status) -> void;
  /// Time for which this replica has not lost any turn.
  auto Covered(TimePoint now) const -> Duration;

  auto CompareWith(const ReplicaHost& peer) -> void;
  auto OnPeerList(const ReplicaHost& peer, const TurnListResponse& list)
      -> void;
  auto CopyTurns(const ReplicaHost& peer,
                 std::vector<RequestId> wanted,
                 const TurnListResponse& list) -> void;
  auto OnCompared(const ReplicaHost& peer, const TurnListResponse& list)
      -> void;
  auto OnCompareFailed(const ReplicaHost& peer, const std::string& reason)
      -> void;
  auto Call(const ReplicaHost& peer,
            std::string_view path,
            const std::string& body,
            Duration timeout,
            std::function<void(const Result<std::string>&)> reply) -> void;
  auto IsResponsible(const ProgramId& program) const -> bool;
  auto RequestCopies(const std::function<void()>& done) -> void;
  /// Returns the other hosts that may have turns.
  auto Others() const -> std::vector<ReplicaHost>;

  EventLoop& m_loop;
  EntrySettings m_settings;
  ConnectionPool m_peer_connections;
  ReplicaDirectory m_directory;
  TurnIndex m_index;
  TurnLog m_log;
  Incarnation m_incarnation;
  std::map<HostId, PeerState> m_peers;
  /// Since when no turn was lost here; earlier than the start of the process if
  /// the disk says so.
  TimePoint m_covered_since;
  TimePoint m_last_sweep;
  boost::asio::steady_timer m_open_timer;
  bool m_opened = false;
  bool m_disk_failed = false;
  bool m_leaving = false;
};

}  // namespace dotterelshed

#endif  // DOTTERELSHED_TURN_REPLICA_H_
