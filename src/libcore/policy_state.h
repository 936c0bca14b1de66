#ifndef DOTTERELSHED_LIBCORE_POLICY_STATE_H_
#define DOTTERELSHED_LIBCORE_POLICY_STATE_H_

#include <cstdint>
#include <deque>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "dotterelshed/policy.h"

/// @file
/// State behind dotterelshed/policy.h.

namespace dotterelshed {

namespace pvt {

struct RunningAttempt {
  RequestId m_request;
  EndpointId m_endpoint;
};

struct PolicyCallState {
  PolicyCall m_call;
  std::set<AttemptId> m_attempts;
  int m_tries = 0;
};

struct PolicyEndpoint {
  EndpointConfig m_config;
  std::set<AttemptId> m_running;
  bool m_configured = true;
  bool m_leaving = false;
};

}  // namespace pvt

struct PoolPolicy {
  PolicyOptions m_options;
  std::map<EndpointId, pvt::PolicyEndpoint> m_endpoints;
  std::map<RequestId, pvt::PolicyCallState> m_calls;
  std::map<AttemptId, pvt::RunningAttempt> m_attempts;
  std::deque<RequestId> m_queue;
  std::set<Digest> m_quarantined;
  std::uint64_t m_next_attempt = 1;
};

}  // namespace dotterelshed

#endif  // DOTTERELSHED_LIBCORE_POLICY_STATE_H_
