#include "judgement/judgement_log.h"

#include <string>

#include "dotterelshed/log_events.h"
#include "dotterelshed/metrics.h"

namespace dotterelshed {

namespace {

constexpr auto kOutcomes = std::to_array<EndpointOutcome>(
    {EndpointOutcome::kServed, EndpointOutcome::kUnreachable,
     EndpointOutcome::kLost, EndpointOutcome::kFailed, EndpointOutcome::kSilent,
     EndpointOutcome::kGarbled});

}  // namespace

auto ReportJudgement(const std::vector<JudgementChange>& changes,
                     std::string_view judge) -> void {
  for (const auto& change : changes) {
    const auto state =
        change.m_spared ? std::string_view("spared") : ToString(change.m_to);
    std::vector<LogField> fields = {
        {"endpoint", change.m_endpoint.value()},
        {"judge", std::string(judge)},
        {"from", std::string(ToString(change.m_from))},
        {"state", std::string(state)},
        {"hosts", std::to_string(change.m_hosts)}};
    for (const auto outcome : kOutcomes) {
      fields.push_back({std::string(ToString(outcome)),
                        std::to_string(CountOf(change.m_outcomes, outcome))});
    }
    CountMetric(MetricId::kEndpointJudgements, state);
    LogEvent(LogEventId::kEndpointJudged, fields);
  }
}

}  // namespace dotterelshed
