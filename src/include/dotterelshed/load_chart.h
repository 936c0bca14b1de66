#ifndef DOTTERELSHED_LOAD_CHART_H_
#define DOTTERELSHED_LOAD_CHART_H_

#include <string>

#include "dotterelshed/chart.h"
#include "dotterelshed/error.h"

/// @file
/// Reads state charts, JSON with comments:
/// @code
///   { "name": "action", "initial": "idle", "states": ["idle", "claiming"],
///     "transitions": [ {"from": "idle", "event": "asked", "to": "claiming",
///                       "actions": ["write_claim"]} ] }
/// @endcode

namespace dotterelshed {

/// Reads the chart <@p directory>/<@p name>.jsonc.
auto LoadChart(const std::string& directory, const std::string& name)
    -> Result<ChartSpec>;

/// Reads a chart and binds it to the enums of the code that it drives.
/// @tparam BoundChart a Chart<State, Event, Action>
template <typename BoundChart>
auto LoadBoundChart(const std::string& directory,
                    const std::string& name,
                    const ChartVocabulary& vocabulary) -> Result<BoundChart> {
  const auto spec = LoadChart(directory, name);
  if (!spec) {
    return tl::unexpected<Error>(spec.error());
  }
  return BoundChart::Bind(*spec, vocabulary);
}

}  // namespace dotterelshed

#endif  // DOTTERELSHED_LOAD_CHART_H_
