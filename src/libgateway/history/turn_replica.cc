#include "history/turn_replica.h"

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
constexpr Duration kDrainTimeout = std::chrono::seconds(5);
constexpr Duration kDrainRetryDelay = std::chrono::milliseconds(300);
constexpr Duration kSweepInterval = std::chrono::seconds(2);
/// Turns in one page of the list.
constexpr std::size_t kListPageTurns = 1000;

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
      m_database(loop,
                 {.m_folder = settings.m_data_dir,
                  .m_first_start = settings.m_first_start}),
      m_sync(loop,
             m_peer_connections,
             m_directory,
             m_index,
             {.m_host = settings.m_host,
              .m_store_turns =
                  [this](std::vector<TurnRecord> records,
                         const TurnDatabase::StoredCallback& done) {
                    StoreTurns(std::move(records), done);
                  }}),
      m_incarnation(RandomStart()),
      m_retry_timer(loop) {}

auto TurnReplica::Start() -> void {
  auto contents = m_database.Open();
  if (!contents) {
    OnDiskResult(tl::unexpected(contents.error()));
    m_retry_timer.expires_after(kOpenRetryDelay);
    m_retry_timer.async_wait([this](const boost::system::error_code& error) {
      if (!error) {
        Start();
      }
    });
    return;
  }
  const auto now = SteadyTime();
  m_intact_since = now - contents->m_intact_for;
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
            {"intact_ms", FormatMs(contents->m_intact_for)}});
}

auto TurnReplica::Stop() -> void {
  m_opened = false;
  m_retry_timer.cancel();
  m_directory.Stop();
  m_database.Close();
}

auto TurnReplica::IntactFor(TimePoint now) const -> Duration {
  return m_opened ? now - m_intact_since : Duration{0};
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
  // The other replicas matter only once turns are kept at all.
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
                             const TurnDatabase::StoredCallback& done) -> void {
  if (records.empty()) {
    done({});
    return;
  }
  auto pending = std::make_shared<std::size_t>(records.size());
  auto result = std::make_shared<Status>();
  const auto on_stored = [pending, result, done](const Status& status) {
    if (!status) {
      *result = status;
    }
    if (--*pending == 0) {
      done(*result);
    }
  };
  for (auto& record : records) {
    StoreTurn(std::move(record), on_stored);
  }
}

auto TurnReplica::StoreTurn(TurnRecord record,
                            const TurnDatabase::StoredCallback& done) -> void {
  const auto now = SteadyTime();
  const auto turn = record.m_turn;
  const auto on_disk = [this, done](const Status& status) {
    OnDiskResult(status);
    done(status);
  };
  switch (AddTurn(m_index, std::move(record), now)) {
    case AddOutcome::kFull:
      on_disk(Fail(ErrorCode::kLimit, "too many bytes of turns"));
      return;
    case AddOutcome::kWithdrawn:
      done({});
      return;
    case AddOutcome::kAdded:
    case AddOutcome::kKnown:
      // A known turn may still be on its way to the disk.
      break;
  }
  const auto& indexed = m_index.m_turns.at(turn);
  m_database.Store({.m_sequence = indexed.m_sequence,
                    .m_record = CopyWithLifetimeLeft(indexed, now)},
                   on_disk);
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
                     EncodeTurnReadResponse(records, IntactFor(SteadyTime())));
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
    response.m_turns.push_back({.m_turn = turn->m_record.m_turn,
                                .m_program = turn->m_record.m_program,
                                .m_substitutes = turn->m_record.m_substitutes});
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
    m_database.Remove({sequence});
  }
  connection->Answer(kStatusOk, {}, "");
}

auto TurnReplica::OnCopyRequest(const Connection& connection,
                                const std::string& body) -> void {
  const auto host = DecodeCopyRequest(body);
  if (RejectMalformed(connection, host)) {
    return;
  }
  m_sync.SyncBeforeLeave(*host, [connection](bool copied) {
    connection->Answer(copied ? kStatusOk : kStatusUnavailable, {}, "");
  });
}

auto TurnReplica::Tick(TimePoint now) -> void {
  m_directory.Tick(now);
  m_peer_connections.Tick(now);
  if (!m_opened) {
    return;
  }
  if (now - m_last_sweep >= kSweepInterval) {
    m_last_sweep = now;
    m_database.Remove(DropExpiredTurns(m_index, now));
    SetMetric(MetricId::kReplicaTurns,
              static_cast<double>(m_index.m_turns.size()), "turns");
    SetMetric(MetricId::kReplicaTurns, static_cast<double>(m_index.m_bytes),
              "bytes");
  }
  if (!m_leaving) {
    m_sync.Tick(now);
  }
}

// Leaving.

auto TurnReplica::Drain(const std::function<void()>& done) -> void {
  m_leaving = true;
  if (m_index.m_turns.empty()) {
    done();
  } else {
    RequestCopies(done);
  }
}

auto TurnReplica::RequiredDomains() const -> std::size_t {
  std::set<DomainId> domains;
  for (const auto& peer : m_sync.Others()) {
    domains.insert(peer.m_domain);
  }
  const auto wanted =
      static_cast<std::size_t>(m_settings.m_tolerated_losses) + 1;
  return std::clamp(domains.size(), std::size_t{1}, wanted);
}

auto TurnReplica::RequestCopies(const std::function<void()>& done) -> void {
  const auto peers = m_sync.Others();
  auto request = std::make_shared<CopyRequest>();
  request->m_pending = peers.size();
  if (peers.empty()) {
    OnCopiesRequested(*request, done);
    return;
  }
  const auto body = EncodeCopyRequest(m_settings.m_host);
  for (const auto& peer : peers) {
    CallPeer(m_loop, m_peer_connections, peer.m_address, kTurnCopyPath, body,
             kDrainTimeout,
             [this, request, done,
              domain = peer.m_domain](const Result<std::string>& reply) {
               if (reply) {
                 request->m_copied_in.insert(domain);
               }
               if (--request->m_pending == 0) {
                 OnCopiesRequested(*request, done);
               }
             });
  }
}

auto TurnReplica::OnCopiesRequested(const CopyRequest& request,
                                    const std::function<void()>& done) -> void {
  const auto domains = request.m_copied_in.size();
  if (domains >= RequiredDomains()) {
    LogEvent(LogEventId::kReplicaDrained,
             {{"turns", std::to_string(m_index.m_turns.size())},
              {"domains", std::to_string(domains)}});
    done();
    return;
  }
  m_retry_timer.expires_after(kDrainRetryDelay);
  m_retry_timer.async_wait(
      [this, done](const boost::system::error_code& error) {
        if (!error) {
          RequestCopies(done);
        }
      });
}

}  // namespace dotterelshed
