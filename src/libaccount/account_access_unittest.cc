#include "dotterelshed/account_access.h"

#include <catch2/catch.hpp>

namespace dotterelshed {
namespace {

using std::chrono::seconds;

constexpr AccessLimits kLenient = {.m_max_age_to_deny = seconds(3)};
constexpr AccessLimits kStrict = {.m_max_age_to_deny = seconds(3),
                                  .m_max_age_to_grant = seconds(5)};
constexpr Duration kFresh = seconds(1);
constexpr Duration kStale = seconds(6);

auto MakeTable() -> AccountTable {
  AccountTable table;
  table.m_accounts[AccountId("a")] = {.m_id = AccountId("a")};
  table.m_by_key["key"] = AccountId("a");
  return table;
}

auto Decide(std::optional<std::string_view> key,
            Duration age,
            const AccessLimits& limits,
            bool anonymous = false) -> AccessDecision {
  const auto table = MakeTable();
  return DecideAccess({.m_accounts = &table,
                       .m_anonymous_route = anonymous,
                       .m_key = key,
                       .m_view_age = age},
                      limits);
}

TEST_CASE("without accounts no request needs a key") {
  const auto decision = DecideAccess({.m_key = "key"}, kStrict);
  CHECK(decision.m_outcome == AccessOutcome::kNotNeeded);
  CHECK(IsLetIn(decision));
  CHECK(ScopedText(ScopeOf(decision), "id") == "id");
}

TEST_CASE("a known key lets in for its account") {
  const auto decision = Decide("key", kFresh, kLenient);
  CHECK(decision.m_outcome == AccessOutcome::kGranted);
  CHECK(decision.m_account == AccountId("a"));
  CHECK(IsLetIn(decision));
}

TEST_CASE("an unknown or missing key is refused") {
  CHECK(Decide("other", kFresh, kLenient).m_outcome ==
        AccessOutcome::kUnknownKey);
  CHECK(Decide("", kFresh, kLenient).m_outcome == AccessOutcome::kUnknownKey);
  const auto missing = Decide(std::nullopt, kFresh, kLenient);
  CHECK(missing.m_outcome == AccessOutcome::kMissingKey);
  CHECK_FALSE(IsLetIn(missing));
}

TEST_CASE("a host that may lack newer keys doesn't call a key unknown") {
  for (const auto key : {std::optional<std::string_view>("other"),
                         std::optional<std::string_view>()}) {
    const auto decision = Decide(key, kStale, kLenient);
    CHECK(decision.m_outcome == AccessOutcome::kUnconfirmed);
    CHECK_FALSE(IsLetIn(decision));
  }
}

TEST_CASE("only where withdrawal is strict a stale host refuses known keys") {
  CHECK(IsLetIn(Decide("key", kStale, kLenient)));
  CHECK(IsLetIn(Decide("key", kFresh, kStrict)));
  CHECK(Decide("key", kStale, kStrict).m_outcome ==
        AccessOutcome::kUnconfirmed);
}

TEST_CASE("an anonymous route refuses nobody") {
  const auto unknown = Decide("other", kStale, kStrict, true);
  CHECK(unknown.m_outcome == AccessOutcome::kAnonymous);
  CHECK_FALSE(unknown.m_account);
  CHECK(IsLetIn(unknown));
  // What a key of an account brings is its account's.
  CHECK(Decide("key", kFresh, kStrict, true).m_account == AccountId("a"));
  CHECK(Decide("key", kStale, kStrict, true).m_outcome ==
        AccessOutcome::kAnonymous);
}

TEST_CASE("stored ids of different accounts never meet") {
  const auto one = AccountScope(AccountId("a"));
  const auto other = AccountScope(AccountId("ab"));
  const auto anonymous = AccountScope(AccountId());
  const auto none = AccountScope();
  CHECK(ScopedText(one, "bc") != ScopedText(other, "c"));
  CHECK(ScopedText(one, "x") != ScopedText(anonymous, "x"));
  CHECK(ScopedText(anonymous, "x") != ScopedText(none, "x"));
  CHECK(Scoped(one, RequestId("x")) == Scoped(one, RequestId("x")));
  CHECK(Unscoped(Scoped(one, RequestId("x"))) == "x");
  CHECK(Unscoped(Scoped(none, RequestId("x"))) == "x");
  // An absent id stays absent.
  CHECK(Scoped(one, RequestId()).empty());
}

}  // namespace
}  // namespace dotterelshed
