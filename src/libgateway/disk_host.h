#ifndef DOTTERELSHED_DISK_HOST_H_
#define DOTTERELSHED_DISK_HOST_H_

#include <memory>

#include "dotterelshed/http_listener.h"
#include "entry_settings.h"
#include "journal_files.h"
#include "object_watcher.h"
#include "platform/object_store.h"

/// @file
/// The process on a host with a disk. It keeps the leads' ledgers while the
/// platform's store can't be written; what it has is of no use once the store
/// is back, so it can tell the platform at once that the host may be taken
/// away.

namespace dotterelshed {

class DiskHost {
 public:
  DiskHost(EventLoop& loop, const EntrySettings& settings);

  /// Errors: kUnavailable when the address can't be bound.
  auto Start() -> Status;
  auto peer_address() const -> TcpAddress { return m_peers.local_address(); }

 private:
  auto Register() -> void;
  auto ScheduleRegister(const Error& error) -> void;
  auto OnPeerRequest(const std::shared_ptr<ServerConnection>& connection,
                     const IncomingRequest& request) -> void;
  auto OnRetirement(const StoredObject& object) -> void;
  auto ArmTick() -> void;

  EventLoop& m_loop;
  EntrySettings m_settings;
  ObjectStore m_store;
  HttpListener m_peers;
  JournalFiles m_journal;
  std::shared_ptr<ObjectWatcher> m_watcher;
  boost::asio::steady_timer m_register_timer;
  boost::asio::steady_timer m_tick_timer;
  /// Version of the request that has been answered.
  ResourceVersion m_answered_version;
};

}  // namespace dotterelshed

#endif  // DOTTERELSHED_DISK_HOST_H_
