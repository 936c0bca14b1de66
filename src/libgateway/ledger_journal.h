#ifndef DOTTERELSHED_LEDGER_JOURNAL_H_
#define DOTTERELSHED_LEDGER_JOURNAL_H_

#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "entry_context.h"
#include "lead_messages.h"

/// @file
/// A lead's way to the disk hosts, which keep its ledger while the store can't
/// be written. An entry is secured when one disk host more has it than may be
/// lost at once, or when all that answer have it.

namespace dotterelshed {

/// What the disk hosts know of a domain's ledger.
struct JournalReadResult {
  /// The newest entry that the stored ledger's writer made after it.
  std::optional<JournalEntry> m_newest;
  /// False when so many disk hosts don't answer that only they may have one.
  bool m_complete = true;
};

class LedgerJournal {
 public:
  explicit LedgerJournal(EntryContext& context);

  /// Learns the disk hosts from the store, now and then.
  auto Refresh(TimePoint now) -> void;
  /// Learns them at once; @p done is called whether or not the store answers.
  auto ListDiskHosts(std::function<void()> done) -> void;
  /// Stores an entry; @p done gets whether it is secured.
  auto Write(const JournalEntry& entry, std::function<void(bool)> done) -> void;
  /// Reads what was written under a claim up to @p claim; later writes of
  /// earlier claims are refused from then on.
  auto Read(const DomainId& domain,
            ResourceVersion claim,
            const StoredLedger& stored,
            std::function<void(const JournalReadResult&)> done) -> void;

 private:
  auto ReadDiskHosts(const JournalEntry& request,
                     const StoredLedger& stored,
                     const std::function<void(const JournalReadResult&)>& done)
      -> void;
  /// Disk hosts that have an entry before it counts as secured.
  auto RequiredCopies() const -> int {
    return m_context.m_settings.m_tolerated_losses + 1;
  }

  EntryContext& m_context;
  std::vector<std::string> m_addresses;
  TimePoint m_last_refresh;
};

}  // namespace dotterelshed

#endif  // DOTTERELSHED_LEDGER_JOURNAL_H_
