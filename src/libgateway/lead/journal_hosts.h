#ifndef DOTTERELSHED_JOURNAL_HOSTS_H_
#define DOTTERELSHED_JOURNAL_HOSTS_H_

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "dotterelshed/ids.h"
#include "dotterelshed/replica_placement.h"
#include "dotterelshed/units.h"

/// @file
/// Which disk hosts may hold a lead's journal. One that is gone for good stays
/// listed in the platform's store, and nobody there says that it is gone. So a
/// lead names in its stored ledger the disk hosts to which it may write later
/// ledgers, without those that don't respond. It writes to no other ones until
/// the store has another ledger of it, and its successor waits for no other
/// ones.

namespace dotterelshed {

/// The disk hosts that a ledger in the store names. Nothing, in ledgers of
/// earlier versions, stands for all that are listed.
using JournalScope = std::optional<std::set<HostId>>;

/// A disk host as one lead sees it.
struct JournalHost {
  std::string m_address;
  /// It has been drained: nothing that it holds is needed any more.
  bool m_drained = false;
  /// First call that failed since the last one that didn't.
  std::optional<TimePoint> m_failing_since;
};

/// The listed disk hosts.
using JournalHosts = std::map<HostId, JournalHost>;

/// The list was read: keeps what is known of hosts that are at their address.
auto TakeListedHosts(JournalHosts& hosts,
                     const std::vector<ReplicaHost>& listed) -> void;

/// A call to a disk host was answered, or failed. Hosts that aren't listed are
/// ignored.
auto NoteJournalCall(JournalHosts& hosts,
                     const HostId& host,
                     bool answered,
                     TimePoint now) -> void;

/// Returns the disk hosts that a ledger may be kept on: all but those that have
/// been drained, or have failed for a while. As many as are needed are named
/// even if they fail, the last to fail first.
/// @param copies  on which a ledger is kept.
auto ChooseJournalHosts(const JournalHosts& hosts, int copies, TimePoint now)
    -> std::set<HostId>;

/// Returns the copies that a ledger needs where there are @p hosts disk hosts:
/// all of them if there are fewer than are wanted.
auto CopiesNeeded(std::size_t hosts, int wanted) -> int;

/// Where a lead may write its journal. A write to the store that is not
/// confirmed may have been applied, or be applied later, so a successor may
/// read any of those since the last confirmed one.
struct JournalTarget {
  /// Hosts that all of those ledgers name; none before the first is confirmed.
  std::set<HostId> m_hosts;
  /// Copies that are needed for each of them.
  int m_copies = 0;
  /// Hosts that the ledger sent last names.
  std::set<HostId> m_sent;
};

/// A ledger that names @p hosts is sent to the store.
auto NoteNamesSent(JournalTarget& target,
                   const std::set<HostId>& hosts,
                   int wanted) -> void;
/// The ledger sent last is in the store.
auto NoteNamesStored(JournalTarget& target, int wanted) -> void;

/// Returns true if the hosts that answered hold each ledger that may be kept.
/// @param scope  of the writer's ledger in the store.
/// @param wanted  copies on which a ledger is kept, if there are as many hosts.
auto IsReadComplete(const JournalHosts& hosts,
                    const JournalScope& scope,
                    const std::set<HostId>& answered,
                    int wanted) -> bool;

}  // namespace dotterelshed

#endif  // DOTTERELSHED_JOURNAL_HOSTS_H_
