#include <algorithm>
#include <csignal>
#include <iterator>
#include <utility>

#include "after.h"
#include "dotterelshed/steady_time.h"
#include "soak_world.h"

/// @file
/// Planned work that a seed draws: stops, reloads, changes and upgrades.

namespace dotterelshed::soak {

namespace {

/// A host in use longer than this may be stopped.
constexpr Duration kStartTime = std::chrono::milliseconds(1500);
constexpr Duration kRestartInterval = std::chrono::milliseconds(100);
/// A host counts as disturbed for this long after it was started.
constexpr Duration kContactTime = std::chrono::seconds(4);
constexpr int kMostChangesInSeries = 12;
/// Longest time from the stop of one host to that of the next.
constexpr Duration kReplacementTime = std::chrono::seconds(12);

}  // namespace

auto SoakWorld::MayStop(const Host& host) const -> bool {
  const auto now = SteadyTime();
  const auto in_use = [now](const Host& one) {
    return one.m_process->running() && !one.m_stopping &&
           now - one.m_started_at > kStartTime;
  };
  const auto other = std::any_of(
      m_hosts.begin(), m_hosts.end(), [&host, &in_use](const auto& one) {
        return one.get() != &host && one->m_domain == host.m_domain &&
               one->m_caller_link && in_use(*one);
      });
  return in_use(host) && (other || !host.m_caller_link);
}

auto SoakWorld::StopInOrder(Host& host) -> void {
  Note("stop " + host.m_name);
  host.m_stopping = true;
  ++m_stops;
  host.m_disturbed_until = SteadyTime() + kStopTime + kContactTime;
  host.m_process->Signal(SIGTERM);
  StartWhenGone(host);
}

auto SoakWorld::StartWhenGone(Host& host) -> void {
  After(m_loop, kRestartInterval, [this, &host] {
    if (host.m_process->running()) {
      StartWhenGone(host);
      return;
    }
    const auto upgraded = std::exchange(host.m_old, false);
    if (upgraded) {
      Note("upgrade " + host.m_name);
      host.m_process->SetProgram(m_options.m_program);
    }
    host.m_disturbed_until = SteadyTime() + kContactTime;
    StartHost(host);
    if (upgraded && OldHosts() == 0) {
      Note("all hosts are replaced");
      ChangeConfigOften();
    }
  });
}

auto SoakWorld::Reload(const Host& host) const -> void {
  const auto begins = SteadyTime() - host.m_started_at < kStartTime &&
                      !host.m_process->handles_hangup();
  if (!begins) {
    host.m_process->Signal(SIGHUP);
  }
}

auto SoakWorld::ReloadAll() -> void {
  Note("reload all");
  for (const auto& host : m_hosts) {
    After(m_loop, DrawTime(0, 1000),
          [this, raw = host.get()] { Reload(*raw); });
  }
}

auto SoakWorld::ChangeConfigOften() -> void {
  const auto changes = 1 + Draw(kMostChangesInSeries);
  Note(std::to_string(changes) + " changes of the configuration");
  for (int at = 0; at < changes; ++at) {
    After(m_loop, DrawTime(0, 1500), [this] { PutConfig(); });
  }
}

auto SoakWorld::OldHosts() const -> int {
  return static_cast<int>(
      std::count_if(m_hosts.begin(), m_hosts.end(),
                    [](const auto& host) { return host->m_old; }));
}

auto SoakWorld::DrawUpgradeOrder() -> void {
  for (const auto& host : m_hosts) {
    m_upgrade_order.push_back(host.get());
  }
  const auto disk_host = std::prev(m_upgrade_order.end());
  std::shuffle(m_upgrade_order.begin(), disk_host, m_random);
  // It is the first or the last one.
  if (Draw(2) == 0) {
    std::rotate(m_upgrade_order.begin(), disk_host, m_upgrade_order.end());
  }
}

auto SoakWorld::UpgradeNext() -> void {
  const auto any_stopping =
      std::any_of(m_hosts.begin(), m_hosts.end(), [](const auto& host) {
        return host->m_stopping || !host->m_process->running();
      });
  const auto next = std::find_if(m_upgrade_order.begin(), m_upgrade_order.end(),
                                 [](const auto* host) { return host->m_old; });
  const auto possible =
      !any_stopping && next != m_upgrade_order.end() && MayStop(**next);
  if (possible) {
    StopInOrder(**next);
  }
}

auto SoakWorld::RunPlannedWork() -> void {
  const auto end = SteadyTime() + m_options.m_fault_time;
  const auto hosts = OldHosts();
  const auto last_end = SteadyTime() + hosts * kReplacementTime;
  if (hosts > 0) {
    DrawUpgradeOrder();
  }
  const auto upgrading = [this, last_end] {
    return OldHosts() > 0 && SteadyTime() < last_end;
  };
  while (SteadyTime() < end || upgrading()) {
    DrawPlannedWork();
    RunFor(DrawTime(50, 400));
  }
  if (OldHosts() > 0) {
    m_promises.Break(std::to_string(OldHosts()) + " of " +
                     std::to_string(hosts) + " hosts weren't replaced");
  }
}

auto SoakWorld::DrawPlannedWork() -> void {
  if (!m_options.m_production.empty()) {
    UpgradeNext();
  }
  switch (Draw(8)) {
    case 0:
    case 1:
    case 2: {
      auto& host = RandomHost();
      if (m_options.m_production.empty() && MayStop(host)) {
        StopInOrder(host);
      }
      return;
    }
    case 3: {
      auto& host = RandomHost();
      Note("reload " + host.m_name);
      Reload(host);
      return;
    }
    case 4:
      ReloadAll();
      return;
    case 5:
      ReplaceEndpoint();
      return;
    default:
      ChangeConfigOften();
      return;
  }
}

}  // namespace dotterelshed::soak
