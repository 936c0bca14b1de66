#ifndef DOTTERELSHED_LIBHOST_WORKER_THREADS_H_
#define DOTTERELSHED_LIBHOST_WORKER_THREADS_H_

#include <condition_variable>
#include <cstddef>
#include <deque>
#include <functional>
#include <mutex>
#include <thread>
#include <vector>

/// @file
/// Threads for blocking work.

namespace dotterelshed::pvt {

/// Runs blocking tasks on threads that are started when needed, up to a limit,
/// and kept for later tasks.
class WorkerThreads {
 public:
  explicit WorkerThreads(std::size_t max_threads);
  WorkerThreads(const WorkerThreads&) = delete;
  auto operator=(const WorkerThreads&) -> WorkerThreads& = delete;
  /// Waits for all tasks.
  ~WorkerThreads();

  /// Runs @p task as soon as a thread is free. Tasks wait in order when all
  /// threads are busy.
  auto Run(std::function<void()> task) -> void;

  /// Like Run, but does nothing and returns false when all threads are busy.
  auto TryRun(std::function<void()> task) -> bool;

  /// Takes no more tasks and waits for those that were taken.
  auto Finish() -> void;

 private:
  auto Queue(std::function<void()> task, bool may_wait) -> bool;
  auto Work() -> void;

  std::size_t m_max_threads;
  std::mutex m_mutex;
  std::condition_variable m_changed;
  std::deque<std::function<void()>> m_tasks;
  std::vector<std::thread> m_threads;
  std::size_t m_idle = 0;
  bool m_finished = false;
};

}  // namespace dotterelshed::pvt

#endif  // DOTTERELSHED_LIBHOST_WORKER_THREADS_H_
