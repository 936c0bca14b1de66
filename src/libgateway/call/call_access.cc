#include "call/call_access.h"

#include <fmt/format.h>

#include <algorithm>
#include <string_view>
#include <utility>

#include "dotterelshed/account_labels.h"
#include "dotterelshed/metrics.h"
#include "dotterelshed/steady_time.h"

namespace dotterelshed {

namespace {

/// Time from a decision to the arrival of the request at its endpoint.
constexpr Duration kUseTime = std::chrono::milliseconds(200);

/// Begins an id that is written in hexadecimal; no header field contains it.
constexpr std::string_view kHexMark = "\n";

/// Messages between hosts and objects of the store are JSON, which carries no
/// bytes that aren't UTF-8. An id with bytes beyond ASCII is written as its
/// bytes in hexadecimal, so that different ids stay different.
template <typename Tag>
auto Storable(const StrongId<Tag>& id) -> StrongId<Tag> {
  constexpr unsigned char kFirstBeyond = 0x80;
  const auto& text = id.value();
  const auto ascii = std::all_of(text.begin(), text.end(), [](char letter) {
    return static_cast<unsigned char>(letter) < kFirstBeyond;
  });
  if (ascii) {
    return id;
  }
  std::string hex(kHexMark);
  for (const auto letter : text) {
    hex += fmt::format("{:02x}", static_cast<unsigned char>(letter));
  }
  return StrongId<Tag>(std::move(hex));
}

auto LimitsOf(const EntrySettings& settings) -> AccessLimits {
  AccessLimits limits{.m_max_age_to_deny = settings.m_config_change};
  if (settings.m_strict_key_withdrawal) {
    limits.m_max_age_to_grant = KeyWithdrawalTime(settings) - kUseTime;
  }
  return limits;
}

}  // namespace

auto AccountLabel(const EntryContext& context, const AccountId& account)
    -> std::string_view {
  if (account.empty()) {
    return kNoAccount;
  }
  return context.m_labelled_accounts.contains(account) ? account.value()
                                                       : kOtherAccounts;
}

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
  StoredIds ids{.m_request = Scoped(scope, Storable(headers.m_request)),
                .m_resumes = Scoped(scope, Storable(headers.m_resumes)),
                .m_program = Scoped(scope, Storable(headers.m_program))};
  if (headers.m_previous_turn) {
    ids.m_previous_turn = Scoped(scope, Storable(*headers.m_previous_turn));
  }
  return ids;
}

auto CountAccessDecision(const AccessDecision& decision) -> void {
  if (decision.m_outcome != AccessOutcome::kNotNeeded) {
    CountMetric(MetricId::kAccessDecisions, ToString(decision.m_outcome));
  }
}

auto CountAccountRequest(const EntryContext& context,
                         const AccountScope& scope,
                         bool served) -> void {
  if (!scope) {
    return;
  }
  const auto label = AccountLabel(context, *scope);
  CountMetric(MetricId::kAccountRequests, label);
  if (!served) {
    CountMetric(MetricId::kAccountFailures, label);
  }
}

}  // namespace dotterelshed
