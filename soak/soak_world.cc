#include "soak_world.h"

#include <sys/wait.h>
#include <csignal>

#include <algorithm>
#include <array>
#include <fstream>
#include <iostream>
#include <utility>

#include "dotterelshed/steady_time.h"

namespace dotterelshed::soak {

namespace {

constexpr Duration kWarmUp = std::chrono::seconds(4);
constexpr Duration kTick = std::chrono::milliseconds(10);
/// Bounds of the platform's pages, with a second for a busy machine.
constexpr Duration kDrainTime = std::chrono::milliseconds(3000);
constexpr Duration kConfigTime = std::chrono::milliseconds(3000);
constexpr Duration kRevertTime = std::chrono::milliseconds(1250);
constexpr Duration kRecoverTime = std::chrono::seconds(8);
/// Part of the calls after recovery that must be answered.
constexpr double kServedAgain = 0.95;
constexpr Duration kPoisonKnown = std::chrono::milliseconds(4000);
constexpr int kMostEnds = 3;
constexpr int kMostLatePoison = 3;
constexpr Duration kEndpointDown = std::chrono::milliseconds(1500);
/// Number of stops of which one may reset a connection that it couldn't accept.
constexpr int kStopsPerReset = 10;
/// Time between two ticks that counts as a stall. Leads abandon a write of
/// their ledger after 300 ms.
constexpr Duration kMinStall = std::chrono::milliseconds(250);
/// Time after a stall until hosts have read the store again.
constexpr Duration kContactTime = std::chrono::seconds(4);
constexpr int kIdleTimeoutMs = 15000;

/// Idle timeout of a configuration version, in milliseconds.
auto IdleTimeoutOf(int version, bool planned) -> int {
  constexpr std::array kTimeouts{kIdleTimeoutMs, 3000, 1200, 6000};
  const auto at = static_cast<std::size_t>(version) % kTimeouts.size();
  return planned ? kTimeouts.at(at) : kIdleTimeoutMs;
}

}  // namespace

SoakWorld::SoakWorld(const SoakOptions& options)
    : m_options(options),
      m_random(options.m_seed),
      m_store(m_loop),
      m_begun(SteadyTime()),
      m_last_tick(m_begun) {
  const auto listening =
      m_store.Listen({boost::asio::ip::address_v4::loopback(), 0});
  DOTTERELSHED_CHECK(listening.has_value());
  PutConfig();
  for (const auto* domain : {"a", "b", "c"}) {
    AddEndpoint("engine");
    AddEndpoint("desk");
    AddEndpoint("other");
    for (int at = 1; at <= m_options.m_hosts_per_domain; ++at) {
      AddHost("h" + std::to_string(at) + domain, domain, "entry");
    }
  }
  AddHost("d1", "a", "disk");
  for (const auto* domain : {"a", "b", "c"}) {
    for (int at = 0; at < m_options.m_callers_per_domain; ++at) {
      m_callers.push_back(std::make_shared<Caller>(
          m_loop, m_promises, m_doors, std::string(domain) + std::to_string(at),
          domain, m_random(),
          CallerOptions{.m_keeps_connections = m_options.m_planned},
          [this](const CallResult& result) { OnCallEnded(result); }));
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
       {"limits",
        {{"headerBytes", 8000},
         {"maxBodyBytes", 100000},
         {"idleTimeoutMs", IdleTimeoutOf(m_version, m_options.m_planned)}}}});
}

auto SoakWorld::PutEndpoint(Endpoint& endpoint, bool draining) -> void {
  m_store.Put("servers", endpoint.id(),
              {{"service", endpoint.service()},
               {"address", FormatTcpAddress(endpoint.link().address())},
               {"zone", "a"},
               {"version", "v1"},
               {"slots", 8},
               {"state", draining ? "draining" : "ready"},
               {"coldLeftMs", 0},
               {"seq", 1},
               {"born", ++m_starts}});
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
    // A proxy would take requests for hosts that are gone.
    const auto door =
        m_options.m_planned ? callers : host->m_caller_link->address();
    m_doors.push_back({name, domain, door});
  } else {
    settings["data_dir"] = m_options.m_folder;
  }
  std::ofstream(folder + ".jsonc") << settings.dump(2) << "\n";
  host->m_old = !m_options.m_production.empty();
  host->m_process = std::make_unique<HostProcess>(HostOptions{
      .m_program = host->m_old ? m_options.m_production : m_options.m_program,
      .m_settings_file = folder + ".jsonc",
      .m_log_file = folder + ".log"});
  m_hosts.push_back(std::move(host));
}

// Time.

auto SoakWorld::RunFor(Duration time) -> void {
  const auto until = SteadyTime() + time;
  while (SteadyTime() < until) {
    m_loop.run_for(kTick);
    Tick();
  }
}

auto SoakWorld::DetectStall(TimePoint now) -> void {
  const auto gap = now - std::exchange(m_last_tick, now);
  if (gap > kMinStall) {
    Note("the soak, and the store in it, stalled for " +
         std::to_string(ToSeconds(gap)) + " s");
    m_stalled_until = now + kContactTime;
  }
}

auto SoakWorld::Tick() -> void {
  const auto now = SteadyTime();
  DetectStall(now);
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
    // The platform starts it again.
    if (m_options.m_planned && !killed && !stopped) {
      host->m_disturbed_until = SteadyTime() + kStopTime;
      StartWhenGone(*host);
    }
  }
}

auto SoakWorld::StartHost(Host& host) -> void {
  host.m_started_at = SteadyTime();
  host.m_process->Start();
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
  if (run.m_poison) {
    OnPoison(run, **host);
  }
}

auto SoakWorld::OnPoison(const ServedRun& run, const Host& host) -> void {
  const auto now = SteadyTime();
  Note(run.m_endpoint + " ends under the poison");
  const auto late = m_poison_ends >= kMostEnds &&
                    now - m_third_end_at > kPoisonKnown &&
                    now > host.m_disturbed_until;
  if (++m_poison_ends == kMostEnds) {
    m_third_end_at = now;
  }
  m_late_poison += late ? 1 : 0;
  if (m_options.m_timed && m_late_poison > kMostLatePoison) {
    m_promises.Break("poison still reaches endpoints, by " + run.m_host + ": " +
                     run.m_request + " at " + run.m_endpoint);
  }
  for (const auto& endpoint : m_endpoints) {
    if (endpoint->id() == run.m_endpoint) {
      endpoint->Crash(kEndpointDown, [this, raw = endpoint.get()] {
        PutEndpoint(*raw, m_leaving.contains(raw->id()));
      });
    }
  }
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

auto SoakWorld::FindHost(const std::string& name) const -> const Host& {
  return **std::find_if(
      m_hosts.begin(), m_hosts.end(),
      [&name](const auto& host) { return host->m_name == name; });
}

/// A client sees a connection as established before the host can accept it. If
/// the listening socket is closed meanwhile, the connection is reset.
auto SoakWorld::IsResetByStop(const CallResult& result, const Host& host) const
    -> bool {
  return host.m_stopping && result.m_requests_before == 0 &&
         result.m_status == 0 && !m_promises.HasRun(result.m_request);
}

auto SoakWorld::CheckCut(const CallResult& result) -> void {
  const auto& host = FindHost(result.m_host);
  const auto place = result.m_request + " by " + result.m_host;
  if (host.m_old) {
    ++m_cut_by_old;
  } else if (result.m_status != 0 && SteadyTime() < m_stalled_until) {
    // While the store is silent, a lead may grant less than a turn needs.
    Note("answer cut after a stall: " + place);
  } else if (IsResetByStop(result, host)) {
    ++m_reset_by_stops;
    Note("connection reset by a stop: " + place);
  } else {
    Note("LOST " + place + ", after " +
         std::to_string(result.m_requests_before) + " others, status " +
         std::to_string(result.m_status));
    m_promises.Break("LOST: " + result.m_request + " was cut by " +
                     result.m_host);
  }
}

auto SoakWorld::OnCallEnded(const CallResult& result) -> void {
  if (m_options.m_planned && result.m_cut) {
    CheckCut(result);
  }
  if (!m_recovering) {
    return;
  }
  ++m_asked;
  const auto answered =
      result.m_status == 402 || (result.m_status == 200 && result.m_whole);
  m_answered += answered ? 1 : 0;
}

auto SoakWorld::StopAll() -> void {
  // Callers of planned work go on until the processes are gone.
  for (const auto& caller : m_callers) {
    if (!m_options.m_planned) {
      caller->Stop();
    }
  }
  m_poison->Stop();
  Note(std::to_string(m_poison_ends) + " endpoints ended under the poison, " +
       std::to_string(m_late_poison) + " of them late");
  for (const auto& host : m_hosts) {
    host->m_stopping = true;
    ++m_stops;
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

auto SoakWorld::RunFaults() -> void {
  const auto until = SteadyTime() + m_options.m_fault_time;
  while (SteadyTime() < until) {
    DrawFault();
    RunFor(DrawTime(100, 1200));
  }
}

auto SoakWorld::Run() -> std::vector<std::string> {
  for (const auto& host : m_hosts) {
    StartHost(*host);
  }
  RunFor(kWarmUp);
  for (const auto& caller : m_callers) {
    caller->Start();
  }
  m_poison = std::make_shared<PoisonCaller>(m_loop, m_promises, m_doors,
                                            m_options.m_seed);
  if (!m_options.m_planned) {
    m_poison->Start();
  }
  if (m_options.m_planned) {
    RunPlannedWork();
  } else {
    RunFaults();
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
  if (m_reset_by_stops * kStopsPerReset > m_stops) {
    m_promises.Break("LOST: " + std::to_string(m_stops) + " stops reset " +
                     std::to_string(m_reset_by_stops) + " new connections");
  }
  if (m_cut_by_old > 0) {
    Note(std::to_string(m_cut_by_old) + " requests cut by the old program");
  }
  return m_promises.broken();
}

}  // namespace dotterelshed::soak
