#ifndef DOTTERELSHED_LIBCORE_PROGRAM_STORE_H_
#define DOTTERELSHED_LIBCORE_PROGRAM_STORE_H_

#include <map>
#include <optional>
#include <set>
#include <vector>

#include "dotterelshed/turn_messages.h"

/// @file
/// Records of the programs of one pool on one host, with the rules by which
/// versions from other hosts are merged. A chain never gets shorter here; a
/// chain that differs from the one in use is kept beside it until a caller's
/// token shows which one is right.

namespace dotterelshed::pvt {

struct ProgramEntry {
  ProgramRecord m_record;
  /// Other histories of the program, from provisional service in an outage.
  std::vector<ProgramRecord> m_branches;
  TimePoint m_last_used;
  /// The host besides this one that was the last to confirm the whole record.
  HostRef m_confirmed_by;
};

struct ProgramStore {
  std::map<ProgramId, ProgramEntry> m_programs;
  /// By root program.
  std::map<ProgramId, BudgetLedger> m_ledgers;
  /// Programs of each root, the root's own included if it has a record.
  std::map<ProgramId, std::set<ProgramId>> m_trees;
};

auto FindProgram(ProgramStore& store, const ProgramId& program)
    -> ProgramEntry*;

/// Number of finished turns.
auto ChainLength(const ProgramRecord& record) -> Turn;
/// Digest after the last turn; empty for none.
auto ChainEnd(const ProgramRecord& record) -> Digest;
/// Digest after @p turn; nothing if the chain is shorter.
auto ChainAt(const ProgramRecord& record, Turn turn) -> std::optional<Digest>;
auto FindTurn(const ProgramRecord& record, Turn turn) -> const TurnRecord*;

/// Adds a program that has no record yet.
auto InsertProgram(ProgramStore& store,
                   const ProgramRecord& record,
                   TimePoint now) -> ProgramEntry&;

/// Merges a version from another host. With @p keep_current set, a longer
/// version becomes a branch and not the record in use.
auto MergeProgram(ProgramStore& store,
                  const ProgramRecord& record,
                  bool keep_current,
                  TimePoint now) -> void;

auto MergeLedgers(ProgramStore& store, const std::vector<BudgetLedger>& ledgers)
    -> void;

/// Puts into use the history that has @p chain after @p turn. False if no
/// history has it.
auto SelectHistory(ProgramEntry& entry, Turn turn, const Digest& chain) -> bool;

/// Histories that @p record lacks: those longer than it or split off from it.
auto MissingHistories(const ProgramEntry& entry, const ProgramRecord& record)
    -> std::vector<ProgramRecord>;

/// Reserved and not settled in a whole tree, outside of escrows.
auto ReservedInTree(const ProgramStore& store, const ProgramId& root) -> Cost;

/// Drops the answers of all but the last @p kept turns; digests stay.
auto TrimAnswers(ProgramRecord& record, int kept) -> void;

auto RemoveProgram(ProgramStore& store, const ProgramId& program) -> void;

/// Every history of every program, for copies.
auto AllHistories(const ProgramStore& store) -> std::vector<ProgramRecord>;
auto AllLedgers(const ProgramStore& store) -> std::vector<BudgetLedger>;

}  // namespace dotterelshed::pvt

#endif  // DOTTERELSHED_LIBCORE_PROGRAM_STORE_H_
