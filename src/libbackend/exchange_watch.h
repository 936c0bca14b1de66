#ifndef DOTTERELSHED_LIBBACKEND_EXCHANGE_WATCH_H_
#define DOTTERELSHED_LIBBACKEND_EXCHANGE_WATCH_H_

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <mutex>
#include <thread>
#include <vector>

/// @file
/// Stops blocked HTTP exchanges: one thread for the process looks at each
/// exchange's deadline and cancel flag and shuts its socket down.

namespace dotterelshed::pvt {

/// Why an exchange was stopped from outside.
enum class StopReason { kNone, kCancelled, kDeadline };

/// One exchange under watch. Registered from construction to destruction.
class WatchedExchange {
 public:
  using Clock = std::chrono::steady_clock;

  /// @param cancelled may be null; must outlive this object
  WatchedExchange(const std::atomic<bool>* cancelled,
                  Clock::time_point deadline);
  ~WatchedExchange();
  WatchedExchange(const WatchedExchange&) = delete;
  auto operator=(const WatchedExchange&) -> WatchedExchange& = delete;

  /// Hands over the socket before it connects. A duplicate is kept, so that
  /// the library may close its own descriptor at any time.
  auto SetSocket(int socket) -> void;
  auto Reason() const -> StopReason { return m_reason.load(); }

  /// Called by the watch: stops the exchange if it is time to.
  auto CheckNow(Clock::time_point now) -> void;

 private:
  const std::atomic<bool>* m_cancelled;
  const Clock::time_point m_deadline;
  std::atomic<StopReason> m_reason{StopReason::kNone};
  std::mutex m_mutex;
  int m_socket = -1;
};

}  // namespace dotterelshed::pvt

#endif  // DOTTERELSHED_LIBBACKEND_EXCHANGE_WATCH_H_
