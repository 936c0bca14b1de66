#include "view/object_watcher.h"

#include <algorithm>
#include <utility>

#include "dotterelshed/log_events.h"
#include "dotterelshed/steady_time.h"
#include "peer_call.h"

namespace dotterelshed {

namespace {

/// Part of the maximum age reserved for a listing after a lost watch.
constexpr Duration kListTime = std::chrono::milliseconds(400);
/// Added to the time that a reader may wait for a change.
constexpr Duration kReaderMargin = std::chrono::milliseconds(300);
/// Time from a decision on the last view that may be used to the arrival of the
/// request that it was made for.
constexpr Duration kUseTime = std::chrono::milliseconds(200);
/// Time that a reader's response takes at most.
constexpr Duration kResponseTime = std::chrono::milliseconds(200);
/// A reader's own watch ends this much before its view is too old for others.
constexpr Duration kWatchMargin = std::chrono::milliseconds(100);
/// Minimum duration of a watch; one that ends at once would cause a call per
/// round trip.
constexpr Duration kMinWatchTime = std::chrono::milliseconds(200);
/// Timeout of a reader for a host that has no view yet. The reader need not
/// wait for a change, and the store can be read instead.
constexpr Duration kFirstViewTimeout = std::chrono::milliseconds(300);
/// After a failure of the reader, the store is read directly for this time.
constexpr Duration kDirectReadTime = std::chrono::milliseconds(2000);
/// While the store fails, a host with a reader calls the store at this interval
/// at most; its reader calls it more often.
constexpr Duration kMaxOutageListInterval = std::chrono::milliseconds(2000);
constexpr Duration kFirstBackoff = std::chrono::milliseconds(150);
constexpr Duration kMaxBackoff = std::chrono::milliseconds(1000);

/// Returns the changes that a partial response reports.
auto ToChanges(const ViewResponse& response) -> ObjectChanges {
  const auto objects = response.m_objects.value_or(std::vector<StoredObject>());
  ObjectChanges changes{.m_store_version = response.m_version};
  changes.m_changes.reserve(objects.size() + response.m_removed.size());
  for (const auto& object : objects) {
    changes.m_changes.push_back({.m_object = object});
  }
  for (const auto& name : response.m_removed) {
    changes.m_changes.push_back(
        {.m_object = {.m_name = name}, .m_removed = true});
  }
  return changes;
}

auto ReasonToLeave(const Result<ViewResponse>& response, bool complete)
    -> std::string {
  if (!response) {
    return response.error().m_message;
  }
  return complete ? "stale" : "no objects";
}

}  // namespace

auto HandleEachObject(const std::function<void(const StoredObject&)>& take)
    -> WatcherHandlers {
  return {.m_on_listing =
              [take](const ObjectListing& listing) {
                for (const auto& object : listing.m_objects) {
                  take(object);
                }
              },
          .m_on_changes =
              [take](const ObjectChanges& changes) {
                for (const auto& change : changes.m_changes) {
                  if (!change.m_removed) {
                    take(change.m_object);
                  }
                }
              },
          .m_on_reachable = {}};
}

ObjectWatcher::ObjectWatcher(EventLoop& loop,
                             ObjectStore& store,
                             const WatcherOptions& options,
                             WatcherHandlers handlers,
                             std::optional<ViewReader> reader)
    : m_loop(loop),
      m_store(store),
      m_options(options),
      m_handlers(std::move(handlers)),
      m_reader(std::move(reader)),
      m_timer(loop),
      m_confirmed_at(SteadyTime()) {}

auto ObjectWatcher::Start() -> void {
  StartNextCall();
}

auto ObjectWatcher::Stop() -> void {
  ++m_call_number;
  m_timer.cancel();
}

auto ObjectWatcher::Refresh() -> void {
  m_timer.cancel();
  List();
}

auto ObjectWatcher::Schedule(Duration wait, void (ObjectWatcher::*step)())
    -> void {
  m_timer.expires_after(wait);
  m_timer.async_wait(
      [weak = weak_from_this(), step,
       call_number = m_call_number](const boost::system::error_code& error) {
        const auto self = weak.lock();
        if (!error && self && call_number == self->m_call_number) {
          ((*self).*step)();
        }
      });
}

auto ObjectWatcher::ReaderAddress() const -> std::string {
  return m_reader ? m_reader->m_address() : std::string();
}

auto ObjectWatcher::StartNextCall() -> void {
  const auto address = ReaderAddress();
  const auto failing =
      address == m_failed_reader && SteadyTime() < m_direct_until;
  if (!address.empty() && !failing) {
    RequestFromReader(address);
  } else if (m_from_store) {
    Watch();
  } else {
    List();
  }
}

auto ObjectWatcher::List() -> void {
  m_call_sent_at = SteadyTime();
  m_called_reader.clear();
  m_listing = true;
  m_store.List(m_options.m_kind,
               [weak = weak_from_this(), call_number = ++m_call_number](
                   const Result<ObjectListing>& listing) {
                 const auto self = weak.lock();
                 if (self && call_number == self->m_call_number) {
                   self->OnListing(listing);
                 }
               });
}

/// The store can drop a watch silently, and a connection can hang; both look
/// like the absence of changes. Therefore a watch ends early enough for a new
/// listing within the maximum age.
auto ObjectWatcher::WatchTimeout() const -> Duration {
  const auto longest = std::min(
      m_options.m_max_age - m_store.options().m_call_timeout - kListTime,
      MaxReaderAge() - kWatchMargin);
  return std::max(longest - Age(SteadyTime()), kMinWatchTime);
}

/// The store may be silent to the reader alone, which notices only at the end
/// of its watch. A host that uses the reader's view must then have read the
/// store itself before a change is due.
auto ObjectWatcher::MaxReaderAge() const -> Duration {
  const auto oldest =
      m_options.m_max_change_delay - kListTime - kUseTime - kResponseTime;
  return std::min(m_options.m_max_age - kListTime, oldest);
}

auto ObjectWatcher::Watch() -> void {
  m_call_sent_at = SteadyTime();
  m_called_reader.clear();
  m_store.Watch(m_options.m_kind, m_version, WatchTimeout(),
                [weak = weak_from_this(), call_number = ++m_call_number](
                    const Result<ObjectChanges>& changes) {
                  const auto self = weak.lock();
                  if (self && call_number == self->m_call_number) {
                    self->OnChanges(changes);
                  }
                });
}

auto ObjectWatcher::OnListing(const Result<ObjectListing>& listing) -> void {
  m_listing = false;
  if (!listing) {
    OnFailure(listing.error());
    return;
  }
  SetReachable(true);
  m_listed = true;
  m_from_store = true;
  m_version = listing->m_store_version;
  m_handlers.m_on_listing(*listing);
  Confirm(m_call_sent_at);
  m_server.Replace(listing->m_objects, m_version);
  m_server.RespondToAll(CurrentState());
  StartNextCall();
}

auto ObjectWatcher::OnChanges(const Result<ObjectChanges>& changes) -> void {
  if (!changes) {
    OnFailure(changes.error());
    return;
  }
  SetReachable(true);
  m_version = std::max(m_version, changes->m_store_version);
  if (changes->m_changes.empty()) {
    Confirm(SteadyTime());
    m_server.RespondToAll(CurrentState());
    StartNextCall();
    return;
  }
  m_handlers.m_on_changes(*changes);
  Confirm(SteadyTime());
  m_server.Apply(*changes);
  m_server.RespondToAll(CurrentState());
  Schedule(m_options.m_batch_delay, &ObjectWatcher::StartNextCall);
}

auto ObjectWatcher::OnFailure(const Error& error) -> void {
  if (error.m_code == ErrorCode::kGone) {
    // Only the history is gone and the store is reachable; a listing returns
    // the changes.
    m_listed = false;
    List();
    return;
  }
  const auto now = SteadyTime();
  if (m_reachable) {
    LogEvent(LogEventId::kPlatformLost,
             {{"kind", std::string(KindName(m_options.m_kind))},
              {"code", std::string(ToString(error.m_code))},
              {"reason", error.m_message},
              {"waited_ms", FormatMs(now - m_call_sent_at)},
              {"view_ms", FormatMs(Age(now))}});
  }
  m_failed_call_sent = m_call_sent_at;
  m_server.FailAll(error);
  SetReachable(false);
  ScheduleRetry();
}

auto ObjectWatcher::ScheduleRetry() -> void {
  m_backoff = std::clamp(m_backoff * 2, kFirstBackoff, kMaxBackoff);
  Schedule(m_backoff, &ObjectWatcher::RetryAfterFailure);
}

auto ObjectWatcher::OutageListInterval() const -> Duration {
  return std::min(
      m_options.m_max_age - m_store.options().m_call_timeout - kListTime,
      kMaxOutageListInterval);
}

auto ObjectWatcher::RetryAfterFailure() -> void {
  const auto address = ReaderAddress();
  const auto list_due =
      SteadyTime() - m_failed_call_sent >= OutageListInterval();
  if (!address.empty() && !list_due) {
    RequestFromReader(address);
    return;
  }
  // A listing returns as soon as the store is back, while a watch would not
  // return until the next change.
  List();
}

// Reading through another host.

auto ObjectWatcher::LeaveStore() -> void {
  m_from_store = false;
  m_listing = false;
  m_server.Reset({ErrorCode::kUnavailable,
                  "this host now reads through another host", ""});
}

auto ObjectWatcher::RequestFromReader(const std::string& address) -> void {
  m_call_sent_at = SteadyTime();
  m_called_reader = address;
  const auto until_too_old =
      MaxReaderAge() + kResponseTime - Age(m_call_sent_at);
  const auto longest =
      m_listed ? m_options.m_reader_wait + kReaderMargin : kFirstViewTimeout;
  const auto timeout = std::clamp(until_too_old, kResponseTime, longest);
  // In an outage, all objects are requested so that the reader doesn't wait for
  // a change.
  const auto known = m_reachable ? m_version : ResourceVersion(0);
  LeaveStore();
  ViewRequest request{.m_kind = m_options.m_kind,
                      .m_version = known,
                      .m_accepts_partial = m_listed && m_reachable};
  if (m_handlers.m_describe_host) {
    m_handlers.m_describe_host(request);
  }
  CallPeer(m_loop, m_reader->m_peers, address, kViewPath,
           EncodeViewRequest(request), timeout,
           [weak = weak_from_this(),
            call_number = ++m_call_number](const Result<std::string>& reply) {
             const auto self = weak.lock();
             if (self && call_number == self->m_call_number) {
               self->OnReaderResponse(reply.and_then(DecodeViewResponse));
             }
           });
}

auto ObjectWatcher::OnReaderResponse(const Result<ViewResponse>& response)
    -> void {
  // A host without a view needs all objects.
  const auto whole = response && response->m_objects && !response->m_partial;
  const auto complete = response && (m_listed || whole);
  const auto newest = complete && response->m_version >= m_version;
  if (!m_reachable && !(newest && response->m_age < MaxReaderAge())) {
    ScheduleRetry();
    return;
  }
  if (newest) {
    ApplyResponse(*response);
  }
  const auto now = SteadyTime();
  const auto young = Age(now) < MaxReaderAge();
  if (complete && young) {
    m_reader_failed_since.reset();
    StartNextCall();
    return;
  }
  LogEvent(LogEventId::kReaderLeft,
           {{"kind", std::string(KindName(m_options.m_kind))},
            {"reason", ReasonToLeave(response, complete)},
            {"view_ms", FormatMs(Age(now))}});
  if (m_called_reader != m_failed_reader || !m_reader_failed_since) {
    m_reader_failed_since = now;
  }
  m_failed_reader = m_called_reader;
  m_direct_until = now + kDirectReadTime;
  if (young) {
    // Another host may be the reader by now.
    StartNextCall();
  } else {
    List();
  }
}

auto ObjectWatcher::ApplyResponse(const ViewResponse& response) -> void {
  SetReachable(true);
  m_version = response.m_version;
  m_listed = true;
  if (m_handlers.m_on_hold) {
    m_handlers.m_on_hold(response.m_hold);
  }
  if (m_handlers.m_on_limit_changes) {
    m_handlers.m_on_limit_changes(response.m_limit_changes);
  }
  if (response.m_partial) {
    m_handlers.m_on_changes(ToChanges(response));
  } else if (response.m_objects) {
    m_handlers.m_on_listing(
        {.m_objects = *response.m_objects, .m_store_version = m_version});
  }
  Confirm(SteadyTime() - response.m_age);
}

auto ObjectWatcher::HandleRequest(const ViewRequest& request,
                                  ViewServer::ResponseCallback respond)
    -> void {
  if (!(m_from_store || m_listing) || !m_reachable) {
    respond(Fail(ErrorCode::kUnavailable, "this host does not read the store",
                 std::string(KindName(m_options.m_kind))));
    return;
  }
  // Other hosts must learn in time that this view gets too old for them.
  const auto respond_by = std::min(SteadyTime() + m_options.m_reader_wait,
                                   m_confirmed_at + MaxReaderAge());
  m_server.AddRequest(request, CurrentState(), respond_by, std::move(respond));
}

auto ObjectWatcher::OnReaderChanged() -> void {
  if (m_reachable) {
    StartNextCall();
  } else {
    // Readers may replace each other faster than the store is due again.
    RetryAfterFailure();
  }
}

auto ObjectWatcher::Tick(TimePoint now) -> void {
  if (!m_called_reader.empty() && m_called_reader != ReaderAddress()) {
    OnReaderChanged();
  }
  // Before the first listing there are no objects to respond with.
  if (m_from_store) {
    m_server.RespondToDue(CurrentState(), now);
  }
}

auto ObjectWatcher::CurrentState() const -> ViewResponse {
  return {
      .m_version = m_version,
      .m_age = Age(SteadyTime()),
      .m_hold = m_handlers.m_hold_left ? m_handlers.m_hold_left() : Duration{0},
      .m_limit_changes = m_handlers.m_limit_changes
                             ? m_handlers.m_limit_changes()
                             : std::int64_t{0}};
}

auto ObjectWatcher::Confirm(TimePoint shown_at) -> void {
  m_confirmed_at = std::max(m_confirmed_at, shown_at);
}

auto ObjectWatcher::SetReachable(bool reachable) -> void {
  if (reachable) {
    m_backoff = Duration{0};
  } else {
    m_reader_failed_since.reset();
  }
  if (m_reachable == reachable) {
    return;
  }
  m_reachable = reachable;
  if (reachable) {
    LogEvent(LogEventId::kPlatformBack,
             {{"kind", std::string(KindName(m_options.m_kind))},
              {"view_ms", FormatMs(Age(SteadyTime()))}});
  }
  if (m_handlers.m_on_reachable) {
    m_handlers.m_on_reachable(reachable);
  }
}

}  // namespace dotterelshed
