#ifndef DOTTERELSHED_LIBPEER_LOOP_TASKS_H_
#define DOTTERELSHED_LIBPEER_LOOP_TASKS_H_

#include <kj/async-io.h>

#include <functional>
#include <mutex>
#include <vector>

/// @file
/// Work that other threads hand to the thread of a KJ event loop.

namespace dotterelshed::pvt {

/// A queue of tasks for one event loop. Post may be called from any thread;
/// Run is called once on the loop's thread.
class LoopTasks {
 public:
  /// Queues @p task. After Stop it is dropped, and the result is false.
  auto Post(std::function<void()> task) -> bool;

  /// Makes Run return after the tasks queued so far.
  auto Stop() -> void;

  /// Runs tasks until Stop.
  auto Run(kj::WaitScope& wait_scope) -> void;

 private:
  /// Ends the loop's wait, if it waits. Called with the mutex held.
  auto Wake() -> void;
  auto Take() -> std::vector<std::function<void()>>;

  std::mutex m_mutex;
  std::vector<std::function<void()>> m_tasks;
  /// Wakes the loop; set while it waits.
  kj::Own<kj::CrossThreadPromiseFulfiller<void>> m_wake;
  bool m_stopped = false;
};

}  // namespace dotterelshed::pvt

#endif  // DOTTERELSHED_LIBPEER_LOOP_TASKS_H_
