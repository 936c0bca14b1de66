#include "kind_follower.h"

#include <algorithm>
#include <utility>

#include "dotterelshed/log_events.h"
#include "dotterelshed/steady_time.h"
#include "peer_call.h"

namespace dotterelshed {

namespace {

/// Part of the greatest age that is left for a listing after a lost watch.
constexpr Duration kListingTime = std::chrono::milliseconds(400);
/// A reader answers within this time, news or none. An endpoint that leaves
/// must be out of use within two seconds also if the reader freezes meanwhile.
constexpr Duration kReaderAnswerTime = std::chrono::milliseconds(700);
constexpr Duration kReaderTimeout = std::chrono::milliseconds(1000);
/// A watch that ends at once would cost a call each round trip.
constexpr Duration kLeastWatchWait = std::chrono::milliseconds(200);
/// A reader that failed isn't asked again for this time.
constexpr Duration kDirectTime = std::chrono::milliseconds(2000);
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
                           FollowerHandlers handlers,
                           std::optional<ViewReader> reader)
    : m_loop(loop),
      m_store(store),
      m_options(options),
      m_handlers(std::move(handlers)),
      m_reader(std::move(reader)),
      m_timer(loop),
      m_confirmed_at(SteadyTime()) {}

auto KindFollower::Start() -> void {
  List();
}

auto KindFollower::Stop() -> void {
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

auto KindFollower::Next() -> void {
  const auto address = m_reader ? m_reader->m_address() : std::string();
  if (!address.empty() && SteadyTime() >= m_direct_until) {
    AskReader(address);
  } else if (m_from_store) {
    Watch();
  } else {
    List();
  }
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
  const auto longest =
      m_options.m_max_age - m_store.options().m_call_timeout - kListingTime;
  return std::max(longest - Age(SteadyTime()), kLeastWatchWait);
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
  m_from_store = true;
  m_version = listing->m_store_version;
  m_handlers.m_on_listing(*listing);
  Confirm(m_called_at);
  m_relay.Replace(listing->m_objects, m_version);
  m_relay.Tell(State());
  Next();
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
    m_relay.Tell(State());
    Next();
    return;
  }
  m_handlers.m_on_changes(*changes);
  Confirm(SteadyTime());
  m_relay.Apply(*changes);
  m_relay.Tell(State());
  After(m_options.m_join_time, &KindFollower::Next);
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
  m_relay.Drop(error);
  SetReachable(false);
  m_backoff = std::clamp(m_backoff * 2, kFirstBackoff, kMaxBackoff);
  // A listing shows at once when the store is back; a watch would stay silent
  // until the next change.
  After(m_backoff, &KindFollower::List);
}

// The reader.

auto KindFollower::AskReader(const std::string& address) -> void {
  m_called_at = SteadyTime();
  if (std::exchange(m_from_store, false)) {
    m_relay.Drop({ErrorCode::kUnavailable, "this host asks a reader", ""});
  }
  CallPeer(
      m_loop, m_reader->m_peers, address, kViewPath,
      EncodeViewQuestion({.m_kind = m_options.m_kind, .m_version = m_version}),
      kReaderTimeout,
      [weak = weak_from_this(),
       round = ++m_round](const Result<std::string>& reply) {
        const auto self = weak.lock();
        if (self && round == self->m_round) {
          self->OnReaderAnswer(reply.and_then(DecodeViewAnswer));
        }
      });
}

auto KindFollower::OnReaderAnswer(const Result<ViewAnswer>& answer) -> void {
  if (answer && answer->m_version >= m_version) {
    TakeAnswer(*answer);
  }
  const auto now = SteadyTime();
  const auto young = Age(now) <= m_options.m_max_age - kListingTime;
  if (answer && young) {
    Next();
    return;
  }
  LogEvent(LogEventId::kReaderLeft,
           {{"kind", std::string(KindName(m_options.m_kind))},
            {"reason", answer ? "stale" : answer.error().m_message},
            {"view_ms", FormatMs(Age(now))}});
  m_direct_until = now + kDirectTime;
  List();
}

auto KindFollower::TakeAnswer(const ViewAnswer& answer) -> void {
  SetReachable(true);
  m_version = answer.m_version;
  m_listed = true;
  if (m_handlers.m_on_hold) {
    m_handlers.m_on_hold(answer.m_hold);
  }
  if (answer.m_objects) {
    m_handlers.m_on_listing(
        {.m_objects = *answer.m_objects, .m_store_version = m_version});
  }
  Confirm(SteadyTime() - answer.m_age);
}

auto KindFollower::Answer(const ViewQuestion& question,
                          ViewRelay::Answered answered) -> void {
  if (!m_from_store || !m_reachable) {
    answered(Fail(ErrorCode::kUnavailable, "this host doesn't read the store",
                  std::string(KindName(m_options.m_kind))));
    return;
  }
  m_relay.Ask(question, State(), SteadyTime() + kReaderAnswerTime,
              std::move(answered));
}

auto KindFollower::Tick(TimePoint now) -> void {
  m_relay.TellDue(State(), now);
}

auto KindFollower::State() const -> ViewAnswer {
  return {.m_version = m_version,
          .m_age = Age(SteadyTime()),
          .m_hold =
              m_handlers.m_hold_left ? m_handlers.m_hold_left() : Duration{0}};
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
