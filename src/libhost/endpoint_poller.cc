#include "endpoint_poller.h"

#include <utility>

#include "dotterelshed/backend_client.h"

namespace dotterelshed::pvt {

namespace {

constexpr Duration kPollInterval = std::chrono::seconds(1);

auto IsEngine(const DeskConfig& config, const EndpointId& endpoint) -> bool {
  for (const auto& [id, service] : config.m_services) {
    if (service.m_kind != ServiceKind::kModel) {
      continue;
    }
    for (const auto& candidate : service.m_endpoints) {
      if (candidate.m_id == endpoint) {
        return true;
      }
    }
  }
  return false;
}

}  // namespace

auto EndpointPoller::Start() -> void {
  m_timers.After(kPollInterval, [this] {
    PollAll();
    Start();
  });
}

auto EndpointPoller::PollAll() -> void {
  const auto config = m_core.Config();
  if (!config) {
    return;
  }
  for (const auto& endpoint : m_core.Endpoints()) {
    if (!IsEngine(*config, endpoint.m_id)) {
      continue;
    }
    {
      const std::lock_guard lock(m_mutex);
      if (!m_polling.insert(endpoint.m_id).second) {
        continue;
      }
    }
    m_workers.Run([this, endpoint] { Poll(endpoint); });
  }
}

auto EndpointPoller::Poll(const EndpointConfig& endpoint) -> void {
  std::int64_t position = 0;
  {
    const std::lock_guard lock(m_mutex);
    position = m_cache_positions[endpoint.m_id];
  }
  if (auto load = ReadLoad(endpoint)) {
    m_core.Post(LoadReported{std::move(*load)});
  }
  auto events = ReadCacheEvents(endpoint, position);
  const std::lock_guard lock(m_mutex);
  m_polling.erase(endpoint.m_id);
  if (events) {
    m_cache_positions[endpoint.m_id] = events->m_next;
    m_core.Post(CacheReported{std::move(events->m_report)});
  }
}

auto EndpointPoller::Find(const EndpointId& endpoint)
    -> std::optional<EndpointConfig> {
  const auto config = m_core.Config();
  if (!config) {
    return std::nullopt;
  }
  for (const auto& [id, service] : config->m_services) {
    for (const auto& candidate : service.m_endpoints) {
      if (candidate.m_id == endpoint) {
        return candidate;
      }
    }
  }
  return std::nullopt;
}

auto EndpointPoller::Do(const ReleaseHold& effect) -> void {
  m_workers.Run([this, effect] {
    const auto endpoint = Find(effect.m_endpoint);
    const auto released =
        endpoint && ReleaseEngineHold(*endpoint, effect.m_hold).has_value();
    m_core.Post(HoldReleased{effect.m_hold, effect.m_endpoint, released});
  });
}

auto EndpointPoller::Do(const ListHolds& effect) -> void {
  m_workers.Run([this, effect] {
    const auto endpoint = Find(effect.m_endpoint);
    if (!endpoint) {
      return;
    }
    if (auto holds = ListEngineHolds(*endpoint)) {
      m_core.Post(HoldsListed{effect.m_endpoint, std::move(*holds)});
    }
  });
}

auto EndpointPoller::Do(const SendOrder& effect) -> void {
  m_workers.Run([this, effect] {
    if (const auto endpoint = Find(effect.m_endpoint)) {
      // The next load report shows whether the order took effect.
      std::ignore = SendEngineOrder(*endpoint, effect.m_order);
    }
  });
}

}  // namespace dotterelshed::pvt
