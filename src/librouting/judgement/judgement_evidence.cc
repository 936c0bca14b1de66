#include "judgement/judgement_evidence.h"

#include <algorithm>
#include <cmath>

namespace dotterelshed::pvt {

namespace {

/// Hosts that must see failures before they are put down to the endpoint and
/// not to a link, if other hosts are served.
constexpr int kMinFailingHosts = 2;

auto AddCounts(OutcomeCounts& sum, const OutcomeCounts& counts) -> void {
  for (std::size_t i = 0; i < sum.size(); ++i) {
    sum.at(i) += counts.at(i);
  }
}

auto OutcomesIn(const OutcomeCounts& counts) -> std::uint32_t {
  return FailuresIn(counts) + CountOf(counts, EndpointOutcome::kServed);
}

auto FailureShare(const OutcomeCounts& counts) -> double {
  const auto all = OutcomesIn(counts);
  return all == 0 ? 0 : static_cast<double>(FailuresIn(counts)) / all;
}

/// Outcomes of the other endpoints of the service.
auto OutcomesOfOthers(const EndpointJudgement& judgement,
                      const EndpointDirectory& directory,
                      const EndpointId& id) -> OutcomeCounts {
  OutcomeCounts sum{};
  const auto* entry = FindEndpoint(directory, id);
  if (entry == nullptr) {
    return sum;
  }
  for (const auto& other : directory.m_by_service.at(entry->m_service)) {
    const auto found = judgement.m_endpoints.find(other);
    if (other != id && found != judgement.m_endpoints.end()) {
      AddCounts(sum, EvidenceOf(found->second).m_outcomes);
    }
  }
  return sum;
}

auto MostlyFails(const JudgementOptions& options, const Evidence& evidence)
    -> bool {
  return FailuresIn(evidence.m_outcomes) >= options.m_min_failures &&
         FailureShare(evidence.m_outcomes) >= options.m_failing_share &&
         (evidence.m_failing_hosts >= kMinFailingHosts ||
          evidence.m_served_hosts == 0);
}

}  // namespace

auto EvidenceOf(const JudgedEndpoint& endpoint) -> Evidence {
  Evidence evidence;
  for (const auto& [host, window] : endpoint.m_by_host) {
    auto counts = window.m_previous;
    AddCounts(counts, window.m_current);
    AddCounts(evidence.m_outcomes, counts);
    if (FailuresIn(counts) > 0) {
      ++evidence.m_failing_hosts;
    } else if (CountOf(counts, EndpointOutcome::kServed) > 0) {
      ++evidence.m_served_hosts;
    }
  }
  return evidence;
}

auto LooksBad(const EndpointJudgement& judgement,
              const EndpointDirectory& directory,
              const EndpointId& id) -> bool {
  const auto found = judgement.m_endpoints.find(id);
  if (found == judgement.m_endpoints.end()) {
    return false;
  }
  const auto& options = judgement.m_options;
  const auto evidence = EvidenceOf(found->second);
  if (MostlyFails(options, evidence)) {
    return true;
  }
  const auto share = FailureShare(evidence.m_outcomes);
  if (FailuresIn(evidence.m_outcomes) < options.m_min_partial_failures ||
      evidence.m_failing_hosts < kMinFailingHosts ||
      share < options.m_partial_share) {
    return false;
  }
  const auto others = OutcomesOfOthers(judgement, directory, id);
  // Without as many outcomes of the others it isn't known whether they fail
  // as often.
  return OutcomesIn(others) >= OutcomesIn(evidence.m_outcomes) &&
         share >= options.m_partial_multiple * FailureShare(others);
}

auto TallyService(const EndpointJudgement& judgement,
                  const EndpointDirectory& directory,
                  const ServiceId& service) -> ServiceTally {
  ServiceTally tally;
  const auto listed = directory.m_by_service.find(service);
  if (listed == directory.m_by_service.end()) {
    return tally;
  }
  for (const auto& id : listed->second) {
    tally.m_endpoints += directory.m_entries.at(id).m_leaving ? 0 : 1;
  }
  for (const auto& id : judgement.m_unusual) {
    const auto* entry = FindEndpoint(directory, id);
    if (entry == nullptr || entry->m_service != service || entry->m_leaving) {
      continue;
    }
    const auto& endpoint = judgement.m_endpoints.at(id);
    if (endpoint.m_spared) {
      ++tally.m_spared;
    } else if (endpoint.m_state != JudgementState::kReturning) {
      ++(endpoint.m_unreachable ? tally.m_unreachable : tally.m_out);
    }
  }
  return tally;
}

auto MayTakeOut(const JudgementOptions& options,
                const ServiceTally& tally,
                bool unreachable) -> bool {
  const auto in_use = tally.m_endpoints - tally.m_unreachable - tally.m_out - 1;
  const auto floor =
      std::max(1, static_cast<int>(std::ceil(options.m_min_in_use_share *
                                             tally.m_endpoints)));
  if (in_use < floor) {
    return false;
  }
  const auto reachable = tally.m_endpoints - tally.m_unreachable;
  const auto most =
      std::max(1, static_cast<int>(options.m_max_out_share * reachable));
  return unreachable || tally.m_out < most;
}

auto MostLookBad(const ServiceTally& tally) -> bool {
  const auto reachable = tally.m_endpoints - tally.m_unreachable;
  return 2 * (tally.m_out + tally.m_spared) > reachable;
}

}  // namespace dotterelshed::pvt
