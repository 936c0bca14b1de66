#include "call/call_exchange.h"

#include <algorithm>

#include "dotterelshed/endpoint_permits.h"
#include "dotterelshed/steady_time.h"

/// @file
/// Requests and the limits that endpoints state: which endpoints have room, how
/// a permit is obtained, and what is answered when there is none.

namespace dotterelshed {

namespace {

/// Longest Retry-After of a request that endpoints' limits leave no room for.
constexpr Duration kMaxLimitWait = std::chrono::seconds(2);

}  // namespace

auto CallExchange::ExcludedEndpoints(TimePoint now) const
    -> std::set<EndpointId> {
  auto excluded = m_limits.Exhausted(m_service, now);
  excluded.insert(m_excluded.begin(), m_excluded.end());
  return excluded;
}

auto CallExchange::MaySendTo(const EndpointId& endpoint, TimePoint now) const
    -> bool {
  const auto permitted =
      m_permit && m_permit->m_endpoint == endpoint && now <= m_permit->m_until;
  return permitted || !LimitOf(m_context.m_limits, endpoint);
}

auto CallExchange::RequestPermit(const EndpointId& endpoint) -> void {
  const auto until = SteadyTime() + kPermitTime;
  m_limits.Ask(
      endpoint, [self = shared_from_this(), endpoint, until](bool permitted) {
        if (self->m_finished) {
          return;
        }
        if (permitted) {
          self->m_permit = Permit{.m_endpoint = endpoint, .m_until = until};
          self->m_next_endpoint = endpoint;
        }
        self->StartNextAttempt();
      });
}

auto CallExchange::RespondNoEndpoint(TimePoint now) -> void {
  if (const auto wait = m_limits.ShortestWait(m_service, now)) {
    RespondLimited(*wait);
  } else {
    RespondUnserved("no_endpoint", kRetryAfter);
  }
}

/// Callers come back at different times, since there is room for few at once.
auto CallExchange::RespondLimited(Duration wait) -> void {
  const auto spread = wait * (1 + m_context.RandomFraction());
  const auto retry_after = std::clamp(
      std::chrono::duration_cast<Duration>(spread), kRetryAfter, kMaxLimitWait);
  RespondUnserved("endpoints_limited", retry_after);
}

}  // namespace dotterelshed
