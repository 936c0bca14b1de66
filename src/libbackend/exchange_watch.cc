#include "exchange_watch.h"

#include <sys/socket.h>
#include <unistd.h>

namespace dotterelshed::pvt {

namespace {

constexpr auto kCheckInterval = std::chrono::milliseconds(10);

/// The watching thread and the exchanges that it looks at. It sleeps while
/// there are none.
class ExchangeWatch {
 public:
  static auto Instance() -> ExchangeWatch& {
    // Never destroyed: exchanges may outlive the end of main.
    static auto* watch = new ExchangeWatch;
    return *watch;
  }

  auto Add(WatchedExchange* exchange) -> void {
    const std::lock_guard lock(m_mutex);
    m_exchanges.push_back(exchange);
    m_added.notify_one();
  }

  auto Remove(WatchedExchange* exchange) -> void {
    const std::lock_guard lock(m_mutex);
    std::erase(m_exchanges, exchange);
  }

 private:
  ExchangeWatch() {
    std::thread([this] { Run(); }).detach();
  }

  auto Run() -> void {
    std::unique_lock lock(m_mutex);
    while (true) {
      m_added.wait(lock, [this] { return !m_exchanges.empty(); });
      const auto now = WatchedExchange::Clock::now();
      for (auto* exchange : m_exchanges) {
        exchange->CheckNow(now);
      }
      lock.unlock();
      std::this_thread::sleep_for(kCheckInterval);
      lock.lock();
    }
  }

  std::mutex m_mutex;
  std::condition_variable m_added;
  std::vector<WatchedExchange*> m_exchanges;
};

}  // namespace

WatchedExchange::WatchedExchange(const std::atomic<bool>* cancelled,
                                 Clock::time_point deadline)
    : m_cancelled(cancelled), m_deadline(deadline) {
  ExchangeWatch::Instance().Add(this);
}

WatchedExchange::~WatchedExchange() {
  ExchangeWatch::Instance().Remove(this);
  if (m_socket >= 0) {
    ::close(m_socket);
  }
}

auto WatchedExchange::SetSocket(int socket) -> void {
  const std::lock_guard lock(m_mutex);
  if (m_socket >= 0) {
    ::close(m_socket);
  }
  m_socket = ::dup(socket);
  if (m_reason != StopReason::kNone) {
    ::shutdown(m_socket, SHUT_RDWR);
  }
}

auto WatchedExchange::CheckNow(Clock::time_point now) -> void {
  const std::lock_guard lock(m_mutex);
  if (m_reason != StopReason::kNone) {
    return;
  }
  if (m_cancelled != nullptr && m_cancelled->load()) {
    m_reason = StopReason::kCancelled;
  } else if (now >= m_deadline) {
    m_reason = StopReason::kDeadline;
  } else {
    return;
  }
  if (m_socket >= 0) {
    ::shutdown(m_socket, SHUT_RDWR);
  }
}

}  // namespace dotterelshed::pvt
