#ifndef DOTTERELSHED_ACCOUNT_LABELS_H_
#define DOTTERELSHED_ACCOUNT_LABELS_H_

#include <cstddef>
#include <set>
#include <string_view>

#include "dotterelshed/account.h"

/// @file
/// Values of the label "account" of metrics. Their number is bounded: the
/// accounts with the largest quotas have their own, all others share one. The
/// same on all hosts, so that their metrics can be added up.

namespace dotterelshed {

inline constexpr std::size_t kMaxAccountLabels = 32;
/// Label of the accounts without one of their own.
inline constexpr std::string_view kOtherAccounts = "other";
/// Label of requests without an account.
inline constexpr std::string_view kNoAccount = "none";

/// The accounts that have a label of their own. One without a quota counts as
/// larger than any other; of equal ones the first by name.
auto LabelledAccounts(const AccountTable& table) -> std::set<AccountId>;

}  // namespace dotterelshed

#endif  // DOTTERELSHED_ACCOUNT_LABELS_H_
