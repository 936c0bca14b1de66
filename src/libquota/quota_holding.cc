#include "dotterelshed/quota_holding.h"

#include <algorithm>

namespace dotterelshed {

namespace {

/// Starts a new span for counting the use if the current one is over.
auto AdvanceSpan(QuotaHolding& holding, Duration lease, TimePoint now) -> void {
  const auto age = now - holding.m_span_start;
  if (age < lease) {
    return;
  }
  holding.m_used_before = age < 2 * lease ? holding.m_used_in_span : 0;
  holding.m_used_in_span = 0;
  holding.m_span_start = now;
}

auto DropLapsed(QuotaHolding& holding, TimePoint now) -> void {
  auto& batches = holding.m_batches;
  while (!batches.empty() && batches.front().m_until <= now) {
    batches.pop_front();
  }
}

}  // namespace

auto AddTokens(QuotaHolding& holding, int count, TimePoint until) -> void {
  if (count <= 0) {
    return;
  }
  auto& batches = holding.m_batches;
  const auto after = std::upper_bound(
      batches.begin(), batches.end(), until,
      [](TimePoint end, const TokenBatch& one) { return end < one.m_until; });
  batches.insert(after, {.m_until = until, .m_count = count});
}

auto TakeToken(QuotaHolding& holding, Duration lease, TimePoint now)
    -> std::optional<TimePoint> {
  DropLapsed(holding, now);
  if (holding.m_batches.empty()) {
    return std::nullopt;
  }
  AdvanceSpan(holding, lease, now);
  ++holding.m_used_in_span;
  auto& batch = holding.m_batches.front();
  const auto until = batch.m_until;
  if (--batch.m_count == 0) {
    holding.m_batches.pop_front();
  }
  return until;
}

auto ReturnToken(QuotaHolding& holding, TimePoint until, TimePoint now)
    -> void {
  if (until > now) {
    AddTokens(holding, 1, until);
  }
}

auto HeldTokens(const QuotaHolding& holding, TimePoint now) -> int {
  int count = 0;
  for (const auto& batch : holding.m_batches) {
    count += batch.m_until > now ? batch.m_count : 0;
  }
  return count;
}

auto ExpectedUse(const QuotaHolding& holding, Duration lease, TimePoint now)
    -> int {
  const auto age = now - holding.m_span_start;
  if (age < lease) {
    return holding.m_used_before;
  }
  return age < 2 * lease ? holding.m_used_in_span : 0;
}

}  // namespace dotterelshed
