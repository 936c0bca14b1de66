#ifndef DOTTERELSHED_JOURNAL_FILES_H_
#define DOTTERELSHED_JOURNAL_FILES_H_

#include <map>
#include <string>

#include "dotterelshed/error.h"
#include "lead/lead_messages.h"

/// @file
/// Journal of a disk host: the newest entry of each failure domain, each in a
/// file of its own that survives a power failure.

namespace dotterelshed {

struct JournalFiles {
  std::string m_folder;
  std::map<DomainId, JournalEntry> m_entries;
  /// Newest claim that has read or written each domain's entry; older claims
  /// may not write any more. A claim is the store version of the lead's entry.
  std::map<DomainId, ResourceVersion> m_fences;
};

/// Loads the journal from a directory. Files that cannot be decoded are skipped
/// and logged.
auto OpenJournal(std::string folder) -> JournalFiles;

/// Stores an entry. Errors: kConflict if the claim is older than one that has
/// read or written; kUnavailable if the disk fails.
auto WriteJournal(JournalFiles& files, const JournalEntry& entry) -> Status;

/// Returns the domain's entry and fences writes by claims older than @p claim.
/// Errors: kNotFound.
auto ReadJournal(JournalFiles& files,
                 const DomainId& domain,
                 ResourceVersion claim) -> Result<JournalEntry>;

}  // namespace dotterelshed

#endif  // DOTTERELSHED_JOURNAL_FILES_H_
