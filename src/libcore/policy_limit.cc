#include "policy_limit.h"

#include <algorithm>

namespace dotterelshed::pvt {

namespace {

constexpr double kStartLimit = 8;
constexpr double kLeastLimit = 2;
/// A first token is late beyond this factor and this slack.
constexpr int kLateFactor = 2;
constexpr Duration kLateSlack = std::chrono::milliseconds(200);
/// Longest time between tokens that callers should see.
constexpr double kTokenGapTargetS = 0.047;
constexpr double kCutFactor = 0.9;
/// Added for each first token in time while all slots are taken.
constexpr double kRise = 0.2;
/// Time between two cuts, so that one late batch counts once.
constexpr Duration kCutInterval = std::chrono::milliseconds(500);

}  // namespace

auto StartLimit(const PolicyOptions& options, const EndpointConfig& config)
    -> double {
  const double most = std::max(1, config.m_max_concurrency);
  return options.m_adaptive_limit ? std::min(kStartLimit, most) : most;
}

auto IsLate(const AttemptState& attempt, Duration took) -> bool {
  return took > attempt.m_expected_first_token * kLateFactor + kLateSlack;
}

auto AdaptLimit(PoolPolicy& policy,
                EndpointWork& endpoint,
                const AttemptState& attempt,
                Duration took,
                TimePoint now) -> void {
  // A slow endpoint is a matter of ejection; its limit waits for its return.
  if (!policy.m_options.m_adaptive_limit ||
      endpoint.m_state != EndpointState::kServing ||
      endpoint.m_slow_marks > 0) {
    return;
  }
  const auto running = static_cast<double>(endpoint.m_running.size());
  // Long calls may be late because short ones were prefilled before them.
  const auto late = !attempt.m_long && IsLate(attempt, took);
  if (late || endpoint.m_gap_s > kTokenGapTargetS) {
    if (now - endpoint.m_limit_cut_at >= kCutInterval) {
      endpoint.m_limit_cut_at = now;
      endpoint.m_limit =
          std::max(std::min(kLeastLimit, endpoint.m_limit),
                   kCutFactor * std::min(endpoint.m_limit, running + 1));
    }
    return;
  }
  if (running + 1 >= endpoint.m_limit) {
    const double most = std::max(1, endpoint.m_config.m_max_concurrency);
    endpoint.m_limit = std::min(most, endpoint.m_limit + kRise);
  }
}

}  // namespace dotterelshed::pvt
