#include "call/call_exchange.h"

#include <algorithm>
#include <utility>

#include "call/endpoint_probe.h"
#include "dotterelshed/http_status.h"
#include "dotterelshed/log_events.h"
#include "dotterelshed/metrics.h"
#include "dotterelshed/steady_time.h"

/// @file
/// Requests without a response: when one is sent once more.

namespace dotterelshed {

namespace {

/// A retryable request without a response is sent once more after this multiple
/// of the endpoint's mean latency, clamped to the bounds below.
constexpr int kResponseTimeoutFactor = 5;
constexpr Duration kMinResponseTimeout = std::chrono::milliseconds(400);
constexpr Duration kMaxResponseTimeout = std::chrono::milliseconds(900);
/// Silence of an endpoint after which a connection counts as hanging while this
/// host has lost its links.
constexpr Duration kLinkSilence = std::chrono::milliseconds(500);
/// Time in which an endpoint that is well responds to a probe.
constexpr Duration kProbeTimeout = std::chrono::milliseconds(300);
/// Minimum time left before the deadline for a retry after a response timeout.
constexpr Duration kMinRetryTime = std::chrono::milliseconds(200);

}  // namespace

auto CallExchange::ResponseTimeout() const -> Duration {
  if (m_route.m_kind == CallKind::kStream) {
    return kStreamResponseTimeout;
  }
  const auto load = m_context.m_loads.find(m_attempt.m_endpoint);
  const auto mean = load == m_context.m_loads.end()
                        ? Duration{0}
                        : load->second.m_mean_latency;
  return std::clamp(mean * kResponseTimeoutFactor, kMinResponseTimeout,
                    kMaxResponseTimeout);
}

/// The response may be lost although the endpoint is healthy.
auto CallExchange::RetryIfNoResponse(TimePoint now) -> void {
  const auto waits = m_attempt.m_sent && !m_attempt.m_response_started &&
                     m_attempt.m_connection != nullptr;
  if (!waits || !IsRetryable() || m_retried_without_response ||
      now - m_attempt.m_sent_at < ResponseTimeout() ||
      m_deadline - now < kMinRetryTime) {
    return;
  }
  m_retried_without_response = true;
  JudgeAttempt(EndpointOutcome::kSilent);
  const auto next_elsewhere =
      static_cast<int>(m_may_have_run_on.size()) < m_route.m_max_attempts;
  if (m_route.m_kind == CallKind::kStream && next_elsewhere) {
    ProbeSilentEndpoint();
  } else {
    RetryAfterSilence();
  }
}

/// The endpoint may go on, but nothing of it arrives here any more. Requests
/// that may run once only wait on, since their connections may come back.
auto CallExchange::RetryIfLinkLost(TimePoint now) -> void {
  const auto hangs = m_context.m_endpoint_link.m_lost && m_attempt.m_sent &&
                     m_attempt.m_connection != nullptr &&
                     !m_attempt.m_connection->relayed() &&
                     now - m_attempt.m_heard_at >= kLinkSilence;
  if (hangs && IsRetryable() && m_deadline - now >= kMinRetryTime) {
    m_attempt.m_connection->Close();
    HandleLostAttempt("links_lost");
  }
}

/// An endpoint may go on with a stream after its connection was closed. So
/// another one gets the stream only if this one hangs or can't be reached.
auto CallExchange::ProbeSilentEndpoint() -> void {
  ProbeEndpoint(m_context, m_attempt.m_endpoint, m_attempt.m_address,
                kProbeTimeout,
                [weak = weak_from_this(), attempt = m_attempts](bool answered) {
                  const auto self = weak.lock();
                  const auto waits = self && !self->m_finished &&
                                     self->m_attempts == attempt &&
                                     self->m_attempt.m_connection != nullptr &&
                                     !self->m_attempt.m_response_started;
                  if (waits && !answered) {
                    self->RetryAfterSilence();
                  }
                });
}

auto CallExchange::RetryAfterSilence() -> void {
  m_attempt.m_connection->Close();
  ReportLostAttempt(CrashEvidence::kUnproved);
  HandleLostAttempt("silent");
}

}  // namespace dotterelshed
