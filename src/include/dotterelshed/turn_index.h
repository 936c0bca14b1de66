#ifndef DOTTERELSHED_TURN_INDEX_H_
#define DOTTERELSHED_TURN_INDEX_H_

#include <cstdint>
#include <map>
#include <unordered_map>
#include <vector>

#include "dotterelshed/error.h"
#include "dotterelshed/turn_record.h"

/// @file
/// Turns that one replica stores: what is added, found, listed for other
/// replicas, removed and expired. Plain data and functions; disks, messages and
/// clocks are the caller's.
///
/// A turn stays as long as its own lifetime and as long as any turn that
/// continues from it. Turns may arrive in any order.
///
/// @code
///   TurnIndex index;
///   AddTurn(index, record, now);
///   const auto chain = FindChain(index, record.m_turn);
///   if (chain.m_complete) { ... }
/// @endcode

namespace dotterelshed {

struct TurnIndexOptions {
  /// No turn is added beyond this size.
  std::size_t m_max_bytes = std::size_t{1} << 26;
  /// Longest possible chain; a longer one is a loop of damaged records.
  std::size_t m_max_chain = 10000;
};

struct IndexedTurn {
  TurnRecord m_record;
  /// Position in the order of arrival.
  std::uint64_t m_sequence = 0;
  TimePoint m_added_at;
  TimePoint m_expires_at;
};

struct TurnIndex {
  TurnIndexOptions m_options;
  std::unordered_map<RequestId, IndexedTurn> m_turns;
  /// Turns in the order of their arrival.
  std::map<std::uint64_t, RequestId> m_by_sequence;
  /// Number of turns in the index that continue from a turn.
  std::unordered_map<RequestId, int> m_successors;
  /// Turns that were withdrawn, and until when they must not be added again.
  std::unordered_map<RequestId, TimePoint> m_withdrawn;
  std::size_t m_bytes = 0;
  std::uint64_t m_last_sequence = 0;
};

enum class AddOutcome {
  kAdded,
  kKnown,      ///< It was there already.
  kWithdrawn,  ///< It was withdrawn and must not come back.
  kFull,       ///< No room; nothing was added.
};

/// Adds a turn whose lifetime begins at @p now. Substitutes that a known one
/// lacks are added to it.
auto AddTurn(TurnIndex& index, TurnRecord record, TimePoint now) -> AddOutcome;

/// Turns from the requested one back towards the start of its conversation.
struct TurnChain {
  /// Newest first; pointers into the index, valid until it changes.
  std::vector<const IndexedTurn*> m_turns;
  /// The chain reaches back to the start.
  bool m_complete = false;
};

auto FindChain(const TurnIndex& index, const RequestId& turn) -> TurnChain;

/// Removes a turn whose response did not reach its caller, and refuses it until
/// @p until. Returns its sequence number, or 0 if it was not there.
auto WithdrawTurn(TurnIndex& index, const RequestId& turn, TimePoint until)
    -> std::uint64_t;

/// Removes the turns whose time is over and that no other turn continues from.
/// Returns their sequence numbers.
auto DropExpiredTurns(TurnIndex& index, TimePoint now)
    -> std::vector<std::uint64_t>;

/// Part of the list of all turns, by which replicas find what they lack.
struct TurnPage {
  std::vector<const IndexedTurn*> m_turns;
  /// Position from which the next page continues.
  std::uint64_t m_last_sequence = 0;
  bool m_has_more = false;
};

/// Lists up to @p limit turns that were added after the position @p after and
/// no later than @p added_by.
auto ListTurns(const TurnIndex& index,
               std::uint64_t after,
               std::size_t limit,
               TimePoint added_by) -> TurnPage;

/// Returns the record with its remaining lifetime, to be sent to a replica.
auto CopyWithLifetimeLeft(const IndexedTurn& turn, TimePoint now) -> TurnRecord;

/// Joins the texts of a chain, oldest first, which is how a prompt begins.
auto JoinTexts(const std::vector<const TurnRecord*>& newest_first)
    -> std::string;

}  // namespace dotterelshed

#endif  // DOTTERELSHED_TURN_INDEX_H_
