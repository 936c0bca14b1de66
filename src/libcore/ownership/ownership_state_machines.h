#ifndef DOTTERELSHED_LIBCORE_OWNERSHIP_OWNERSHIP_STATE_MACHINES_H_
#define DOTTERELSHED_LIBCORE_OWNERSHIP_OWNERSHIP_STATE_MACHINES_H_

#include <string>
#include <string_view>

#include "dotterelshed/chart.h"
#include "dotterelshed/error.h"

/// @file
/// The state machines in src/charts/host.jsonc and src/charts/pool.jsonc, bound
/// to enums. The first is the life cycle of a host, the second the assignment
/// of a pool's primary and copy holder.

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
using HostStateMachine = Chart<HostState, HostEvent, HostAction>;

enum class PoolAssignmentState { kVacant, kSolo, kPaired };
enum class PoolAssignmentEvent {
  kHostAvailable,
  kPrimaryLost,
  kHolderLost,
  kPrimaryLeaving,
  kHolderLeaving
};
enum class PoolAssignmentAction {
  kChoosePrimary,
  kChooseHolder,
  kClearPrimary,
  kPromoteHolder,
  kClearHolder,
  kSwapRoles
};
using PoolAssignmentStateMachine =
    Chart<PoolAssignmentState, PoolAssignmentEvent, PoolAssignmentAction>;

struct OwnershipStateMachines {
  HostStateMachine m_host;
  PoolAssignmentStateMachine m_pool;
};

/// Reads and checks both state machines.
auto LoadOwnershipStateMachines(const std::string& directory)
    -> Result<OwnershipStateMachines>;

/// Name of @p state in its state machine file.
auto ToString(HostState state) -> std::string_view;

}  // namespace dotterelshed::pvt

#endif  // DOTTERELSHED_LIBCORE_OWNERSHIP_OWNERSHIP_STATE_MACHINES_H_
