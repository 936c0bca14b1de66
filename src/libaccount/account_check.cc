#include "dotterelshed/account_check.h"

#include <algorithm>
#include <set>
#include <string_view>

namespace dotterelshed {

namespace {

constexpr char kSpace = ' ';
constexpr char kDelete = 0x7f;

/// True for text that arrives unchanged as the value of a header field.
auto IsFieldText(std::string_view text, std::size_t most) -> bool {
  if (text.empty() || text.size() > most || text.front() == kSpace ||
      text.back() == kSpace) {
    return false;
  }
  return std::none_of(text.begin(), text.end(), [](char letter) {
    const auto code = static_cast<unsigned char>(letter);
    return code < kSpace || letter == kDelete;
  });
}

/// Accounts and keys that were found so far.
struct Draft {
  AccountTable m_table;
  /// Keys that several accounts have.
  std::set<std::string> m_shared_keys;
  std::vector<AccountProblem> m_problems;
};

auto AddKey(Draft& draft,
            const AccountId& account,
            const std::string& key,
            const std::string& place) -> void {
  if (!IsFieldText(key, kMaxKeyBytes)) {
    draft.m_problems.push_back(
        {place,
         "the key is empty, too long or has characters that can't be "
         "sent"});
    return;
  }
  const auto [known, added] = draft.m_table.m_by_key.emplace(key, account);
  if (!added && known->second != account) {
    draft.m_shared_keys.insert(key);
    draft.m_problems.push_back({place, "the key is also one of account '" +
                                           known->second.value() +
                                           "' and is used for neither"});
  }
}

auto AddEntry(Draft& draft, const AccountEntry& entry) -> void {
  const auto& id = entry.m_account.m_id;
  if (!IsFieldText(id.value(), kMaxAccountNameBytes)) {
    draft.m_problems.push_back({entry.m_place,
                                "the account's name is empty, too long or has "
                                "characters that can't be sent"});
    return;
  }
  if (!draft.m_table.m_accounts.emplace(id, entry.m_account).second) {
    draft.m_problems.push_back(
        {entry.m_place,
         "an earlier account is also called '" + id.value() + "'"});
    return;
  }
  for (std::size_t i = 0; i < entry.m_keys.size(); ++i) {
    AddKey(draft, id, entry.m_keys[i],
           entry.m_place + ", key " + std::to_string(i));
  }
}

}  // namespace

auto CheckAccounts(const std::vector<AccountEntry>& entries)
    -> CheckedAccounts {
  Draft draft;
  for (const auto& entry : entries) {
    AddEntry(draft, entry);
  }
  for (const auto& key : draft.m_shared_keys) {
    draft.m_table.m_by_key.erase(key);
  }
  return {
      .m_table = std::make_shared<const AccountTable>(std::move(draft.m_table)),
      .m_problems = std::move(draft.m_problems)};
}

}  // namespace dotterelshed
