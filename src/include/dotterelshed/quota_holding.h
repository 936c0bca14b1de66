#ifndef DOTTERELSHED_QUOTA_HOLDING_H_
#define DOTTERELSHED_QUOTA_HOLDING_H_

#include <deque>
#include <optional>

#include "dotterelshed/units.h"

/// @file
/// Quota tokens of one account that a host holds, or that a lead holds on loan
/// from the leads of other domains, and what is known of the account's
/// exhaustion. A token counts as used once it is taken; an unused one lapses
/// with its lease.

namespace dotterelshed {

/// Tokens that may be used until the same moment.
struct TokenBatch {
  TimePoint m_until;
  int m_count = 0;
};

struct QuotaHolding {
  std::deque<TokenBatch> m_batches;
  /// No token is to be had before this moment.
  TimePoint m_exhausted_until;
  /// Tokens taken in the current and in the last complete span of a lease.
  TimePoint m_span_start;
  int m_used_in_span = 0;
  int m_used_before = 0;
};

/// Adds tokens that may be used before @p until.
auto AddTokens(QuotaHolding& holding, int count, TimePoint until) -> void;

/// Takes the token that lapses first and returns the end of its lease, or
/// nothing if there is none. @p lease is the time of a token's use.
auto TakeToken(QuotaHolding& holding, Duration lease, TimePoint now)
    -> std::optional<TimePoint>;

/// Returns a token whose request was refused before any endpoint got it.
auto ReturnToken(QuotaHolding& holding, TimePoint until, TimePoint now) -> void;

/// Number of tokens that may be used at @p now.
auto HeldTokens(const QuotaHolding& holding, TimePoint now) -> int;

/// Number of tokens that will probably be taken within the next lease: as many
/// as in the last complete one.
auto ExpectedUse(const QuotaHolding& holding, Duration lease, TimePoint now)
    -> int;

}  // namespace dotterelshed

#endif  // DOTTERELSHED_QUOTA_HOLDING_H_
