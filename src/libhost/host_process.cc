#include "host_process.h"

#include <httplib.h>
#include <unistd.h>

#include <chrono>
#include <fstream>
#include <nlohmann/json.hpp>
#include <utility>

#include "dotterelshed/log_events.h"
#include "dotterelshed/metrics.h"
#include "dotterelshed/peer_codec.h"
#include "http_server.h"

namespace dotterelshed::pvt {

namespace {

/// Threads for calls to the platform and to endpoints besides attempts.
constexpr std::size_t kCallThreads = 24;
/// How often a draining host looks whether everything has ended.
constexpr Duration kDrainCheck = std::chrono::milliseconds(50);
/// The balancer gets this long to notice that the host is not ready.
constexpr Duration kBalancerGrace = std::chrono::seconds(1);

/// Each start of a host has a number above those of its earlier starts.
auto StartNumber() -> Incarnation {
  const auto now = std::chrono::system_clock::now().time_since_epoch();
  return Incarnation(
      std::chrono::duration_cast<std::chrono::milliseconds>(now).count());
}

auto WallClockOffset() -> Duration {
  const auto now = std::chrono::system_clock::now().time_since_epoch();
  return std::chrono::duration_cast<Duration>(now) -
         SteadyTime().time_since_epoch();
}

auto TurnedAway(const RequestId& request) -> CallAnswer {
  return {.m_request = request,
          .m_outcome = OutcomeKind::kNotRun,
          .m_reason = ReasonCode::kNotOwner,
          .m_message = "the host is starting"};
}

}  // namespace

HostProcess::HostProcess(const Settings& settings)
    : m_settings(settings),
      m_attempt_threads(static_cast<std::size_t>(settings.m_max_open_requests) *
                        2),
      m_call_threads(kCallThreads),
      m_requests(RequestTableOptions{}),
      m_trace(settings.m_trace_file) {}

HostProcess::~HostProcess() {
  m_running = false;
  // After an unclean drain callers learn that their answer is not known.
  m_requests.FinishAll(ReasonCode::kDraining);
  if (m_server) {
    m_server->stop();
  }
  if (m_server_thread.joinable()) {
    m_server_thread.join();
  }
  m_timers.Stop();
  // The core's effects use every part below, so it stops before them.
  if (m_core) {
    m_core->Stop();
  }
  if (m_platform) {
    m_platform->Stop();
  }
  m_peers.reset();
  m_attempt_threads.Finish();
  m_call_threads.Finish();
}

auto HostProcess::Start() -> Status {
  return StartPeers()
      .and_then([this] { return StartHttp(); })
      .and_then([this] { return StartCore(); })
      .and_then([this] { return WriteReadyFile(); });
}

auto HostProcess::StartPeers() -> Status {
  auto peers = PeerNode::Start({.m_address = m_settings.m_peer_address},
                               MakePeerHandlers());
  if (!peers) {
    return tl::unexpected<Error>(peers.error());
  }
  m_peers = std::move(*peers);
  m_addresses.m_peer = m_settings.m_peer_advertised.empty()
                           ? m_peers->address()
                           : m_settings.m_peer_advertised;
  return {};
}

auto HostProcess::MakePeerHandlers() -> PeerHandlers {
  return {.m_on_message =
              [this](const std::string& bytes) {
                if (!m_running) {
                  return;
                }
                CountMetric(MetricId::kPeerMessages, "received");
                CountMetric(MetricId::kPeerBytes, "received",
                            static_cast<std::int64_t>(bytes.size()));
                if (auto message = DecodePeerMessage(bytes)) {
                  m_core->Post(PeerArrived{std::move(*message)});
                }
              },
          .m_on_call = [this](const CallRequest& call, std::uint64_t offset,
                              const CallSink& sink) -> std::function<void()> {
            if (!m_running) {
              sink.m_on_answer(TurnedAway(call.m_request));
              return {};
            }
            return m_router->ServeCall(call, offset, sink);
          },
          .m_on_ask = [this](const RequestId& request, const ProgramId& program,
                             std::uint64_t offset,
                             const CallSink& sink) -> std::function<void()> {
            if (!m_running) {
              sink.m_on_answer(TurnedAway(request));
              return {};
            }
            return m_router->ServeAsk(request, program, offset, sink);
          },
          .m_on_end_program =
              [this](const ProgramId& program) {
                if (m_running) {
                  m_core->Post(ProgramEndRequested{program});
                }
              }};
}

auto HostProcess::StartHttp() -> Status {
  m_server = MakeHttpServer(m_settings);
  auto address = BindHttpServer(*m_server, m_settings.m_http_address);
  if (!address) {
    return tl::unexpected<Error>(address.error());
  }
  m_addresses.m_http = *address;
  return {};
}

auto HostProcess::StartCore() -> Status {
  auto core =
      MakeCore({.m_self = {m_settings.m_host, StartNumber()},
                .m_domain = m_settings.m_domain,
                .m_addresses = m_addresses,
                .m_has_disk = !m_settings.m_data_dir.empty(),
                .m_seed = static_cast<std::uint64_t>(StartNumber().value()),
                .m_charts_dir = m_settings.m_charts_dir,
                .m_heartbeat_interval = m_settings.m_heartbeat_interval,
                .m_missed_heartbeats = m_settings.m_missed_heartbeats,
                .m_max_programs = m_settings.m_max_programs,
                .m_max_stored_answers = m_settings.m_max_stored_answers,
                .m_wall_clock_offset = WallClockOffset()});
  if (!core) {
    return tl::unexpected<Error>(core.error());
  }
  m_core = std::make_unique<CoreRunner>(*core, m_settings.m_tick);
  m_router = std::make_unique<CallRouter>(
      CallRouter::Services{*m_core, m_requests, m_timers, m_trace});
  m_router->SetPeers(m_peers.get());
  m_attempts =
      std::make_unique<AttemptRunner>(*m_core, m_requests, m_attempt_threads);
  m_platform = std::make_unique<PlatformLink>(
      *m_core, m_call_threads,
      PlatformOptions{.m_address = m_settings.m_platform_address,
                      .m_writer = m_settings.m_host.value()});
  m_endpoints =
      std::make_unique<EndpointPoller>(*m_core, m_call_threads, m_timers);
  m_callers = std::make_unique<CallerFront>(m_settings, *m_core, *m_router);
  m_callers->AddRoutes(*m_server);
  m_admin = std::make_unique<AdminFront>(
      AdminHooks{.m_dump = [this] { return Dump(); },
                 .m_ready = [this] { return !m_draining && m_core->Config(); },
                 .m_drain = [this] { Drain(); }});
  m_admin->AddRoutes(*m_server);
  m_core->Start([this](const Effect& effect) { RunEffect(effect); });
  m_endpoints->Start();
  m_running = true;
  m_server_thread = std::thread([this] { m_server->listen_after_bind(); });
  return {};
}

auto HostProcess::WriteReadyFile() const -> Status {
  LogEvent(LogEventId::kHostStarted,
           {{"http", m_addresses.m_http}, {"peer", m_addresses.m_peer}});
  if (m_settings.m_ready_file.empty()) {
    return {};
  }
  const auto temporary = m_settings.m_ready_file + ".new";
  std::ofstream out(temporary);
  out << nlohmann::json{{"http", m_addresses.m_http},
                        {"peer", m_peers->address()},
                        {"pid", getpid()}}
      << "\n";
  out.close();
  if (!out ||
      std::rename(temporary.c_str(), m_settings.m_ready_file.c_str()) != 0) {
    return Fail(ErrorCode::kUnavailable, "can't write the ready file",
                m_settings.m_ready_file);
  }
  return {};
}

auto HostProcess::Drain() -> void {
  if (m_draining.exchange(true)) {
    return;
  }
  LogEvent(LogEventId::kHostDraining);
  m_core->Post(DrainRequested{});
  const auto deadline = SteadyTime() + m_settings.m_drain_timeout;
  m_timers.After(kBalancerGrace, [this, deadline] { CheckDrained(deadline); });
}

auto HostProcess::CheckDrained(TimePoint deadline) -> void {
  const auto clean = m_drained && m_callers->OpenCount() == 0 &&
                     m_requests.OpenCount() == 0 &&
                     m_attempts->RunningCount() == 0;
  if (clean || SteadyTime() >= deadline) {
    m_on_stopped(clean);
    return;
  }
  m_timers.After(kDrainCheck, [this, deadline] { CheckDrained(deadline); });
}

auto HostProcess::Dump() -> std::string {
  const auto peers = m_peers->Counts();
  const auto platform = CountPlatformCalls();
  const auto config = m_core->Config();
  nlohmann::json dump = {
      {"host", m_settings.m_host.value()},
      {"domain", m_settings.m_domain.value()},
      {"addresses",
       {{"http", m_addresses.m_http}, {"peer", m_addresses.m_peer}}},
      {"draining", m_draining.load()},
      {"generation", config ? config->m_generation.value() : 0},
      {"requests",
       {{"open", m_requests.OpenCount()},
        {"callers", m_callers->OpenCount()},
        {"attempts", m_attempts->RunningCount()}}},
      {"peers",
       {{"messages_sent", peers.m_messages_sent},
        {"bytes_sent", peers.m_message_bytes_sent},
        {"messages_dropped", peers.m_messages_dropped},
        {"connections_opened", peers.m_connections_opened},
        {"connections_lost", peers.m_connections_lost},
        {"calls_forwarded", peers.m_calls_forwarded}}},
      {"platform_calls",
       {{"gets", platform.m_gets},
        {"lists", platform.m_lists},
        {"puts", platform.m_puts},
        {"deletes", platform.m_deletes},
        {"watches", platform.m_watches}}}};
  dump["core"] = nlohmann::json::parse(m_core->Dump(), nullptr, false);
  return dump.dump(2) + "\n";
}

auto HostProcess::Do(const SendPeer& effect) -> void {
  const auto addresses = m_core->Addresses(effect.m_to);
  if (!addresses) {
    return;
  }
  auto bytes = EncodePeerMessage(effect.m_message);
  CountMetric(MetricId::kPeerMessages, "sent");
  CountMetric(MetricId::kPeerBytes, "sent",
              static_cast<std::int64_t>(bytes.size()));
  m_peers->SendMessage(addresses->m_peer, std::move(bytes));
}

auto HostProcess::Do(const SendToSeedPeers& effect) -> void {
  const auto bytes = EncodePeerMessage(effect.m_message);
  for (const auto& seed : m_settings.m_seed_peers) {
    if (seed != m_addresses.m_peer) {
      m_peers->SendMessage(seed, bytes);
    }
  }
}

auto HostProcess::Do(const ConfigInForce& effect) -> void {
  SetMetric(MetricId::kConfigGeneration,
            static_cast<double>(effect.m_generation.value()));
}

auto HostProcess::Do(const WriteLog& effect) -> void {
  LogEvent(effect.m_id, effect.m_fields);
}

auto HostProcess::RunEffect(const Effect& effect) -> void {
  struct Visitor {
    HostProcess& m_host;
    auto operator()(const SendPeer& e) -> void { m_host.Do(e); }
    auto operator()(const SendToSeedPeers& e) -> void { m_host.Do(e); }
    auto operator()(const StartAttempt& e) -> void {
      m_host.m_attempts->Start(e);
    }
    auto operator()(const CancelAttempt& e) -> void {
      m_host.m_attempts->Cancel(e.m_attempt);
    }
    auto operator()(const FinishCall& e) -> void {
      m_host.m_router->FinishLocal(e.m_answer);
    }
    auto operator()(const ReadTable& e) -> void { m_host.m_platform->Do(e); }
    auto operator()(const PutTable& e) -> void { m_host.m_platform->Do(e); }
    auto operator()(const ReadClaimShard& e) -> void {
      m_host.m_platform->Do(e);
    }
    auto operator()(const PutClaimShard& e) -> void {
      m_host.m_platform->Do(e);
    }
    auto operator()(const DeleteClaimShard& e) -> void {
      m_host.m_platform->Do(e);
    }
    auto operator()(const ReadConfig& e) -> void { m_host.m_platform->Do(e); }
    auto operator()(const ConfigInForce& e) -> void { m_host.Do(e); }
    auto operator()(const SetLeadDuty& e) -> void { m_host.m_platform->Do(e); }
    auto operator()(const PutStatus& e) -> void { m_host.m_platform->Do(e); }
    auto operator()(const ReleaseHold& e) -> void { m_host.m_endpoints->Do(e); }
    auto operator()(const ListHolds& e) -> void { m_host.m_endpoints->Do(e); }
    auto operator()(const SendOrder& e) -> void { m_host.m_endpoints->Do(e); }
    auto operator()(const DrainFinished&) -> void { m_host.m_drained = true; }
    auto operator()(const WriteLog& e) -> void { m_host.Do(e); }
  };
  std::visit(Visitor{*this}, effect);
}

}  // namespace dotterelshed::pvt
