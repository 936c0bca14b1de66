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
#include "view_server.h"

/// @file
/// Keeps up with one kind of objects in the platform's store: lists it once,
/// then watches, and lists again when the history it needs is gone. A host that
/// knows of a reader asks that one instead: one host of a failure domain then
/// reads for all. It goes back to the store when the reader doesn't answer or
/// can't show that its view is young enough.

namespace dotterelshed {

struct WatcherOptions {
  ObjectKind m_kind = ObjectKind::kConfig;
  /// The view is complete again within this time of any trouble of the store
  /// or of the connection to it.
  Duration m_max_age = std::chrono::seconds(3);
  /// Pause after a change, so that those which follow come in one call.
  Duration m_batch_delay = std::chrono::milliseconds(250);
};

struct WatcherHandlers {
  /// A complete listing; replaces what was known.
  std::function<void(const ObjectListing&)> m_on_listing;
  std::function<void(const ObjectChanges&)> m_on_changes;
  /// The store stopped answering, or answers again; may be empty.
  std::function<void(bool)> m_on_reachable = {};
  /// Time for which missing entries may still come back; may be empty.
  std::function<Duration()> m_hold_left = {};
  /// The same, as the reader says; may be empty.
  std::function<void(Duration)> m_on_hold = {};
};

/// The host that reads the store for this one.
struct ViewReader {
  ConnectionPool& m_peers;
  /// Its peer address; empty to read the store directly.
  std::function<std::string()> m_address;
};

/// Handlers for a kind whose objects are replaced but never taken back: each
/// one goes to @p take, whether listed or changed.
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
  /// Ends the following; no handler runs any more.
  auto Stop() -> void;
  /// Lists at once instead of waiting for a change.
  auto Refresh() -> void;
  /// Answers another host's question, now or when there is news. Errors:
  /// kUnavailable while this host doesn't read the store itself.
  auto HandleRequest(const ViewRequest& request,
                     ViewServer::ResponseCallback respond) -> void;
  /// Answers the questions whose time is over; call several times a second.
  auto Tick(TimePoint now) -> void;
  /// True once a listing has arrived.
  auto listed() const -> bool { return m_listed; }
  auto kind() const -> ObjectKind { return m_options.m_kind; }
  /// When an answer last showed that the view is complete.
  auto confirmed_at() const -> TimePoint { return m_confirmed_at; }
  /// When the last call that failed was sent.
  auto failed_call_sent() const -> TimePoint { return m_failed_call_sent; }
  /// Time since an answer last showed that the view is complete; before the
  /// first one, since construction.
  auto Age(TimePoint now) const -> Duration { return now - m_confirmed_at; }

 private:
  auto StartNextCall() -> void;
  auto List() -> void;
  auto Watch() -> void;
  auto WatchTimeout() const -> Duration;
  auto RequestFromReader(const std::string& address) -> void;
  auto OnReaderResponse(const Result<ViewResponse>& answer) -> void;
  auto ApplyResponse(const ViewResponse& answer) -> void;
  auto CurrentState() const -> ViewResponse;
  auto OnListing(const Result<ObjectListing>& listing) -> void;
  auto OnChanges(const Result<ObjectChanges>& changes) -> void;
  auto OnFailure(const Error& error) -> void;
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
  /// When the call under way was sent.
  TimePoint m_call_sent_at;
  TimePoint m_failed_call_sent;
  /// Until when the store is read directly, since the reader failed.
  TimePoint m_direct_until;
  Duration m_backoff{0};
  /// Counts calls, so that a late answer to an abandoned one is ignored.
  int m_call_number = 0;
  bool m_listed = false;
  /// The last answer came from the store, not from a reader.
  bool m_from_store = false;
  bool m_reachable = true;
};

}  // namespace dotterelshed

#endif  // DOTTERELSHED_OBJECT_WATCHER_H_
