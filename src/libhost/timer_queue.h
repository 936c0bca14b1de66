#ifndef DOTTERELSHED_LIBHOST_TIMER_QUEUE_H_
#define DOTTERELSHED_LIBHOST_TIMER_QUEUE_H_

#include <condition_variable>
#include <functional>
#include <map>
#include <mutex>
#include <thread>

#include "dotterelshed/steady_time.h"
#include "dotterelshed/units.h"

/// @file
/// Work to be done later.

namespace dotterelshed::pvt {

/// Runs short tasks at given times, on one thread of its own.
class TimerQueue {
 public:
  TimerQueue();
  TimerQueue(const TimerQueue&) = delete;
  auto operator=(const TimerQueue&) -> TimerQueue& = delete;
  /// Drops tasks that are not due yet.
  ~TimerQueue();

  /// Runs @p task once @p delay has passed. It must not block.
  auto After(Duration delay, std::function<void()> task) -> void;

  /// Runs no more tasks; waits for the one that runs now.
  auto Stop() -> void;

 private:
  auto Work() -> void;

  std::mutex m_mutex;
  std::condition_variable m_changed;
  std::multimap<TimePoint, std::function<void()>> m_tasks;
  bool m_stopped = false;
  std::thread m_thread;
};

}  // namespace dotterelshed::pvt

#endif  // DOTTERELSHED_LIBHOST_TIMER_QUEUE_H_
