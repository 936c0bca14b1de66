#include "history/history_client.h"

#include <algorithm>
#include <map>
#include <set>
#include <utility>

#include "dotterelshed/account_access.h"
#include "dotterelshed/log_events.h"
#include "dotterelshed/metrics.h"
#include "dotterelshed/steady_time.h"
#include "dotterelshed/turn_index.h"
#include "peer_call.h"

namespace dotterelshed {

namespace {

/// Small beside the memory of the smallest hosts.
constexpr std::size_t kCacheBytes = std::size_t{8} << 20;
/// A replica that hasn't responded after this time isn't waited for alone.
constexpr Duration kHedgeDelay = std::chrono::milliseconds(40);
constexpr Duration kReadTimeout = std::chrono::milliseconds(500);
constexpr Duration kWriteTimeout = std::chrono::milliseconds(500);
constexpr Duration kWriteRetryDelay = std::chrono::milliseconds(200);
/// After this time another host is chosen for the one that hasn't answered. A
/// write waits for two flushes of the disk at most, its own and the one before.
constexpr Duration kWriteHedgeDelay = std::chrono::milliseconds(100);
/// After this time the replicas that lack the turn copy it from the others.
constexpr Duration kMaxWriteTime = std::chrono::seconds(10);
constexpr std::size_t kMaxPendingWrites = 500;
/// A replica that has lost nothing for a route's retention and this time has
/// every turn that may still be continued.
constexpr Duration kIntactMargin = std::chrono::seconds(15);

}  // namespace

struct HistoryClient::PendingRead {
  explicit PendingRead(EventLoop& loop) : m_hedge_timer(loop) {}

  HistoryReadRequest m_request;
  ReadCallback m_respond;
  std::vector<ReplicaHost> m_order;
  std::size_t m_next = 0;
  int m_in_flight = 0;
  /// Turns that replicas responded with.
  std::map<RequestId, TurnRecord> m_turns;
  /// All replicas so far have responded and have lost nothing.
  bool m_certain = true;
  TimePoint m_started_at;
  boost::asio::steady_timer m_hedge_timer;

  /// Returns the chain, newest first, if all of it is there.
  auto Chain() const -> std::vector<const TurnRecord*> {
    std::vector<const TurnRecord*> chain;
    auto next = m_request.m_turn;
    while (!next.empty()) {
      const auto found = m_turns.find(next);
      if (found == m_turns.end() || chain.size() > m_turns.size()) {
        return {};
      }
      chain.push_back(&found->second);
      next = found->second.m_previous;
    }
    return chain;
  }
};

struct HistoryClient::PendingWrite {
  TurnRecord m_record;
  std::string m_body;
  StoredCallback m_stored;
  /// Hosts that have it on their disk, and how many of its substitutes they
  /// know.
  std::map<HostId, std::size_t> m_copies;
  /// Failure domains of these hosts.
  std::set<DomainId> m_stored_in;
  std::map<HostId, TimePoint> m_in_flight;
  /// Number of failure domains that are to have the turn.
  std::size_t m_wanted = kMaxReplicas;
  TimePoint m_started_at;
  TimePoint m_sent_at;
  bool m_over = false;

  /// Adds the hosts that haven't answered a call about this turn for too long.
  auto AddLate(TimePoint now, std::set<HostId>& hosts) const -> void {
    for (const auto& [host, sent_at] : m_in_flight) {
      if (now - sent_at >= kWriteHedgeDelay) {
        hosts.insert(host);
      }
    }
  }
};

HistoryClient::HistoryClient(EntryContext& context)
    : m_context(context),
      m_directory(context.m_loop,
                  context.m_store,
                  context.m_peer_connections,
                  context.MakeViewReader()),
      m_cache(kCacheBytes) {}

// Reading.

auto HistoryClient::Read(const HistoryReadRequest& request,
                         ReadCallback respond) -> void {
  if (const auto text = m_cache.Find(request.m_turn)) {
    CountMetric(MetricId::kHistoryReads, "cached");
    respond({.m_outcome = HistoryOutcome::kFound, .m_text = text});
    return;
  }
  auto read = std::make_shared<PendingRead>(m_context.m_loop);
  const auto now = SteadyTime();
  read->m_request = request;
  read->m_respond = std::move(respond);
  read->m_started_at = now;
  const auto failing = m_directory.Failing();
  read->m_order =
      OrderForReading(m_directory.hosts(), request.m_program,
                      m_context.m_settings.m_domain, m_directory.Avoided(now));
  // A failing host may have the turn, but nothing is gained by waiting for it.
  const auto skipped =
      std::erase_if(read->m_order, [&failing](const ReplicaHost& host) {
        return failing.contains(host.m_host);
      });
  read->m_certain = skipped == 0 && m_directory.listed();
  if (read->m_order.empty()) {
    FinishRead(read, HistoryOutcome::kUnknown);
    return;
  }
  AskNext(read);
  ArmHedge(read);
}

auto HistoryClient::ArmHedge(const std::shared_ptr<PendingRead>& read) -> void {
  read->m_hedge_timer.expires_after(kHedgeDelay);
  read->m_hedge_timer.async_wait(
      [this, read](const boost::system::error_code& error) {
        if (!error && read->m_respond && read->m_next < read->m_order.size()) {
          AskNext(read);
          ArmHedge(read);
        }
      });
}

auto HistoryClient::AskAll(const std::shared_ptr<PendingRead>& read) -> void {
  while (read->m_respond && read->m_next < read->m_order.size()) {
    AskNext(read);
  }
}

auto HistoryClient::AskNext(const std::shared_ptr<PendingRead>& read) -> void {
  const auto& host = read->m_order[read->m_next++];
  ++read->m_in_flight;
  m_directory.NoteCallBegun(host.m_host, SteadyTime());
  CallPeer(m_context.m_loop, m_context.m_peer_connections, host.m_address,
           kTurnReadPath,
           EncodeTurnReadRequest({.m_turn = read->m_request.m_turn}),
           kReadTimeout,
           [this, read, host = host.m_host](const Result<std::string>& reply) {
             OnReadReply(read, host, reply.and_then(DecodeTurnReadResponse));
           });
}

auto HistoryClient::OnReadReply(const std::shared_ptr<PendingRead>& read,
                                const HostId& host,
                                const Result<TurnReadResponse>& reply) -> void {
  --read->m_in_flight;
  m_directory.NoteCall(host, reply.has_value(), SteadyTime());
  if (!read->m_respond) {
    return;
  }
  const auto needed = read->m_request.m_retention + kIntactMargin;
  if (!reply || reply->m_intact_for < needed) {
    read->m_certain = false;
  }
  if (reply) {
    for (const auto& record : reply->m_turns) {
      read->m_turns.emplace(record.m_turn, record);
    }
    if (!read->Chain().empty()) {
      FinishRead(read, HistoryOutcome::kFound);
      return;
    }
  }
  AskAll(read);
  // A question that fails at once may have ended the read.
  if (read->m_respond && read->m_in_flight == 0) {
    const auto absent = read->m_certain && read->m_turns.empty();
    FinishRead(read,
               absent ? HistoryOutcome::kAbsent : HistoryOutcome::kUnknown);
  }
}

auto HistoryClient::FinishRead(const std::shared_ptr<PendingRead>& read,
                               HistoryOutcome outcome) -> void {
  read->m_hedge_timer.cancel();
  HistoryReadResult result{.m_outcome = outcome};
  if (outcome == HistoryOutcome::kFound) {
    result.m_text =
        std::make_shared<const std::string>(JoinTexts(read->Chain()));
    CountMetric(MetricId::kHistoryReads, "read");
  } else {
    CountMetric(MetricId::kHistoryReads,
                outcome == HistoryOutcome::kAbsent ? "absent" : "unknown");
    LogEvent(
        LogEventId::kHistoryNotFound,
        {{"turn", Unscoped(read->m_request.m_turn)},
         {"program", Unscoped(read->m_request.m_program)},
         {"outcome", outcome == HistoryOutcome::kAbsent ? "absent" : "unknown"},
         {"replicas", std::to_string(read->m_order.size())},
         {"turns_found", std::to_string(read->m_turns.size())},
         {"ms", FormatMs(SteadyTime() - read->m_started_at)}});
  }
  std::exchange(read->m_respond, nullptr)(result);
}

// Storing.

auto HistoryClient::Rule() const -> CopyRule {
  return {.m_lost_hosts = m_context.m_settings.m_tolerated_losses,
          .m_lost_domains = m_context.m_settings.m_tolerated_domains};
}

auto HistoryClient::View(std::set<HostId> failing) const -> ReplicaView {
  return {.m_hosts = m_directory.hosts(),
          .m_failing = std::move(failing),
          .m_domain = m_context.m_settings.m_domain};
}

auto HistoryClient::available() const -> bool {
  return CanStore(Rule(), View(m_directory.Failing()));
}

auto HistoryClient::Store(TurnRecord record, StoredCallback stored) -> void {
  auto write = std::make_shared<PendingWrite>();
  write->m_body = EncodeTurnRecords({&record});
  write->m_record = std::move(record);
  write->m_stored = std::move(stored);
  write->m_started_at = SteadyTime();
  m_writes.push_back(write);
  if (m_writes.size() > kMaxPendingWrites) {
    m_writes.front()->m_over = true;
    m_writes.pop_front();
  }
  SendToReplicas(write);
}

auto HistoryClient::SendToReplicas(const std::shared_ptr<PendingWrite>& write)
    -> void {
  const auto now = SteadyTime();
  write->m_sent_at = now;
  auto avoided = m_directory.Avoided(now);
  if (write->m_stored) {
    write->AddLate(now, avoided);
  }
  const auto view = View(std::move(avoided));
  const auto& program = write->m_record.m_program;
  write->m_wanted = std::max(ChooseReplicas(view.m_hosts, program, {}).size(),
                             std::size_t{1});
  const auto targets = ChooseTargets(Rule(), view, program);
  const auto failing = m_directory.Failing();
  std::vector<ReplicaHost> receivers;
  for (const auto& host : targets.m_hosts) {
    // A failing host gets the turn once a probe of it has been answered; many
    // turns may be waiting for it. What a domain needs beyond one copy when the
    // turn is complete, its hosts copy from each other.
    const auto skipped =
        failing.contains(host.m_host) ||
        write->m_copies.contains(host.m_host) ||
        write->m_in_flight.contains(host.m_host) ||
        (!write->m_stored && write->m_stored_in.contains(host.m_domain));
    if (!skipped) {
      receivers.push_back(host);
    }
  }
  auto& substitutes = write->m_record.m_substitutes;
  const auto known = substitutes.size();
  for (const auto& host : receivers) {
    if (targets.m_substitutes.contains(host.m_host)) {
      substitutes.insert(host.m_host);
    }
  }
  if (substitutes.size() != known) {
    write->m_body = EncodeTurnRecords({&write->m_record});
  }
  for (const auto& host : receivers) {
    SendToReplica(write, host, now);
  }
  SendSubstitutes(write, now);
}

auto HistoryClient::SendSubstitutes(const std::shared_ptr<PendingWrite>& write,
                                    TimePoint now) -> void {
  const auto failing = m_directory.Failing();
  for (const auto& host : m_directory.hosts()) {
    const auto copy = write->m_copies.find(host.m_host);
    const auto lacking = copy != write->m_copies.end() &&
                         copy->second < write->m_record.m_substitutes.size() &&
                         !write->m_in_flight.contains(host.m_host) &&
                         !failing.contains(host.m_host);
    if (lacking) {
      SendToReplica(write, host, now);
    }
  }
}

auto HistoryClient::SendToReplica(const std::shared_ptr<PendingWrite>& write,
                                  const ReplicaHost& host,
                                  TimePoint now) -> void {
  write->m_in_flight[host.m_host] = now;
  m_directory.NoteCallBegun(host.m_host, now);
  const auto substitutes = write->m_record.m_substitutes.size();
  CallPeer(m_context.m_loop, m_context.m_peer_connections, host.m_address,
           kTurnWritePath, write->m_body, kWriteTimeout,
           [this, write, host, substitutes](const Result<std::string>& reply) {
             if (reply) {
               write->m_stored_in.insert(host.m_domain);
             }
             OnWriteReply(write, host.m_host, substitutes, reply.has_value());
           });
}

auto HistoryClient::OnWriteReply(const std::shared_ptr<PendingWrite>& write,
                                 const HostId& host,
                                 std::size_t substitutes,
                                 bool stored) -> void {
  const auto now = SteadyTime();
  write->m_in_flight.erase(host);
  m_directory.NoteCall(host, stored, now);
  if (stored) {
    auto& known = write->m_copies[host];
    known = std::max(known, substitutes);
  }
  CheckWritten(write, now);
  if (!stored && write->m_stored && !write->m_over) {
    SendToReplicas(write);
  }
}

auto HistoryClient::CheckWritten(const std::shared_ptr<PendingWrite>& write,
                                 TimePoint now) -> void {
  if (!write->m_stored || write->m_over) {
    return;
  }
  std::set<HostId> copies;
  for (const auto& [host, substitutes] : write->m_copies) {
    copies.insert(host);
  }
  if (!IsStored(Rule(), View(m_directory.Failing()), copies)) {
    return;
  }
  const auto waited = now - write->m_started_at;
  const auto short_of = write->m_stored_in.size() <
                        std::min(write->m_wanted, RequiredHosts(Rule()));
  ObserveMetric(MetricId::kHistoryStoreSeconds, "", waited);
  CountMetric(MetricId::kHistoryWrites, short_of ? "short" : "spread");
  std::exchange(write->m_stored, nullptr)();
}

auto HistoryClient::IsOver(const PendingWrite& write, TimePoint now) const
    -> bool {
  const auto all_told = std::all_of(
      write.m_copies.begin(), write.m_copies.end(), [&write](const auto& copy) {
        return copy.second >= write.m_record.m_substitutes.size();
      });
  const auto finished =
      write.m_stored_in.size() >= write.m_wanted && all_told && !write.m_stored;
  return write.m_over || finished || now - write.m_started_at > kMaxWriteTime;
}

auto HistoryClient::Withdraw(const TurnRecord& record) -> void {
  for (const auto& write : m_writes) {
    if (write->m_record.m_turn == record.m_turn) {
      write->m_over = true;
    }
  }
  LogEvent(LogEventId::kTurnWithdrawn, {{"turn", Unscoped(record.m_turn)}});
  const auto body = EncodeTurnWithdrawal(
      {.m_turn = record.m_turn, .m_lifetime = record.m_lifetime});
  for (const auto& host : m_directory.hosts()) {
    if (!host.m_drained) {
      CallPeer(m_context.m_loop, m_context.m_peer_connections, host.m_address,
               kTurnWithdrawPath, body, kWriteTimeout,
               [turn = record.m_turn,
                host = host.m_host](const Result<std::string>& reply) {
                 if (!reply) {
                   LogEvent(LogEventId::kTurnWithdrawn,
                            {{"turn", Unscoped(turn)},
                             {"failed_on", host.value()},
                             {"reason", reply.error().m_message}});
                 }
               });
    }
  }
}

auto HistoryClient::Tick(TimePoint now) -> void {
  if (!m_directory.started()) {
    return;
  }
  m_directory.Tick(now);
  m_writes.remove_if([this, now](const std::shared_ptr<PendingWrite>& write) {
    return IsOver(*write, now);
  });
  const auto writes = m_writes;
  for (const auto& write : writes) {
    CheckWritten(write, now);
    // A response waits for it, or only further copies are missing.
    const auto delay = write->m_stored ? kWriteHedgeDelay : kWriteRetryDelay;
    if (now - write->m_sent_at >= delay) {
      SendToReplicas(write);
    }
  }
}

}  // namespace dotterelshed
