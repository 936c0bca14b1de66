#ifndef DOTTERELSHED_LEDGER_JOURNAL_H_
#define DOTTERELSHED_LEDGER_JOURNAL_H_

#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>

#include "entry_context.h"
#include "lead/journal_hosts.h"
#include "lead/lead_messages.h"

/// @file
/// A lead's access to the disk hosts, which store its ledger while the
/// platform's store is not writable. An entry is secured once it is stored on
/// one more disk host than may fail at the same time, or on all of them if
/// there are no more. A read is complete if fewer disk hosts than that failed
/// to respond, so that it meets at least one that has a secured entry. Which
/// disk hosts count is decided in journal_hosts.h.

namespace dotterelshed {

/// Result of reading a domain's ledger from the disk hosts.
struct JournalReadResult {
  /// Newest entry that the writer of the stored ledger made after it.
  std::optional<JournalEntry> m_newest;
  /// False if an entry may be secured on disk hosts that did not respond, or
  /// if the disk hosts aren't known.
  bool m_complete = false;
};

class LedgerJournal {
 public:
  explicit LedgerJournal(EntryContext& context);

  /// Keeps the list of disk hosts up to date, and calls them to see which ones
  /// respond; call several times per second.
  auto Tick(TimePoint now) -> void;

  /// A new term begins: the store has no ledger of it.
  auto BeginTerm() -> void;
  /// Returns the disk hosts that a ledger has to name which is sent to the
  /// store now.
  auto NameHosts(TimePoint now) -> std::set<HostId>;
  /// The ledger sent last is in the store.
  auto NoteStored() -> void;
  /// Returns true if the ledger in the store should name other disk hosts.
  auto AreNamesOutdated(TimePoint now) const -> bool;

  /// Stores an entry; @p done receives whether it is secured.
  auto Write(const JournalEntry& entry, std::function<void(bool)> done) -> void;
  /// Reads the newest entry after @p stored, a write to the store, and fences
  /// the disk hosts: they reject later writes of claims older than @p claim.
  auto Read(const DomainId& domain,
            ResourceVersion claim,
            const LedgerPosition& stored,
            std::function<void(const JournalReadResult&)> done) -> void;

 private:
  using ReplyHandler = std::function<void(const Result<std::string>&)>;

  /// Updates the list; @p done is called whether or not the store responds.
  auto ListDiskHosts(std::function<void()> done) -> void;
  auto ReadDiskHosts(const JournalEntry& request,
                     const LedgerPosition& stored,
                     const std::function<void(const JournalReadResult&)>& done)
      -> void;
  auto ProbeHosts() -> void;
  auto Call(const HostId& host,
            std::string_view path,
            const std::string& body,
            Duration timeout,
            ReplyHandler on_reply) -> void;
  auto LogLeftOut(const std::set<HostId>& chosen, TimePoint now) -> void;
  /// Number of disk hosts that must store an entry for it to be secured, if
  /// there are as many.
  auto RequiredCopies() const -> int {
    return m_context.m_settings.m_tolerated_losses + 1;
  }

  EntryContext& m_context;
  JournalHosts m_hosts;
  JournalTarget m_target;
  /// Hosts that the ledger sent last doesn't name since they fail.
  std::set<HostId> m_left_out;
  /// The store has listed the disk hosts, though perhaps none.
  bool m_listed = false;
  TimePoint m_next_listing;
  TimePoint m_next_probe;
};

}  // namespace dotterelshed

#endif  // DOTTERELSHED_LEDGER_JOURNAL_H_
