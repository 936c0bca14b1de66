#ifndef DOTTERELSHED_JOURNAL_FILES_H_
#define DOTTERELSHED_JOURNAL_FILES_H_

#include <map>
#include <string>

#include "dotterelshed/error.h"
#include "lead_messages.h"

/// @file
/// The journal entries of a disk host: the newest one of each failure domain, a
/// file each, that survives a loss of power.

namespace dotterelshed {

struct JournalFiles {
  std::string m_folder;
  std::map<DomainId, JournalEntry> m_entries;
  /// Claims that have read a domain's entry; older ones may not write any more.
  std::map<DomainId, ResourceVersion> m_fences;
};

/// Reads what the folder holds. A file that can't be read is left out and
/// logged.
auto OpenJournal(std::string folder) -> JournalFiles;

/// Stores an entry. Errors: kConflict for a claim that is older than one that
/// wrote or read; kUnavailable when the disk fails.
auto WriteJournal(JournalFiles& files, const JournalEntry& entry) -> Status;

/// The domain's entry, and no older claim than @p claim writes from now on.
/// Errors: kNotFound.
auto ReadJournal(JournalFiles& files,
                 const DomainId& domain,
                 ResourceVersion claim) -> Result<JournalEntry>;

}  // namespace dotterelshed

#endif  // DOTTERELSHED_JOURNAL_FILES_H_
