#include "worker_threads.h"

#include <utility>

namespace dotterelshed::pvt {

WorkerThreads::WorkerThreads(std::size_t max_threads)
    : m_max_threads(max_threads) {}

WorkerThreads::~WorkerThreads() {
  Finish();
}

auto WorkerThreads::Run(std::function<void()> task) -> void {
  Queue(std::move(task), true);
}

auto WorkerThreads::TryRun(std::function<void()> task) -> bool {
  return Queue(std::move(task), false);
}

auto WorkerThreads::Queue(std::function<void()> task, bool may_wait) -> bool {
  const std::lock_guard lock(m_mutex);
  if (m_finished) {
    return false;
  }
  const auto needs_thread = m_tasks.size() >= m_idle;
  const auto full = m_threads.size() >= m_max_threads;
  if (needs_thread && full && !may_wait) {
    return false;
  }
  m_tasks.push_back(std::move(task));
  if (needs_thread && !full) {
    m_threads.emplace_back([this] { Work(); });
  }
  m_changed.notify_one();
  return true;
}

auto WorkerThreads::Work() -> void {
  std::unique_lock lock(m_mutex);
  while (true) {
    ++m_idle;
    m_changed.wait(lock, [this] { return m_finished || !m_tasks.empty(); });
    --m_idle;
    if (m_tasks.empty()) {
      return;
    }
    auto task = std::move(m_tasks.front());
    m_tasks.pop_front();
    lock.unlock();
    task();
    task = nullptr;
    lock.lock();
  }
}

auto WorkerThreads::Finish() -> void {
  std::vector<std::thread> threads;
  {
    const std::lock_guard lock(m_mutex);
    m_finished = true;
    threads = std::exchange(m_threads, {});
  }
  m_changed.notify_all();
  for (auto& thread : threads) {
    thread.join();
  }
}

}  // namespace dotterelshed::pvt
