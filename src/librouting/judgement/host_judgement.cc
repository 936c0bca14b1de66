#include "dotterelshed/host_judgement.h"

#include <algorithm>
#include <utility>

namespace dotterelshed {

namespace {

/// A lead's judgement holds for this time after its last answer.
constexpr Duration kDomainJudgementAge = std::chrono::seconds(3);
/// The lead is asked again after this time while its judgement matters.
constexpr Duration kRefreshInterval = std::chrono::seconds(1);
/// A host that reported a failure asks on for this time, since the reports of
/// other hosts may come after its own and decide.
constexpr Duration kFollowTime = std::chrono::seconds(1);
/// The only host of a judgement that no other host adds to.
const HostId kThisHost("this");

auto IsFresh(const HostJudgement& judgement, TimePoint now) -> bool {
  return now - judgement.m_domain_at < kDomainJudgementAge;
}

auto Combine(HostJudgement& judgement,
             const EndpointDirectory& directory,
             TimePoint now) -> void {
  judgement.m_own_shares = SharesOf(judgement.m_own, directory);
  judgement.m_shares = judgement.m_own_shares;
  if (!IsFresh(judgement, now)) {
    judgement.m_domain = {};
  }
  for (const auto& [id, share] : judgement.m_domain.m_shares) {
    const auto [found, added] = judgement.m_shares.try_emplace(id, share);
    found->second = std::min(found->second, share);
  }
}

/// The lead waits for the outcome of requests to these endpoints.
auto ConcernsListed(const HostJudgement& judgement) -> bool {
  return std::any_of(judgement.m_unreported.begin(),
                     judgement.m_unreported.end(),
                     [&judgement](const auto& item) {
                       return FailuresIn(item.second) > 0 ||
                              judgement.m_domain.m_shares.contains(item.first);
                     });
}

}  // namespace

auto NoteOutcome(HostJudgement& judgement,
                 const EndpointDirectory& directory,
                 const EndpointId& endpoint,
                 EndpointOutcome outcome,
                 TimePoint now) -> std::vector<JudgementChange> {
  if (!judgement.m_enabled || endpoint.empty()) {
    return {};
  }
  CountOutcome(judgement.m_unreported, endpoint, outcome);
  OutcomeReport one;
  CountOutcome(one, endpoint, outcome);
  auto changes = TakeReport(judgement.m_own, directory, kThisHost, one, now);
  if (!changes.empty()) {
    Combine(judgement, directory, now);
  }
  return changes;
}

auto ForgetOwnOutcomes(HostJudgement& judgement) -> void {
  judgement.m_own = {.m_options = judgement.m_own.m_options};
  judgement.m_unreported.clear();
  judgement.m_own_shares.clear();
  judgement.m_shares = judgement.m_domain.m_shares;
}

auto NoteSpeed(HostJudgement& judgement,
               const EndpointId& endpoint,
               std::string_view measure,
               Duration time) -> void {
  if (judgement.m_enabled && !endpoint.empty()) {
    AddSlowness(judgement.m_unreported_slowness, endpoint,
                CompareToUsual(judgement.m_usual, measure, time));
  }
}

auto TakeDomainJudgement(HostJudgement& judgement,
                         DomainJudgement domain,
                         TimePoint now) -> void {
  const auto timeout = judgement.m_own.m_options.m_probe_timeout;
  if (domain.m_probe) {
    judgement.m_probe_at = now;
  } else if (now - judgement.m_probe_at < timeout) {
    domain.m_probe = judgement.m_domain.m_probe;
  }
  judgement.m_domain = std::move(domain);
  judgement.m_domain_at = now;
}

auto AdvanceHostJudgement(HostJudgement& judgement,
                          const EndpointDirectory& directory,
                          TimePoint now) -> std::vector<JudgementChange> {
  if (!judgement.m_enabled) {
    return {};
  }
  auto changes = AdvanceJudgement(judgement.m_own, directory, now);
  Combine(judgement, directory, now);
  return changes;
}

auto IsReportDue(const HostJudgement& judgement, TimePoint now) -> bool {
  if (!judgement.m_enabled) {
    return false;
  }
  const auto lapsing = !judgement.m_domain.m_shares.empty() &&
                       now - judgement.m_reported_at >= kRefreshInterval;
  const auto follows = now - judgement.m_failure_reported_at < kFollowTime;
  return lapsing || follows || ConcernsListed(judgement);
}

auto TakeUnreported(HostJudgement& judgement, TimePoint now) -> OutcomeReport {
  judgement.m_reported_at = now;
  const auto failed =
      std::any_of(judgement.m_unreported.begin(), judgement.m_unreported.end(),
                  [](const auto& item) { return FailuresIn(item.second) > 0; });
  if (failed) {
    judgement.m_failure_reported_at = now;
  }
  return std::exchange(judgement.m_unreported, {});
}

auto ProbeFor(HostJudgement& judgement,
              const EndpointDirectory& directory,
              const ServiceId& service,
              bool repeatable,
              TimePoint now) -> std::optional<EndpointId> {
  auto& given = judgement.m_domain.m_probe;
  if (given && (repeatable || given->m_any)) {
    const auto* entry = FindEndpoint(directory, given->m_endpoint);
    if (entry != nullptr && !entry->m_leaving && entry->m_service == service) {
      return std::exchange(given, std::nullopt)->m_endpoint;
    }
  }
  // The lead gives out the probes of endpoints that it has taken out itself.
  const auto probe = TakeProbe(judgement.m_own, directory,
                               {.m_service = service,
                                .m_repeatable = repeatable,
                                .m_skipped = &judgement.m_domain.m_shares},
                               now);
  return probe ? std::optional(probe->m_endpoint) : std::nullopt;
}

auto IsOutForHost(const HostJudgement& judgement, const EndpointId& endpoint)
    -> bool {
  const auto found = judgement.m_own_shares.find(endpoint);
  return found != judgement.m_own_shares.end() && found->second == 0;
}

}  // namespace dotterelshed
