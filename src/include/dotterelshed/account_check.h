#ifndef DOTTERELSHED_ACCOUNT_CHECK_H_
#define DOTTERELSHED_ACCOUNT_CHECK_H_

#include <cstddef>
#include <memory>
#include <string>
#include <vector>

#include "dotterelshed/account.h"

/// @file
/// Makes the accounts of a configuration from its entries. What can't be used
/// is left out and reported; the other accounts and keys hold.

namespace dotterelshed {

/// Bounds of what an operator may write. A longer key fits no request's header.
inline constexpr std::size_t kMaxAccountNameBytes = 256;
inline constexpr std::size_t kMaxKeyBytes = 4096;

/// An account as the configuration has it.
struct AccountEntry {
  /// Where it is in the configuration, for reports.
  std::string m_place;
  Account m_account;
  std::vector<std::string> m_keys;
};

/// Something in the configuration's accounts that is left out. Never has a key.
struct AccountProblem {
  std::string m_place;
  std::string m_reason;
};

struct CheckedAccounts {
  std::shared_ptr<const AccountTable> m_table;
  std::vector<AccountProblem> m_problems;
};

/// An entry is left out if its name can't be sent in a header field or is that
/// of an earlier one; a key, if it can't be sent or if several accounts have
/// it: then it belongs to none of them.
auto CheckAccounts(const std::vector<AccountEntry>& entries) -> CheckedAccounts;

}  // namespace dotterelshed

#endif  // DOTTERELSHED_ACCOUNT_CHECK_H_
