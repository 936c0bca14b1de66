#include "history/replica_sync.h"

#include <algorithm>
#include <utility>

#include "dotterelshed/copy_rule.h"
#include "dotterelshed/log_events.h"
#include "dotterelshed/metrics.h"
#include "dotterelshed/steady_time.h"
#include "peer_call.h"

namespace dotterelshed {

namespace {

constexpr Duration kListTimeout = std::chrono::seconds(1);
constexpr Duration kCopyTimeout = std::chrono::seconds(2);
/// Shortest interval between syncs with one other replica.
constexpr Duration kSyncInterval = std::chrono::seconds(1);
/// Interval after a failed sync. A replica that is back has turns that others
/// lack, and lacks some itself, which should not last until the next loss.
constexpr Duration kFailedSyncInterval = std::chrono::milliseconds(300);
/// Part of the interval for each replica, so that many replicas don't make many
/// calls a second.
constexpr Duration kSyncIntervalPerHost = std::chrono::milliseconds(200);
/// A writer sends a turn to all replicas at once; younger turns are not missing
/// yet.
constexpr Duration kSettledAge = std::chrono::milliseconds(1500);
/// Turns that are copied with one call.
constexpr std::size_t kCopyTurns = 64;
/// Replicas of which the whole list is read at the same time. Several have the
/// same turns, which would be copied as often; and a host whose disk was lost
/// has to take new turns meanwhile.
constexpr std::ptrdiff_t kMaxBehind = 2;

}  // namespace

ReplicaSync::ReplicaSync(EventLoop& loop,
                         ConnectionPool& peers,
                         ReplicaDirectory& directory,
                         const TurnIndex& index,
                         ReplicaSyncOptions options)
    : m_loop(loop),
      m_connections(peers),
      m_directory(directory),
      m_index(index),
      m_options(std::move(options)) {}

auto ReplicaSync::Tick(TimePoint now) -> void {
  if (!m_directory.listed()) {
    return;
  }
  auto behind =
      std::count_if(m_peers.begin(), m_peers.end(), [](const auto& item) {
        return item.second.m_busy && !item.second.m_caught_up;
      });
  for (const auto& peer : DuePeers(now)) {
    const auto catches_up = !m_peers[peer.m_host].m_caught_up;
    if (catches_up && behind >= kMaxBehind) {
      continue;
    }
    behind += catches_up ? 1 : 0;
    BeginPass(peer);
  }
}

auto ReplicaSync::DuePeers(TimePoint now) -> std::vector<ReplicaHost> {
  auto due = Others();
  std::erase_if(due, [this, now](const ReplicaHost& peer) {
    const auto& state = m_peers[peer.m_host];
    return state.m_busy || state.m_next_at > now;
  });
  std::stable_sort(due.begin(), due.end(),
                   [this](const ReplicaHost& one, const ReplicaHost& other) {
                     return m_peers[one.m_host].m_failed <
                            m_peers[other.m_host].m_failed;
                   });
  return due;
}

auto ReplicaSync::SyncBeforeLeave(const HostId& leaving, SyncedCallback synced)
    -> void {
  m_directory.MarkLeaving(leaving);
  const auto others = Others();
  const auto peer = std::find_if(
      others.begin(), others.end(),
      [&leaving](const ReplicaHost& host) { return host.m_host == leaving; });
  if (peer == others.end()) {
    synced(false);
    return;
  }
  auto& state = m_peers[leaving];
  state.m_waiting.push_back(std::move(synced));
  if (!state.m_busy) {
    BeginPass(*peer);
  }
}

auto ReplicaSync::Others() const -> std::vector<ReplicaHost> {
  auto others = m_directory.hosts();
  std::erase_if(others, [this](const ReplicaHost& host) {
    return host.m_host == m_options.m_host || host.m_drained;
  });
  return others;
}

auto ReplicaSync::BeginPass(const ReplicaHost& peer) -> void {
  auto& state = m_peers[peer.m_host];
  state.m_busy = true;
  if (!state.m_waiting.empty()) {
    // A pass that began earlier may have left out young turns, and turns that
    // this replica was not responsible for.
    state.m_after = 0;
    state.m_caught_up = false;
    state.m_served = std::exchange(state.m_waiting, {});
  }
  ReadPage(peer);
}

auto ReplicaSync::ReadPage(const ReplicaHost& peer) -> void {
  auto& state = m_peers[peer.m_host];
  const auto min_age = state.m_caught_up ? kSettledAge : Duration{0};
  const auto request =
      EncodeTurnListRequest({.m_incarnation = state.m_incarnation,
                             .m_after = state.m_after,
                             .m_min_age = min_age});
  CallPeer(m_loop, m_connections, peer.m_address, kTurnListPath, request,
           kListTimeout, [this, peer](const Result<std::string>& reply) {
             const auto list = reply.and_then(DecodeTurnListResponse);
             if (list) {
               OnList(peer, *list);
             } else {
               OnFailed(peer, list.error().m_message);
             }
           });
}

auto ReplicaSync::OnList(const ReplicaHost& peer, const TurnListResponse& list)
    -> void {
  CopyTurns(peer, LackingTurns(list), list);
}

auto ReplicaSync::LackingTurns(const TurnListResponse& list) const
    -> std::vector<RequestId> {
  std::vector<RequestId> lacking;
  std::map<ProgramId, bool> responsible;
  for (const auto& listed : list.m_turns) {
    const auto known = m_index.m_turns.contains(listed.m_turn) ||
                       m_index.m_withdrawn.contains(listed.m_turn);
    if (known) {
      continue;
    }
    const auto [own, first] = responsible.try_emplace(listed.m_program, false);
    if (first) {
      own->second = IsResponsible(m_directory.hosts(), m_options.m_host,
                                  listed.m_program, {});
    }
    if (own->second || listed.m_substitutes.contains(m_options.m_host)) {
      lacking.push_back(listed.m_turn);
    }
  }
  return lacking;
}

auto ReplicaSync::CopyTurns(const ReplicaHost& peer,
                            std::vector<RequestId> lacking,
                            const TurnListResponse& list) -> void {
  if (lacking.empty()) {
    OnSynced(peer, list);
    return;
  }
  const auto count = std::min(lacking.size(), kCopyTurns);
  const auto split = lacking.begin() + static_cast<std::ptrdiff_t>(count);
  const std::vector<RequestId> first(lacking.begin(), split);
  const std::vector<RequestId> later(split, lacking.end());
  const auto on_stored = [this, peer, list, later](const Status& status) {
    if (status) {
      CopyTurns(peer, later, list);
    } else {
      OnFailed(peer, status.error().m_message);
    }
  };
  CallPeer(m_loop, m_connections, peer.m_address, kTurnFetchPath,
           EncodeTurnIds(first), kCopyTimeout,
           [this, peer, on_stored](const Result<std::string>& reply) {
             auto records = reply.and_then(DecodeTurnRecords);
             if (!records) {
               OnFailed(peer, records.error().m_message);
               return;
             }
             CountMetric(MetricId::kReplicaCopies, peer.m_domain.value(),
                         static_cast<std::int64_t>(records->size()));
             m_options.m_store_turns(std::move(*records), on_stored);
           });
}

auto ReplicaSync::OnSynced(const ReplicaHost& peer,
                           const TurnListResponse& list) -> void {
  auto& state = m_peers[peer.m_host];
  state.m_incarnation = list.m_incarnation;
  state.m_after = list.m_last_sequence;
  if (list.m_has_more) {
    ReadPage(peer);
    return;
  }
  if (!std::exchange(state.m_caught_up, true)) {
    LogEvent(LogEventId::kReplicaCaughtUp,
             {{"with", peer.m_host.value()},
              {"turns", std::to_string(m_index.m_turns.size())}});
  }
  EndPass(state, true);
}

auto ReplicaSync::OnFailed(const ReplicaHost& peer, const std::string& reason)
    -> void {
  auto& state = m_peers[peer.m_host];
  if (std::exchange(state.m_caught_up, false)) {
    LogEvent(LogEventId::kReplicaBehind,
             {{"with", peer.m_host.value()}, {"reason", reason}});
  }
  EndPass(state, false);
}

auto ReplicaSync::EndPass(PeerState& state, bool synced) -> void {
  const auto hosts = static_cast<std::int64_t>(m_directory.hosts().size());
  state.m_busy = false;
  state.m_failed = synced ? 0 : state.m_failed + 1;
  auto interval = synced ? std::max(kSyncInterval, kSyncIntervalPerHost * hosts)
                         : kFailedSyncInterval;
  if (!state.m_waiting.empty()) {
    interval = Duration{0};
  }
  state.m_next_at = SteadyTime() + interval;
  for (const auto& served : std::exchange(state.m_served, {})) {
    served(synced);
  }
}

}  // namespace dotterelshed
