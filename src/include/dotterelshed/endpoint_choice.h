#ifndef DOTTERELSHED_ENDPOINT_CHOICE_H_
#define DOTTERELSHED_ENDPOINT_CHOICE_H_

#include <map>
#include <optional>
#include <set>

#include "dotterelshed/endpoint_directory.h"
#include "dotterelshed/endpoint_judgement.h"
#include "dotterelshed/endpoint_speed.h"
#include "dotterelshed/ids.h"
#include "dotterelshed/units.h"

/// @file
/// Chooses the endpoint for a request: the one that is expected to answer it
/// first, judged by what this host alone has observed of each.

namespace dotterelshed {

/// Load and failures of one endpoint as observed by this host.
struct EndpointLoad {
  int m_outstanding = 0;
  int m_failures_in_a_row = 0;
  /// Until this time it is chosen only if no other endpoint can be.
  TimePoint m_avoid_until;
  /// Exponential moving average of the time to the first byte; zero before the
  /// first answer.
  Duration m_mean_latency{0};
  int m_answers = 0;
};

using EndpointLoads = std::map<EndpointId, EndpointLoad>;

struct ChoiceQuery {
  ServiceId m_service;
  DomainId m_domain;
  /// Only endpoints of this software version may be chosen; any if empty.
  SoftwareVersion m_software;
  /// Endpoints that must not be chosen, for example since they were tried.
  std::set<EndpointId> m_excluded;
  /// Endpoints that are chosen only if there are no others.
  std::set<EndpointId> m_avoided;
  /// Endpoint that has the program's prompt cached; empty if none is known.
  EndpointId m_warm;
  /// Shares of requests by the judgement of endpoints; may be null. Endpoints
  /// that are out are chosen only if there are no others.
  const EndpointShares* m_shares = nullptr;
  /// Uniform in [0, 1); an endpoint with a smaller share is left out.
  double m_share_draw = 0;
  /// How slow endpoints are; may be null. Then they are chosen by the places
  /// that are taken, else by the expected end of the request.
  const EndpointSlowness* m_slowness = nullptr;
  /// The loads are those of all hosts of the domain. One that sees only its own
  /// requests can't tell when a fast endpoint is full, so it spreads equals by
  /// their speed.
  bool m_sees_all_load = false;
  /// Host whose connections are to be reused; empty if that doesn't matter.
  HostId m_host;
  /// Number of hosts in its domain; 0 if not known.
  std::size_t m_hosts = 0;
  /// Uniform in [0, 1); breaks ties.
  double m_draw = 0;
};

/// Returns true if the endpoint may go on with a stream of this software
/// version, which is empty if none has begun.
auto IsOfVersion(const EndpointEntry& entry, const SoftwareVersion& software)
    -> bool;

/// Returns true if the service has an endpoint of this software version that
/// takes new requests.
auto HasVersion(const EndpointDirectory& directory,
                const ServiceId& service,
                const SoftwareVersion& software) -> bool;

/// Returns the endpoint for a request, or nothing if the service has none that
/// may be chosen.
auto ChooseEndpoint(const EndpointDirectory& directory,
                    const EndpointLoads& loads,
                    const ChoiceQuery& query,
                    TimePoint now) -> std::optional<EndpointId>;

/// Forgets failures that weren't the endpoint's.
auto ForgetFailures(EndpointLoad& load) -> void;

/// An attempt could not be delivered, or ended without a usable answer.
auto NoteFailure(EndpointLoad& load, TimePoint now) -> void;

/// An answer began after @p latency.
auto NoteAnswer(EndpointLoad& load, Duration latency) -> void;

}  // namespace dotterelshed

#endif  // DOTTERELSHED_ENDPOINT_CHOICE_H_
