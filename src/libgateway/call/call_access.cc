#include "call/call_access.h"

#include <algorithm>

#include "dotterelshed/steady_time.h"

namespace dotterelshed {

namespace {

/// Time from a decision to the arrival of the request at its endpoint.
constexpr Duration kUseTime = std::chrono::milliseconds(200);

auto LimitsOf(const EntrySettings& settings) -> AccessLimits {
  AccessLimits limits{.m_max_age_to_deny = settings.m_config_change};
  if (settings.m_strict_key_withdrawal) {
    limits.m_max_age_to_grant = KeyWithdrawalTime(settings) - kUseTime;
  }
  return limits;
}

}  // namespace

auto DecideCallAccess(const EntryContext& context,
                      const Route& route,
                      const CallHeaders& headers) -> AccessDecision {
  const auto& watcher = context.m_config_watcher;
  return DecideAccess({.m_accounts = context.m_routes->m_accounts.get(),
                       .m_anonymous_route = route.m_anonymous,
                       .m_key = headers.m_key,
                       .m_view_age = watcher->Age(SteadyTime())},
                      LimitsOf(context.m_settings));
}

auto MakeStoredIds(const CallHeaders& headers, const AccountScope& scope)
    -> StoredIds {
  StoredIds ids{.m_request = Scoped(scope, headers.m_request),
                .m_program = Scoped(scope, headers.m_program)};
  if (headers.m_previous_turn) {
    ids.m_previous_turn = Scoped(scope, *headers.m_previous_turn);
  }
  return ids;
}

}  // namespace dotterelshed
