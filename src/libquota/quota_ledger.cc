#include "dotterelshed/quota_ledger.h"

#include <algorithm>
#include <cmath>

namespace dotterelshed {

namespace {

/// Part of the slack that is left unused.
constexpr double kReservedSlack = 0.25;
/// Longest time that is forecast; an account with a tiny rate is asked for
/// again after it.
constexpr double kMaxForecastSeconds = 60;
/// Levels are sums of many small parts; a token that is short by no more than
/// this is there.
constexpr double kRounding = 1e-9;
/// Larger levels count as this one, so that a number of tokens fits its type.
constexpr double kMaxLevel = 1e9;

auto Refill(QuotaLedger& ledger,
            const AccountId& account,
            const BucketSize& size,
            TimePoint now) -> QuotaBucket& {
  const auto [found, added] = ledger.m_buckets.try_emplace(
      account, QuotaBucket{.m_filled_at = ledger.m_sole_from});
  auto& bucket = found->second;
  if (bucket.m_filled_at > now) {
    // The wait for the predecessor may have been shortened since.
    bucket.m_filled_at = ledger.m_sole_from;
  }
  if (now > bucket.m_filled_at) {
    bucket.m_level += size.m_rate * ToSeconds(now - bucket.m_filled_at);
    bucket.m_filled_at = now;
  }
  bucket.m_level = std::min(bucket.m_level, size.m_capacity);
  return bucket;
}

}  // namespace

auto DomainBucket(const Quota& quota, const QuotaBound& bound) -> BucketSize {
  const auto span = ToSeconds(bound.m_window + bound.m_lease);
  const auto most = (quota.m_rate * ToSeconds(bound.m_window) + quota.m_burst) *
                        (1 + bound.m_over) +
                    bound.m_slack * (1 - kReservedSlack);
  const auto domains = static_cast<double>(std::max(bound.m_domains, 1));
  // A bucket that can't hold a whole token would never grant one.
  const auto capacity = std::max(most - quota.m_rate * span, domains);
  const auto rate = std::min(quota.m_rate, (most - capacity) / span);
  return {.m_rate = std::max(rate, 0.0) / domains,
          .m_capacity = std::min(capacity, most) / domains};
}

auto GrantTokens(QuotaLedger& ledger,
                 const Quota& quota,
                 const QuotaAsk& ask,
                 TimePoint now) -> int {
  const auto size = DomainBucket(quota, ledger.m_bound);
  auto& bucket = Refill(ledger, ask.m_account, size, now);
  const auto level = std::min(bucket.m_level + kRounding, kMaxLevel);
  const auto need = std::clamp(ask.m_need, 0, static_cast<int>(level));
  const auto spare = std::max(level - need - size.m_capacity / 2, 0.0);
  const auto extra = std::clamp(ask.m_extra, 0, static_cast<int>(spare));
  bucket.m_level -= need + extra;
  return need + extra;
}

auto TimeToTokens(QuotaLedger& ledger,
                  const AccountId& account,
                  const Quota& quota,
                  double tokens,
                  TimePoint now) -> Duration {
  const auto size = DomainBucket(quota, ledger.m_bound);
  const auto& bucket = Refill(ledger, account, size, now);
  const auto missing = std::min(tokens, size.m_capacity) - bucket.m_level;
  const auto wait = std::clamp(bucket.m_filled_at - now, Duration{0},
                               FromSeconds(kMaxForecastSeconds));
  if (missing <= 0) {
    return wait;
  }
  const auto seconds =
      size.m_rate > 0 ? missing / size.m_rate : kMaxForecastSeconds;
  return wait + FromSeconds(std::min(seconds, kMaxForecastSeconds));
}

auto ChangeQuotas(QuotaLedger& ledger,
                  const AccountTable& before,
                  const AccountTable& after,
                  TimePoint now) -> void {
  std::erase_if(ledger.m_buckets, [&](const auto& item) {
    const auto* quota = FindQuota(&before, item.first);
    if (quota == nullptr) {
      return false;
    }
    const auto size = DomainBucket(*quota, ledger.m_bound);
    const auto& bucket = Refill(ledger, item.first, size, now);
    return bucket.m_level >= size.m_capacity &&
           FindQuota(&after, item.first) == nullptr;
  });
}

auto FindQuota(const AccountTable* table, const AccountId& account)
    -> const Quota* {
  if (table == nullptr) {
    return nullptr;
  }
  const auto found = table->m_accounts.find(account);
  const auto known = found != table->m_accounts.end();
  return known && found->second.m_quota && found->second.m_quota->m_rate > 0
             ? &*found->second.m_quota
             : nullptr;
}

auto HasQuotas(const AccountTable* table) -> bool {
  return table != nullptr &&
         std::any_of(table->m_accounts.begin(), table->m_accounts.end(),
                     [table](const auto& item) {
                       return FindQuota(table, item.first) != nullptr;
                     });
}

}  // namespace dotterelshed
