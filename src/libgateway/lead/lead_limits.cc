#include "lead/lead_limits.h"

#include <algorithm>

#include "dotterelshed/metrics.h"

namespace dotterelshed {

auto LeadLimits::RateOf(const EndpointId& endpoint) const
    -> std::optional<double> {
  const auto limit = LimitOf(m_context.m_limits, endpoint);
  if (!limit) {
    return std::nullopt;
  }
  const auto* entry = FindEndpoint(m_context.m_directory, endpoint);
  const auto& settings = m_context.m_settings;
  return DomainRate(
      {.m_id = endpoint,
       .m_domain = entry == nullptr ? DomainId() : entry->m_domain,
       .m_limit = *limit},
      settings.m_domain, settings.m_domains);
}

auto LeadLimits::HandleAsk(const LimitAsk& ask, TimePoint now) -> LimitAnswer {
  for (const auto& [id, statement] : ask.m_statements) {
    MergeStatement(m_context.m_limits, id, statement);
  }
  LimitAnswer answer{.m_leads = true};
  const auto* entry = FindEndpoint(m_context.m_directory, ask.m_endpoint);
  if (ask.m_endpoint.empty()) {
    return answer;
  }
  answer.m_permitted = Take(ask.m_endpoint, now);
  for (const auto& [id, statement] : m_context.m_limits) {
    const auto* other = FindEndpoint(m_context.m_directory, id);
    const auto same_service = entry != nullptr && other != nullptr &&
                              other->m_service == entry->m_service;
    if (id == ask.m_endpoint || same_service) {
      const auto rate = RateOf(id);
      answer.m_states.emplace(
          id,
          LimitState{.m_statement = statement,
                     .m_wait = rate ? TimeToPermit(m_buckets, id, *rate, now)
                                    : Duration{0}});
    }
  }
  return answer;
}

auto LeadLimits::Take(const EndpointId& endpoint, TimePoint now) -> bool {
  const auto rate = RateOf(endpoint);
  if (!rate) {
    return true;
  }
  const auto taken = TakePermit(m_buckets, endpoint, *rate, now);
  CountMetric(MetricId::kEndpointPermits, taken ? "granted" : "refused");
  return taken;
}

auto LeadLimits::Exhausted(const ServiceId& service, TimePoint now)
    -> std::set<EndpointId> {
  std::set<EndpointId> exhausted;
  for (const auto& [id, statement] : m_context.m_limits) {
    const auto rate = RateOf(id);
    const auto* entry = FindEndpoint(m_context.m_directory, id);
    const auto concerns =
        rate && entry != nullptr && entry->m_service == service;
    if (concerns && TimeToPermit(m_buckets, id, *rate, now) > Duration{0}) {
      exhausted.insert(id);
    }
  }
  return exhausted;
}

auto LeadLimits::ShortestWait(const std::set<EndpointId>& endpoints,
                              TimePoint now) -> Duration {
  std::optional<Duration> shortest;
  for (const auto& id : endpoints) {
    const auto wait = TimeToPermit(m_buckets, id, RateOf(id).value_or(0), now);
    shortest = std::min(shortest.value_or(wait), wait);
  }
  return shortest.value_or(Duration{0});
}

}  // namespace dotterelshed
