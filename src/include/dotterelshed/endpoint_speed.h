#ifndef DOTTERELSHED_ENDPOINT_SPEED_H_
#define DOTTERELSHED_ENDPOINT_SPEED_H_

#include <cstdint>
#include <map>
#include <string>

#include "dotterelshed/ids.h"
#include "dotterelshed/units.h"

/// @file
/// Estimates how slow endpoints are compared to others of their service, from
/// what their answers show. Hosts compare each answer to the usual one of its
/// route; the lead of a domain collects these for all its hosts.

namespace dotterelshed {

/// What one host takes for usual, by measure: for example the time between
/// events on a route.
struct SpeedReference {
  struct Measure {
    double m_mean_s = 0;
    int m_samples = 0;
  };
  std::map<std::string, Measure, std::less<>> m_measures;
};

/// Records a time and returns how many times the usual it is; 1 while too few
/// are known. Bounded on both sides, so that one answer can't count for many.
auto CompareToUsual(SpeedReference& reference,
                    std::string_view measure,
                    Duration time) -> double;

/// Comparisons of one endpoint's answers since the last report.
struct SlownessSum {
  std::uint32_t m_answers = 0;
  double m_sum = 0;
  auto operator==(const SlownessSum&) const -> bool = default;
};
using SlownessReport = std::map<EndpointId, SlownessSum>;

/// Adds a comparison to a report, which is bounded.
auto AddSlowness(SlownessReport& report,
                 const EndpointId& endpoint,
                 double slowness) -> void;

/// Estimate for one endpoint.
struct EndpointPace {
  /// What the endpoint is, and what it is at the moment.
  double m_long = 1;
  double m_short = 1;
  std::uint32_t m_answers = 0;
  TimePoint m_last;
};
using EndpointPaces = std::map<EndpointId, EndpointPace>;

/// Adds a host's report to the estimates.
auto TakeSlowness(EndpointPaces& paces,
                  const SlownessReport& report,
                  TimePoint now) -> void;

/// Times that an endpoint takes as multiples of the usual, in steps of a tenth,
/// for those that aren't usual.
using EndpointSlowness = std::map<EndpointId, double>;

/// Returns the slowness of one endpoint: 1 for an unknown one. A momentary
/// slowness counts until it is over or a few seconds old.
auto SlownessOf(const EndpointPace& pace, TimePoint now) -> double;

/// Returns all that aren't usual, and forgets those without answers for a
/// minute.
auto CollectSlowness(EndpointPaces& paces, TimePoint now) -> EndpointSlowness;

}  // namespace dotterelshed

#endif  // DOTTERELSHED_ENDPOINT_SPEED_H_
