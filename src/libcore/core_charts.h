#ifndef DOTTERELSHED_LIBCORE_CORE_CHARTS_H_
#define DOTTERELSHED_LIBCORE_CORE_CHARTS_H_

#include <string>

#include "dotterelshed/error.h"
#include "pool_state.h"

/// @file
/// The charts of calls and pools, bound to their enums.

namespace dotterelshed::pvt {

auto LoadCallChart(const std::string& directory) -> Result<CallChart>;
auto LoadPoolChart(const std::string& directory) -> Result<PoolChart>;

/// Names as in the chart files.
auto ToString(CallState state) -> std::string_view;
auto ToString(PoolRole role) -> std::string_view;

}  // namespace dotterelshed::pvt

#endif  // DOTTERELSHED_LIBCORE_CORE_CHARTS_H_
