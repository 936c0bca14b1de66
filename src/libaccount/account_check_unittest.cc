#include "dotterelshed/account_check.h"

#include <catch2/catch.hpp>

namespace dotterelshed {
namespace {

auto MakeEntry(const std::string& name, std::vector<std::string> keys)
    -> AccountEntry {
  return {.m_place = "accounts/" + name,
          .m_account = {.m_id = AccountId(name)},
          .m_keys = std::move(keys)};
}

auto Owner(const CheckedAccounts& checked, std::string_view key)
    -> std::optional<AccountId> {
  const auto* account = FindAccountByKey(*checked.m_table, key);
  return account == nullptr ? std::nullopt : std::optional(account->m_id);
}

TEST_CASE("each key belongs to its account") {
  const auto checked =
      CheckAccounts({MakeEntry("a", {"k1", "k2"}), MakeEntry("b", {"k3"})});
  CHECK(checked.m_problems.empty());
  CHECK(Owner(checked, "k1") == AccountId("a"));
  CHECK(Owner(checked, "k2") == AccountId("a"));
  CHECK(Owner(checked, "k3") == AccountId("b"));
  CHECK_FALSE(Owner(checked, "k4"));
}

TEST_CASE("a key of several accounts belongs to none of them") {
  const auto checked = CheckAccounts({MakeEntry("a", {"own", "shared"}),
                                      MakeEntry("b", {"shared"}),
                                      MakeEntry("c", {"shared", "other"})});
  CHECK_FALSE(Owner(checked, "shared"));
  CHECK(Owner(checked, "own") == AccountId("a"));
  CHECK(Owner(checked, "other") == AccountId("c"));
  CHECK(checked.m_problems.size() == 2);
}

TEST_CASE("a key that its account lists twice holds") {
  const auto checked = CheckAccounts({MakeEntry("a", {"k", "k"})});
  CHECK(checked.m_problems.empty());
  CHECK(Owner(checked, "k") == AccountId("a"));
}

TEST_CASE("what can't be sent is left out, and the rest holds") {
  const auto unusable =
      GENERATE(std::string(), std::string("a\nb"), std::string("a\0b", 3),
               std::string(" a"), std::string("a "), std::string("a\x7f"),
               std::string(65536, 'k'));
  const auto checked =
      CheckAccounts({MakeEntry(unusable, {"lost"}),
                     MakeEntry("a", {unusable, "k"}), MakeEntry("b", {"m"})});
  CHECK(checked.m_problems.size() == 2);
  CHECK(checked.m_table->m_accounts.size() == 2);
  CHECK_FALSE(Owner(checked, unusable));
  CHECK_FALSE(Owner(checked, "lost"));
  CHECK(Owner(checked, "k") == AccountId("a"));
  CHECK(Owner(checked, "m") == AccountId("b"));
}

TEST_CASE("names and keys may have letters of any language") {
  const auto checked = CheckAccounts({MakeEntry("Brød & Smør", {"nøgle"})});
  CHECK(checked.m_problems.empty());
  CHECK(Owner(checked, "nøgle") == AccountId("Brød & Smør"));
}

TEST_CASE("of two accounts with one name the first holds") {
  const auto checked =
      CheckAccounts({MakeEntry("a", {"k1"}), MakeEntry("a", {"k2"})});
  CHECK(Owner(checked, "k1") == AccountId("a"));
  CHECK_FALSE(Owner(checked, "k2"));
  CHECK(checked.m_problems.size() == 1);
}

TEST_CASE("a report has no key") {
  const auto checked =
      CheckAccounts({MakeEntry("a", {"secret", "sec\nret"}),
                     MakeEntry("b", {"secret"}), MakeEntry("b", {"secret"})});
  REQUIRE(checked.m_problems.size() == 3);
  for (const auto& problem : checked.m_problems) {
    CHECK(problem.m_reason.find("sec") == std::string::npos);
    CHECK(problem.m_place.find("sec") == std::string::npos);
  }
}

}  // namespace
}  // namespace dotterelshed
