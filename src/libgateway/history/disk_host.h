#ifndef DOTTERELSHED_DISK_HOST_H_
#define DOTTERELSHED_DISK_HOST_H_

#include <functional>
#include <memory>
#include <vector>

#include "dotterelshed/http_listener.h"
#include "entry_settings.h"
#include "history/turn_replica.h"
#include "lead/journal_files.h"
#include "platform/object_store.h"
#include "stream/stream_origin_service.h"
#include "view/object_watcher.h"

/// @file
/// Process on a host with a disk. It stores the histories of conversations, and
/// the ledgers of the leads while the platform's store is not writable, and
/// knows at which software versions streams began. The
/// ledgers are obsolete once the store is back, so the process confirms a
/// retirement of its host as soon as the other replicas have its histories.

namespace dotterelshed {

class DiskHost {
 public:
  DiskHost(EventLoop& loop, const EntrySettings& settings);

  /// Errors: kUnavailable if the address cannot be bound.
  auto Start() -> Status;
  /// Starts a graceful shutdown: answers the requests that have reached this
  /// host, closes the disk's files and calls @p on_stopped, all within the stop
  /// grace period.
  auto BeginStop(std::function<void()> on_stopped) -> void;
  /// Stops answering at once and closes the disk's files.
  auto Stop() -> void;
  auto peer_address() const -> TcpAddress { return m_peers.local_address(); }

 private:
  auto Register() -> void;
  auto ScheduleRegister(const Error& error) -> void;
  auto OnPeerRequest(const std::shared_ptr<ServerConnection>& connection,
                     const IncomingRequest& request) -> void;
  auto OnJournalRequest(const std::shared_ptr<ServerConnection>& connection,
                        const IncomingRequest& request) -> void;
  auto OnRetirement(const StoredObject& object) -> void;
  auto AnswerRetirement(const std::string& name) -> void;
  auto ArmTick() -> void;
  auto ContinueStop(TimePoint now) -> void;
  /// Refuses the requests that have no answer yet.
  auto RefuseWaiting() -> void;

  EventLoop& m_loop;
  EntrySettings m_settings;
  ObjectStore m_store;
  HttpListener m_peers;
  JournalFiles m_journal;
  TurnReplica m_replica;
  StreamOriginService m_stream_origins;
  /// What other hosts are told of this one.
  ReplicaHost m_entry;
  std::shared_ptr<ObjectWatcher> m_watcher;
  boost::asio::steady_timer m_register_timer;
  boost::asio::steady_timer m_tick_timer;
  /// Version of the retirement request that was confirmed; 0 if none.
  ResourceVersion m_answered_version;
  /// Connections of open requests, for RefuseWaiting.
  std::vector<std::weak_ptr<ServerConnection>> m_waiting;
  /// Set while the host stops.
  std::function<void()> m_on_stopped;
  TimePoint m_stop_started_at;
};

}  // namespace dotterelshed

#endif  // DOTTERELSHED_DISK_HOST_H_
