#include "loop_tasks.h"

#include <utility>

namespace dotterelshed::pvt {

auto LoopTasks::Post(std::function<void()> task) -> bool {
  const std::lock_guard lock(m_mutex);
  if (m_stopped) {
    return false;
  }
  m_tasks.push_back(std::move(task));
  Wake();
  return true;
}

auto LoopTasks::Stop() -> void {
  const std::lock_guard lock(m_mutex);
  m_stopped = true;
  Wake();
}

auto LoopTasks::Wake() -> void {
  if (m_wake.get() != nullptr) {
    m_wake->fulfill();
    m_wake = nullptr;
  }
}

auto LoopTasks::Run(kj::WaitScope& wait_scope) -> void {
  while (true) {
    auto tasks = Take();
    for (auto& task : tasks) {
      task();
    }
    if (!tasks.empty()) {
      continue;
    }
    auto wake = kj::newPromiseAndCrossThreadFulfiller<void>();
    {
      const std::lock_guard lock(m_mutex);
      if (!m_tasks.empty()) {
        continue;
      }
      if (m_stopped) {
        return;
      }
      m_wake = kj::mv(wake.fulfiller);
    }
    wake.promise.wait(wait_scope);
  }
}

auto LoopTasks::Take() -> std::vector<std::function<void()>> {
  const std::lock_guard lock(m_mutex);
  return std::exchange(m_tasks, {});
}

}  // namespace dotterelshed::pvt
