#ifndef DOTTERELSHED_LEAD_LIMITS_H_
#define DOTTERELSHED_LEAD_LIMITS_H_

#include <set>

#include "dotterelshed/endpoint_permits.h"
#include "entry_context.h"
#include "limit/limit_messages.h"

/// @file
/// A lead's side of endpoints' limits: collects what hosts of its domain heard
/// of them, and gives out permits from the domain's share.

namespace dotterelshed {

class LeadLimits {
 public:
  explicit LeadLimits(EntryContext& context) : m_context(context) {}

  /// Answers a host of this domain, or another domain's lead.
  auto HandleAsk(const LimitAsk& ask, TimePoint now) -> LimitAnswer;
  /// Tells the leads of the other domains what endpoints stated.
  auto TellOtherLeads(const LimitStatements& statements, TimePoint now) -> void;
  /// Takes a permit for an endpoint with a limit. Returns false if it has none.
  auto Take(const EndpointId& endpoint, TimePoint now) -> bool;
  /// Returns the endpoints of a service for which there is no permit now.
  auto Exhausted(const ServiceId& service, TimePoint now)
      -> std::set<EndpointId>;
  /// Returns the shortest time until one of the endpoints has a permit; zero if
  /// @p endpoints is empty.
  auto ShortestWait(const std::set<EndpointId>& endpoints, TimePoint now)
      -> Duration;
  /// Tells the other leads again while there are limits; call several times per
  /// second while this host leads.
  auto Tick(TimePoint now) -> void;
  /// This host no longer leads, or leads anew.
  auto Clear() -> void { m_buckets.clear(); }

 private:
  /// Takes over what others know. Returns the statements that changed a limit.
  auto TakeStatements(const LimitStatements& statements) -> LimitStatements;
  auto StateOf(const EndpointId& endpoint,
               const LimitStatement& statement,
               TimePoint now) -> LimitState;
  /// Returns the domain's share of the endpoint's limit, in requests a second;
  /// nothing if it has no limit.
  auto RateOf(const EndpointId& endpoint) const -> std::optional<double>;

  EntryContext& m_context;
  PermitBuckets m_buckets;
  TimePoint m_last_told;
  /// Last time at which there was a limit.
  TimePoint m_last_limited;
};

}  // namespace dotterelshed

#endif  // DOTTERELSHED_LEAD_LIMITS_H_
