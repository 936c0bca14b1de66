#ifndef DOTTERELSHED_ENDPOINT_CHART_H_
#define DOTTERELSHED_ENDPOINT_CHART_H_

#include <memory>
#include <string>
#include <string_view>

#include "dotterelshed/chart.h"

/// @file
/// State machine of an endpoint's health, src/charts/endpoint.jsonc.

namespace dotterelshed {

/// Whether calls are dispatched to an endpoint.
enum class EndpointState {
  kServing,
  kEjected,  ///< Too slow or failing; gets no calls.
  kProbing,  ///< Gets one call at a time to test whether it has recovered.
};

enum class EndpointEvent {
  kSlow,         ///< Its steps take several times as long as other endpoints'.
  kFailed,       ///< It answered with an error, crashed or timed out.
  kRecovered,    ///< Its steps are as fast as other endpoints' again.
  kProbeDue,     ///< The back-off before the next probe has elapsed.
  kUnreachable,  ///< It refuses connections.
};

enum class EndpointAction {
  kMoveWaiting,    ///< Let calls waiting for its KV cache run elsewhere.
  kHedgeRunning,   ///< Consider its running calls for hedging at once.
  kScheduleProbe,  ///< Schedule the next probe with a growing back-off.
  kResetProbes,    ///< Reset the back-off for the next ejection.
};

using EndpointChart = Chart<EndpointState, EndpointEvent, EndpointAction>;

/// Lower-case name, as in endpoint.jsonc.
auto ToString(EndpointState state) -> std::string_view;

/// Loads and validates endpoint.jsonc in @p directory.
auto LoadEndpointChart(const std::string& directory)
    -> Result<std::shared_ptr<const EndpointChart>>;

}  // namespace dotterelshed

#endif  // DOTTERELSHED_ENDPOINT_CHART_H_
