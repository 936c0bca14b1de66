#include "core_runner.h"

#include <utility>

#include "dotterelshed/metrics.h"
#include "timer_queue.h"

namespace dotterelshed::pvt {

CoreRunner::CoreRunner(std::shared_ptr<HostCore> core, Duration tick)
    : m_core(std::move(core)), m_tick(tick) {}

CoreRunner::~CoreRunner() {
  Stop();
}

auto CoreRunner::Start(EffectHandler handler) -> void {
  m_handler = std::move(handler);
  m_next_tick = SteadyTime();
  m_thread = std::thread([this] { Work(); });
}

auto CoreRunner::Stop() -> void {
  {
    const std::lock_guard lock(m_queue_mutex);
    m_stopped = true;
  }
  m_queued.notify_one();
  if (m_thread.joinable()) {
    m_thread.join();
  }
}

auto CoreRunner::Post(Event event) -> void {
  {
    const std::lock_guard lock(m_queue_mutex);
    m_queue.push_back(std::move(event));
  }
  m_queued.notify_one();
}

auto CoreRunner::Route(const CallRequest& call) -> dotterelshed::Route {
  const std::lock_guard lock(m_core_mutex);
  return RouteCall(*m_core, call, SteadyTime());
}

auto CoreRunner::Addresses(const HostId& host) -> std::optional<HostAddresses> {
  const std::lock_guard lock(m_core_mutex);
  return AddressesOf(*m_core, host);
}

auto CoreRunner::Endpoints() -> std::vector<EndpointConfig> {
  const std::lock_guard lock(m_core_mutex);
  return OwnedEndpoints(*m_core);
}

auto CoreRunner::Config() -> std::shared_ptr<const DeskConfig> {
  const std::lock_guard lock(m_core_mutex);
  return CurrentConfig(*m_core);
}

auto CoreRunner::Dump() -> std::string {
  const std::lock_guard lock(m_core_mutex);
  return DumpCore(*m_core, SteadyTime());
}

auto CoreRunner::Work() -> void {
  while (true) {
    auto events = Take();
    if (events.empty()) {
      return;
    }
    for (const auto& event : events) {
      Handle(event);
    }
  }
}

auto CoreRunner::Take() -> std::deque<Event> {
  std::unique_lock lock(m_queue_mutex);
  while (!m_stopped) {
    const auto wait = m_next_tick - SteadyTime();
    if (wait <= Duration(0)) {
      m_queue.emplace_back(Tick{});
      m_next_tick = SteadyTime() + m_tick;
    }
    if (!m_queue.empty()) {
      return std::exchange(m_queue, {});
    }
    m_queued.wait_for(lock, wait);
  }
  return {};
}

auto CoreRunner::Handle(const Event& event) -> void {
  Effects effects;
  const auto begin = SteadyTime();
  {
    const std::lock_guard lock(m_core_mutex);
    effects = Step(*m_core, event, begin);
  }
  ObserveMetric(MetricId::kCoreStepSeconds, "", SteadyTime() - begin);
  for (const auto& effect : effects) {
    m_handler(effect);
  }
}

}  // namespace dotterelshed::pvt
