#ifndef DOTTERELSHED_LIBHOST_CORE_RUNNER_H_
#define DOTTERELSHED_LIBHOST_CORE_RUNNER_H_

#include <condition_variable>
#include <deque>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <vector>

#include "dotterelshed/core.h"

/// @file
/// Runs the decision core on a thread of its own.

namespace dotterelshed::pvt {

/// Feeds events to the core in the order in which they were posted, one at a
/// time, with a Tick at least every tick interval, and gives each effect to
/// the handler on the core's thread.
class CoreRunner {
 public:
  using EffectHandler = std::function<void(const Effect& effect)>;

  CoreRunner(std::shared_ptr<HostCore> core, Duration tick);
  CoreRunner(const CoreRunner&) = delete;
  auto operator=(const CoreRunner&) -> CoreRunner& = delete;
  ~CoreRunner();

  /// Starts the thread. @p handler must not block.
  auto Start(EffectHandler handler) -> void;
  /// Handles no more events; waits for the one under way.
  auto Stop() -> void;

  /// Queues an event. Safe from any thread.
  auto Post(Event event) -> void;

  /// Reads of the core, safe from any thread, also from the effect handler.
  auto Route(const CallRequest& call) -> dotterelshed::Route;
  auto Addresses(const HostId& host) -> std::optional<HostAddresses>;
  auto Endpoints() -> std::vector<EndpointConfig>;
  auto Config() -> std::shared_ptr<const DeskConfig>;
  auto Dump() -> std::string;

 private:
  auto Work() -> void;
  auto Take() -> std::deque<Event>;
  auto Handle(const Event& event) -> void;

  std::shared_ptr<HostCore> m_core;
  /// Guards m_core. Held for one step or one read, never while handling
  /// effects.
  std::mutex m_core_mutex;
  const Duration m_tick;
  EffectHandler m_handler;
  std::mutex m_queue_mutex;
  std::condition_variable m_queued;
  std::deque<Event> m_queue;
  TimePoint m_next_tick;
  bool m_stopped = false;
  std::thread m_thread;
};

}  // namespace dotterelshed::pvt

#endif  // DOTTERELSHED_LIBHOST_CORE_RUNNER_H_
