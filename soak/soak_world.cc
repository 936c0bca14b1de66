#include "soak_world.h"

#include <sys/wait.h>
#include <csignal>

#include <algorithm>
#include <boost/asio/steady_timer.hpp>
#include <fstream>
#include <iostream>
#include <utility>

#include "dotterelshed/steady_time.h"

namespace dotterelshed::soak {

namespace {

constexpr Duration kWarmUp = std::chrono::seconds(4);
constexpr Duration kTick = std::chrono::milliseconds(10);
/// A host counts as disturbed for this long after a fault has ended.
constexpr Duration kContactTime = std::chrono::seconds(4);
/// Bounds of the platform's pages, with a second for a busy machine.
constexpr Duration kDrainTime = std::chrono::milliseconds(3000);
constexpr Duration kConfigTime = std::chrono::milliseconds(3000);
constexpr Duration kRevertTime = std::chrono::milliseconds(1250);
constexpr Duration kRecoverTime = std::chrono::seconds(8);
constexpr Duration kStopTime = std::chrono::seconds(9);
/// Part of the calls after recovery that must be answered.
constexpr double kServedAgain = 0.95;
constexpr int kCallersPerDomain = 4;

}  // namespace

SoakWorld::SoakWorld(const SoakOptions& options)
    : m_options(options),
      m_random(options.m_seed),
      m_store(m_loop),
      m_begun(SteadyTime()) {
  const auto listening =
      m_store.Listen({boost::asio::ip::address_v4::loopback(), 0});
  DOTTERELSHED_CHECK(listening.has_value());
  PutConfig();
  for (const auto* domain : {"a", "b", "c"}) {
    AddEndpoint("engine");
    AddEndpoint("desk");
    AddEndpoint("other");
    AddHost(std::string("h1") + domain, domain, "entry");
    AddHost(std::string("h2") + domain, domain, "entry");
  }
  AddHost("d1", "a", "disk");
  for (const auto* domain : {"a", "b", "c"}) {
    for (int at = 0; at < kCallersPerDomain; ++at) {
      m_callers.push_back(std::make_shared<Caller>(
          m_loop, m_promises, m_doors, std::string(domain) + std::to_string(at),
          domain, m_random(),
          [this](const SentCall& call, const CallResult& result) {
            OnCallEnded(call, result);
          }));
    }
  }
}

auto SoakWorld::Note(const std::string& what) -> void {
  std::cout << ToSeconds(SteadyTime() - m_begun) << " s " << what << "\n";
}

/// A port that a host keeps over its restarts. The socket stays bound and
/// doesn't listen, so that no connection is given the port meanwhile.
auto SoakWorld::ReserveAddress() -> TcpAddress {
  TcpSocket holder(m_loop, boost::asio::ip::tcp::v4());
  holder.set_option(boost::asio::socket_base::reuse_address(true));
  holder.bind({boost::asio::ip::address_v4::loopback(), 0});
  m_reserved.push_back(std::move(holder));
  return m_reserved.back().local_endpoint();
}

// What the store says.

auto SoakWorld::PutConfig() -> void {
  ++m_version;
  m_version_at = SteadyTime();
  const auto route = [](const std::string& name, const std::string& kind,
                        const std::string& service) {
    return nlohmann::json{{"name", name},
                          {"host", "desk"},
                          {"pathPrefix", "/" + name + "/"},
                          {"kind", kind},
                          {"service", service},
                          {"maxAttempts", 2},
                          {"resumable", kind == "stream"},
                          {"timeoutMs", 4000}};
  };
  const auto* flipped = m_version % 2 == 0 ? "other" : "desk";
  m_store.Put(
      "config", "main",
      {{"version", m_version},
       {"routes",
        {route("safe", "safe", "desk"), route("flip", "safe", flipped),
         route("unsafe", "unsafe", "desk"), route("turn", "stream", "engine")}},
       {"services",
        {{{"name", "engine"},
          {"engine", {{"slots", 8}, {"tokensPerEvent", 3}}}},
         {{"name", "desk"}},
         {{"name", "other"}}}},
       {"limits", {{"headerBytes", 8000}, {"maxBodyBytes", 100000}}}});
}

auto SoakWorld::PutEndpoint(const Endpoint& endpoint, bool draining) -> void {
  // The proxy never moves, so its address names the endpoint.
  const auto found = std::find_if(
      m_endpoints.begin(), m_endpoints.end(),
      [&endpoint](const auto& one) { return one.get() == &endpoint; });
  m_store.Put("servers", endpoint.id(),
              {{"service", endpoint.service()},
               {"address", FormatTcpAddress((*found)->link().address())},
               {"zone", "a"},
               {"slots", 8},
               {"state", draining ? "draining" : "ready"}});
}

auto SoakWorld::AddEndpoint(const std::string& service) -> void {
  const auto id = service + std::to_string(++m_named);
  m_endpoints.push_back(
      std::make_unique<Endpoint>(m_loop, id, service, m_random(),
                                 [this](const ServedRun& run) { OnRun(run); }));
  PutEndpoint(*m_endpoints.back(), false);
}

auto SoakWorld::AddHost(const std::string& name,
                        const std::string& domain,
                        const std::string& role) -> void {
  auto host = std::make_unique<Host>();
  host->m_name = name;
  host->m_domain = domain;
  host->m_store_link =
      std::make_unique<LoopbackProxy>(m_loop, m_store.address());
  const auto folder = m_options.m_folder + "/" + name;
  nlohmann::json settings{
      {"role", role},
      {"host", name},
      {"domain", domain},
      {"peer_address", FormatTcpAddress(ReserveAddress())},
      {"platform_address", FormatTcpAddress(host->m_store_link->address())}};
  if (role == "entry") {
    const auto callers = ReserveAddress();
    settings["caller_address"] = FormatTcpAddress(callers);
    settings["ready_address"] = FormatTcpAddress(ReserveAddress());
    host->m_caller_link = std::make_unique<LoopbackProxy>(m_loop, callers);
    m_doors.push_back({name, domain, host->m_caller_link->address()});
  } else {
    settings["data_dir"] = m_options.m_folder;
  }
  std::ofstream(folder + ".jsonc") << settings.dump(2) << "\n";
  host->m_process = std::make_unique<HostProcess>(
      HostOptions{.m_program = m_options.m_program,
                  .m_settings_file = folder + ".jsonc",
                  .m_log_file = folder + ".log"});
  m_hosts.push_back(std::move(host));
}

// Time.

auto SoakWorld::Later(Duration wait, std::function<void()> step) -> void {
  auto timer = std::make_shared<boost::asio::steady_timer>(m_loop, wait);
  timer->async_wait(
      [timer, step = std::move(step)](
          const boost::system::error_code& /*error*/) { step(); });
}

auto SoakWorld::RunFor(Duration time) -> void {
  const auto until = SteadyTime() + time;
  while (SteadyTime() < until) {
    m_loop.run_for(kTick);
    Tick();
  }
}

auto SoakWorld::Tick() -> void {
  const auto now = SteadyTime();
  m_store.Tick(now);
  for (const auto& endpoint : m_endpoints) {
    endpoint->Tick(now);
  }
  WatchProcesses();
}

auto SoakWorld::WatchProcesses() -> void {
  for (const auto& host : m_hosts) {
    const auto status = host->m_process->Reap();
    if (!status) {
      continue;
    }
    const auto killed = WIFSIGNALED(*status) && WTERMSIG(*status) == SIGKILL;
    const auto stopped =
        host->m_stopping && WIFEXITED(*status) && WEXITSTATUS(*status) == 0;
    if (!killed && !stopped) {
      m_promises.Break(host->m_name + " ended by itself, wait status " +
                       std::to_string(*status));
    }
    host->m_stopping = false;
  }
}

// Faults.

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
      Later(time, [&host] {
        if (!host.m_process->running()) {
          host.m_process->Start();
        }
      });
      return;
    case 1:
      Note("freeze " + host.m_name);
      host.m_frozen = true;
      host.m_process->Signal(SIGSTOP);
      Later(time, [&host] {
        host.m_frozen = false;
        host.m_process->Signal(SIGCONT);
      });
      return;
    default:
      Note("stop " + host.m_name);
      host.m_stopping = true;
      host.m_disturbed_until = SteadyTime() + kStopTime + kContactTime;
      host.m_process->Signal(SIGTERM);
      Later(kStopTime, [&host] {
        if (!host.m_process->running()) {
          host.m_process->Start();
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
  Later(time, [&link] {
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
      Later(time, [this] { m_store.SetDown(false); });
      return;
    case 1:
      Note("store loses answers");
      m_store.LoseAnswers("ledgers", 1 + Draw(4));
      m_store.LoseAnswers("leads", Draw(3));
      return;
    default:
      Note("store cut off from a domain");
      for (const auto& host : m_hosts) {
        if (host->m_domain == "b") {
          host->m_store_link->SetState(LinkState::kSilent);
          Later(time, [link = host->m_store_link.get()] {
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
    Later(DrawTime(300, 2500), [&endpoint] { endpoint.SetLosing(0); });
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
    Later(kServesOn,
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
  m_store.LoseAnswers("ledgers", 0);
  m_store.LoseAnswers("leads", 0);
  for (const auto& host : m_hosts) {
    host->m_store_link->SetState(LinkState::kOpen);
    host->m_store_link->SetDelay(Duration{0});
    if (host->m_caller_link) {
      host->m_caller_link->SetState(LinkState::kOpen);
    }
    if (std::exchange(host->m_frozen, false)) {
      host->m_process->Signal(SIGCONT);
    }
    const auto gone = !host->m_process->running() && !host->m_stopping;
    if (gone) {
      host->m_process->Start();
    }
  }
  for (const auto& endpoint : m_endpoints) {
    endpoint->SetLosing(0);
    endpoint->link().SetState(LinkState::kOpen);
    endpoint->link().SetDelay(Duration{0});
  }
}

// Promises that need the world's state.

auto SoakWorld::OnRun(const ServedRun& run) -> void {
  m_promises.OnRun(run.m_request);
  const auto host = std::find_if(
      m_hosts.begin(), m_hosts.end(),
      [&run](const auto& one) { return one->m_name == run.m_host; });
  if (host == m_hosts.end()) {
    m_promises.Break("a request lost a field on its way: " + run.m_request);
    return;
  }
  if (m_options.m_timed) {
    CheckDrain(run, **host);
  }
  CheckVersion(run, **host);
}

auto SoakWorld::CheckDrain(const ServedRun& run, const Host& host) -> void {
  const auto leaving = m_leaving.find(run.m_endpoint);
  const auto late = leaving != m_leaving.end() &&
                    SteadyTime() - leaving->second > kDrainTime &&
                    SteadyTime() > host.m_disturbed_until;
  if (late) {
    m_promises.Break("request to a leaving endpoint by " + run.m_host + ": " +
                     run.m_request + " at " + run.m_endpoint);
  }
}

auto SoakWorld::CheckVersion(const ServedRun& run, Host& host) -> void {
  if (!run.m_target.starts_with("/flip/")) {
    return;
  }
  const auto now = SteadyTime();
  const auto newest = (run.m_service == "other") == (m_version % 2 == 0);
  const auto version = newest ? m_version : m_version - 1;
  const auto incarnation = host.m_process->incarnation();
  if (host.m_seen_incarnation != incarnation) {
    host.m_seen_incarnation = incarnation;
    host.m_seen_version = 0;
  }
  const auto went_back =
      version < host.m_seen_version && now - host.m_seen_at > kRevertTime;
  if (went_back) {
    m_promises.Break("version goes back on " + host.m_name + ": " +
                     run.m_request);
  }
  if (version > host.m_seen_version) {
    host.m_seen_version = version;
    host.m_seen_at = now;
  }
  const auto late = m_options.m_timed && !newest &&
                    now - m_version_at > kConfigTime &&
                    now > host.m_disturbed_until;
  if (late) {
    m_promises.Break("old version in force on " + host.m_name + ": " +
                     run.m_request);
  }
}

auto SoakWorld::OnCallEnded(const SentCall& /*call*/, const CallResult& result)
    -> void {
  if (!m_recovering) {
    return;
  }
  ++m_asked;
  const auto answered =
      result.m_status == 402 || (result.m_status == 200 && result.m_whole);
  m_answered += answered ? 1 : 0;
}

auto SoakWorld::StopAll() -> void {
  for (const auto& caller : m_callers) {
    caller->Stop();
  }
  for (const auto& host : m_hosts) {
    host->m_stopping = true;
    host->m_process->Signal(SIGTERM);
  }
  const auto any = [this] {
    return std::any_of(m_hosts.begin(), m_hosts.end(), [](const auto& host) {
      return host->m_process->running();
    });
  };
  const auto until = SteadyTime() + kStopTime;
  while (any() && SteadyTime() < until) {
    RunFor(kTick);
  }
  if (m_options.m_timed && any()) {
    m_promises.Break("a host doesn't stop");
  }
}

auto SoakWorld::Run() -> std::vector<std::string> {
  for (const auto& host : m_hosts) {
    host->m_process->Start();
  }
  RunFor(kWarmUp);
  for (const auto& caller : m_callers) {
    caller->Start();
  }
  const auto until = SteadyTime() + m_options.m_fault_time;
  while (SteadyTime() < until) {
    DrawFault();
    RunFor(DrawTime(100, 1200));
  }
  Note("heal");
  Heal();
  // Hosts that were being stopped come back within this time too.
  RunFor(std::max(kRecoverTime, kStopTime));
  m_recovering = true;
  RunFor(std::chrono::seconds(3));
  m_recovering = false;
  Note(std::to_string(m_answered) + " of " + std::to_string(m_asked) +
       " calls answered after the faults");
  const auto back = m_answered >= kServedAgain * m_asked && m_asked > 0;
  if (m_options.m_timed && !back) {
    m_promises.Break("service isn't back: " + std::to_string(m_answered) +
                     " of " + std::to_string(m_asked));
  }
  StopAll();
  return m_promises.broken();
}

}  // namespace dotterelshed::soak
