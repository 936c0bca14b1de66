#ifndef DOTTERELSHED_QUOTA_LEDGER_H_
#define DOTTERELSHED_QUOTA_LEDGER_H_

#include <map>

#include "dotterelshed/account.h"
#include "dotterelshed/ids.h"
#include "dotterelshed/units.h"

/// @file
/// Quotas of client accounts, as kept by the lead of a failure domain. Each
/// domain has an equal share of each account's limit for good; its lead keeps
/// the share in a token bucket per account and grants tokens, one per request,
/// to the hosts of its domain and to the leads of others. A token may be used
/// only for a short time (the lease), by whichever host holds it.
///
/// What leads grant in any span of length s is at most rate x s + capacity,
/// summed over all domains. A token that is used within a window was granted
/// within the window or the lease before it. DomainBucket chooses the capacity
/// so that this stays below the bound; docs/design/quotas.md derives it.
///
/// A lead that takes over knows nothing of what its predecessor granted. Its
/// buckets start empty, and fill from the moment at which its predecessor can
/// no longer have been granting, so that both together grant no more than one
/// lead.

namespace dotterelshed {

/// The bound on an account's requests in any window: (rate x window + burst) x
/// (1 + over) + slack.
struct QuotaBound {
  Duration m_window = std::chrono::seconds(5);
  double m_over = 0.1;
  double m_slack = 20;
  /// Number of failure domains that share each limit.
  int m_domains = 1;
  /// Time after its grant in which a token may be used.
  Duration m_lease = std::chrono::milliseconds(300);
};

/// Size of a token bucket.
struct BucketSize {
  /// Tokens a second.
  double m_rate = 0;
  double m_capacity = 0;
};

/// Returns the bucket that each of the domains keeps for an account.
auto DomainBucket(const Quota& quota, const QuotaBound& bound) -> BucketSize;

struct QuotaBucket {
  double m_level = 0;
  TimePoint m_filled_at;
};

struct QuotaLedger {
  QuotaBound m_bound;
  /// No other lead of this domain grants tokens from this moment on.
  TimePoint m_sole_from;
  std::map<AccountId, QuotaBucket> m_buckets;
};

/// Request for tokens of one account.
struct QuotaAsk {
  AccountId m_account;
  /// Tokens that are needed at once.
  int m_need = 0;
  /// Tokens that will probably be needed within the lease.
  int m_extra = 0;
};

/// Takes tokens from the account's bucket and returns their number, at most
/// m_need + m_extra. Nothing extra is granted from a bucket that is less than
/// half full.
auto GrantTokens(QuotaLedger& ledger,
                 const Quota& quota,
                 const QuotaAsk& ask,
                 TimePoint now) -> int;

/// Returns the time until the account's bucket holds @p tokens, or as many as
/// it can hold.
auto TimeToTokens(QuotaLedger& ledger,
                  const AccountId& account,
                  const Quota& quota,
                  double tokens,
                  TimePoint now) -> Duration;

/// Call when another configuration comes into force: brings the buckets up to
/// date with the quotas that were in force until then, and forgets those of
/// accounts that have left, once they are full.
auto ChangeQuotas(QuotaLedger& ledger,
                  const AccountTable& before,
                  const AccountTable& after,
                  TimePoint now) -> void;

/// Returns the account's quota, or nullptr if it has none.
auto FindQuota(const AccountTable* table, const AccountId& account)
    -> const Quota*;

/// Returns true if any account has a quota.
auto HasQuotas(const AccountTable* table) -> bool;

}  // namespace dotterelshed

#endif  // DOTTERELSHED_QUOTA_LEDGER_H_
