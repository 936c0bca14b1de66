#include "dotterelshed/account_labels.h"

#include <algorithm>
#include <limits>
#include <utility>
#include <vector>

namespace dotterelshed {

auto LabelledAccounts(const AccountTable& table) -> std::set<AccountId> {
  // Sorts the largest first.
  std::vector<std::pair<double, AccountId>> ranked;
  ranked.reserve(table.m_accounts.size());
  for (const auto& [id, account] : table.m_accounts) {
    const auto rate = account.m_quota ? account.m_quota->m_rate
                                      : std::numeric_limits<double>::infinity();
    ranked.emplace_back(-rate, id);
  }
  std::sort(ranked.begin(), ranked.end());
  ranked.resize(std::min(ranked.size(), kMaxAccountLabels));
  std::set<AccountId> labelled;
  for (auto& [rate, id] : ranked) {
    labelled.insert(std::move(id));
  }
  return labelled;
}

}  // namespace dotterelshed
