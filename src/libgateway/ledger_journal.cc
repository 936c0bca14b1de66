#include "ledger_journal.h"

#include <memory>
#include <utility>

#include "peer_call.h"

namespace dotterelshed {

namespace {

constexpr Duration kRefreshInterval = std::chrono::seconds(30);
constexpr Duration kRefreshRetryWait = std::chrono::seconds(1);
/// Longest wait for a disk host: a sync takes 5 ms.
constexpr Duration kDiskTimeout = std::chrono::milliseconds(150);

/// Answers of all disk hosts to one call.
struct Round {
  int m_open = 0;
  /// Of a write, hosts that have it; of a reading, hosts without an answer.
  int m_done = 0;
  JournalReading m_reading;
};

}  // namespace

LedgerJournal::LedgerJournal(EntryContext& context) : m_context(context) {}

auto LedgerJournal::Refresh(TimePoint now) -> void {
  if (now - m_refreshed >= kRefreshInterval) {
    m_refreshed = now;
    ListDiskHosts([] {});
  }
}

auto LedgerJournal::ListDiskHosts(std::function<void()> done) -> void {
  m_context.m_store.List(
      ObjectKind::kDiskHosts,
      [this, done = std::move(done)](const Result<ObjectListing>& listing) {
        if (listing) {
          m_addresses.clear();
          for (const auto& object : listing->m_objects) {
            if (const auto entry = DecodeLeadEntry(object.m_spec)) {
              m_addresses.push_back(entry->m_peer_address);
            }
          }
        }
        if (!listing) {
          // The disk hosts known so far stay in use.
          m_refreshed -= kRefreshInterval - kRefreshRetryWait;
        }
        done();
      });
}

auto LedgerJournal::Write(const JournalEntry& entry,
                          std::function<void(bool)> done) -> void {
  if (m_addresses.empty()) {
    done(false);
    return;
  }
  auto round = std::make_shared<Round>();
  round->m_open = static_cast<int>(m_addresses.size());
  const auto body = EncodeJournalEntry(entry);
  const auto answered = [round, copies = Copies(),
                         done = std::move(done)](bool stored) {
    --round->m_open;
    const auto before = round->m_done;
    round->m_done += stored ? 1 : 0;
    const auto secured = round->m_done == copies && before < copies;
    if (secured) {
      done(true);
    } else if (round->m_open == 0 && round->m_done < copies) {
      done(round->m_done > 0);
    }
  };
  const auto addresses = m_addresses;
  for (const auto& address : addresses) {
    CallPeer(m_context.m_loop, m_context.m_peers, address, kJournalWritePath,
             body, kDiskTimeout, [answered](const Result<std::string>& reply) {
               answered(reply.has_value());
             });
  }
}

auto LedgerJournal::Read(const DomainId& domain,
                         ResourceVersion claim,
                         const StoredLedger& stored,
                         std::function<void(const JournalReading&)> done)
    -> void {
  ListDiskHosts([this, domain, claim, stored, done = std::move(done)] {
    AskDiskHosts({.m_domain = domain, .m_claim = claim}, stored, done);
  });
}

auto LedgerJournal::AskDiskHosts(
    const JournalEntry& question,
    const StoredLedger& stored,
    const std::function<void(const JournalReading&)>& done) -> void {
  if (m_addresses.empty()) {
    done({});
    return;
  }
  auto round = std::make_shared<Round>();
  round->m_open = static_cast<int>(m_addresses.size());
  const auto answered = [round, stored, done,
                         copies = Copies()](const Result<std::string>& reply) {
    round->m_done += reply ? 0 : 1;
    const auto entry = reply.and_then(DecodeJournalEntry);
    auto& newest = round->m_reading.m_newest;
    const auto newer = entry &&
                       entry->m_ledger.m_incarnation == stored.m_incarnation &&
                       entry->m_ledger.m_write > stored.m_write;
    if (newer &&
        (!newest || entry->m_ledger.m_write > newest->m_ledger.m_write)) {
      newest = *entry;
    }
    if (--round->m_open == 0) {
      round->m_reading.m_complete = round->m_done < copies;
      done(round->m_reading);
    }
  };
  const auto body = EncodeJournalEntry(question);
  const auto addresses = m_addresses;
  for (const auto& address : addresses) {
    CallPeer(m_context.m_loop, m_context.m_peers, address, kJournalReadPath,
             body, kDiskTimeout, answered);
  }
}

}  // namespace dotterelshed
