#ifndef DOTTERELSHED_HOST_JUDGEMENT_H_
#define DOTTERELSHED_HOST_JUDGEMENT_H_

#include <optional>
#include <vector>

#include "dotterelshed/endpoint_judgement.h"
#include "dotterelshed/endpoint_speed.h"

/// @file
/// What one host makes of its own outcomes and of the judgement of its domain's
/// lead. While the lead is silent its own outcomes decide alone.

namespace dotterelshed {

/// A lead's judgement as it tells one host of its domain.
struct DomainJudgement {
  EndpointShares m_shares;
  /// How slow endpoints are, and the number of hosts in the domain.
  EndpointSlowness m_slowness;
  std::size_t m_hosts = 0;
  /// Probe that this host is to make with its next suitable request.
  std::optional<ProbeOrder> m_probe;
};

struct HostJudgement {
  /// False where the deployment doesn't call for it: nothing is recorded, and
  /// all endpoints get all requests.
  bool m_enabled = false;
  EndpointJudgement m_own;
  /// Outcomes that the lead hasn't been told of.
  OutcomeReport m_unreported;
  SlownessReport m_unreported_slowness;
  /// What this host takes for usual times.
  SpeedReference m_usual;
  DomainJudgement m_domain;
  /// Time of the lead's last answer, and of its last one with a probe.
  TimePoint m_domain_at;
  TimePoint m_probe_at;
  /// Last report that was sent.
  TimePoint m_reported_at;
  /// Last report that had a failure.
  TimePoint m_failure_reported_at;
  /// Shares by this host's own outcomes, and combined with the lead's.
  EndpointShares m_own_shares;
  EndpointShares m_shares;
};

/// An attempt of this host ended. Returns changes of its own judgement.
auto NoteOutcome(HostJudgement& judgement,
                 const EndpointDirectory& directory,
                 const EndpointId& endpoint,
                 EndpointOutcome outcome,
                 TimePoint now) -> std::vector<JudgementChange>;

/// Forgets what this host saw itself, since its own links had failed.
auto ForgetOwnOutcomes(HostJudgement& judgement) -> void;

/// An answer showed an endpoint's speed by @p measure.
auto NoteSpeed(HostJudgement& judgement,
               const EndpointId& endpoint,
               std::string_view measure,
               Duration time) -> void;

/// The lead answered a report. A probe that an earlier answer ordered, and that
/// no request was made with yet, stays ordered until the lead gives it out
/// again.
auto TakeDomainJudgement(HostJudgement& judgement,
                         DomainJudgement domain,
                         TimePoint now) -> void;

/// Call several times per second. Returns changes of the own judgement.
auto AdvanceHostJudgement(HostJudgement& judgement,
                          const EndpointDirectory& directory,
                          TimePoint now) -> std::vector<JudgementChange>;

/// Returns true if a report should be sent although no other message to the
/// lead is due: something failed now or a moment ago, or the lead's judgement
/// would lapse.
auto IsReportDue(const HostJudgement& judgement, TimePoint now) -> bool;

/// Takes the outcomes for the next report.
auto TakeUnreported(HostJudgement& judgement, TimePoint now) -> OutcomeReport;

/// Returns an endpoint that a request of the service is to be sent to as a
/// probe.
/// @param repeatable  The request may be repeated if it is lost.
auto ProbeFor(HostJudgement& judgement,
              const EndpointDirectory& directory,
              const ServiceId& service,
              bool repeatable,
              TimePoint now) -> std::optional<EndpointId>;

/// Returns true if this host's own outcomes keep it from using the endpoint.
auto IsOutForHost(const HostJudgement& judgement, const EndpointId& endpoint)
    -> bool;

}  // namespace dotterelshed

#endif  // DOTTERELSHED_HOST_JUDGEMENT_H_
