#include "timer_queue.h"

#include <chrono>
#include <utility>

namespace dotterelshed::pvt {

TimerQueue::TimerQueue() : m_thread([this] { Work(); }) {}

TimerQueue::~TimerQueue() {
  Stop();
}

auto TimerQueue::After(Duration delay, std::function<void()> task) -> void {
  {
    const std::lock_guard lock(m_mutex);
    if (m_stopped) {
      return;
    }
    m_tasks.emplace(SteadyTime() + delay, std::move(task));
  }
  m_changed.notify_one();
}

auto TimerQueue::Stop() -> void {
  {
    const std::lock_guard lock(m_mutex);
    m_stopped = true;
    m_tasks.clear();
  }
  m_changed.notify_one();
  if (m_thread.joinable()) {
    m_thread.join();
  }
}

auto TimerQueue::Work() -> void {
  std::unique_lock lock(m_mutex);
  while (!m_stopped) {
    if (m_tasks.empty()) {
      m_changed.wait(lock);
      continue;
    }
    const auto first = m_tasks.begin();
    const auto wait = first->first - SteadyTime();
    if (wait > Duration(0)) {
      m_changed.wait_for(lock, wait);
      continue;
    }
    auto task = std::move(first->second);
    m_tasks.erase(first);
    lock.unlock();
    task();
    task = nullptr;
    lock.lock();
  }
}

}  // namespace dotterelshed::pvt
