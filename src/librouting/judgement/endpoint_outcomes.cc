#include <numeric>

#include "dotterelshed/endpoint_judgement.h"

namespace dotterelshed {

namespace {

/// A report is a part of a message that passes anyway, so it has to be short.
constexpr std::size_t kMaxReportedEndpoints = 64;

}  // namespace

auto ToString(EndpointOutcome outcome) -> std::string_view {
  switch (outcome) {
    case EndpointOutcome::kServed:
      return "served";
    case EndpointOutcome::kUnreachable:
      return "unreachable";
    case EndpointOutcome::kLost:
      return "lost";
    case EndpointOutcome::kFailed:
      return "failed";
    case EndpointOutcome::kSilent:
      return "silent";
    case EndpointOutcome::kGarbled:
      return "garbled";
  }
  return "served";
}

auto ToString(JudgementState state) -> std::string_view {
  switch (state) {
    case JudgementState::kInUse:
      return "in_use";
    case JudgementState::kOut:
      return "out";
    case JudgementState::kProbing:
      return "probing";
    case JudgementState::kReturning:
      return "returning";
  }
  return "in_use";
}

auto CountOf(const OutcomeCounts& counts, EndpointOutcome outcome)
    -> std::uint32_t {
  return counts.at(static_cast<std::size_t>(outcome));
}

auto FailuresIn(const OutcomeCounts& counts) -> std::uint32_t {
  return std::accumulate(counts.begin(), counts.end(), 0U) -
         CountOf(counts, EndpointOutcome::kServed);
}

auto CountOutcome(OutcomeReport& report,
                  const EndpointId& endpoint,
                  EndpointOutcome outcome) -> bool {
  const auto full =
      report.size() >= kMaxReportedEndpoints && !report.contains(endpoint);
  if (full) {
    return false;
  }
  ++report[endpoint].at(static_cast<std::size_t>(outcome));
  return true;
}

}  // namespace dotterelshed
