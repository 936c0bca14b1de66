#ifndef DOTTERELSHED_METRICS_H_
#define DOTTERELSHED_METRICS_H_

#include <cstdint>
#include <span>
#include <string>
#include <string_view>

#include "dotterelshed/units.h"

/// @file
/// Metrics of the process, in one catalogue. Each has at most one label, whose
/// values must come from a small fixed set (an outcome, a service's name).
///
/// @code
///   CountMetric(MetricId::kCalls, ToString(answer.m_outcome));
///   ObserveMetric(MetricId::kCallSeconds, service.value(), elapsed);
///   response.set_content(FormatMetrics(), kMetricsContentType);
/// @endcode
///
/// All functions are safe to call from several threads at once.

namespace dotterelshed {

enum class MetricId : int {
  kCalls,
  kRefusals,
  kCallSeconds,
  kOpenRequests,
  kAttempts,
  kAttemptSeconds,
  kPeerMessages,
  kPeerBytes,
  kPeerForwards,
  kPlatformCalls,
  kPlatformReachable,
  kCoreStepSeconds,
  kConfigGeneration,
  kLogEvents,
  kEntryRequests,
  kEntrySeconds,
  kEntryFirstByteSeconds,
  kConnectionsClosed,
  kTurnDecisions,
  kEndpointConnections,
  kEndpointJudgements,
  kLimitedAttempts,
  kEndpointPermits,
  kPermitAsks,
  kRelayedAttempts,
  kRelayPassages,
  kStreamOrigins,
  kStreamOriginCopies,
  kViewAge,
  kSuspectContents,
  kHistoryReads,
  kHistoryStoreSeconds,
  kHistoryWrites,
  kReplicaTurns,
  kReplicaWrites,
  kReplicaCopies,
  kAccessDecisions,
  kAccountRequests,
  kAccountFailures,
  kQuotaDecisions,
  kQuotaRefusals,
  kQuotaQuestions,
  kQuotaLoans,
  kQuotaTokens,
};

enum class MetricKind { kCounter, kGauge, kHistogram };

/// Name of a kind in the Prometheus text format.
auto ToString(MetricKind kind) -> std::string_view;

/// One metric as the catalogue lists it.
struct MetricInfo {
  MetricId m_id;
  MetricKind m_kind;
  std::string_view m_name;
  /// Name of the label; empty when it has none.
  std::string_view m_label;
  std::string_view m_help;
};

/// All metrics, in the order of MetricId.
auto MetricCatalogue() -> std::span<const MetricInfo>;

/// Value of the Content-Type header that goes with FormatMetrics.
inline constexpr auto kMetricsContentType = "text/plain; version=0.0.4";

/// Label values of one metric beyond this number are counted as "other", so
/// that callers can't make the process grow.
inline constexpr int kMaxMetricLabels = 256;

/// Adds @p amount to a counter.
auto CountMetric(MetricId id,
                 std::string_view label = "",
                 std::int64_t amount = 1) -> void;

/// Sets a gauge.
auto SetMetric(MetricId id, double value, std::string_view label = "") -> void;

/// Adds one observation to a latency histogram.
auto ObserveMetric(MetricId id, std::string_view label, Duration duration)
    -> void;

/// All metrics that have a value, in the Prometheus text format.
auto FormatMetrics() -> std::string;

/// Forgets all values; for tests.
auto ResetMetrics() -> void;

/// The catalogue as the page docs/METRICS.md.
auto FormatMetricsPage() -> std::string;

}  // namespace dotterelshed

#endif  // DOTTERELSHED_METRICS_H_
