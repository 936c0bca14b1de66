#include "dotterelshed/account_labels.h"

#include <catch2/catch.hpp>

namespace dotterelshed {
namespace {

TEST_CASE("the largest accounts have labels of their own") {
  AccountTable table;
  constexpr int kMany = 1000;
  for (int i = 0; i < kMany; ++i) {
    const auto id = AccountId("a" + std::to_string(i));
    table.m_accounts[id] = {.m_id = id,
                            .m_quota = Quota{.m_rate = i % 500 + 1.0}};
  }
  const auto unlimited = AccountId("z");
  table.m_accounts[unlimited] = {.m_id = unlimited};
  const auto labelled = LabelledAccounts(table);
  CHECK(labelled.size() == kMaxAccountLabels);
  CHECK(labelled.contains(unlimited));
  CHECK(labelled.contains(AccountId("a499")));
  CHECK(labelled.contains(AccountId("a999")));
  CHECK_FALSE(labelled.contains(AccountId("a0")));
}

TEST_CASE("few accounts all have labels") {
  AccountTable table;
  CHECK(LabelledAccounts(table).empty());
  table.m_accounts[AccountId("a")] = {.m_id = AccountId("a")};
  CHECK(LabelledAccounts(table).size() == 1);
}

}  // namespace
}  // namespace dotterelshed
