#ifndef DOTTERELSHED_ENDPOINT_CHART_H_
#define DOTTERELSHED_ENDPOINT_CHART_H_

#include <memory>
#include <string>
#include <string_view>

#include "dotterelshed/chart.h"

/// @file
/// The state chart of an endpoint, src/charts/endpoint.jsonc.

namespace dotterelshed {

/// Whether an endpoint gets work.
enum class EndpointState {
  kServing,
  kEjected,  ///< Too slow or failing; gets no work.
  kProbing,  ///< Gets one call at a time, to see whether it is well again.
};

enum class EndpointEvent {
  kSlow,         ///< Its steps take several times as long as its neighbours'.
  kFailed,       ///< It answered with an error, crashed or timed out.
  kRecovered,    ///< Its steps keep pace again.
  kProbeDue,     ///< The wait before the next probe is over.
  kUnreachable,  ///< It refuses connections.
};

enum class EndpointAction {
  kMoveWaiting,    ///< Calls that wait for its cache may go elsewhere.
  kHedgeRunning,   ///< What runs there is looked at for hedging at once.
  kScheduleProbe,  ///< Set the time of the next probe, later each time.
  kResetProbes,    ///< The next ejection starts with a short wait again.
};

using EndpointChart = Chart<EndpointState, EndpointEvent, EndpointAction>;

/// Stable lower-case name.
auto ToString(EndpointState state) -> std::string_view;

/// Reads and checks endpoint.jsonc in @p directory.
auto LoadEndpointChart(const std::string& directory)
    -> Result<std::shared_ptr<const EndpointChart>>;

}  // namespace dotterelshed

#endif  // DOTTERELSHED_ENDPOINT_CHART_H_
