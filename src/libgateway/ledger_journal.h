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
/// be written. An entry is secured when two disk hosts have it, or one when no
/// other answers.

namespace dotterelshed {

class LedgerJournal {
 public:
  explicit LedgerJournal(EntryContext& context);

  /// Learns the disk hosts from the store, now and then.
  auto Refresh(TimePoint now) -> void;
  /// Learns them at once; @p done is called whether or not the store answers.
  auto ListDiskHosts(std::function<void()> done) -> void;
  /// Stores an entry; @p done gets whether it is secured.
  auto Write(const JournalEntry& entry, std::function<void(bool)> done) -> void;
  /// The newest entry of the domain that any disk host has and that the stored
  /// ledger's writer made after it; nothing if there is none.
  auto Read(const DomainId& domain,
            ResourceVersion claim,
            const StoredLedger& stored,
            std::function<void(std::optional<JournalEntry>)> done) -> void;

 private:
  auto AskDiskHosts(
      const JournalEntry& question,
      const StoredLedger& stored,
      const std::function<void(std::optional<JournalEntry>)>& done) -> void;

  EntryContext& m_context;
  std::vector<std::string> m_addresses;
  TimePoint m_refreshed;
};

}  // namespace dotterelshed

#endif  // DOTTERELSHED_LEDGER_JOURNAL_H_
