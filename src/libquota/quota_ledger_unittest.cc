#include "dotterelshed/quota_ledger.h"

#include <catch2/catch.hpp>

#include "dotterelshed/quota_holding.h"

namespace dotterelshed {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr TimePoint kStart{seconds(100)};
const AccountId kAccount("a");

auto TableOf(const Quota& quota) -> AccountTable {
  AccountTable table;
  table.m_accounts[kAccount] = {.m_id = kAccount, .m_quota = quota};
  return table;
}

TEST_CASE("the buckets of all domains stay within the bound") {
  const auto domains = GENERATE(1, 3, 9);
  const auto rate = GENERATE(0.1, 3.0, 500.0);
  const auto burst = GENERATE(0.0, 5.0, 1000.0);
  const auto slack = GENERATE(0.0, 20.0);
  const QuotaBound bound{.m_slack = slack, .m_domains = domains};
  const auto size = DomainBucket({rate, burst}, bound);
  const auto span = ToSeconds(bound.m_window + bound.m_lease);
  const auto most = (rate * 5 + burst) * 1.1 + slack;
  CHECK(domains * (size.m_rate * span + size.m_capacity) <= most + 1e-6);
  CHECK(size.m_rate >= 0);
}

TEST_CASE("with the usual bound the whole rate is granted") {
  const QuotaBound bound{.m_domains = 9};
  const auto rate = GENERATE(0.5, 3.0, 500.0);
  const auto size = DomainBucket({rate, 0}, bound);
  CHECK(size.m_rate * 9 == Approx(rate));
  CHECK(size.m_capacity >= 1);
}

TEST_CASE("a new lead's bucket is empty and fills from when it is alone") {
  QuotaLedger ledger{.m_bound = {.m_domains = 1},
                     .m_sole_from = kStart + seconds(2)};
  const Quota quota{10, 10};
  CHECK(GrantTokens(ledger, quota, {kAccount, 5, 0}, kStart) == 0);
  CHECK(GrantTokens(ledger, quota, {kAccount, 5, 0}, kStart + seconds(2)) == 0);
  CHECK(TimeToTokens(ledger, kAccount, quota, 1, kStart + seconds(1)) >=
        seconds(1));
  CHECK(GrantTokens(ledger, quota, {kAccount, 20, 0}, kStart + seconds(3)) ==
        10);
}

TEST_CASE(
    "nothing extra is granted from a bucket that is less than half full") {
  QuotaLedger ledger{.m_sole_from = kStart};
  const Quota quota{10, 0};
  const auto full = kStart + seconds(60);
  const auto half =
      static_cast<int>(DomainBucket(quota, ledger.m_bound).m_capacity / 2);
  CHECK(GrantTokens(ledger, quota, {kAccount, 1, 1000}, full) <= half + 1);
  CHECK(GrantTokens(ledger, quota, {kAccount, 1, 1000}, full) == 1);
}

TEST_CASE("a raised quota doesn't count for the time before it") {
  QuotaLedger ledger{.m_bound = {.m_slack = 0}, .m_sole_from = kStart};
  const auto before = TableOf({1, 100});
  const auto after = TableOf({1000, 100});
  const auto& raised = *FindQuota(&after, kAccount);
  GrantTokens(ledger, *FindQuota(&before, kAccount), {kAccount, 0, 0}, kStart);
  ChangeQuotas(ledger, before, after, kStart + seconds(3));
  CHECK(GrantTokens(ledger, raised, {kAccount, 500, 0}, kStart + seconds(3)) ==
        3);
}

TEST_CASE("an account that left is forgotten only once its bucket is full") {
  QuotaLedger ledger{.m_sole_from = kStart};
  const auto before = TableOf({1, 10});
  const auto& quota = *FindQuota(&before, kAccount);
  const auto full = kStart + seconds(100);
  GrantTokens(ledger, quota, {kAccount, 10, 0}, full);
  ChangeQuotas(ledger, before, {}, full);
  CHECK(ledger.m_buckets.size() == 1);
  ChangeQuotas(ledger, before, {}, full + seconds(100));
  CHECK(ledger.m_buckets.empty());
}

TEST_CASE("an account whose rate is zero or missing has no quota") {
  const auto zero = TableOf({0, 5});
  CHECK(FindQuota(&zero, kAccount) == nullptr);
  CHECK(FindQuota(&zero, AccountId("b")) == nullptr);
  CHECK(FindQuota(nullptr, kAccount) == nullptr);
}

TEST_CASE("tokens lapse, and one that is returned can be used again") {
  constexpr Duration kLease = milliseconds(300);
  QuotaHolding holding;
  AddTokens(holding, 1, kStart + milliseconds(200));
  AddTokens(holding, 1, kStart + milliseconds(100));
  const auto until = TakeToken(holding, kLease, kStart);
  CHECK(until == kStart + milliseconds(100));
  CHECK(HeldTokens(holding, kStart + milliseconds(150)) == 1);
  CHECK_FALSE(TakeToken(holding, kLease, kStart + milliseconds(200)));
  ReturnToken(holding, *until, kStart + milliseconds(50));
  CHECK(TakeToken(holding, kLease, kStart + milliseconds(60)) == until);
  ReturnToken(holding, *until, kStart + milliseconds(100));
  CHECK(HeldTokens(holding, kStart) == 0);
}

TEST_CASE("an account with a limit beyond any number of tokens is let in") {
  const Quota quota{.m_rate = 1e300, .m_burst = 1e300};
  QuotaLedger ledger{.m_bound = {.m_domains = 3}};
  const QuotaAsk ask{.m_account = AccountId("a"), .m_need = 5};
  const TimePoint start{std::chrono::seconds(100)};
  GrantTokens(ledger, quota, ask, start);
  CHECK(GrantTokens(ledger, quota, ask, start + std::chrono::seconds(1)) == 5);
}

}  // namespace
}  // namespace dotterelshed
