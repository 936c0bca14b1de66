#ifndef DOTTERELSHED_LIBHOST_ATTEMPT_RUNNER_H_
#define DOTTERELSHED_LIBHOST_ATTEMPT_RUNNER_H_

#include <atomic>
#include <functional>
#include <map>
#include <memory>
#include <mutex>

#include "core_runner.h"
#include "dotterelshed/core_effects.h"
#include "request_table.h"
#include "worker_threads.h"

/// @file
/// Runs the attempts that the core starts, each on a thread.

namespace dotterelshed::pvt {

/// Runs attempts and tells the core how they go. AttemptFinished is posted
/// exactly once for each.
class AttemptRunner {
 public:
  AttemptRunner(CoreRunner& core,
                RequestTable& requests,
                WorkerThreads& workers)
      : m_core(core), m_requests(requests), m_workers(workers) {}

  auto Start(const StartAttempt& start) -> void;
  auto Cancel(const AttemptId& attempt) -> void;
  /// Attempts under way.
  auto RunningCount() const -> std::size_t;

 private:
  using CancelFlag = std::shared_ptr<std::atomic<bool>>;

  auto Run(const StartAttempt& start, const CancelFlag& cancelled) -> void;
  auto Finish(const AttemptId& attempt, AttemptResult result) -> void;

  CoreRunner& m_core;
  RequestTable& m_requests;
  WorkerThreads& m_workers;
  mutable std::mutex m_mutex;
  std::map<AttemptId, CancelFlag> m_running;
};

}  // namespace dotterelshed::pvt

#endif  // DOTTERELSHED_LIBHOST_ATTEMPT_RUNNER_H_
