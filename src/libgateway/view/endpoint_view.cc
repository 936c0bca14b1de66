#include "view/endpoint_view.h"

#include <algorithm>
#include <utility>
#include <vector>

#include "dotterelshed/log_events.h"
#include "dotterelshed/steady_time.h"

namespace dotterelshed {

namespace {

/// Endpoints start and stop in groups, so changes are batched. A leaving
/// endpoint must be known within two seconds.
constexpr Duration kBatchDelay = std::chrono::milliseconds(800);
/// The platform drops an entry after three missed heartbeats, the first of
/// which may have been due as an outage of the platform began. So an entry
/// lapses only in an outage of at least this many intervals.
constexpr int kMinHeartbeatsInOutage = 2;
constexpr Duration kLeaveMargin = std::chrono::milliseconds(200);

/// Returns nothing for an invalid entry, and logs it.
auto DecodeOrReject(const StoredObject& object)
    -> std::optional<EndpointEntry> {
  auto entry = DecodeEndpoint(object);
  if (!entry) {
    LogEvent(
        LogEventId::kEndpointRejected,
        {{"endpoint", object.m_name}, {"reason", entry.error().m_message}});
    return std::nullopt;
  }
  return std::move(*entry);
}

/// Returns true if the change shows that the endpoint terminated unexpectedly.
/// The removal of a leaving endpoint is planned and says nothing about its
/// requests.
auto IndicatesEndpointEnd(const EndpointChange& change) -> bool {
  switch (change.m_kind) {
    case EndpointChangeKind::kRestarted:
    case EndpointChangeKind::kExpired:
      return true;
    case EndpointChangeKind::kRemoved:
      return !change.m_was_leaving;
    default:
      return false;
  }
}

}  // namespace

EndpointView::EndpointView(EntryContext& context) : m_context(context) {
  const auto& settings = context.m_settings;
  context.m_directory.m_limits = {
      .m_min_outage = settings.m_endpoint_heartbeat * kMinHeartbeatsInOutage,
      .m_max_grace_period =
          settings.m_view_max_age + settings.m_endpoint_leave - kLeaveMargin};
  m_context.m_endpoint_watcher = std::make_shared<ObjectWatcher>(
      context.m_loop, context.m_store,
      WatcherOptions{.m_kind = ObjectKind::kEndpoints,
                     .m_max_age = context.m_settings.m_view_max_age,
                     .m_max_change_delay = settings.m_endpoint_leave,
                     .m_batch_delay = kBatchDelay},
      WatcherHandlers{
          .m_on_listing =
              [this](const ObjectListing& listing) { ApplyListing(listing); },
          .m_on_changes =
              [this](const ObjectChanges& changes) { ApplyChanges(changes); },
          .m_describe_host =
              [this](ViewRequest& request) {
                request.m_host_address = m_context.m_settings.m_peer_address;
                request.m_can_relay = m_context.m_can_relay();
              },
          .m_on_reachable =
              [this](bool reachable) { OnStoreReachable(reachable); },
          .m_hold_left =
              [this] {
                return GracePeriodLeft(m_context.m_directory, SteadyTime());
              },
          .m_on_hold =
              [this](Duration hold) {
                ExtendGracePeriod(m_context.m_directory, SteadyTime() + hold);
              },
          .m_limit_changes = [this] { return m_context.m_limit_changes; },
          .m_on_limit_changes =
              [this](std::int64_t changes) {
                m_context.m_lead_limit_changes = changes;
              }},
      context.MakeViewReader());
  context.m_refresh_endpoints = [this](std::function<void()> done) {
    Refresh(std::move(done));
  };
  context.m_on_leave_announced = [this](const EndpointId& endpoint) {
    ReportChange(AnnounceLeaving(m_context.m_directory, endpoint, SteadyTime()),
                 "answer");
  };
}

auto EndpointView::Start() -> void {
  m_context.m_endpoint_watcher->Start();
}

auto EndpointView::Tick(TimePoint now) -> void {
  m_context.m_endpoint_watcher->Tick(now);
  for (const auto& change : DropExpiredEndpoints(m_context.m_directory, now)) {
    ReportChange(change, "time");
  }
  EndWaits(now - kMaxListingWait);
}

auto EndpointView::Refresh(std::function<void()> done) -> void {
  const auto now = SteadyTime();
  const auto recent = now - m_refreshed_at < kMaxListingWait;
  if (recent && m_waits.empty()) {
    // The listing that another request asked for has just arrived or failed.
    done();
    return;
  }
  m_waits.push_back({std::move(done), now});
  if (!recent) {
    m_refreshed_at = now;
    m_context.m_endpoint_watcher->Refresh();
  }
}

auto EndpointView::EndWaits(TimePoint time) -> void {
  const auto over = std::partition(
      m_waits.begin(), m_waits.end(),
      [time](const ListingWait& wait) { return wait.m_since > time; });
  const std::vector<ListingWait> ended(over, m_waits.end());
  m_waits.erase(over, m_waits.end());
  for (const auto& wait : ended) {
    wait.m_done();
  }
}

auto EndpointView::ClearListedEndpoints(TimePoint now) -> void {
  const auto& directory = m_context.m_directory;
  const auto shown_at = m_context.m_endpoint_watcher->confirmed_at();
  for (const auto& [id, lost_at] :
       m_context.m_crash_ledger.m_suspect_endpoints) {
    const auto* entry = FindEndpoint(directory, id);
    // An entry without a start time may belong to any start of the endpoint.
    const auto listed = entry != nullptr && entry->m_started_unix_ms != 0 &&
                        !directory.m_expiring.contains(id);
    if (listed) {
      NoteEndpointListed(m_context.m_crash_ledger, id, shown_at, now);
    }
  }
}

auto EndpointView::OnStoreReachable(bool reachable) -> void {
  const auto now = SteadyTime();
  if (reachable && m_context.IsOutage(now)) {
    m_context.m_store_back_at = now;
  }
  m_context.m_store_lost_at = reachable ? std::nullopt : std::optional(now);
  m_context.m_store_reachable = reachable;
  const auto& watcher = *m_context.m_endpoint_watcher;
  if (reachable) {
    NotePlatformRecovered(m_context.m_directory,
                          {.m_last_seen = watcher.confirmed_at(),
                           .m_failed_call_sent = watcher.failed_call_sent(),
                           .m_recovered_at = SteadyTime()});
  }
}

auto EndpointView::ApplyListing(const ObjectListing& listing) -> void {
  std::vector<EndpointEntry> entries;
  for (const auto& object : listing.m_objects) {
    if (auto entry = DecodeOrReject(object)) {
      entries.push_back(std::move(*entry));
    }
  }
  const auto changes =
      ReplaceEndpoints(m_context.m_directory, std::move(entries), SteadyTime());
  for (const auto& change : changes) {
    ReportChange(change, "listing");
  }
  EndWaits(SteadyTime());
}

auto EndpointView::ApplyChanges(const ObjectChanges& changes) -> void {
  const auto now = SteadyTime();
  for (const auto& change : changes.m_changes) {
    ReportChange(ApplyChange(change, now), "watch");
  }
}

auto EndpointView::ApplyChange(const ObjectChange& change, TimePoint now)
    -> EndpointChange {
  auto& directory = m_context.m_directory;
  if (!change.m_removed) {
    if (auto entry = DecodeOrReject(change.m_object)) {
      return PutEndpoint(directory, std::move(*entry));
    }
  }
  return RemoveEndpoint(directory, EndpointId(change.m_object.m_name), now);
}

auto EndpointView::ReportChange(const EndpointChange& change,
                                std::string_view source) -> void {
  if (change.m_kind == EndpointChangeKind::kNone) {
    return;
  }
  if (change.m_kind == EndpointChangeKind::kRestarted) {
    const auto open = m_context.m_loads[change.m_endpoint].m_outstanding;
    m_context.m_loads[change.m_endpoint] = {.m_outstanding = open};
    m_context.m_endpoint_connections.CloseIdle(change.m_old_address);
    ForgetOutcomes(m_context.m_judgement.m_own, change.m_endpoint);
    m_context.m_limits.erase(change.m_endpoint);
  }
  if (IndicatesEndpointEnd(change)) {
    NoteEndpointEnded(m_context.m_crash_ledger, change.m_endpoint,
                      SteadyTime());
  }
  const auto& watcher = *m_context.m_endpoint_watcher;
  std::vector<LogField> fields = {
      {"endpoint", change.m_endpoint.value()},
      {"state", std::string(ToString(change.m_kind))},
      {"source", std::string(source)},
      {"view_ms", FormatMs(watcher.Age(SteadyTime()))}};
  const auto* entry = FindEndpoint(m_context.m_directory, change.m_endpoint);
  if (entry != nullptr) {
    fields.push_back({"service", entry->m_service.value()});
    fields.push_back({"domain", entry->m_domain.value()});
    fields.push_back({"version", std::to_string(entry->m_version.value())});
    fields.push_back({"software", entry->m_software.value()});
  }
  LogEvent(LogEventId::kEndpointChanged, fields);
}

}  // namespace dotterelshed
