#ifndef DOTTERELSHED_OBJECT_WATCHER_H_
#define DOTTERELSHED_OBJECT_WATCHER_H_

#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "connection_pool.h"
#include "dotterelshed/byte_stream.h"
#include "dotterelshed/units.h"
#include "platform/object_store.h"
#include "view/view_server.h"

/// @file
/// Follows one kind of objects in the platform's store: lists them once, then
/// watches for changes, and lists again when the store no longer has the
/// history for the watch. If a reader is set, the host requests the view from
/// that host instead, so that one host of a failure domain reads the store for
/// all. It returns to the store if the reader does not respond or its view is
/// too old, and moves on as soon as another host becomes the reader.

namespace dotterelshed {

struct WatcherOptions {
  ObjectKind m_kind = ObjectKind::kConfig;
  /// The view is complete again within this time after any failure of the store
  /// or of the connection to it.
  Duration m_max_age = std::chrono::seconds(3);
  /// While the store serves this host, a change is known within this time, even
  /// if the store is silent to the reader alone.
  Duration m_max_change_delay = std::chrono::hours(1);
  /// Pause after a change, so that the following changes are fetched in one
  /// call.
  Duration m_batch_delay = std::chrono::milliseconds(250);
  /// A reader responds within this time, with or without a change.
  Duration m_reader_wait = std::chrono::milliseconds(700);
};

struct WatcherHandlers {
  /// Called with a complete listing, which replaces all known objects.
  std::function<void(const ObjectListing&)> m_on_listing;
  std::function<void(const ObjectChanges&)> m_on_changes;
  /// Adds what this host says of itself to a request to the reader; may be
  /// empty.
  std::function<void(ViewRequest&)> m_describe_host = {};
  /// Called when the store becomes unreachable or reachable; may be empty.
  std::function<void(bool)> m_on_reachable = {};
  /// Returns the remaining time in which vanished entries are kept, since they
  /// may be listed again; may be empty.
  std::function<Duration()> m_hold_left = {};
  /// Called with that time as reported by the reader; may be empty.
  std::function<void(Duration)> m_on_hold = {};
  /// Returns the number of changes of endpoints' limits; may be empty.
  std::function<std::int64_t()> m_limit_changes = {};
  /// Called with that number as reported by the reader; may be empty.
  std::function<void(std::int64_t)> m_on_limit_changes = {};
};

/// Host that reads the store on behalf of this one.
struct ViewReader {
  ConnectionPool& m_peers;
  /// Returns its peer address; empty to read the store directly.
  std::function<std::string()> m_address;
};

/// Returns handlers for a kind whose objects are replaced but never removed:
/// each listed or changed object is passed to @p take.
auto HandleEachObject(const std::function<void(const StoredObject&)>& take)
    -> WatcherHandlers;

class ObjectWatcher : public std::enable_shared_from_this<ObjectWatcher> {
 public:
  ObjectWatcher(EventLoop& loop,
                ObjectStore& store,
                const WatcherOptions& options,
                WatcherHandlers handlers,
                std::optional<ViewReader> reader = std::nullopt);

  auto Start() -> void;
  /// Stops watching; no handler runs afterwards.
  auto Stop() -> void;
  /// Lists immediately instead of waiting for a change.
  auto Refresh() -> void;
  /// Responds to another host's request at once, when the objects change or
  /// when a listing in progress arrives.
  /// Errors: kUnavailable while this host does not read the store itself.
  auto HandleRequest(const ViewRequest& request,
                     ViewServer::ResponseCallback respond) -> void;
  /// Responds to requests whose wait is over, and follows a change of the
  /// reader; call several times per second.
  auto Tick(TimePoint now) -> void;
  /// Returns true once a listing was received.
  auto listed() const -> bool { return m_listed; }
  auto kind() const -> ObjectKind { return m_options.m_kind; }
  /// Time at which a response last confirmed that the view is complete.
  auto confirmed_at() const -> TimePoint { return m_confirmed_at; }
  /// Time at which the last failed call was sent.
  auto failed_call_sent() const -> TimePoint { return m_failed_call_sent; }
  /// Time since which the reader has failed while the store can be read; empty
  /// while either is not the case.
  auto reader_failed_since() const -> std::optional<TimePoint> {
    return m_reader_failed_since;
  }
  /// Time since a response last confirmed that the view is complete; before the
  /// first one, since construction.
  auto Age(TimePoint now) const -> Duration { return now - m_confirmed_at; }

 private:
  auto StartNextCall() -> void;
  auto List() -> void;
  auto Watch() -> void;
  auto WatchTimeout() const -> Duration;
  /// Age up to which a view that comes through a reader is used.
  auto MaxReaderAge() const -> Duration;
  /// Returns the peer address of the reader; empty if this host reads itself.
  auto ReaderAddress() const -> std::string;
  /// Stops serving the view, which no longer comes from the store.
  auto LeaveStore() -> void;
  auto RequestFromReader(const std::string& address) -> void;
  auto OnReaderResponse(const Result<ViewResponse>& response) -> void;
  auto ApplyResponse(const ViewResponse& response) -> void;
  auto CurrentState() const -> ViewResponse;
  auto OnListing(const Result<ObjectListing>& listing) -> void;
  auto OnChanges(const Result<ObjectChanges>& changes) -> void;
  auto OnFailure(const Error& error) -> void;
  /// Moves on to the host that is the reader now.
  auto OnReaderChanged() -> void;
  auto ScheduleRetry() -> void;
  /// Tries the store or the reader again after the store has failed.
  auto RetryAfterFailure() -> void;
  /// Interval between calls of a failing store by a host with a reader.
  auto OutageListInterval() const -> Duration;
  auto Confirm(TimePoint shown_at) -> void;
  auto SetReachable(bool reachable) -> void;
  auto Schedule(Duration wait, void (ObjectWatcher::*step)()) -> void;

  EventLoop& m_loop;
  ObjectStore& m_store;
  WatcherOptions m_options;
  WatcherHandlers m_handlers;
  std::optional<ViewReader> m_reader;
  ViewServer m_server;
  boost::asio::steady_timer m_timer;
  /// Version up to which the view is complete.
  ResourceVersion m_version;
  TimePoint m_confirmed_at;
  /// Time at which the current call was sent.
  TimePoint m_call_sent_at;
  TimePoint m_failed_call_sent;
  /// Reader that the current call was sent to; empty for a call of the store.
  std::string m_called_reader;
  /// Reader that failed last. Until m_direct_until the store is read directly
  /// instead.
  std::string m_failed_reader;
  TimePoint m_direct_until;
  std::optional<TimePoint> m_reader_failed_since;
  Duration m_backoff{0};
  /// Number of the current call; responses to earlier calls are ignored.
  int m_call_number = 0;
  bool m_listed = false;
  /// The current call is a listing of the store.
  bool m_listing = false;
  /// The current view comes from the store and not from a reader.
  bool m_from_store = false;
  bool m_reachable = true;
};

}  // namespace dotterelshed

#endif  // DOTTERELSHED_OBJECT_WATCHER_H_
