#include "dotterelshed/turn_index.h"

#include <algorithm>
#include <utility>

namespace dotterelshed {

namespace {

/// Removes a turn from all parts of the index.
auto EraseTurn(TurnIndex& index, const RequestId& turn) -> std::uint64_t {
  const auto found = index.m_turns.find(turn);
  if (found == index.m_turns.end()) {
    return 0;
  }
  const auto& record = found->second.m_record;
  const auto sequence = found->second.m_sequence;
  index.m_bytes -= SizeInMemory(record);
  index.m_by_sequence.erase(sequence);
  const auto successors = index.m_successors.find(record.m_previous);
  if (successors != index.m_successors.end() && --successors->second == 0) {
    index.m_successors.erase(successors);
  }
  index.m_turns.erase(found);
  return sequence;
}

auto IsExpired(const TurnIndex& index, const IndexedTurn& turn, TimePoint now)
    -> bool {
  return turn.m_expires_at <= now &&
         !index.m_successors.contains(turn.m_record.m_turn);
}

}  // namespace

auto AddTurn(TurnIndex& index, TurnRecord record, TimePoint now) -> AddOutcome {
  const auto known = index.m_turns.find(record.m_turn);
  if (known != index.m_turns.end()) {
    known->second.m_record.m_substitutes.merge(record.m_substitutes);
    return AddOutcome::kKnown;
  }
  if (index.m_withdrawn.contains(record.m_turn)) {
    return AddOutcome::kWithdrawn;
  }
  const auto size = SizeInMemory(record);
  if (index.m_bytes + size > index.m_options.m_max_bytes) {
    return AddOutcome::kFull;
  }
  index.m_bytes += size;
  const auto sequence = ++index.m_last_sequence;
  index.m_by_sequence.emplace(sequence, record.m_turn);
  if (!record.m_previous.empty()) {
    ++index.m_successors[record.m_previous];
  }
  const auto turn = record.m_turn;
  const auto expires_at = now + record.m_lifetime;
  index.m_turns.emplace(turn, IndexedTurn{.m_record = std::move(record),
                                          .m_sequence = sequence,
                                          .m_added_at = now,
                                          .m_expires_at = expires_at});
  return AddOutcome::kAdded;
}

auto FindChain(const TurnIndex& index, const RequestId& turn) -> TurnChain {
  TurnChain chain;
  auto next = turn;
  while (!next.empty() && chain.m_turns.size() < index.m_options.m_max_chain) {
    const auto found = index.m_turns.find(next);
    if (found == index.m_turns.end()) {
      return chain;
    }
    chain.m_turns.push_back(&found->second);
    next = found->second.m_record.m_previous;
  }
  chain.m_complete = next.empty() && !turn.empty();
  return chain;
}

auto WithdrawTurn(TurnIndex& index, const RequestId& turn, TimePoint until)
    -> std::uint64_t {
  index.m_withdrawn[turn] = until;
  return EraseTurn(index, turn);
}

auto DropExpiredTurns(TurnIndex& index, TimePoint now)
    -> std::vector<std::uint64_t> {
  std::erase_if(index.m_withdrawn,
                [now](const auto& item) { return item.second <= now; });
  std::vector<RequestId> expired;
  for (const auto& [turn, indexed] : index.m_turns) {
    if (IsExpired(index, indexed, now)) {
      expired.push_back(turn);
    }
  }
  std::vector<std::uint64_t> sequences;
  while (!expired.empty()) {
    const auto turn = std::move(expired.back());
    expired.pop_back();
    const auto previous = index.m_turns.at(turn).m_record.m_previous;
    sequences.push_back(EraseTurn(index, turn));
    // The turn before may have stayed for this one only.
    const auto before = index.m_turns.find(previous);
    if (before != index.m_turns.end() &&
        IsExpired(index, before->second, now)) {
      expired.push_back(previous);
    }
  }
  return sequences;
}

auto ListTurns(const TurnIndex& index,
               std::uint64_t after,
               std::size_t limit,
               TimePoint added_by) -> TurnPage {
  TurnPage page{.m_last_sequence = after};
  auto next = index.m_by_sequence.upper_bound(after);
  for (; next != index.m_by_sequence.end(); ++next) {
    const auto& turn = index.m_turns.at(next->second);
    if (turn.m_added_at > added_by) {
      return page;
    }
    if (page.m_turns.size() >= limit) {
      page.m_has_more = true;
      return page;
    }
    page.m_turns.push_back(&turn);
    page.m_last_sequence = next->first;
  }
  return page;
}

auto CopyWithLifetimeLeft(const IndexedTurn& turn, TimePoint now)
    -> TurnRecord {
  auto record = turn.m_record;
  record.m_lifetime = std::max(turn.m_expires_at - now, Duration{0});
  return record;
}

auto JoinTexts(const std::vector<const TurnRecord*>& newest_first)
    -> std::string {
  std::size_t size = 0;
  for (const auto* record : newest_first) {
    size += record->m_text.size();
  }
  std::string text;
  text.reserve(size);
  for (auto record = newest_first.rbegin(); record != newest_first.rend();
       ++record) {
    text += (*record)->m_text;
  }
  return text;
}

}  // namespace dotterelshed
