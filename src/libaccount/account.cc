#include "dotterelshed/account.h"

namespace dotterelshed {

auto FindAccountByKey(const AccountTable& table, std::string_view key)
    -> const Account* {
  const auto found = table.m_by_key.find(std::string(key));
  if (found == table.m_by_key.end()) {
    return nullptr;
  }
  const auto account = table.m_accounts.find(found->second);
  return account == table.m_accounts.end() ? nullptr : &account->second;
}

}  // namespace dotterelshed
