#ifndef DOTTERELSHED_LIBHOST_ENDPOINT_POLLER_H_
#define DOTTERELSHED_LIBHOST_ENDPOINT_POLLER_H_

#include <cstdint>
#include <map>
#include <mutex>
#include <set>

#include "core_runner.h"
#include "dotterelshed/core_effects.h"
#include "timer_queue.h"
#include "worker_threads.h"

/// @file
/// Reads what the engines of this host's pools report, and carries out orders
/// to them.

namespace dotterelshed::pvt {

class EndpointPoller {
 public:
  EndpointPoller(CoreRunner& core, WorkerThreads& workers, TimerQueue& timers)
      : m_core(core), m_workers(workers), m_timers(timers) {}

  /// Polls load and cache events of the owned engines from now on.
  auto Start() -> void;

  auto Do(const ReleaseHold& effect) -> void;
  auto Do(const ListHolds& effect) -> void;
  auto Do(const SendOrder& effect) -> void;

 private:
  auto PollAll() -> void;
  auto Poll(const EndpointConfig& endpoint) -> void;
  auto Find(const EndpointId& endpoint) -> std::optional<EndpointConfig>;

  CoreRunner& m_core;
  WorkerThreads& m_workers;
  TimerQueue& m_timers;
  std::mutex m_mutex;
  /// Endpoints with a poll under way.
  std::set<EndpointId> m_polling;
  /// Position in each engine's cache events.
  std::map<EndpointId, std::int64_t> m_cache_positions;
};

}  // namespace dotterelshed::pvt

#endif  // DOTTERELSHED_LIBHOST_ENDPOINT_POLLER_H_
