#include <algorithm>
#include <csignal>

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
    if (host.m_old) {
      Note("upgrade " + host.m_name);
      host.m_old = false;
      host.m_process->SetProgram(m_options.m_program);
    }
    host.m_disturbed_until = SteadyTime() + kContactTime;
    StartHost(host);
  });
}

auto SoakWorld::ReloadAll() -> void {
  Note("reload all");
  for (const auto& host : m_hosts) {
    After(m_loop, DrawTime(0, 1000),
          [raw = host.get()] { raw->m_process->Signal(SIGHUP); });
  }
}

auto SoakWorld::ChangeConfigOften() -> void {
  const auto changes = 1 + Draw(kMostChangesInSeries);
  Note(std::to_string(changes) + " changes of the configuration");
  for (int at = 0; at < changes; ++at) {
    After(m_loop, DrawTime(0, 1500), [this] { PutConfig(); });
  }
}

auto SoakWorld::UpgradeNext() -> void {
  const auto any_stopping =
      std::any_of(m_hosts.begin(), m_hosts.end(), [](const auto& host) {
        return host->m_stopping || !host->m_process->running();
      });
  const auto next = std::find_if(
      m_hosts.begin(), m_hosts.end(),
      [this](const auto& host) { return host->m_old && MayStop(*host); });
  if (!any_stopping && next != m_hosts.end()) {
    StopInOrder(**next);
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
      host.m_process->Signal(SIGHUP);
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
