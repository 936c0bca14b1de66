#include "connection_pool.h"

#include <algorithm>
#include <utility>

#include "dotterelshed/metrics.h"
#include "dotterelshed/steady_time.h"

namespace dotterelshed {

namespace {

/// Subtracted from the announced keep-alive time to allow for network latency.
constexpr Duration kKeepAliveMargin = std::chrono::milliseconds(1000);

}  // namespace

ConnectionPool::ConnectionPool(EventLoop& loop,
                               const ConnectionPoolOptions& options)
    : m_loop(loop), m_options(options) {}

auto ConnectionPool::Acquire(const std::string& address,
                             Duration max_idle,
                             AcquireCallback on_acquired) -> void {
  const auto now = SteadyTime();
  auto& idle = m_idle[address];
  while (!idle.empty()) {
    auto last = std::move(idle.back());
    idle.pop_back();
    if (IsFresh(last, max_idle, now) && last.m_connection->reusable()) {
      CountMetric(MetricId::kEndpointConnections, "kept");
      on_acquired(std::move(last.m_connection));
      return;
    }
    last.m_connection->Close();
  }
  Connect(address, std::move(on_acquired));
}

auto ConnectionPool::Connect(const std::string& address,
                             AcquireCallback on_acquired) -> void {
  const auto parsed = ParseTcpAddress(address);
  if (!parsed || m_blocked) {
    on_acquired(nullptr);
    return;
  }
  CountMetric(MetricId::kEndpointConnections, "new");
  auto connection = std::make_shared<ClientConnection>(m_loop);
  connection->Connect(
      *parsed, {.m_timeout = m_options.m_connect_timeout},
      [connection, on_acquired = std::move(on_acquired)](bool connected) {
        on_acquired(connected ? connection : nullptr);
      });
}

auto ConnectionPool::Release(
    const std::string& address,
    const std::shared_ptr<ClientConnection>& connection,
    std::optional<Duration> keep_alive) -> void {
  auto& idle = m_idle[address];
  if (!connection->reusable() ||
      idle.size() >= m_options.m_max_idle_per_address) {
    connection->Close();
    return;
  }
  const auto now = SteadyTime();
  auto keep = m_options.m_max_idle;
  if (keep_alive) {
    keep = std::min(keep,
                    std::max(*keep_alive - kKeepAliveMargin, *keep_alive / 2));
  }
  idle.push_back({connection, now, now + keep, keep_alive.has_value()});
}

auto ConnectionPool::IsFresh(const Idle& idle,
                             Duration max_idle,
                             TimePoint now) const -> bool {
  if (now >= idle.m_until) {
    return false;
  }
  return (m_options.m_trust_announced_end && idle.m_announced) ||
         now - idle.m_since <= max_idle;
}

auto ConnectionPool::Tick(TimePoint now) -> void {
  for (auto it = m_idle.begin(); it != m_idle.end();) {
    std::erase_if(it->second, [now](const Idle& one) {
      const auto over = now >= one.m_until || !one.m_connection->reusable();
      if (over) {
        one.m_connection->Close();
      }
      return over;
    });
    it = it->second.empty() ? m_idle.erase(it) : std::next(it);
  }
}

auto ConnectionPool::CloseAllIdle() -> void {
  for (const auto& [address, idle] : std::exchange(m_idle, {})) {
    for (const auto& one : idle) {
      one.m_connection->Close();
    }
  }
}

auto ConnectionPool::CloseIdle(const std::string& address) -> void {
  const auto found = m_idle.find(address);
  if (found == m_idle.end()) {
    return;
  }
  for (const auto& one : found->second) {
    one.m_connection->Close();
  }
  m_idle.erase(found);
}

}  // namespace dotterelshed
