#include <algorithm>
#include <csignal>
#include <utility>

#include "after.h"
#include "dotterelshed/steady_time.h"
#include "soak_world.h"

/// @file
/// The faults that a seed draws, and their end.

namespace dotterelshed::soak {

namespace {

/// A host counts as disturbed for this long after a fault has ended.
constexpr Duration kContactTime = std::chrono::seconds(4);

}  // namespace

auto SoakWorld::RandomHost() -> Host& {
  return *m_hosts[Draw(static_cast<int>(m_hosts.size()))];
}

auto SoakWorld::DisturbAll(Duration time) -> void {
  for (const auto& host : m_hosts) {
    host->m_disturbed_until =
        std::max(host->m_disturbed_until, SteadyTime() + time + kContactTime);
  }
}

auto SoakWorld::DisturbHost(Host& host) -> void {
  if (!host.m_process->running() || host.m_stopping || host.m_frozen) {
    return;
  }
  const auto time = DrawTime(200, 3500);
  host.m_disturbed_until = SteadyTime() + time + kContactTime;
  switch (Draw(3)) {
    case 0:
      Note("kill " + host.m_name);
      host.m_process->Signal(SIGKILL);
      After(m_loop, time, [this, &host] {
        if (!host.m_process->running()) {
          StartHost(host);
        }
      });
      return;
    case 1:
      Note("freeze " + host.m_name);
      host.m_frozen = true;
      host.m_process->Signal(SIGSTOP);
      After(m_loop, time, [&host] {
        host.m_frozen = false;
        host.m_process->Signal(SIGCONT);
      });
      return;
    default:
      Note("stop " + host.m_name);
      host.m_stopping = true;
      host.m_disturbed_until = SteadyTime() + kStopTime + kContactTime;
      host.m_process->Signal(SIGTERM);
      After(m_loop, kStopTime, [this, &host] {
        if (!host.m_process->running()) {
          StartHost(host);
        }
      });
      return;
  }
}

auto SoakWorld::DisturbLink(LoopbackProxy& link, Duration time) -> void {
  const auto kind = Draw(6);
  Note("  kind " + std::to_string(kind));
  switch (kind) {
    case 0:
      link.ResetAll();
      return;
    case 1:
      link.SetDelay(DrawTime(20, 250));
      break;
    case 2:
      link.SetState(LinkState::kOneWayUp);
      break;
    case 3:
      link.SetState(LinkState::kOneWayDown);
      break;
    case 4:
      link.SetState(LinkState::kRefuse);
      break;
    default:
      link.SetState(LinkState::kSilent);
      break;
  }
  After(m_loop, time, [&link] {
    link.SetDelay(Duration{0});
    link.SetState(LinkState::kOpen);
  });
}

auto SoakWorld::DisturbStore() -> void {
  const auto time = DrawTime(300, 3000);
  DisturbAll(time);
  switch (Draw(3)) {
    case 0:
      Note("store down");
      m_store.SetDown(true);
      m_store.StallWatches();
      After(m_loop, time, [this] { m_store.SetDown(false); });
      return;
    case 1:
      Note("store loses answers");
      m_store.DropAnswers("ledgers", 1 + Draw(4));
      m_store.DropAnswers("leads", Draw(3));
      return;
    default:
      Note("store cut off from a domain");
      for (const auto& host : m_hosts) {
        if (host->m_domain == "b") {
          host->m_store_link->SetState(LinkState::kSilent);
          After(m_loop, time, [link = host->m_store_link.get()] {
            link->SetState(LinkState::kOpen);
          });
        }
      }
      return;
  }
}

auto SoakWorld::DisturbEndpoint() -> void {
  auto& endpoint = *m_endpoints[Draw(static_cast<int>(m_endpoints.size()))];
  Note("disturb " + endpoint.id());
  if (Draw(3) == 0) {
    endpoint.SetLosing(4);
    After(m_loop, DrawTime(300, 2500), [&endpoint] { endpoint.SetLosing(0); });
    return;
  }
  // A cut may hold a request back that then arrives late.
  DisturbAll(std::chrono::milliseconds(2500));
  DisturbLink(endpoint.link(), DrawTime(300, 2500));
}

/// A new endpoint comes, and an old one of its service leaves in order.
auto SoakWorld::ReplaceEndpoint() -> void {
  const auto* service = Draw(2) == 0 ? "engine" : "desk";
  AddEndpoint(service);
  for (const auto& endpoint : m_endpoints) {
    const auto stays = endpoint->service() != service ||
                       m_leaving.contains(endpoint->id()) ||
                       endpoint == m_endpoints.back();
    if (stays) {
      continue;
    }
    Note("leave " + endpoint->id());
    m_leaving[endpoint->id()] = SteadyTime();
    PutEndpoint(*endpoint, true);
    constexpr Duration kServesOn = std::chrono::seconds(5);
    After(m_loop, kServesOn,
          [this, id = endpoint->id()] { m_store.Remove("servers", id); });
    return;
  }
}

auto SoakWorld::DrawFault() -> void {
  switch (Draw(9)) {
    case 0:
    case 1:
    case 2:
      DisturbHost(RandomHost());
      return;
    case 3: {
      auto& host = RandomHost();
      const auto time = DrawTime(300, 3000);
      Note("disturb the store's link of " + host.m_name);
      host.m_disturbed_until = SteadyTime() + time + kContactTime;
      DisturbLink(*host.m_store_link, time);
      return;
    }
    case 4:
      DisturbStore();
      return;
    case 5:
      DisturbEndpoint();
      return;
    case 6:
      ReplaceEndpoint();
      return;
    case 7: {
      auto& host = RandomHost();
      if (host.m_caller_link) {
        Note("disturb the callers' link of " + host.m_name);
        DisturbLink(*host.m_caller_link, DrawTime(300, 1500));
      }
      return;
    }
    default:
      Note("version " + std::to_string(m_version + 1));
      PutConfig();
      return;
  }
}

auto SoakWorld::Heal() -> void {
  m_store.SetDown(false);
  m_store.DropAnswers("ledgers", 0);
  m_store.DropAnswers("leads", 0);
  for (const auto& host : m_hosts) {
    host->m_store_link->SetState(LinkState::kOpen);
    host->m_store_link->SetDelay(Duration{0});
    if (host->m_caller_link) {
      host->m_caller_link->SetState(LinkState::kOpen);
    }
    if (std::exchange(host->m_frozen, false)) {
      host->m_process->Signal(SIGCONT);
    }
    // Planned work starts its hosts by itself.
    const auto gone = !host->m_process->running() && !host->m_stopping &&
                      !m_options.m_planned;
    if (gone) {
      StartHost(*host);
    }
  }
  for (const auto& endpoint : m_endpoints) {
    endpoint->SetLosing(0);
    endpoint->link().SetState(LinkState::kOpen);
    endpoint->link().SetDelay(Duration{0});
  }
}

}  // namespace dotterelshed::soak
