#ifndef DOTTERELSHED_LEDGER_JOURNAL_H_
#define DOTTERELSHED_LEDGER_JOURNAL_H_

#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "entry_context.h"
#include "lead/lead_messages.h"

/// @file
/// A lead's access to the disk hosts, which store its ledger while the
/// platform's store is not writable. An entry is secured once it is stored on
/// one more disk host than may fail at the same time, or on all of them if
/// there are no more. A read is complete if fewer disk hosts than that failed
/// to respond, so that it meets at least one that has a secured entry.

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

  /// Updates the list of disk hosts from the store every 30 s.
  auto Refresh(TimePoint now) -> void;
  /// Updates the list at once; @p done is called whether or not the store
  /// responds.
  auto ListDiskHosts(std::function<void()> done) -> void;
  /// Stores an entry; @p done receives whether it is secured.
  auto Write(const JournalEntry& entry, std::function<void(bool)> done) -> void;
  /// Reads the newest entry after @p stored, a write to the store, and fences
  /// the disk hosts: they reject later writes of claims older than @p claim.
  auto Read(const DomainId& domain,
            ResourceVersion claim,
            const LedgerPosition& stored,
            std::function<void(const JournalReadResult&)> done) -> void;

 private:
  auto ReadDiskHosts(const JournalEntry& request,
                     const LedgerPosition& stored,
                     const std::function<void(const JournalReadResult&)>& done)
      -> void;
  /// Number of disk hosts that must store an entry for it to be secured, if
  /// there are as many.
  auto RequiredCopies() const -> int {
    return m_context.m_settings.m_tolerated_losses + 1;
  }

  EntryContext& m_context;
  std::vector<std::string> m_addresses;
  /// The store has listed the disk hosts, though perhaps none.
  bool m_listed = false;
  TimePoint m_last_refresh;
};

}  // namespace dotterelshed

#endif  // DOTTERELSHED_LEDGER_JOURNAL_H_
