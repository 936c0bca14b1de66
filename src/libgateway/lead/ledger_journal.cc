#include "lead/ledger_journal.h"

#include <algorithm>
#include <memory>
#include <utility>

#include "history/replica_messages.h"
#include "peer_call.h"

namespace dotterelshed {

namespace {

constexpr Duration kRefreshInterval = std::chrono::seconds(30);
constexpr Duration kRefreshRetryDelay = std::chrono::seconds(1);
/// Timeout of a call to a disk host; a sync takes 5 ms.
constexpr Duration kDiskTimeout = std::chrono::milliseconds(150);

/// Responses of all disk hosts to one call.
struct Broadcast {
  int m_pending = 0;
  /// For a write, hosts that stored the entry; for a read, hosts that failed to
  /// respond.
  int m_count = 0;
  JournalReadResult m_result;
};

/// Copies that an entry needs where there are @p hosts disk hosts; all of them
/// if there are fewer than are wanted. A read needs all then, too.
auto CopiesOf(std::size_t hosts, int wanted) -> int {
  return std::min(static_cast<int>(hosts), wanted);
}

}  // namespace

LedgerJournal::LedgerJournal(EntryContext& context) : m_context(context) {}

auto LedgerJournal::Refresh(TimePoint now) -> void {
  if (now - m_last_refresh >= kRefreshInterval) {
    m_last_refresh = now;
    ListDiskHosts([] {});
  }
}

auto LedgerJournal::ListDiskHosts(std::function<void()> done) -> void {
  m_context.m_store.List(
      ObjectKind::kDiskHosts,
      [this, done = std::move(done)](const Result<ObjectListing>& listing) {
        if (listing) {
          m_listed = true;
          m_addresses.clear();
          for (const auto& object : listing->m_objects) {
            const auto host = DecodeReplicaHost(object.m_spec);
            if (host && !host->m_drained) {
              m_addresses.push_back(host->m_address);
            }
          }
        }
        if (!listing) {
          // Keeps the current list and retries soon.
          m_last_refresh -= kRefreshInterval - kRefreshRetryDelay;
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
  auto broadcast = std::make_shared<Broadcast>();
  broadcast->m_pending = static_cast<int>(m_addresses.size());
  const auto body = EncodeJournalEntry(entry);
  const auto on_response =
      [broadcast, copies = CopiesOf(m_addresses.size(), RequiredCopies()),
       done = std::move(done)](bool stored) {
        --broadcast->m_pending;
        const auto before = broadcast->m_count;
        broadcast->m_count += stored ? 1 : 0;
        const auto secured = broadcast->m_count == copies && before < copies;
        if (secured) {
          done(true);
        } else if (broadcast->m_pending == 0 && broadcast->m_count < copies) {
          done(false);
        }
      };
  const auto addresses = m_addresses;
  for (const auto& address : addresses) {
    CallPeer(m_context.m_loop, m_context.m_peer_connections, address,
             kJournalWritePath, body, kDiskTimeout,
             [on_response](const Result<std::string>& reply) {
               on_response(reply.has_value());
             });
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
  if (m_addresses.empty()) {
    done({.m_complete = m_listed});
    return;
  }
  auto broadcast = std::make_shared<Broadcast>();
  broadcast->m_pending = static_cast<int>(m_addresses.size());
  const auto on_response = [broadcast, stored, done,
                            copies =
                                CopiesOf(m_addresses.size(), RequiredCopies())](
                               const Result<std::string>& reply) {
    broadcast->m_count += reply ? 0 : 1;
    const auto entry = reply.and_then(DecodeJournalEntry);
    auto& newest = broadcast->m_result.m_newest;
    const auto newer = entry &&
                       entry->m_ledger.m_incarnation == stored.m_incarnation &&
                       entry->m_ledger.m_write > stored.m_write;
    if (newer &&
        (!newest || entry->m_ledger.m_write > newest->m_ledger.m_write)) {
      newest = *entry;
    }
    if (--broadcast->m_pending == 0) {
      broadcast->m_result.m_complete = broadcast->m_count < copies;
      done(broadcast->m_result);
    }
  };
  const auto body = EncodeJournalEntry(request);
  const auto addresses = m_addresses;
  for (const auto& address : addresses) {
    CallPeer(m_context.m_loop, m_context.m_peer_connections, address,
             kJournalReadPath, body, kDiskTimeout, on_response);
  }
}

}  // namespace dotterelshed
