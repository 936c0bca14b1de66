#include "dotterelshed/account_access.h"

namespace dotterelshed {

namespace {

/// Neither names of accounts nor values of header fields contain it.
constexpr char kScopeEnd = '\n';

/// A host that may lack newer keys can't say that a key is unknown.
auto Denied(AccessOutcome outcome,
            const AccessQuery& query,
            const AccessLimits& limits) -> AccessDecision {
  const auto sure = query.m_view_age <= limits.m_max_age_to_deny;
  return {.m_outcome = sure ? outcome : AccessOutcome::kUnconfirmed};
}

}  // namespace

auto ToString(AccessOutcome outcome) -> std::string_view {
  switch (outcome) {
    case AccessOutcome::kNotNeeded:
      return "not_needed";
    case AccessOutcome::kAnonymous:
      return "anonymous";
    case AccessOutcome::kGranted:
      return "granted";
    case AccessOutcome::kMissingKey:
      return "missing_key";
    case AccessOutcome::kUnknownKey:
      return "unknown_key";
    case AccessOutcome::kUnconfirmed:
      return "key_unconfirmed";
  }
  return "key_unconfirmed";
}

auto DecideAccess(const AccessQuery& query, const AccessLimits& limits)
    -> AccessDecision {
  if (query.m_accounts == nullptr) {
    return {.m_outcome = AccessOutcome::kNotNeeded};
  }
  const auto* account =
      query.m_key ? FindAccountByKey(*query.m_accounts, *query.m_key) : nullptr;
  const auto& max_age = limits.m_max_age_to_grant;
  const auto vouched = !max_age || query.m_view_age <= *max_age;
  if (account != nullptr && vouched) {
    return {.m_outcome = AccessOutcome::kGranted, .m_account = account->m_id};
  }
  if (query.m_anonymous_route) {
    return {.m_outcome = AccessOutcome::kAnonymous};
  }
  if (account != nullptr) {
    return {.m_outcome = AccessOutcome::kUnconfirmed};
  }
  return Denied(
      query.m_key ? AccessOutcome::kUnknownKey : AccessOutcome::kMissingKey,
      query, limits);
}

auto IsLetIn(const AccessDecision& decision) -> bool {
  switch (decision.m_outcome) {
    case AccessOutcome::kNotNeeded:
    case AccessOutcome::kAnonymous:
    case AccessOutcome::kGranted:
      return true;
    case AccessOutcome::kMissingKey:
    case AccessOutcome::kUnknownKey:
    case AccessOutcome::kUnconfirmed:
      return false;
  }
  return false;
}

auto ScopeOf(const AccessDecision& decision) -> AccountScope {
  if (decision.m_outcome == AccessOutcome::kNotNeeded) {
    return std::nullopt;
  }
  return decision.m_account.value_or(AccountId());
}

auto ScopedText(const AccountScope& scope, const std::string& id)
    -> std::string {
  return scope ? scope->value() + kScopeEnd + id : id;
}

auto UnscopedText(const std::string& stored) -> std::string {
  const auto end = stored.find(kScopeEnd);
  return end == std::string::npos ? stored : stored.substr(end + 1);
}

}  // namespace dotterelshed
