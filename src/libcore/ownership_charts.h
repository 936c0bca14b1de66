#ifndef DOTTERELSHED_LIBCORE_OWNERSHIP_CHARTS_H_
#define DOTTERELSHED_LIBCORE_OWNERSHIP_CHARTS_H_

#include <string>
#include <string_view>

#include "dotterelshed/chart.h"
#include "dotterelshed/error.h"

/// @file
/// The charts src/charts/host.jsonc and src/charts/pool.jsonc, bound to the
/// code of ownership.

namespace dotterelshed::pvt {

enum class HostState {
  kStarting,
  kMember,
  kLead,
  kDraining,
  kDrainingLead,
  kDrained
};
enum class HostEvent {
  kOtherLeads,
  kSelfLeads,
  kDrainAsked,
  kRolesGone,
  kRoleGiven
};
enum class HostAction { kTakeLeadDuty, kDropLeadDuty };
using HostChart = Chart<HostState, HostEvent, HostAction>;

enum class PoolState { kVacant, kSolo, kPaired };
enum class PoolEvent {
  kHostAvailable,
  kPrimaryLost,
  kHolderLost,
  kPrimaryLeaving,
  kHolderLeaving
};
enum class PoolAction {
  kChoosePrimary,
  kChooseHolder,
  kClearPrimary,
  kPromoteHolder,
  kClearHolder,
  kSwapRoles
};
using PoolChart = Chart<PoolState, PoolEvent, PoolAction>;

struct OwnershipCharts {
  HostChart m_host;
  PoolChart m_pool;
};

/// Reads and checks both charts.
auto LoadOwnershipCharts(const std::string& directory)
    -> Result<OwnershipCharts>;

/// The name of @p state in the chart.
auto ToString(HostState state) -> std::string_view;

}  // namespace dotterelshed::pvt

#endif  // DOTTERELSHED_LIBCORE_OWNERSHIP_CHARTS_H_
