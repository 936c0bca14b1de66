#ifndef DOTTERELSHED_ENDPOINT_CHOICE_H_
#define DOTTERELSHED_ENDPOINT_CHOICE_H_

#include <map>
#include <optional>
#include <set>

#include "dotterelshed/endpoint_directory.h"
#include "dotterelshed/ids.h"
#include "dotterelshed/units.h"

/// @file
/// Where a request runs: the endpoint that is expected to answer it first,
/// from the chooser's own view of what each one is doing.

namespace dotterelshed {

/// What a chooser knows of one endpoint.
struct EndpointLoad {
  int m_outstanding = 0;
  int m_failures_in_a_row = 0;
  /// Not chosen before this time while others can be.
  TimePoint m_avoid_until;
  /// Moving mean of the time to the first byte; zero before the first.
  Duration m_mean_latency{0};
  int m_answers = 0;
};

using EndpointLoads = std::map<EndpointId, EndpointLoad>;

struct ChoiceQuery {
  ServiceId m_service;
  DomainId m_domain;
  /// Endpoints that must not be chosen (again).
  std::set<EndpointId> m_excluded;
  /// Endpoints that are chosen only if there are no others.
  std::set<EndpointId> m_avoided;
  /// Endpoint that holds the program's prompt; empty if none is known.
  EndpointId m_warm;
  /// Uniform in [0, 1); breaks ties.
  double m_draw = 0;
};

/// The endpoint for a request, or nothing when the service has none left.
auto ChooseEndpoint(const EndpointDirectory& directory,
                    const EndpointLoads& loads,
                    const ChoiceQuery& query,
                    TimePoint now) -> std::optional<EndpointId>;

/// An attempt could not be delivered, or ended without a usable answer.
auto NoteFailure(EndpointLoad& load, TimePoint now) -> void;

/// An answer began after @p latency.
auto NoteAnswer(EndpointLoad& load, Duration latency) -> void;

}  // namespace dotterelshed

#endif  // DOTTERELSHED_ENDPOINT_CHOICE_H_
