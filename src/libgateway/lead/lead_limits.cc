#include "lead/lead_limits.h"

#include <algorithm>

#include "dotterelshed/metrics.h"
#include "peer_call.h"

namespace dotterelshed {

namespace {

constexpr Duration kTellTimeout = std::chrono::milliseconds(500);
constexpr Duration kTellInterval = std::chrono::seconds(1);
/// Time for which the other leads are told that the last limit has ended.
constexpr Duration kTellEndTime = std::chrono::seconds(5);

}  // namespace

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

auto LeadLimits::TakeStatements(const LimitStatements& statements)
    -> LimitStatements {
  LimitStatements changed;
  for (const auto& [id, statement] : statements) {
    if (MergeStatement(m_context.m_limits, id, statement)) {
      changed.emplace(id, statement);
      ++m_context.m_limit_changes;
    }
  }
  return changed;
}

auto LeadLimits::HandleAsk(const LimitAsk& ask, TimePoint now) -> LimitAnswer {
  const auto changed = TakeStatements(ask.m_statements);
  if (!ask.m_from_lead) {
    TellOtherLeads(changed, now);
  }
  LimitAnswer answer{.m_leads = true};
  answer.m_permitted = !ask.m_endpoint.empty() && Take(ask.m_endpoint, now);
  const auto service = ServiceOf(m_context.m_directory, ask.m_endpoint);
  for (const auto& [id, statement] : m_context.m_limits) {
    const auto same_service =
        !service.empty() && ServiceOf(m_context.m_directory, id) == service;
    if (ask.m_all || id == ask.m_endpoint || same_service) {
      answer.m_states.emplace(id, StateOf(id, statement, now));
    }
  }
  return answer;
}

auto LeadLimits::StateOf(const EndpointId& endpoint,
                         const LimitStatement& statement,
                         TimePoint now) -> LimitState {
  const auto rate = RateOf(endpoint);
  return {.m_statement = statement,
          .m_wait = rate ? TimeToPermit(m_buckets, endpoint, *rate, now)
                         : Duration{0}};
}

/// Without this, turns that hosts of another domain get would be placed there
/// without permits until one of these hosts has an answer of its own.
auto LeadLimits::TellOtherLeads(const LimitStatements& statements,
                                TimePoint now) -> void {
  if (statements.empty()) {
    return;
  }
  const auto body =
      EncodeLimitAsk({.m_statements = statements, .m_from_lead = true}, now);
  for (const auto& [domain, lead] : m_context.m_leads) {
    if (domain != m_context.m_settings.m_domain) {
      CallPeer(m_context.m_loop, m_context.m_peer_connections,
               lead.m_entry.m_peer_address, kLimitPath, body, kTellTimeout,
               [](const Result<std::string>& /*reply*/) {});
    }
  }
}

/// A message may be lost, and its receiver may have become lead since.
auto LeadLimits::Tick(TimePoint now) -> void {
  if (now - m_last_told < kTellInterval) {
    return;
  }
  m_last_told = now;
  const auto limited = std::any_of(
      m_context.m_limits.begin(), m_context.m_limits.end(),
      [](const auto& item) { return item.second.m_per_second.has_value(); });
  if (limited) {
    m_last_limited = now;
  }
  if (now - m_last_limited <= kTellEndTime) {
    TellOtherLeads(m_context.m_limits, now);
  }
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
    const auto concerns =
        rate && ServiceOf(m_context.m_directory, id) == service;
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
