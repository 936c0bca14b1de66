#include "dotterelshed/turn_order.h"

#include <algorithm>

namespace dotterelshed {

namespace {

/// Ranks before the shift by priority.
constexpr std::int64_t kLeastTimeLeft = 1;
constexpr std::int64_t kLittleTimeLeft = 2;
constexpr std::int64_t kSomeTimeLeft = 3;
constexpr std::int64_t kMuchTimeLeft = 4;
constexpr std::int64_t kNewProgram = 5;
constexpr std::int64_t kTooLate = 8;
/// The least urgent turn of a program that can still end in time.
constexpr std::int64_t kLastInTime = kTooLate - 1;

/// The shift is smaller than the distance between a program in its last quarter
/// and one that begins: priority decides among programs in a similar state, and
/// doesn't make one late that is about to end for the sake of one that has all
/// of its time.
constexpr std::int64_t kMaxShift = 2;
/// Shift of turns whose priority isn't known.
constexpr std::int64_t kUsualShift = 1;

auto PriorityShift(const TurnStanding& standing) -> std::int64_t {
  const auto& priority = standing.m_account_priority
                             ? standing.m_account_priority
                             : standing.m_route_priority;
  return priority ? std::clamp(priority->value(), std::int64_t{0}, kMaxShift)
                  : kUsualShift;
}

/// Rank by the share of the program's whole time that is left.
auto RankUnderWay(const TurnStanding& standing) -> std::int64_t {
  if (!standing.m_time_left || !standing.m_age) {
    return kSomeTimeLeft;
  }
  const auto left = *standing.m_time_left;
  const auto whole = left + *standing.m_age;
  if (left * 4 < whole) {
    return kLeastTimeLeft;
  }
  if (left * 2 < whole) {
    return kLittleTimeLeft;
  }
  return left * 4 < whole * 3 ? kSomeTimeLeft : kMuchTimeLeft;
}

}  // namespace

auto ParseTurnOrderMode(std::string_view text) -> std::optional<TurnOrderMode> {
  if (text == "auto") {
    return TurnOrderMode::kAuto;
  }
  if (text == "on") {
    return TurnOrderMode::kOn;
  }
  return text == "off" ? std::optional(TurnOrderMode::kOff) : std::nullopt;
}

auto IsTurnOrderUsed(TurnOrderMode mode, bool has_accounts) -> bool {
  return mode == TurnOrderMode::kAuto ? has_accounts
                                      : mode == TurnOrderMode::kOn;
}

auto RankTurn(const TurnStanding& standing) -> TurnRank {
  const auto shift = PriorityShift(standing);
  if (standing.m_time_left && *standing.m_time_left <= Duration{0}) {
    return TurnRank(kTooLate + std::min(shift, std::int64_t{1}));
  }
  const auto rank = standing.m_first ? kNewProgram : RankUnderWay(standing);
  return TurnRank(std::min(rank + shift, kLastInTime));
}

}  // namespace dotterelshed
