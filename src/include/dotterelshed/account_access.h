#ifndef DOTTERELSHED_ACCOUNT_ACCESS_H_
#define DOTTERELSHED_ACCOUNT_ACCESS_H_

#include <optional>
#include <string>
#include <string_view>

#include "dotterelshed/account.h"
#include "dotterelshed/units.h"

/// @file
/// Decides whether a request is let in by its key, and for which account.

namespace dotterelshed {

/// How a request stands to the accounts of the configuration.
enum class AccessOutcome {
  kNotNeeded,    ///< The configuration has no accounts.
  kAnonymous,    ///< The route needs no account, and the key is of none.
  kGranted,      ///< The key belongs to an account.
  kMissingKey,   ///< Refused: there is no key, or more than one.
  kUnknownKey,   ///< Refused: no account has the key.
  kUnconfirmed,  ///< Refused for now: this host's configuration is too old.
};

/// Stable lower-case name, for logs and metrics.
auto ToString(AccessOutcome outcome) -> std::string_view;

/// Age of the configuration up to which a host relies on it.
struct AccessLimits {
  /// For saying that a key is unknown; an older configuration may lack a new
  /// key.
  Duration m_max_age_to_deny{0};
  /// For letting a key in; an older configuration may have a key that was
  /// withdrawn since. Nothing where a host out of touch goes on with the keys
  /// that it knows.
  std::optional<Duration> m_max_age_to_grant;
};

/// What the decision depends on.
struct AccessQuery {
  /// Accounts of the newest configuration; nullptr if it has none.
  const AccountTable* m_accounts = nullptr;
  /// The route needs no account.
  bool m_anonymous_route = false;
  /// Key of the request; nothing if it has none or several.
  std::optional<std::string_view> m_key;
  /// Time since the configuration was last confirmed to be the newest.
  Duration m_view_age{0};
};

struct AccessDecision {
  AccessOutcome m_outcome = AccessOutcome::kNotNeeded;
  /// Set if the key belongs to an account and may be used.
  std::optional<AccountId> m_account;
};

auto DecideAccess(const AccessQuery& query, const AccessLimits& limits)
    -> AccessDecision;

/// True if the request may run.
auto IsLetIn(const AccessDecision& decision) -> bool;

/// Account that stored ids belong to: nothing where the configuration has no
/// accounts, an empty id for requests without an account.
using AccountScope = std::optional<AccountId>;

auto ScopeOf(const AccessDecision& decision) -> AccountScope;

/// Returns an id under which what belongs to a request of this scope is stored.
/// The ids of different accounts differ even if their callers chose the same.
auto ScopedText(const AccountScope& scope, const std::string& id)
    -> std::string;

/// The id as its caller chose it; for logs.
auto UnscopedText(const std::string& stored) -> std::string;

template <typename Tag>
auto Unscoped(const StrongId<Tag>& stored) -> std::string {
  return UnscopedText(stored.value());
}

template <typename Tag>
auto Scoped(const AccountScope& scope, const StrongId<Tag>& id)
    -> StrongId<Tag> {
  return id.empty() ? id : StrongId<Tag>(ScopedText(scope, id.value()));
}

}  // namespace dotterelshed

#endif  // DOTTERELSHED_ACCOUNT_ACCESS_H_
