#ifndef DOTTERELSHED_TURN_ORDER_H_
#define DOTTERELSHED_TURN_ORDER_H_

#include <optional>
#include <string_view>

#include "dotterelshed/account.h"
#include "dotterelshed/units.h"

/// @file
/// Order of turns at engines while more turns wait than there are places, and
/// the programs that they belong to have unequal time left.
///
/// Callers need programs that end in time. So turns of programs that can still
/// do so go before those that can't any more, programs under way before new
/// ones, and among those under way the ones with the smallest share of their
/// time left. The share treats long and short programs alike: by the time
/// itself, a long program would go last until too little is left for the turns
/// that it still has.

namespace dotterelshed {

/// When engines are told the order.
enum class TurnOrderMode {
  kAuto,  ///< Where the configuration names client accounts.
  kOn,
  kOff,
};

/// Nothing for any other text than "auto", "on" and "off".
auto ParseTurnOrderMode(std::string_view text) -> std::optional<TurnOrderMode>;

/// Returns true if engines are told the order.
auto IsTurnOrderUsed(TurnOrderMode mode, bool has_accounts) -> bool;

/// What decides the place of a turn in the order.
struct TurnStanding {
  /// The account's priority goes before the route's.
  std::optional<Priority> m_account_priority;
  std::optional<Priority> m_route_priority;
  /// The turn begins a program, of which nothing has run.
  bool m_first = false;
  /// Time to the program's objective, negative once that has passed; nothing if
  /// the caller names none.
  std::optional<Duration> m_time_left;
  /// Time since the program's first turn; nothing if it isn't known.
  std::optional<Duration> m_age;
};

/// Rank of a turn at an engine: 0 is served first.
using TurnRank = StrongCount<struct TurnRankTag>;

inline constexpr TurnRank kLastRank{9};

/// Returns a rank from 1 to 9.
auto RankTurn(const TurnStanding& standing) -> TurnRank;

}  // namespace dotterelshed

#endif  // DOTTERELSHED_TURN_ORDER_H_
