#ifndef DOTTERELSHED_LIBCORE_PROGRAM_PROGRAM_STORE_H_
#define DOTTERELSHED_LIBCORE_PROGRAM_PROGRAM_STORE_H_

#include <map>
#include <optional>
#include <set>
#include <vector>

#include "dotterelshed/turn_messages.h"

/// @file
/// Records of the programs of one pool on one host, and the rules for merging
/// versions from other hosts. A history never gets shorter; one that diverges
/// from the current history is kept as a branch until a caller's token selects
/// one of them.

namespace dotterelshed::pvt {

struct ProgramEntry {
  ProgramRecord m_record;
  /// Diverging histories, from provisional service in an outage.
  std::vector<ProgramRecord> m_branches;
  TimePoint m_last_used;
  /// Other host that last confirmed the whole record.
  HostRef m_confirmed_by;
};

struct ProgramStore {
  std::map<ProgramId, ProgramEntry> m_programs;
  /// By root program.
  std::map<ProgramId, BudgetLedger> m_ledgers;
  /// Programs by root, including the root itself if it has a record.
  std::map<ProgramId, std::set<ProgramId>> m_trees;
};

auto FindProgram(ProgramStore& store, const ProgramId& program)
    -> ProgramEntry*;

/// Number of finished turns.
auto ChainLength(const ProgramRecord& record) -> Turn;
/// Chain digest after the last turn; empty if there are no turns.
auto ChainEnd(const ProgramRecord& record) -> Digest;
/// Chain digest after @p turn; nothing if the history is shorter.
auto ChainAt(const ProgramRecord& record, Turn turn) -> std::optional<Digest>;
auto FindTurn(const ProgramRecord& record, Turn turn) -> const TurnRecord*;

/// Adds a program that has no record yet.
auto InsertProgram(ProgramStore& store,
                   const ProgramRecord& record,
                   TimePoint now) -> ProgramEntry&;

/// Merges a version from another host. With @p keep_current set, a longer
/// version becomes a branch and does not replace the current history.
auto MergeProgram(ProgramStore& store,
                  const ProgramRecord& record,
                  bool keep_current,
                  TimePoint now) -> void;

auto MergeLedgers(ProgramStore& store, const std::vector<BudgetLedger>& ledgers)
    -> void;

/// Makes the history that has @p chain after @p turn the current one. Returns
/// false if there is none.
auto SelectHistory(ProgramEntry& entry, Turn turn, const Digest& chain) -> bool;

/// Histories that @p record lacks: longer than it or diverging from it.
auto MissingHistories(const ProgramEntry& entry, const ProgramRecord& record)
    -> std::vector<ProgramRecord>;

/// Amount reserved and not settled in a program tree, excluding escrows.
auto ReservedInTree(const ProgramStore& store, const ProgramId& root) -> Cost;

/// Drops answers so that only the last @p kept turns keep theirs; digests are
/// kept. Must be called after each appended turn, since it drops one answer.
auto TrimAnswers(ProgramRecord& record, int kept) -> void;

auto RemoveProgram(ProgramStore& store, const ProgramId& program) -> void;

/// All histories of all programs, including branches.
auto AllHistories(const ProgramStore& store) -> std::vector<ProgramRecord>;
auto AllLedgers(const ProgramStore& store) -> std::vector<BudgetLedger>;

}  // namespace dotterelshed::pvt

#endif  // DOTTERELSHED_LIBCORE_PROGRAM_PROGRAM_STORE_H_
