#include "entry_host.h"

#include <algorithm>
#include <random>
#include <utility>
#include <vector>

#include "dotterelshed/account_labels.h"
#include "dotterelshed/event_loop.h"
#include "dotterelshed/http_status.h"
#include "dotterelshed/log_events.h"
#include "dotterelshed/metrics.h"
#include "dotterelshed/steady_time.h"
#include "judgement/judgement_log.h"
#include "peer_call.h"
#include "platform/call_headers.h"

namespace dotterelshed {

namespace {

constexpr std::string_view kMetricsPath = "/metrics";

/// Resolution of all timeouts without a timer of their own.
constexpr Duration kTick = std::chrono::milliseconds(25);
/// A tick that is later than this follows a pause of the process.
constexpr Duration kMaxTickDelay = std::chrono::milliseconds(200);
/// Added to the longest retention of the routes, so that turns still running at
/// its end are counted.
constexpr Duration kRetentionMargin = std::chrono::seconds(15);
/// Lead entries may be this old, since a host whose claim fails reads the entry
/// again anyway.
constexpr Duration kLeadViewAge = std::chrono::seconds(10);
/// A new lead of another domain is known within this time if the store is
/// silent to the own domain's lead alone. Until then, turns of that domain's
/// accounts are refused.
constexpr Duration kLeadChangeDelay = std::chrono::seconds(3);
/// Upper bound of the random delay that spreads the hosts' retries of a
/// quarantined request.
constexpr Duration kMaxTrialDelay = std::chrono::seconds(5);
/// The platform drops an endpoint's entry after this many missed heartbeats.
constexpr int kMissedHeartbeatsToLapse = 3;
constexpr Duration kLapseMargin = std::chrono::milliseconds(1200);
/// A sweep visits all lost attempts, so it does not run on each tick.
constexpr Duration kCrashSweepInterval = std::chrono::milliseconds(500);
constexpr Duration kLogFlushInterval = std::chrono::milliseconds(100);
constexpr Duration kRetryAfter = std::chrono::milliseconds(300);
/// File descriptors reserved for everything except client connections.
constexpr int kReservedDescriptors = 400;

auto RandomIncarnation() -> Incarnation {
  std::random_device device;
  constexpr auto kShift = 31;
  const auto high = static_cast<std::int64_t>(device() >> 1);
  return Incarnation((high << kShift) | (device() >> 1));
}

/// Numbers of accounts and keys, for logs.
auto DescribeAccounts(const RouteTable& table) -> std::string {
  const auto* accounts = table.m_accounts.get();
  return accounts == nullptr
             ? "none"
             : std::to_string(accounts->m_accounts.size()) + " with " +
                   std::to_string(accounts->m_by_key.size()) + " keys";
}

/// Calls Tick of @p part; an exception of it doesn't keep the others from
/// theirs.
template <typename Part>
auto TickGuarded(Part& part, TimePoint now) -> void {
  RunGuarded("tick", [&part, now] { part.Tick(now); });
}

}  // namespace

EntryHost::EntryHost(EventLoop& loop, const EntrySettings& settings)
    : m_context{.m_loop = loop,
                .m_settings = settings,
                .m_incarnation = RandomIncarnation(),
                .m_store = ObjectStore(
                    loop,
                    {.m_address = CheckedAddress(settings.m_platform_address)}),
                .m_endpoint_connections = ConnectionPool(
                    loop,
                    {.m_trust_announced_end =
                         settings.m_obligations.m_spare_connections}),
                .m_peer_connections = ConnectionPool(loop, {}),
                .m_random = std::mt19937_64(std::random_device()())},
      m_endpoint_view(m_context),
      m_lead(m_context),
      m_election(m_context, m_lead),
      m_grants(m_context, m_lead),
      m_limits(m_context, m_lead),
      m_quota_service(m_context, m_lead),
      m_quotas(m_context, m_lead, m_quota_service),
      m_history(m_context),
      m_stream_origins(m_context, m_history.disk_hosts()),
      m_crash_ledger_sync(m_context),
      m_relay_client(m_context),
      m_relay_service(m_context),
      m_peer_requests(m_context,
                      m_lead,
                      m_quota_service,
                      m_crash_ledger_sync,
                      m_relay_service,
                      [this](ObjectKind kind) -> ObjectWatcher& {
                        return WatcherFor(kind);
                      }),
      m_callers(loop,
                [this](const std::shared_ptr<ServerConnection>& connection,
                       IncomingRequest request) {
                  OnCallerRequest(connection, std::move(request));
                }),
      m_readiness(loop,
                  [this](const std::shared_ptr<ServerConnection>& connection,
                         const IncomingRequest& request) {
                    OnReadinessRequest(connection, request);
                  }),
      m_peers(loop,
              [this](const std::shared_ptr<ServerConnection>& connection,
                     const IncomingRequest& request) {
                OnPeerRequest(connection, request);
              }),
      m_tick_timer(loop) {
  m_context.m_crash_ledger.m_options.m_trial_delay =
      FromSeconds(m_context.RandomFraction() * ToSeconds(kMaxTrialDelay));
  m_context.m_crash_ledger.m_options.m_listing_expiry =
      settings.m_endpoint_heartbeat * kMissedHeartbeatsToLapse + kLapseMargin;
  m_context.m_judgement.m_enabled = settings.m_obligations.m_judge_endpoints;
  ConnectRelays();
  MakeWatchers();
}

auto EntryHost::ConnectRelays() -> void {
  m_context.m_connect_endpoint =
      [this](const EndpointId& endpoint, const std::string& address,
             Duration max_idle, ConnectionPool::AcquireCallback on_acquired) {
        m_relay_client.Acquire(endpoint, address, max_idle,
                               std::move(on_acquired));
      };
  m_context.m_cut_off = [this] { return m_relay_client.cut_off(); };
  m_context.m_can_relay = [this] { return m_relay_service.available(); };
}

auto EntryHost::MakeWatchers() -> void {
  auto& loop = m_context.m_loop;
  const auto max_age = m_context.m_settings.m_view_max_age;
  m_context.m_config_watcher = std::make_shared<ObjectWatcher>(
      loop, m_context.m_store,
      WatcherOptions{
          .m_kind = ObjectKind::kConfig,
          .m_max_age = max_age,
          .m_max_change_delay = ConfigChangeTime(m_context.m_settings)},
      HandleEachObject(
          [this](const StoredObject& object) { ApplyConfig(object); }),
      m_context.MakeViewReader());
  auto handlers = HandleEachObject(
      [this](const StoredObject& object) { m_lead.OnLeadObject(object); });
  // The other views can be read through the lead once it is known.
  handlers.m_on_listing =
      [this, take = handlers.m_on_listing](const ObjectListing& listing) {
        take(listing);
        StartViews();
      };
  handlers.m_on_reachable = [this](bool /*reachable*/) { StartViews(); };
  m_lead_watcher = std::make_shared<ObjectWatcher>(
      loop, m_context.m_store,
      WatcherOptions{.m_kind = ObjectKind::kLeads,
                     .m_max_age = kLeadViewAge,
                     .m_max_change_delay = kLeadChangeDelay},
      std::move(handlers), m_context.MakeViewReader());
}

auto EntryHost::Start() -> Status {
  const auto& settings = m_context.m_settings;
  ApplyLimits();
  for (auto [listener, address] :
       {std::pair(&m_peers, &settings.m_peer_address),
        std::pair(&m_callers, &settings.m_caller_address),
        std::pair(&m_readiness, &settings.m_ready_address)}) {
    auto listening = listener->Listen(CheckedAddress(*address));
    if (!listening) {
      return listening;
    }
  }
  // The system may have chosen the port.
  m_context.m_settings.m_peer_address =
      FormatTcpAddress(m_peers.local_address());
  m_lead_watcher->Start();
  ArmTick();
  LogEvent(LogEventId::kHostStarted,
           {{"domain", settings.m_domain.value()},
            {"incarnation", std::to_string(m_context.m_incarnation.value())},
            {"callers", settings.m_caller_address}});
  return {};
}

auto EntryHost::StartViews() -> void {
  if (!std::exchange(m_views_started, true)) {
    m_context.m_config_watcher->Start();
    m_endpoint_view.Start();
  }
}

// Configuration.

auto EntryHost::ApplyConfig(const StoredObject& object) -> void {
  if (object.m_name != kMainConfig) {
    return;
  }
  const auto& current = m_context.m_routes;
  const auto generation = DecodeGeneration(object);
  if (current && generation && *generation <= current->m_generation) {
    return;
  }
  auto table = DecodeRoutes(object);
  if (!table) {
    LogEvent(LogEventId::kConfigRejected,
             {{"place", table.error().m_place},
              {"reason", table.error().m_message}});
    return;
  }
  LogEvent(LogEventId::kConfigInForce,
           {{"generation", std::to_string(table->m_generation.value())},
            {"routes", std::to_string(table->m_routes.size())},
            {"accounts", DescribeAccounts(*table)}});
  SetMetric(MetricId::kConfigGeneration,
            static_cast<double>(table->m_generation.value()));
  m_lead.SetRetention(LongestRetention(*table) + kRetentionMargin);
  if (KeepsHistory(*table) || HasResumableStreams(*table)) {
    m_history.Start();
  }
  m_lead.SetQuotas(HasQuotas(table->m_accounts.get()));
  m_quota_service.ChangeAccounts(table->m_accounts.get());
  m_context.m_labelled_accounts = table->m_accounts
                                      ? LabelledAccounts(*table->m_accounts)
                                      : std::set<AccountId>();
  m_context.m_routes = std::make_shared<const RouteTable>(std::move(*table));
  ApplyLimits();
}

auto EntryHost::ApplyLimits() -> void {
  ListenerLimits limits;
  if (m_context.m_routes) {
    const auto& stated = m_context.m_routes->m_limits;
    limits.m_parser = {.m_max_header_bytes = stated.m_header_bytes,
                       .m_max_body_bytes = stated.m_body_bytes};
    limits.m_header_timeout = stated.m_header_timeout;
    limits.m_idle_timeout = stated.m_idle_timeout;
  }
  // A connection that is in use at the start of a stop has timed out when the
  // host stops accepting requests.
  limits.m_max_keep_alive =
      std::chrono::floor<std::chrono::seconds>(LameDuckTime());
  const auto spare =
      m_context.m_settings.m_max_descriptors - kReservedDescriptors;
  limits.m_max_connections = static_cast<std::size_t>(std::max(spare / 2, 1));
  m_callers.SetLimits(limits);
}

// Incoming requests.

auto EntryHost::OnCallerRequest(
    const std::shared_ptr<ServerConnection>& connection,
    IncomingRequest request) -> void {
  if (m_stopping && SteadyTime() - m_stop_started_at >= LameDuckTime()) {
    // The rest of the grace period may be too short to serve it, and another
    // host can serve it at once.
    Refuse(connection, request, kStatusUnavailable, "stopping", std::nullopt);
    return;
  }
  if (!m_context.m_routes) {
    Refuse(connection, request, kStatusUnavailable, "no_configuration",
           kRetryAfter);
    return;
  }
  const auto* host = FindField(request.m_head.m_fields, "host");
  const auto* route = host == nullptr ? nullptr
                                      : FindRoute(*m_context.m_routes, *host,
                                                  request.m_head.m_target);
  if (route == nullptr) {
    Refuse(connection, request, kStatusNotFound, "no_route", std::nullopt);
    return;
  }
  auto exchange = std::make_shared<CallExchange>(
      m_context, m_grants, m_limits, m_history, m_stream_origins, m_quotas,
      connection, std::move(request), *route,
      [this](const std::shared_ptr<CallExchange>& ended) {
        m_exchanges.erase(ended);
      });
  m_exchanges.insert(exchange);
  exchange->Start();
}

auto EntryHost::Refuse(const std::shared_ptr<ServerConnection>& connection,
                       const IncomingRequest& request,
                       int status,
                       std::string_view reason,
                       std::optional<Duration> retry_after) -> void {
  HttpFields fields;
  if (retry_after) {
    fields.push_back(MakeRetryAfterField(*retry_after));
  }
  LogEvent(LogEventId::kRequestEnded,
           {{"request", ParseCallHeaders(request.m_head).m_request.value()},
            {"target", request.m_head.m_target},
            {"status", std::to_string(status)},
            {"reason", std::string(reason)}});
  connection->Answer(status, std::move(fields), "");
}

auto EntryHost::ready() const -> bool {
  return !m_stopping && m_context.m_routes &&
         !m_context.m_directory.m_entries.empty() && m_lead_watcher->listed() &&
         !m_relay_client.cut_off() &&
         (!KeepsHistory(*m_context.m_routes) || m_history.available());
}

auto EntryHost::OnReadinessRequest(
    const std::shared_ptr<ServerConnection>& connection,
    const IncomingRequest& request) -> void {
  if (!IsReadinessProbe(request.m_head)) {
    connection->Answer(kStatusNotFound, {}, "");
    return;
  }
  connection->Answer(ready() ? kStatusOk : kStatusUnavailable, {}, "");
}

auto EntryHost::OnPeerRequest(
    const std::shared_ptr<ServerConnection>& connection,
    const IncomingRequest& request) -> void {
  const auto& target = request.m_head.m_target;
  if (target == kMetricsPath) {
    UpdateStateMetrics();
    connection->Answer(kStatusOk,
                       {{"Content-Type", std::string(kMetricsContentType)}},
                       FormatMetrics());
    return;
  }
  m_peer_requests.Handle(connection, request);
}

auto EntryHost::WatcherFor(ObjectKind kind) -> ObjectWatcher& {
  switch (kind) {
    case ObjectKind::kEndpoints:
      return *m_context.m_endpoint_watcher;
    case ObjectKind::kDiskHosts:
      return m_history.watcher();
    case ObjectKind::kLeads:
      return *m_lead_watcher;
    default:
      return *m_context.m_config_watcher;
  }
}

auto EntryHost::UpdateStateMetrics() const -> void {
  const auto now = SteadyTime();
  for (const auto& follower : {m_context.m_config_watcher,
                               m_context.m_endpoint_watcher, m_lead_watcher}) {
    SetMetric(MetricId::kViewAge, ToSeconds(follower->Age(now)),
              KindName(follower->kind()));
  }
  const auto& contents = m_context.m_crash_ledger.m_contents;
  const auto quarantined = std::count_if(
      contents.begin(), contents.end(),
      [](const auto& item) { return item.second.m_quarantine.has_value(); });
  SetMetric(MetricId::kSuspectContents, static_cast<double>(contents.size()),
            "known");
  SetMetric(MetricId::kSuspectContents, static_cast<double>(quarantined),
            "quarantined");
}

// Periodic work.

auto EntryHost::ArmTick() -> void {
  m_tick_timer.expires_after(kTick);
  m_tick_timer.async_wait([this](const boost::system::error_code& error) {
    if (!error) {
      Tick();
    }
  });
}

auto EntryHost::Tick() -> void {
  const auto now = SteadyTime();
  m_context.m_loop_delay = now - m_last_tick - kTick;
  if (WasPaused(now)) {
    ArmTick();
    return;
  }
  ForEachExchange(
      [now](CallExchange& exchange) { TickGuarded(exchange, now); });
  TickGuarded(m_endpoint_view, now);
  TickGuarded(*m_context.m_config_watcher, now);
  TickGuarded(*m_lead_watcher, now);
  TickGuarded(m_context.m_endpoint_connections, now);
  TickGuarded(m_context.m_peer_connections, now);
  TickGuarded(m_callers, now);
  RunGuarded("tick", [this, now] {
    ReportJudgement(
        AdvanceHostJudgement(m_context.m_judgement, m_context.m_directory, now),
        "host");
  });
  TickGuarded(m_lead, now);
  TickGuarded(m_grants, now);
  TickGuarded(m_limits, now);
  TickGuarded(m_quotas, now);
  TickGuarded(m_history, now);
  TickGuarded(m_crash_ledger_sync, now);
  TickGuarded(m_relay_client, now);
  RunGuarded("tick", [this, now] { TickHost(now); });
  if (!m_context.m_loop.stopped()) {
    ArmTick();
  }
}

auto EntryHost::ForEachExchange(const std::function<void(CallExchange&)>& visit)
    -> void {
  const std::vector<std::shared_ptr<CallExchange>> open(m_exchanges.begin(),
                                                        m_exchanges.end());
  for (const auto& exchange : open) {
    visit(*exchange);
  }
}

auto EntryHost::WasPaused(TimePoint now) -> bool {
  const auto late = now - std::exchange(m_last_tick, now) > kMaxTickDelay;
  // A host that is always late must not wait for ever.
  m_was_paused = late && !m_was_paused;
  return m_was_paused;
}

auto EntryHost::TickHost(TimePoint now) -> void {
  if (now - m_last_crash_sweep >= kCrashSweepInterval) {
    m_last_crash_sweep = now;
    m_endpoint_view.ClearListedEndpoints(now);
    ForgetOldContents(m_context.m_crash_ledger, now);
  }
  if (m_stopping) {
    ContinueStop(now);
  } else if (m_lead_watcher->listed()) {
    m_election.Tick(now);
  }
  if (now - m_last_flush >= kLogFlushInterval) {
    m_last_flush = now;
    FlushLog();
  }
}

}  // namespace dotterelshed
