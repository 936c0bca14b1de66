#ifndef DOTTERELSHED_ENDPOINT_PERMITS_H_
#define DOTTERELSHED_ENDPOINT_PERMITS_H_

#include <map>
#include <vector>

#include "dotterelshed/ids.h"
#include "dotterelshed/units.h"

/// @file
/// Permits for requests to endpoints that state a limit, as given out by the
/// lead of a failure domain. Each domain has a fixed share of a limit, so that
/// domains needn't agree on anything, and its lead keeps the share in a token
/// bucket per endpoint. The endpoint's own domain has most of it, since its
/// hosts prefer the endpoint.
///
/// What leads give out in any span of length s is at most limit x s + one
/// permit for each domain with a share, and a permit is used within kPermitTime
/// of its grant. docs/design/endpoint-limits.md derives the bound.

namespace dotterelshed {

/// Time in which a request with a permit must be sent.
inline constexpr Duration kPermitTime = std::chrono::milliseconds(300);

/// Permits that a lead can give out for one endpoint.
struct PermitBucket {
  double m_level = 0;
  TimePoint m_filled_at;
};

/// Buckets by endpoint; one that isn't there is empty.
using PermitBuckets = std::map<EndpointId, PermitBucket>;

/// An endpoint whose limit is shared.
struct LimitedEndpoint {
  EndpointId m_id;
  DomainId m_domain;
  /// Requests a second from all domains together.
  double m_limit = 0;
};

/// Returns the requests a second that a domain may send to the endpoint; zero
/// for domains that leave it to others.
/// @param domains  All domains that send requests. If it is empty, @p domain is
///   the only one.
auto DomainRate(const LimitedEndpoint& endpoint,
                const DomainId& domain,
                const std::vector<DomainId>& domains) -> double;

/// Takes a permit. Returns false if there is none.
/// @param rate  Permits a second, see DomainRate.
auto TakePermit(PermitBuckets& buckets,
                const EndpointId& endpoint,
                double rate,
                TimePoint now) -> bool;

/// Returns the time until there is a permit; zero if there is one.
auto TimeToPermit(PermitBuckets& buckets,
                  const EndpointId& endpoint,
                  double rate,
                  TimePoint now) -> Duration;

}  // namespace dotterelshed

#endif  // DOTTERELSHED_ENDPOINT_PERMITS_H_
