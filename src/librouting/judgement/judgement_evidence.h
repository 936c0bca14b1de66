#ifndef DOTTERELSHED_LIBROUTING_JUDGEMENT_JUDGEMENT_EVIDENCE_H_
#define DOTTERELSHED_LIBROUTING_JUDGEMENT_JUDGEMENT_EVIDENCE_H_

#include "dotterelshed/endpoint_judgement.h"

/// @file
/// What the outcomes of the present windows say of an endpoint, and how many
/// endpoints of its service may be out of use.

namespace dotterelshed::pvt {

/// Outcomes of one endpoint over all hosts.
struct Evidence {
  OutcomeCounts m_outcomes{};
  /// Hosts that saw failures.
  int m_failing_hosts = 0;
  /// Hosts that saw no failure and were served.
  int m_served_hosts = 0;
};

auto EvidenceOf(const JudgedEndpoint& endpoint) -> Evidence;

/// Returns true if the outcomes show that the endpoint itself is failing.
auto LooksBad(const EndpointJudgement& judgement,
              const EndpointDirectory& directory,
              const EndpointId& id) -> bool;

/// Number of a service's endpoints by how they look.
struct ServiceTally {
  int m_endpoints = 0;
  /// Out of use since they can't be reached.
  int m_unreachable = 0;
  /// Out of use for another reason.
  int m_out = 0;
  /// In use although they look bad.
  int m_spared = 0;
};

auto TallyService(const EndpointJudgement& judgement,
                  const EndpointDirectory& directory,
                  const ServiceId& service) -> ServiceTally;

/// Returns true if one more endpoint of the service may be out of use.
auto MayTakeOut(const JudgementOptions& options,
                const ServiceTally& tally,
                bool unreachable) -> bool;

/// Returns true if so many endpoints look bad that the cause is more likely
/// elsewhere.
auto MostLookBad(const ServiceTally& tally) -> bool;

}  // namespace dotterelshed::pvt

#endif  // DOTTERELSHED_LIBROUTING_JUDGEMENT_JUDGEMENT_EVIDENCE_H_
