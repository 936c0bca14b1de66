#ifndef DOTTERELSHED_ACCOUNT_H_
#define DOTTERELSHED_ACCOUNT_H_

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "dotterelshed/ids.h"

/// @file
/// Client accounts of one configuration: the keys by which their requests are
/// recognised, their priority and their quota. Immutable once built.

namespace dotterelshed {

/// Rank of requests; 0 is the most urgent.
using Priority = StrongCount<struct PriorityTag>;

/// Upper bound of an account's requests over all hosts.
struct Quota {
  /// Requests a second.
  double m_rate = 0;
  /// Requests beyond the rate that may come at once.
  double m_burst = 0;
};

struct Account {
  AccountId m_id;
  /// Goes before the priority of the route.
  std::optional<Priority> m_priority;
  /// Nothing for an account without limit.
  std::optional<Quota> m_quota;
};

/// The accounts of a configuration.
struct AccountTable {
  std::map<AccountId, Account> m_accounts;
  std::unordered_map<std::string, AccountId> m_by_key;
};

/// Returns the account that holds @p key, or nullptr.
auto FindAccountByKey(const AccountTable& table, std::string_view key)
    -> const Account*;

}  // namespace dotterelshed

#endif  // DOTTERELSHED_ACCOUNT_H_
