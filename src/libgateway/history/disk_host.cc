#include "history/disk_host.h"

#include <algorithm>
#include <utility>

#include "dotterelshed/event_loop.h"
#include "dotterelshed/http_status.h"
#include "dotterelshed/log_events.h"
#include "dotterelshed/steady_time.h"
#include "history/replica_messages.h"
#include "peer_call.h"

namespace dotterelshed {

namespace {

constexpr Duration kRegisterRetryDelay = std::chrono::milliseconds(500);
/// A retirement allows some seconds, and only this host can confirm its own.
constexpr Duration kRetirementViewAge = std::chrono::seconds(5);
constexpr Duration kTick = std::chrono::milliseconds(250);
constexpr Duration kStopTick = std::chrono::milliseconds(20);
/// Maximum duration of a stop. Most requests of other hosts time out earlier.
constexpr Duration kMaxStopTime = std::chrono::seconds(2);
/// Part of the stop grace period reserved for the exit itself.
constexpr Duration kExitMargin = std::chrono::milliseconds(300);
/// Time before the exit at which open requests are refused.
constexpr Duration kFinalResponseTime = std::chrono::milliseconds(300);

/// Returns the HTTP status that reports a journal error to a peer.
auto StatusOf(const Error& error) -> int {
  switch (error.m_code) {
    case ErrorCode::kConflict:
      return kStatusConflict;
    case ErrorCode::kNotFound:
      return kStatusNotFound;
    case ErrorCode::kInvalidArgument:
      return kStatusBadRequest;
    default:
      return kStatusUnavailable;
  }
}

auto LogRetirementStatus(std::string_view state,
                         const Result<StoredObject>& stored) -> void {
  LogEvent(
      LogEventId::kRetirementAnswered,
      {{"state", std::string(state)},
       {"outcome",
        stored ? "stored" : std::string(ToString(stored.error().m_code))}});
}

}  // namespace

DiskHost::DiskHost(EventLoop& loop, const EntrySettings& settings)
    : m_loop(loop),
      m_settings(settings),
      m_store(loop, {.m_address = CheckedAddress(settings.m_platform_address)}),
      m_peers(loop,
              [this](const std::shared_ptr<ServerConnection>& connection,
                     const IncomingRequest& request) {
                OnPeerRequest(connection, request);
              }),
      m_journal(OpenJournal(settings.m_data_dir)),
      m_replica(loop, settings, m_store),
      m_entry{.m_host = settings.m_host, .m_domain = settings.m_domain},
      m_register_timer(loop),
      m_tick_timer(loop) {
  m_watcher = std::make_shared<ObjectWatcher>(
      loop, m_store,
      WatcherOptions{.m_kind = ObjectKind::kRetirements,
                     .m_max_age = kRetirementViewAge},
      HandleEachObject(
          [this](const StoredObject& object) { OnRetirement(object); }));
}

auto DiskHost::Start() -> Status {
  auto listening = m_peers.Listen(CheckedAddress(m_settings.m_peer_address));
  if (!listening) {
    return listening;
  }
  m_entry.m_address = FormatTcpAddress(peer_address());
  m_replica.Start();
  m_watcher->Start();
  Register();
  ArmTick();
  LogEvent(LogEventId::kHostStarted,
           {{"domain", m_settings.m_domain.value()},
            {"role", "disk"},
            {"journals", std::to_string(m_journal.m_entries.size())}});
  FlushLog();
  return {};
}

auto DiskHost::BeginStop(std::function<void()> on_stopped) -> void {
  if (m_on_stopped) {
    return;
  }
  m_on_stopped = std::move(on_stopped);
  m_stop_started_at = SteadyTime();
  LogEvent(LogEventId::kHostDraining,
           {{"open", std::to_string(m_peers.open_requests())}});
  m_watcher->Stop();
  m_register_timer.cancel();
  m_peers.StopListening();
  ArmTick();
  ContinueStop(m_stop_started_at);
}

auto DiskHost::ContinueStop(TimePoint now) -> void {
  const auto exit =
      std::min(kMaxStopTime, m_settings.m_stop_grace - kExitMargin);
  const auto since = now - m_stop_started_at;
  if (since > exit - kFinalResponseTime) {
    RefuseWaiting();
  }
  const auto over =
      m_peers.connections() == 0 && m_peers.closing_connections() == 0;
  if (!over && since <= exit) {
    return;
  }
  const auto on_stopped = std::exchange(m_on_stopped, nullptr);
  RunGuarded("stop", [this] { Stop(); });
  on_stopped();
}

auto DiskHost::RefuseWaiting() -> void {
  for (const auto& weak : std::exchange(m_waiting, {})) {
    if (const auto connection = weak.lock()) {
      connection->Answer(kStatusUnavailable, {}, "");
    }
  }
}

auto DiskHost::Stop() -> void {
  m_watcher->Stop();
  m_register_timer.cancel();
  m_tick_timer.cancel();
  m_peers.StopListening();
  m_replica.Stop();
  LogEvent(LogEventId::kHostStopped,
           {{"open", std::to_string(m_peers.open_requests())},
            {"closing", std::to_string(m_peers.closing_connections())},
            {"connections", std::to_string(m_peers.connections())},
            {"exit_code", "0"}});
}

auto DiskHost::Register() -> void {
  StoredObject object{.m_name = m_settings.m_host.value(),
                      .m_spec = EncodeReplicaHost(m_entry)};
  m_store.Replace(ObjectKind::kDiskHosts, object,
                  [this, object](const Result<StoredObject>& stored) {
                    if (stored) {
                      return;
                    }
                    if (stored.error().m_code != ErrorCode::kNotFound) {
                      ScheduleRegister(stored.error());
                      return;
                    }
                    m_store.Create(ObjectKind::kDiskHosts, object,
                                   [this](const Result<StoredObject>& created) {
                                     if (!created) {
                                       ScheduleRegister(created.error());
                                     }
                                   });
                  });
}

auto DiskHost::ScheduleRegister(const Error& error) -> void {
  LogEvent(LogEventId::kPlatformLost,
           {{"kind", std::string(KindName(ObjectKind::kDiskHosts))},
            {"code", std::string(ToString(error.m_code))},
            {"reason", error.m_message}});
  m_register_timer.expires_after(kRegisterRetryDelay);
  m_register_timer.async_wait([this](const boost::system::error_code& failed) {
    if (!failed) {
      Register();
    }
  });
}

auto DiskHost::OnPeerRequest(
    const std::shared_ptr<ServerConnection>& connection,
    const IncomingRequest& request) -> void {
  const auto handled = m_replica.Handle(connection, request) ||
                       m_stream_origins.Handle(connection, request);
  if (!handled) {
    OnJournalRequest(connection, request);
  }
  if (connection->busy()) {
    std::erase_if(m_waiting, [](const auto& weak) {
      const auto waiting = weak.lock();
      return !waiting || !waiting->busy();
    });
    m_waiting.push_back(connection);
  }
}

auto DiskHost::OnJournalRequest(
    const std::shared_ptr<ServerConnection>& connection,
    const IncomingRequest& request) -> void {
  const auto entry = DecodeJournalEntry(request.m_body);
  if (!entry) {
    connection->Answer(StatusOf(entry.error()), {}, entry.error().m_message);
    return;
  }
  if (request.m_head.m_target == kJournalWritePath) {
    const auto written = WriteJournal(m_journal, *entry);
    if (!written) {
      LogEvent(LogEventId::kJournalFailed,
               {{"domain", entry->m_domain.value()},
                {"reason", written.error().m_message}});
    }
    connection->Answer(written ? kStatusOk : StatusOf(written.error()), {}, "");
    return;
  }
  const auto found = ReadJournal(m_journal, entry->m_domain, entry->m_claim);
  if (!found && found.error().m_code != ErrorCode::kNotFound) {
    connection->Answer(StatusOf(found.error()), {}, "");
    return;
  }
  // An empty body means that there is no entry; it tells this host from an
  // unreachable one.
  connection->Answer(kStatusOk, {}, found ? EncodeJournalEntry(*found) : "");
}

auto DiskHost::ArmTick() -> void {
  m_tick_timer.expires_after(m_on_stopped ? kStopTick : kTick);
  m_tick_timer.async_wait([this](const boost::system::error_code& error) {
    if (!error) {
      const auto now = SteadyTime();
      RunGuarded("tick", [this, now] { m_peers.Tick(now); });
      RunGuarded("tick", [this, now] { m_replica.Tick(now); });
      FlushLog();
      ArmTick();
      if (m_on_stopped) {
        ContinueStop(now);
      }
    }
  });
}

auto DiskHost::OnRetirement(const StoredObject& object) -> void {
  if (object.m_name != m_settings.m_host.value() ||
      m_answered_version > ResourceVersion(0)) {
    return;
  }
  m_answered_version = object.m_version;
  if (m_replica.turns() == 0) {
    AnswerRetirement(object.m_name);
    return;
  }
  m_entry.m_leaving = true;
  Register();
  m_store.SetRetirementStatus(object.m_name, false,
                              [](const Result<StoredObject>& stored) {
                                LogRetirementStatus("draining", stored);
                              });
  m_replica.Drain([this, name = object.m_name] { AnswerRetirement(name); });
}

auto DiskHost::AnswerRetirement(const std::string& name) -> void {
  m_entry.m_leaving = true;
  m_entry.m_drained = true;
  Register();
  m_store.SetRetirementStatus(name, true,
                              [this](const Result<StoredObject>& stored) {
                                LogRetirementStatus("drained", stored);
                                if (!stored) {
                                  m_answered_version = ResourceVersion(0);
                                  m_watcher->Refresh();
                                }
                              });
}

}  // namespace dotterelshed
