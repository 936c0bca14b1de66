#ifndef DOTTERELSHED_TURN_REPLICA_H_
#define DOTTERELSHED_TURN_REPLICA_H_

#include <functional>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "connection_pool.h"
#include "dotterelshed/http_listener.h"
#include "dotterelshed/turn_index.h"
#include "entry_settings.h"
#include "history/replica_directory.h"
#include "history/replica_messages.h"
#include "history/replica_sync.h"
#include "history/turn_database.h"

/// @file
/// Replica of the turns of conversations on a disk host. It stores what entry
/// hosts write, answers their reads from memory, and copies what it lacks from
/// the other replicas.

namespace dotterelshed {

class TurnReplica {
 public:
  TurnReplica(EventLoop& loop,
              const EntrySettings& settings,
              ObjectStore& store);

  /// Reads the disk.
  auto Start() -> void;
  /// Closes the disk's files.
  auto Stop() -> void;
  /// Handles a request of another host; returns false if it is not about turns.
  auto Handle(const std::shared_ptr<ServerConnection>& connection,
              const IncomingRequest& request) -> bool;
  auto Tick(TimePoint now) -> void;
  /// Stops taking turns and has the other replicas copy those that are here.
  /// @p done is called once enough of them have.
  auto Drain(const std::function<void()>& done) -> void;
  auto turns() const -> std::size_t { return m_index.m_turns.size(); }

 private:
  /// A request to the other replicas to copy what is here.
  struct CopyRequest {
    std::size_t m_pending = 0;
    std::set<DomainId> m_copied_in;
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
                  const TurnDatabase::StoredCallback& done) -> void;
  auto StoreTurn(TurnRecord record, const TurnDatabase::StoredCallback& done)
      -> void;
  auto OnDiskResult(const Status& status) -> void;
  /// Time for which this replica has not lost any turn.
  auto IntactFor(TimePoint now) const -> Duration;

  /// Number of failure domains that must have all turns before this host may
  /// go.
  auto RequiredDomains() const -> std::size_t;
  auto RequestCopies(const std::function<void()>& done) -> void;
  auto OnCopiesRequested(const CopyRequest& request,
                         const std::function<void()>& done) -> void;

  EventLoop& m_loop;
  EntrySettings m_settings;
  ConnectionPool m_peer_connections;
  ReplicaDirectory m_directory;
  TurnIndex m_index;
  TurnDatabase m_database;
  ReplicaSync m_sync;
  /// Random number of this start of the process; others forget their position
  /// in the list when it changes.
  Incarnation m_incarnation;
  /// Since when no turn was lost here; earlier than the start of the process if
  /// the disk says so.
  TimePoint m_intact_since;
  TimePoint m_last_sweep;
  boost::asio::steady_timer m_retry_timer;
  bool m_opened = false;
  bool m_disk_failed = false;
  bool m_leaving = false;
};

}  // namespace dotterelshed

#endif  // DOTTERELSHED_TURN_REPLICA_H_
