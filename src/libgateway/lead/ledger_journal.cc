#include "lead/ledger_journal.h"

#include <utility>
#include <vector>

#include "dotterelshed/log_events.h"
#include "dotterelshed/steady_time.h"
#include "history/replica_messages.h"
#include "peer_call.h"

namespace dotterelshed {

namespace {

constexpr Duration kRefreshInterval = std::chrono::seconds(30);
/// The same while a disk host is left out, whose successor may be new.
constexpr Duration kLeftOutRefreshInterval = std::chrono::seconds(5);
constexpr Duration kRefreshRetryDelay = std::chrono::seconds(1);
/// Timeout of a call to a disk host; a sync takes 5 ms.
constexpr Duration kDiskTimeout = std::chrono::milliseconds(150);
constexpr Duration kProbeInterval = std::chrono::seconds(1);
constexpr Duration kProbeTimeout = std::chrono::milliseconds(400);

/// Responses of disk hosts to one write.
struct WriteBroadcast {
  int m_pending = 0;
  int m_stored = 0;
};

/// Responses of disk hosts to one read.
struct ReadBroadcast {
  int m_pending = 0;
  std::set<HostId> m_answered;
  JournalReadResult m_result;
};

auto TakeNewer(std::optional<JournalEntry>& newest,
               const JournalEntry& entry,
               const LedgerPosition& stored) -> void {
  const auto& ledger = entry.m_ledger;
  const auto later = ledger.m_incarnation == stored.m_incarnation &&
                     ledger.m_write > stored.m_write;
  if (later && (!newest || ledger.m_write > newest->m_ledger.m_write)) {
    newest = entry;
  }
}

}  // namespace

LedgerJournal::LedgerJournal(EntryContext& context) : m_context(context) {}

auto LedgerJournal::Tick(TimePoint now) -> void {
  if (now >= m_next_listing) {
    m_next_listing =
        now + (m_left_out.empty() ? kRefreshInterval : kLeftOutRefreshInterval);
    ListDiskHosts([] {});
  }
  if (now >= m_next_probe) {
    m_next_probe = now + kProbeInterval;
    ProbeHosts();
  }
}

auto LedgerJournal::ListDiskHosts(std::function<void()> done) -> void {
  m_context.m_store.List(
      ObjectKind::kDiskHosts,
      [this, done = std::move(done)](const Result<ObjectListing>& listing) {
        if (listing) {
          m_listed = true;
          std::vector<ReplicaHost> listed;
          for (const auto& object : listing->m_objects) {
            if (const auto host = DecodeReplicaHost(object.m_spec)) {
              listed.push_back(*host);
            }
          }
          TakeListedHosts(m_hosts, listed);
        } else {
          // Keeps the current list and retries soon.
          m_next_listing = SteadyTime() + kRefreshRetryDelay;
        }
        done();
      });
}

auto LedgerJournal::ProbeHosts() -> void {
  const auto body = EncodeTurnReadRequest({});
  const auto hosts = m_hosts;
  for (const auto& [id, host] : hosts) {
    if (!host.m_drained) {
      Call(id, kTurnReadPath, body, kProbeTimeout,
           [](const Result<std::string>& /*reply*/) {});
    }
  }
}

auto LedgerJournal::Call(const HostId& host,
                         std::string_view path,
                         const std::string& body,
                         Duration timeout,
                         ReplyHandler on_reply) -> void {
  CallPeer(m_context.m_loop, m_context.m_peer_connections,
           m_hosts.at(host).m_address, path, body, timeout,
           [this, host,
            on_reply = std::move(on_reply)](const Result<std::string>& reply) {
             NoteJournalCall(m_hosts, host, reply.has_value(), SteadyTime());
             on_reply(reply);
           });
}

auto LedgerJournal::BeginTerm() -> void {
  m_target = {};
}

auto LedgerJournal::NameHosts(TimePoint now) -> std::set<HostId> {
  auto chosen = ChooseJournalHosts(m_hosts, RequiredCopies(), now);
  LogLeftOut(chosen, now);
  NoteNamesSent(m_target, chosen, RequiredCopies());
  return chosen;
}

auto LedgerJournal::NoteStored() -> void {
  NoteNamesStored(m_target, RequiredCopies());
}

auto LedgerJournal::AreNamesOutdated(TimePoint now) const -> bool {
  return ChooseJournalHosts(m_hosts, RequiredCopies(), now) != m_target.m_sent;
}

auto LedgerJournal::LogLeftOut(const std::set<HostId>& chosen, TimePoint now)
    -> void {
  std::set<HostId> left_out;
  for (const auto& [id, host] : m_hosts) {
    if (!host.m_drained && !chosen.contains(id)) {
      left_out.insert(id);
    }
  }
  for (const auto& [id, host] : m_hosts) {
    const auto out = left_out.contains(id);
    if (out == m_left_out.contains(id)) {
      continue;
    }
    const auto failing_since = host.m_failing_since.value_or(now);
    LogEvent(LogEventId::kJournalHostChanged,
             {{"host", id.value()},
              {"state", out ? "left_out" : "named"},
              {"failing_ms", FormatMs(now - failing_since)},
              {"named", std::to_string(chosen.size())}});
  }
  m_left_out = std::move(left_out);
}

auto LedgerJournal::Write(const JournalEntry& entry,
                          std::function<void(bool)> done) -> void {
  std::vector<HostId> hosts;
  for (const auto& host : m_target.m_hosts) {
    const auto found = m_hosts.find(host);
    if (found != m_hosts.end() && !found->second.m_drained) {
      hosts.push_back(host);
    }
  }
  if (hosts.empty()) {
    done(false);
    return;
  }
  auto broadcast = std::make_shared<WriteBroadcast>();
  broadcast->m_pending = static_cast<int>(hosts.size());
  const auto on_reply =
      [broadcast, copies = m_target.m_copies,
       done = std::move(done)](const Result<std::string>& reply) {
        --broadcast->m_pending;
        const auto before = broadcast->m_stored;
        broadcast->m_stored += reply ? 1 : 0;
        const auto secured = broadcast->m_stored == copies && before < copies;
        if (secured) {
          done(true);
        } else if (broadcast->m_pending == 0 && broadcast->m_stored < copies) {
          done(false);
        }
      };
  const auto body = EncodeJournalEntry(entry);
  for (const auto& host : hosts) {
    Call(host, kJournalWritePath, body, kDiskTimeout, on_reply);
  }
}

auto LedgerJournal::Read(const DomainId& domain,
                         ResourceVersion claim,
                         const LedgerPosition& stored,
                         std::function<void(const JournalReadResult&)> done)
    -> void {
  ListDiskHosts([this, domain, claim, stored, done = std::move(done)] {
    ReadDiskHosts({.m_domain = domain, .m_claim = claim}, stored, done);
  });
}

auto LedgerJournal::ReadDiskHosts(
    const JournalEntry& request,
    const LedgerPosition& stored,
    const std::function<void(const JournalReadResult&)>& done) -> void {
  std::vector<HostId> hosts;
  for (const auto& [id, host] : m_hosts) {
    if (!host.m_drained) {
      hosts.push_back(id);
    }
  }
  auto broadcast = std::make_shared<ReadBroadcast>();
  broadcast->m_pending = static_cast<int>(hosts.size());
  const auto end = [this, broadcast, stored, done] {
    auto& result = broadcast->m_result;
    const auto known = m_listed || stored.m_journal_hosts;
    result.m_complete =
        known && IsReadComplete(m_hosts, stored.m_journal_hosts,
                                broadcast->m_answered, RequiredCopies());
    done(result);
  };
  if (hosts.empty()) {
    end();
    return;
  }
  const auto body = EncodeJournalEntry(request);
  for (const auto& host : hosts) {
    Call(host, kJournalReadPath, body, kDiskTimeout,
         [broadcast, stored, host, end](const Result<std::string>& reply) {
           if (reply) {
             broadcast->m_answered.insert(host);
           }
           if (const auto entry = reply.and_then(DecodeJournalEntry)) {
             TakeNewer(broadcast->m_result.m_newest, *entry, stored);
           }
           if (--broadcast->m_pending == 0) {
             end();
           }
         });
  }
}

}  // namespace dotterelshed
