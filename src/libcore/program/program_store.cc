#include "program/program_store.h"

#include <algorithm>
#include <tuple>

#include "program/budget_ledger.h"

namespace dotterelshed::pvt {

namespace {

constexpr std::size_t kMaxBranches = 4;

/// True if @p longer continues, or equals, the history of @p shorter.
auto Continues(const ProgramRecord& longer, const ProgramRecord& shorter)
    -> bool {
  return ChainAt(longer, ChainLength(shorter)) == ChainEnd(shorter);
}

auto IsLater(const ProgramRecord& a, const ProgramRecord& b) -> bool {
  return std::tie(a.m_term, a.m_sequence) > std::tie(b.m_term, b.m_sequence);
}

auto HasProvisional(const ProgramRecord& record) -> bool {
  return std::any_of(record.m_turns.begin(), record.m_turns.end(),
                     [](const TurnRecord& turn) { return turn.m_provisional; });
}

/// Restores answers that @p to has dropped and @p from still has.
auto FillAnswers(ProgramRecord& to, const ProgramRecord& from) -> void {
  const auto count = std::min(to.m_turns.size(), from.m_turns.size());
  for (std::size_t i = 0; i < count; ++i) {
    if (to.m_turns[i].m_answer.empty()) {
      to.m_turns[i].m_answer = from.m_turns[i].m_answer;
    }
  }
}

auto MergeHolds(ProgramRecord& to, const ProgramRecord& from) -> void {
  for (const auto& hold : from.m_holds) {
    const auto known = std::any_of(
        to.m_holds.begin(), to.m_holds.end(),
        [&hold](const HoldRecord& local) { return local.m_id == hold.m_id; });
    if (!known) {
      to.m_holds.push_back(hold);
    }
  }
}

/// Takes the open reservation and the sequence from the later of two versions,
/// regardless of which history it belongs to.
auto MergePendingState(ProgramRecord& local, const ProgramRecord& remote)
    -> void {
  if (IsLater(remote, local)) {
    local.m_open = remote.m_open;
    local.m_last_attempted = remote.m_last_attempted;
    local.m_sequence = remote.m_sequence;
    local.m_writer = remote.m_writer;
    local.m_term = remote.m_term;
  }
  MergeHolds(local, remote);
  local.m_ended = local.m_ended || remote.m_ended;
}

/// Keeps the longer of two versions of one history.
auto MergeTurns(ProgramRecord& local, const ProgramRecord& remote) -> void {
  if (remote.m_turns.size() > local.m_turns.size()) {
    auto turns = remote.m_turns;
    std::swap(local.m_turns, turns);
  }
  FillAnswers(local, remote);
}

auto AddBranch(ProgramEntry& entry, const ProgramRecord& record) -> void {
  for (auto& branch : entry.m_branches) {
    if (Continues(branch, record) || Continues(record, branch)) {
      MergeTurns(branch, record);
      return;
    }
  }
  entry.m_branches.push_back(record);
  if (entry.m_branches.size() > kMaxBranches) {
    const auto shortest =
        std::min_element(entry.m_branches.begin(), entry.m_branches.end(),
                         [](const ProgramRecord& a, const ProgramRecord& b) {
                           return a.m_turns.size() < b.m_turns.size();
                         });
    entry.m_branches.erase(shortest);
  }
}

/// True if @p a has precedence over @p b: a history with provisional turns,
/// whose answers may have been released in an outage, then the longer one.
auto HasPrecedence(const ProgramRecord& a, const ProgramRecord& b) -> bool {
  return std::make_tuple(HasProvisional(a), a.m_turns.size()) >
         std::make_tuple(HasProvisional(b), b.m_turns.size());
}

/// Swaps only the turns: the pending state belongs to the program, not to one
/// history.
auto MakeCurrent(ProgramEntry& entry, ProgramRecord& branch) -> void {
  std::swap(entry.m_record.m_turns, branch.m_turns);
}

}  // namespace

auto FindProgram(ProgramStore& store, const ProgramId& program)
    -> ProgramEntry* {
  const auto found = store.m_programs.find(program);
  return found == store.m_programs.end() ? nullptr : &found->second;
}

auto ChainLength(const ProgramRecord& record) -> Turn {
  return record.m_turns.empty() ? Turn(0) : record.m_turns.back().m_turn;
}

auto ChainEnd(const ProgramRecord& record) -> Digest {
  return record.m_turns.empty() ? Digest() : record.m_turns.back().m_chain;
}

auto FindTurn(const ProgramRecord& record, Turn turn) -> const TurnRecord* {
  const auto index = turn.value() - 1;
  if (index < 0 || index >= static_cast<std::int64_t>(record.m_turns.size())) {
    return nullptr;
  }
  return &record.m_turns[static_cast<std::size_t>(index)];
}

auto ChainAt(const ProgramRecord& record, Turn turn) -> std::optional<Digest> {
  if (turn == Turn(0)) {
    return Digest();
  }
  const auto* found = FindTurn(record, turn);
  return found == nullptr ? std::nullopt : std::optional(found->m_chain);
}

auto InsertProgram(ProgramStore& store,
                   const ProgramRecord& record,
                   TimePoint now) -> ProgramEntry& {
  store.m_trees[record.m_root].insert(record.m_program);
  auto& entry = store.m_programs[record.m_program];
  entry = {.m_record = record, .m_last_used = now};
  return entry;
}

auto MergeProgram(ProgramStore& store,
                  const ProgramRecord& record,
                  bool keep_current,
                  TimePoint now) -> void {
  auto* entry = FindProgram(store, record.m_program);
  if (entry == nullptr) {
    InsertProgram(store, record, now);
    return;
  }
  entry->m_last_used = now;
  if (keep_current) {
    entry->m_record.m_sequence =
        std::max(entry->m_record.m_sequence, record.m_sequence);
  } else {
    MergePendingState(entry->m_record, record);
  }
  const auto longer = record.m_turns.size() > entry->m_record.m_turns.size();
  const auto same_history =
      Continues(entry->m_record, record) || Continues(record, entry->m_record);
  if (same_history && !(keep_current && longer)) {
    MergeTurns(entry->m_record, record);
    return;
  }
  AddBranch(*entry, record);
  if (!keep_current &&
      HasPrecedence(entry->m_branches.back(), entry->m_record)) {
    MakeCurrent(*entry, entry->m_branches.back());
  }
}

auto MergeLedgers(ProgramStore& store, const std::vector<BudgetLedger>& ledgers)
    -> void {
  for (const auto& ledger : ledgers) {
    MergeLedger(store.m_ledgers[ledger.m_root], ledger);
  }
}

auto SelectHistory(ProgramEntry& entry, Turn turn, const Digest& chain)
    -> bool {
  if (ChainAt(entry.m_record, turn) == chain) {
    return true;
  }
  for (auto& branch : entry.m_branches) {
    if (ChainAt(branch, turn) == chain) {
      MakeCurrent(entry, branch);
      return true;
    }
  }
  return false;
}

auto MissingHistories(const ProgramEntry& entry, const ProgramRecord& record)
    -> std::vector<ProgramRecord> {
  std::vector<ProgramRecord> beyond;
  if (!Continues(record, entry.m_record)) {
    beyond.push_back(entry.m_record);
  }
  for (const auto& branch : entry.m_branches) {
    if (!Continues(record, branch)) {
      beyond.push_back(branch);
    }
  }
  return beyond;
}

auto ReservedInTree(const ProgramStore& store, const ProgramId& root) -> Cost {
  Cost sum;
  const auto tree = store.m_trees.find(root);
  if (tree == store.m_trees.end()) {
    return sum;
  }
  for (const auto& program : tree->second) {
    const auto& open = store.m_programs.at(program).m_record.m_open;
    if (open && !open->m_from_escrow) {
      sum += open->m_amount;
    }
  }
  return sum;
}

auto TrimAnswers(ProgramRecord& record, int kept) -> void {
  const auto count = static_cast<std::size_t>(std::max(kept, 1));
  if (record.m_turns.size() <= count) {
    return;
  }
  // Earlier answers were dropped by previous calls.
  auto& turn = record.m_turns[record.m_turns.size() - count - 1];
  turn.m_answer.clear();
  turn.m_answer.shrink_to_fit();
}

auto RemoveProgram(ProgramStore& store, const ProgramId& program) -> void {
  const auto found = store.m_programs.find(program);
  if (found == store.m_programs.end()) {
    return;
  }
  const auto root = found->second.m_record.m_root;
  store.m_programs.erase(found);
  auto& tree = store.m_trees[root];
  tree.erase(program);
  if (tree.empty()) {
    store.m_trees.erase(root);
    store.m_ledgers.erase(root);
  }
}

auto AllHistories(const ProgramStore& store) -> std::vector<ProgramRecord> {
  std::vector<ProgramRecord> all;
  for (const auto& [program, entry] : store.m_programs) {
    all.push_back(entry.m_record);
    all.insert(all.end(), entry.m_branches.begin(), entry.m_branches.end());
  }
  return all;
}

auto AllLedgers(const ProgramStore& store) -> std::vector<BudgetLedger> {
  std::vector<BudgetLedger> all;
  for (const auto& [root, ledger] : store.m_ledgers) {
    all.push_back(ledger);
  }
  return all;
}

}  // namespace dotterelshed::pvt
