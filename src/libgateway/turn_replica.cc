#include "turn_replica.h"

#include <algorithm>
#include <random>
#include <utility>

#include "dotterelshed/http_status.h"
#include "dotterelshed/log_events.h"
#include "dotterelshed/metrics.h"
#include "dotterelshed/steady_time.h"
#include "peer_call.h"

namespace dotterelshed {

namespace {

constexpr Duration kOpenRetryDelay = std::chrono::seconds(1);
constexpr Duration kListTimeout = std::chrono::seconds(1);
constexpr Duration kCopyTimeout = std::chrono::seconds(2);
constexpr Duration kEmptyTimeout = std::chrono::seconds(5);
constexpr Duration kEmptyRetryDelay = std::chrono::milliseconds(300);
/// Interval between comparisons with one other replica.
constexpr Duration kCompareInterval = std::chrono::seconds(1);
/// With many replicas the interval grows, so that calls an interval stay few.
constexpr Duration kComparePeerShare = std::chrono::milliseconds(200);
/// A writer sends a turn to all replicas at once; younger turns are not missing
/// yet.
constexpr Duration kSettledAge = std::chrono::milliseconds(1500);
constexpr Duration kSweepInterval = std::chrono::seconds(2);
constexpr std::size_t kListPageTurns = 1000;
constexpr std::size_t kCopyTurns = 64;

auto RandomStart() -> Incarnation {
  std::random_device device;
  return Incarnation(static_cast<std::int64_t>(device()) + 1);
}

/// Responds to a message that can't be decoded.
template <typename T>
auto RejectMalformed(const std::shared_ptr<ServerConnection>& connection,
                     const Result<T>& message) -> bool {
  if (message) {
    return false;
  }
  connection->Answer(kStatusBadRequest, {}, message.error().m_message);
  return true;
}

}  // namespace

TurnReplica::TurnReplica(EventLoop& loop,
                         const EntrySettings& settings,
                         ObjectStore& store)
    : m_loop(loop),
      m_settings(settings),
      m_peer_connections(loop, {}),
      m_directory(loop, store, m_peer_connections, std::nullopt),
      m_log(loop,
            {.m_folder = settings.m_data_dir,
             .m_first_start = settings.m_first_start}),
      m_incarnation(RandomStart()),
      m_open_timer(loop) {}

auto TurnReplica::Start() -> void {
  auto contents = m_log.Open();
  if (!contents) {
    OnDiskResult(tl::unexpected(contents.error()));
    m_open_timer.expires_after(kOpenRetryDelay);
    m_open_timer.async_wait([this](const boost::system::error_code& error) {
      if (!error) {
        Start();
      }
    });
    return;
  }
  const auto now = SteadyTime();
  m_covered_since = now - contents->m_covered;
  for (auto& turn : contents->m_turns) {
    m_index.m_last_sequence = turn.m_sequence - 1;
    AddTurn(m_index, std::move(turn.m_record), now);
  }
  m_opened = true;
  if (!m_index.m_turns.empty()) {
    m_directory.Start();
  }
  LogEvent(LogEventId::kReplicaOpened,
           {{"turns", std::to_string(m_index.m_turns.size())},
            {"bytes", std::to_string(m_index.m_bytes)},
            {"covered_ms", FormatMs(contents->m_covered)}});
}

auto TurnReplica::Stop() -> void {
  m_opened = false;
  m_open_timer.cancel();
  m_directory.Stop();
  m_log.Close();
}

auto TurnReplica::Covered(TimePoint now) const -> Duration {
  return m_opened ? now - m_covered_since : Duration{0};
}

auto TurnReplica::Handle(const Connection& connection,
                         const IncomingRequest& request) -> bool {
  const auto& target = request.m_head.m_target;
  const auto& body = request.m_body;
  if (target == kTurnWritePath) {
    OnWrite(connection, body);
  } else if (target == kTurnReadPath) {
    OnRead(connection, body);
  } else if (target == kTurnListPath) {
    OnList(connection, body);
  } else if (target == kTurnFetchPath) {
    OnFetch(connection, body);
  } else if (target == kTurnWithdrawPath) {
    OnWithdraw(connection, body);
  } else if (target == kTurnCopyPath) {
    OnCopyRequest(connection, body);
  } else {
    return false;
  }
  // Nothing is compared with other replicas before turns are kept at all.
  m_directory.Start();
  return true;
}

// Requests of other hosts.

auto TurnReplica::OnWrite(const Connection& connection, const std::string& body)
    -> void {
  auto records = DecodeTurnRecords(body);
  if (RejectMalformed(connection, records)) {
    return;
  }
  if (m_leaving || !m_opened) {
    connection->Answer(kStatusUnavailable, {}, "");
    return;
  }
  StoreTurns(std::move(*records), [connection](const Status& status) {
    connection->Answer(status ? kStatusOk : kStatusUnavailable, {}, "");
  });
}

auto TurnReplica::StoreTurns(std::vector<TurnRecord> records,
                             const TurnLog::StoredCallback& done) -> void {
  const auto now = SteadyTime();
  auto pending = std::make_shared<std::size_t>(records.size());
  auto result = std::make_shared<Status>();
  const auto on_stored = [this, pending, result, done](const Status& status) {
    if (!status) {
      *result = status;
    }
    if (--*pending == 0) {
      done(*result);
    }
  };
  if (records.empty()) {
    done({});
    return;
  }
  for (auto& record : records) {
    const auto turn = record.m_turn;
    const auto outcome = AddTurn(m_index, std::move(record), now);
    if (outcome == AddOutcome::kFull) {
      OnDiskResult(Fail(ErrorCode::kLimit, "too many bytes of turns"));
      on_stored(Fail(ErrorCode::kLimit, "too many bytes of turns"));
      continue;
    }
    if (outcome == AddOutcome::kWithdrawn) {
      on_stored({});
      continue;
    }
    // A known turn may still be on its way to the disk, so it is stored again.
    const auto& indexed = m_index.m_turns.at(turn);
    m_log.Store({.m_sequence = indexed.m_sequence,
                 .m_record = CopyWithLifetimeLeft(indexed, now)},
                [this, turn, on_stored](const Status& status) {
                  OnDiskResult(status);
                  on_stored(status);
                });
  }
}

auto TurnReplica::OnDiskResult(const Status& status) -> void {
  CountMetric(MetricId::kReplicaWrites, status ? "stored" : "failed");
  if (m_disk_failed == !status) {
    return;
  }
  m_disk_failed = !status;
  LogEvent(LogEventId::kReplicaDiskFailed,
           {{"outcome", status ? "writable" : "refused"},
            {"reason", status ? "" : status.error().m_message},
            {"bytes", std::to_string(m_index.m_bytes)}});
}

auto TurnReplica::OnRead(const Connection& connection, const std::string& body)
    -> void {
  const auto request = DecodeTurnReadRequest(body);
  if (RejectMalformed(connection, request)) {
    return;
  }
  if (!m_opened) {
    connection->Answer(kStatusUnavailable, {}, "");
    return;
  }
  const auto chain = FindChain(m_index, request->m_turn);
  std::vector<const TurnRecord*> records;
  for (const auto* turn : chain.m_turns) {
    records.push_back(&turn->m_record);
  }
  connection->Answer(kStatusOk, {},
                     EncodeTurnReadResponse(records, Covered(SteadyTime())));
}

auto TurnReplica::OnList(const Connection& connection, const std::string& body)
    -> void {
  const auto request = DecodeTurnListRequest(body);
  if (RejectMalformed(connection, request)) {
    return;
  }
  if (!m_opened) {
    connection->Answer(kStatusUnavailable, {}, "");
    return;
  }
  const auto after =
      request->m_incarnation == m_incarnation ? request->m_after : 0;
  const auto page = ListTurns(m_index, after, kListPageTurns,
                              SteadyTime() - request->m_min_age);
  TurnListResponse response{.m_incarnation = m_incarnation,
                            .m_last_sequence = page.m_last_sequence,
                            .m_has_more = page.m_has_more};
  for (const auto* turn : page.m_turns) {
    response.m_turns.push_back(
        {turn->m_record.m_turn, turn->m_record.m_program});
  }
  connection->Answer(kStatusOk, {}, EncodeTurnListResponse(response));
}

auto TurnReplica::OnFetch(const Connection& connection, const std::string& body)
    -> void {
  const auto turns = DecodeTurnIds(body);
  if (RejectMalformed(connection, turns)) {
    return;
  }
  const auto now = SteadyTime();
  std::vector<TurnRecord> records;
  for (const auto& turn : *turns) {
    const auto found = m_index.m_turns.find(turn);
    if (found != m_index.m_turns.end()) {
      records.push_back(CopyWithLifetimeLeft(found->second, now));
    }
  }
  std::vector<const TurnRecord*> pointers;
  pointers.reserve(records.size());
  for (const auto& record : records) {
    pointers.push_back(&record);
  }
  connection->Answer(kStatusOk, {}, EncodeTurnRecords(pointers));
}

auto TurnReplica::OnWithdraw(const Connection& connection,
                             const std::string& body) -> void {
  const auto withdrawal = DecodeTurnWithdrawal(body);
  if (RejectMalformed(connection, withdrawal)) {
    return;
  }
  const auto sequence = WithdrawTurn(m_index, withdrawal->m_turn,
                                     SteadyTime() + withdrawal->m_lifetime);
  if (sequence != 0) {
    m_log.Remove({sequence});
  }
  connection->Answer(kStatusOk, {}, "");
}

auto TurnReplica::OnCopyRequest(const Connection& connection,
                                const std::string& body) -> void {
  const auto host = DecodeTurnIds(body);
  if (RejectMalformed(connection, host)) {
    return;
  }
  const auto leaving = HostId(host->empty() ? "" : host->front().value());
  m_directory.MarkLeaving(leaving);
  for (const auto& peer : m_directory.hosts()) {
    if (peer.m_host == leaving) {
      auto& state = m_peers[leaving];
      state.m_caught_up = false;
      state.m_after = 0;
      state.m_waiting.push_back([connection](bool copied) {
        connection->Answer(copied ? kStatusOk : kStatusUnavailable, {}, "");
      });
      if (!state.m_busy) {
        CompareWith(peer);
      }
      return;
    }
  }
  connection->Answer(kStatusUnavailable, {}, "");
}

// Comparison with other replicas.

auto TurnReplica::Others() const -> std::vector<ReplicaHost> {
  auto others = m_directory.hosts();
  std::erase_if(others, [this](const ReplicaHost& host) {
    return host.m_host == m_settings.m_host || host.m_emptied;
  });
  return others;
}

auto TurnReplica::IsResponsible(const ProgramId& program) const -> bool {
  const auto replicas = ChooseReplicas(m_directory.hosts(), program, {});
  return std::any_of(replicas.begin(), replicas.end(),
                     [this](const ReplicaHost& host) {
                       return host.m_host == m_settings.m_host;
                     });
}

auto TurnReplica::Call(const ReplicaHost& peer,
                       std::string_view path,
                       const std::string& body,
                       Duration timeout,
                       std::function<void(const Result<std::string>&)> reply)
    -> void {
  CallPeer(m_loop, m_peer_connections, peer.m_address, path, body, timeout,
           std::move(reply));
}

auto TurnReplica::CompareWith(const ReplicaHost& peer) -> void {
  auto& state = m_peers[peer.m_host];
  state.m_busy = true;
  const auto min_age = state.m_caught_up ? kSettledAge : Duration{0};
  Call(peer, kTurnListPath,
       EncodeTurnListRequest({.m_incarnation = state.m_incarnation,
                              .m_after = state.m_after,
                              .m_min_age = min_age}),
       kListTimeout, [this, peer](const Result<std::string>& reply) {
         const auto list = reply.and_then(DecodeTurnListResponse);
         if (list) {
           OnPeerList(peer, *list);
         } else {
           OnCompareFailed(peer, list.error().m_message);
         }
       });
}

auto TurnReplica::OnPeerList(const ReplicaHost& peer,
                             const TurnListResponse& list) -> void {
  std::vector<RequestId> wanted;
  for (const auto& listed : list.m_turns) {
    const auto lacking = !m_index.m_turns.contains(listed.m_turn) &&
                         !m_index.m_withdrawn.contains(listed.m_turn);
    if (lacking && !m_leaving && IsResponsible(listed.m_program)) {
      wanted.push_back(listed.m_turn);
    }
  }
  CopyTurns(peer, std::move(wanted), list);
}

auto TurnReplica::CopyTurns(const ReplicaHost& peer,
                            std::vector<RequestId> wanted,
                            const TurnListResponse& list) -> void {
  if (wanted.empty()) {
    OnCompared(peer, list);
    return;
  }
  const auto count = std::min(wanted.size(), kCopyTurns);
  const auto split = wanted.begin() + static_cast<std::ptrdiff_t>(count);
  const std::vector<RequestId> now(wanted.begin(), split);
  std::vector<RequestId> later(split, wanted.end());
  Call(peer, kTurnFetchPath, EncodeTurnIds(now), kCopyTimeout,
       [this, peer, list,
        later = std::move(later)](const Result<std::string>& reply) {
         auto records = reply.and_then(DecodeTurnRecords);
         if (!records) {
           OnCompareFailed(peer, records.error().m_message);
           return;
         }
         CountMetric(MetricId::kReplicaCopies, peer.m_domain.value(),
                     static_cast<std::int64_t>(records->size()));
         StoreTurns(std::move(*records),
                    [this, peer, list, later](const Status& status) {
                      if (status) {
                        CopyTurns(peer, later, list);
                      } else {
                        OnCompareFailed(peer, status.error().m_message);
                      }
                    });
       });
}

auto TurnReplica::OnCompared(const ReplicaHost& peer,
                             const TurnListResponse& list) -> void {
  auto& state = m_peers[peer.m_host];
  state.m_incarnation = list.m_incarnation;
  state.m_after = list.m_last_sequence;
  if (list.m_has_more) {
    CompareWith(peer);
    return;
  }
  if (!std::exchange(state.m_caught_up, true)) {
    LogEvent(LogEventId::kReplicaCaughtUp,
             {{"with", peer.m_host.value()},
              {"turns", std::to_string(m_index.m_turns.size())}});
  }
  state.m_busy = false;
  const auto share =
      kComparePeerShare * static_cast<std::int64_t>(m_directory.hosts().size());
  state.m_next_at = SteadyTime() + std::max(kCompareInterval, share);
  for (const auto& waiting : std::exchange(state.m_waiting, {})) {
    waiting(true);
  }
}

auto TurnReplica::OnCompareFailed(const ReplicaHost& peer,
                                  const std::string& reason) -> void {
  auto& state = m_peers[peer.m_host];
  if (std::exchange(state.m_caught_up, false)) {
    LogEvent(LogEventId::kReplicaBehind,
             {{"with", peer.m_host.value()}, {"reason", reason}});
  }
  state.m_busy = false;
  state.m_next_at = SteadyTime() + kCompareInterval;
  for (const auto& waiting : std::exchange(state.m_waiting, {})) {
    waiting(false);
  }
}

auto TurnReplica::Tick(TimePoint now) -> void {
  m_directory.Tick(now);
  m_peer_connections.Tick(now);
  if (!m_opened) {
    return;
  }
  if (now - m_last_sweep >= kSweepInterval) {
    m_last_sweep = now;
    m_log.Remove(DropExpiredTurns(m_index, now));
    SetMetric(MetricId::kReplicaTurns,
              static_cast<double>(m_index.m_turns.size()), "turns");
    SetMetric(MetricId::kReplicaTurns, static_cast<double>(m_index.m_bytes),
              "bytes");
  }
  if (!m_directory.listed()) {
    return;
  }
  for (const auto& peer : Others()) {
    const auto& state = m_peers[peer.m_host];
    if (!state.m_busy && state.m_next_at <= now) {
      CompareWith(peer);
    }
  }
}

// Leaving.

auto TurnReplica::Empty(const std::function<void()>& done) -> void {
  m_leaving = true;
  if (m_index.m_turns.empty()) {
    done();
    return;
  }
  RequestCopies(done);
}

auto TurnReplica::RequestCopies(const std::function<void()>& done) -> void {
  const auto peers = Others();
  auto domains = std::make_shared<std::set<DomainId>>();
  auto pending = std::make_shared<std::size_t>(peers.size());
  std::set<DomainId> reachable;
  for (const auto& peer : peers) {
    reachable.insert(peer.m_domain);
  }
  const auto required =
      std::min(static_cast<std::size_t>(m_settings.m_tolerated_losses) + 1,
               std::max(reachable.size(), std::size_t{1}));
  const auto finish = [this, done, domains, required] {
    if (domains->size() >= required) {
      LogEvent(LogEventId::kReplicaEmptied,
               {{"turns", std::to_string(m_index.m_turns.size())},
                {"domains", std::to_string(domains->size())}});
      done();
      return;
    }
    m_open_timer.expires_after(kEmptyRetryDelay);
    m_open_timer.async_wait(
        [this, done](const boost::system::error_code& error) {
          if (!error) {
            RequestCopies(done);
          }
        });
  };
  if (peers.empty()) {
    finish();
    return;
  }
  const auto body = EncodeTurnIds({RequestId(m_settings.m_host.value())});
  for (const auto& peer : peers) {
    Call(peer, kTurnCopyPath, body, kEmptyTimeout,
         [peer, domains, pending, finish](const Result<std::string>& reply) {
           if (reply) {
             domains->insert(peer.m_domain);
           }
           if (--*pending == 0) {
             finish();
           }
         });
  }
}

}  // namespace dotterelshed
