#ifndef DOTTERELSHED_LIBHOST_HOST_PROCESS_H_
#define DOTTERELSHED_LIBHOST_HOST_PROCESS_H_

#include <atomic>
#include <functional>
#include <memory>
#include <string>
#include <thread>

#include "admin_front.h"
#include "attempt_runner.h"
#include "call_router.h"
#include "caller_front.h"
#include "core_runner.h"
#include "dotterelshed/error.h"
#include "dotterelshed/peer_node.h"
#include "dotterelshed/settings.h"
#include "endpoint_poller.h"
#include "platform_link.h"
#include "request_table.h"
#include "timer_queue.h"
#include "trace_recorder.h"
#include "worker_threads.h"

namespace httplib {
class Server;
}

/// @file
/// All parts of a host, put together.

namespace dotterelshed::pvt {

class HostProcess {
 public:
  explicit HostProcess(const Settings& settings);
  HostProcess(const HostProcess&) = delete;
  auto operator=(const HostProcess&) -> HostProcess& = delete;
  ~HostProcess();

  /// Listens, starts all threads and writes the ready file.
  auto Start() -> Status;

  /// Begins a planned stop; later calls have no effect. @p on_stopped is
  /// called once, from a thread of this object, when nothing is open any more
  /// (true) or the drain timeout has passed (false).
  auto Drain() -> void;
  auto SetOnStopped(std::function<void(bool clean)> on_stopped) -> void {
    m_on_stopped = std::move(on_stopped);
  }

  /// State of the whole process as JSON.
  auto Dump() -> std::string;

 private:
  auto StartPeers() -> Status;
  auto StartCore() -> Status;
  auto StartHttp() -> Status;
  auto WriteReadyFile() const -> Status;
  auto MakePeerHandlers() -> PeerHandlers;
  auto CheckDrained(TimePoint deadline) -> void;

  auto Do(const SendPeer& effect) -> void;
  auto Do(const SendToSeedPeers& effect) -> void;
  auto Do(const ConfigInForce& effect) -> void;
  auto Do(const WriteLog& effect) -> void;
  auto RunEffect(const Effect& effect) -> void;

  const Settings m_settings;
  HostAddresses m_addresses;
  TimerQueue m_timers;
  /// Attempts run here; each holds a thread until it ends.
  WorkerThreads m_attempt_threads;
  /// Short blocking calls to the platform and to endpoints.
  WorkerThreads m_call_threads;
  RequestTable m_requests;
  TraceRecorder m_trace;
  std::unique_ptr<CoreRunner> m_core;
  std::unique_ptr<CallRouter> m_router;
  std::unique_ptr<AttemptRunner> m_attempts;
  std::unique_ptr<PlatformLink> m_platform;
  std::unique_ptr<EndpointPoller> m_endpoints;
  std::unique_ptr<CallerFront> m_callers;
  std::unique_ptr<AdminFront> m_admin;
  std::unique_ptr<httplib::Server> m_server;
  std::unique_ptr<PeerNode> m_peers;
  std::thread m_server_thread;
  /// False until all parts exist; peers that are earlier are turned away.
  std::atomic<bool> m_running = false;
  std::atomic<bool> m_draining = false;
  std::atomic<bool> m_drained = false;
  std::function<void(bool clean)> m_on_stopped;
};

}  // namespace dotterelshed::pvt

#endif  // DOTTERELSHED_LIBHOST_HOST_PROCESS_H_
