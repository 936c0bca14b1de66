#ifndef DOTTERELSHED_LIBCORE_CORE_STATE_H_
#define DOTTERELSHED_LIBCORE_CORE_STATE_H_

#include <map>
#include <memory>
#include <set>
#include <vector>

#include "dotterelshed/claims.h"
#include "dotterelshed/core.h"
#include "dotterelshed/ownership.h"
#include "dotterelshed/rollout.h"
#include "replication/pool_state.h"

/// @file
/// State behind dotterelshed/core.h.

namespace dotterelshed {

namespace pvt {

/// The call that a running attempt belongs to, and the endpoint that runs it.
struct AttemptOwner {
  PoolId m_pool;
  ServiceId m_service;
  RequestId m_request;
  EndpointId m_endpoint;
};

/// A release of engine KV memory that the endpoint has not confirmed yet.
struct PendingRelease {
  EndpointId m_endpoint;
  ProgramId m_program;
  TimePoint m_sent;
};

}  // namespace pvt

struct HostCore {
  CoreOptions m_options;
  pvt::CallStateMachine m_call_state_machine;
  pvt::PoolRoleStateMachine m_pool_state_machine;
  std::shared_ptr<const EndpointChart> m_endpoint_state_machine;
  std::shared_ptr<Ownership> m_ownership;
  std::shared_ptr<ClaimManager> m_claims;
  std::shared_ptr<Rollout> m_rollout;
  std::shared_ptr<const DeskConfig> m_config;
  std::map<PoolId, pvt::PoolState> m_pools;
  std::map<AttemptId, pvt::AttemptOwner> m_attempts;
  std::map<HoldId, pvt::PendingRelease> m_releases;
  std::set<Digest> m_quarantined;
  /// Hosts of the domain that count as alive, as of the last ownership step.
  std::vector<MemberInfo> m_live;
  bool m_platform_reachable = true;
  TimePoint m_last_step;
  /// After a pause of this process, missing messages do not count as failures
  /// before this time.
  TimePoint m_failure_detection_resumes;
  TimePoint m_last_sweep;
  TimePoint m_last_seed_request;
  bool m_draining = false;
  bool m_drain_reported = false;
};

namespace pvt {

/// Context of one step: the state, the time, and the effects collected so far.
struct StepContext {
  HostCore& m_core;
  TimePoint m_now;
  Effects& m_out;
};

}  // namespace pvt

}  // namespace dotterelshed

#endif  // DOTTERELSHED_LIBCORE_CORE_STATE_H_
