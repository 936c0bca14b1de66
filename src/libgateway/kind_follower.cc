#include "kind_follower.h"

#include <algorithm>
#include <utility>

#include "dotterelshed/log_events.h"
#include "dotterelshed/steady_time.h"

namespace dotterelshed {

namespace {

/// Part of the greatest age that is left for a listing after a lost watch.
constexpr Duration kListingTime = std::chrono::milliseconds(400);
constexpr Duration kFirstBackoff = std::chrono::milliseconds(150);
constexpr Duration kMaxBackoff = std::chrono::milliseconds(1000);

}  // namespace

auto TakeEachObject(const std::function<void(const StoredObject&)>& take)
    -> FollowerHandlers {
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

KindFollower::KindFollower(EventLoop& loop,
                           ObjectStore& store,
                           const FollowerOptions& options,
                           FollowerHandlers handlers)
    : m_store(store),
      m_options(options),
      m_handlers(std::move(handlers)),
      m_timer(loop),
      m_confirmed_at(SteadyTime()) {}

auto KindFollower::Start() -> void {
  List();
}

auto KindFollower::Stop() -> void {
  m_stopped = true;
  ++m_round;
  m_timer.cancel();
}

auto KindFollower::Refresh() -> void {
  m_timer.cancel();
  List();
}

auto KindFollower::After(Duration wait, void (KindFollower::*step)()) -> void {
  m_timer.expires_after(wait);
  m_timer.async_wait([weak = weak_from_this(), step,
                      round = m_round](const boost::system::error_code& error) {
    const auto self = weak.lock();
    if (!error && self && round == self->m_round) {
      ((*self).*step)();
    }
  });
}

auto KindFollower::List() -> void {
  m_called_at = SteadyTime();
  m_store.List(m_options.m_kind, [weak = weak_from_this(), round = ++m_round](
                                     const Result<ObjectListing>& listing) {
    const auto self = weak.lock();
    if (self && round == self->m_round) {
      self->OnListing(listing);
    }
  });
}

/// The store can forget a watch without a word, and a connection can go silent:
/// both look as if nothing changed. So a watch ends early enough for a new
/// listing within the greatest age.
auto KindFollower::WatchWait() const -> Duration {
  return m_options.m_max_age - m_store.options().m_call_timeout - kListingTime;
}

auto KindFollower::Watch() -> void {
  m_called_at = SteadyTime();
  m_store.Watch(m_options.m_kind, m_version, WatchWait(),
                [weak = weak_from_this(),
                 round = ++m_round](const Result<ObjectChanges>& changes) {
                  const auto self = weak.lock();
                  if (self && round == self->m_round) {
                    self->OnChanges(changes);
                  }
                });
}

auto KindFollower::OnListing(const Result<ObjectListing>& listing) -> void {
  if (!listing) {
    OnFailure(listing.error());
    return;
  }
  SetReachable(true);
  m_listed = true;
  m_version = listing->m_store_version;
  m_handlers.m_on_listing(*listing);
  Confirm(m_called_at);
  Watch();
}

auto KindFollower::OnChanges(const Result<ObjectChanges>& changes) -> void {
  if (!changes) {
    OnFailure(changes.error());
    return;
  }
  SetReachable(true);
  m_version = std::max(m_version, changes->m_store_version);
  if (changes->m_changes.empty()) {
    Confirm(SteadyTime());
    Watch();
    return;
  }
  m_handlers.m_on_changes(*changes);
  Confirm(SteadyTime());
  After(m_options.m_join_time, &KindFollower::Watch);
}

auto KindFollower::OnFailure(const Error& error) -> void {
  if (error.m_code == ErrorCode::kGone) {
    // The history was dropped, not the store: the listing shows what changed.
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
              {"waited_ms", FormatMs(now - m_called_at)},
              {"view_ms", FormatMs(Age(now))}});
  }
  m_failed_call_sent = m_called_at;
  SetReachable(false);
  m_backoff = std::clamp(m_backoff * 2, kFirstBackoff, kMaxBackoff);
  // A listing shows at once when the store is back; a watch would stay silent
  // until the next change.
  After(m_backoff, &KindFollower::List);
}

auto KindFollower::Confirm(TimePoint shown_at) -> void {
  m_confirmed_at = std::max(m_confirmed_at, shown_at);
}

auto KindFollower::SetReachable(bool reachable) -> void {
  if (reachable) {
    m_backoff = Duration{0};
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
