#include "dotterelshed/endpoint_judgement.h"

#include <algorithm>
#include <utility>

#include "judgement/judgement_evidence.h"

namespace dotterelshed {

namespace {

/// Shares of an endpoint's usual requests in the steps of its return.
constexpr std::array<double, 2> kReturnShares{0.25, 0.5};

auto SumsToZero(const OutcomeCounts& counts) -> bool {
  return std::all_of(counts.begin(), counts.end(),
                     [](std::uint32_t count) { return count == 0; });
}

auto MostlyUnreachable(const OutcomeCounts& counts) -> bool {
  return 2 * CountOf(counts, EndpointOutcome::kUnreachable) >
         FailuresIn(counts);
}

/// Whether an endpoint's record says nothing.
auto IsBlank(const JudgedEndpoint& endpoint) -> bool {
  return endpoint.m_by_host.empty() && endpoint.m_times_out == 0 &&
         endpoint.m_state == JudgementState::kInUse && !endpoint.m_spared;
}

auto Describe(const EndpointId& id,
              const JudgedEndpoint& endpoint,
              JudgementState from) -> JudgementChange {
  const auto evidence = pvt::EvidenceOf(endpoint);
  return {.m_endpoint = id,
          .m_from = from,
          .m_to = endpoint.m_state,
          .m_outcomes = evidence.m_outcomes,
          .m_hosts = evidence.m_failing_hosts,
          .m_spared = endpoint.m_spared};
}

/// Changes the state; outcomes so far don't count in the new one.
auto Enter(EndpointJudgement& judgement,
           const EndpointId& id,
           JudgementState state,
           TimePoint now) -> JudgementChange {
  auto& endpoint = judgement.m_endpoints.at(id);
  const auto from = std::exchange(endpoint.m_state, state);
  auto change = Describe(id, endpoint, from);
  endpoint.m_state_since = now;
  endpoint.m_by_host.clear();
  endpoint.m_probe_pending = false;
  endpoint.m_step_served = 0;
  endpoint.m_step_failures = 0;
  if (state == JudgementState::kInUse) {
    judgement.m_unusual.erase(id);
  } else {
    judgement.m_unusual.insert(id);
  }
  return change;
}

auto TakeOut(EndpointJudgement& judgement, const EndpointId& id, TimePoint now)
    -> JudgementChange {
  const auto& options = judgement.m_options;
  auto& endpoint = judgement.m_endpoints.at(id);
  const auto doublings =
      std::min(endpoint.m_times_out, options.m_max_doublings);
  ++endpoint.m_times_out;
  endpoint.m_spared = false;
  endpoint.m_probe_at = now + options.m_first_probe * (1 << doublings);
  return Enter(judgement, id, JudgementState::kOut, now);
}

auto JudgeInUse(EndpointJudgement& judgement,
                const EndpointDirectory& directory,
                const EndpointId& id,
                TimePoint now) -> std::optional<JudgementChange> {
  auto& endpoint = judgement.m_endpoints.at(id);
  if (!pvt::LooksBad(judgement, directory, id)) {
    return std::nullopt;
  }
  const auto unreachable =
      MostlyUnreachable(pvt::EvidenceOf(endpoint).m_outcomes);
  const auto& service = FindEndpoint(directory, id)->m_service;
  const auto tally = pvt::TallyService(judgement, directory, service);
  if (pvt::MayTakeOut(judgement.m_options, tally, unreachable)) {
    endpoint.m_unreachable = unreachable;
    return TakeOut(judgement, id, now);
  }
  if (std::exchange(endpoint.m_spared, true)) {
    return std::nullopt;
  }
  judgement.m_unusual.insert(id);
  return Describe(id, endpoint, JudgementState::kInUse);
}

/// Judges an endpoint after @p counts were added to its record.
auto Judge(EndpointJudgement& judgement,
           const EndpointDirectory& directory,
           const EndpointId& id,
           const OutcomeCounts& counts,
           TimePoint now) -> std::optional<JudgementChange> {
  auto& endpoint = judgement.m_endpoints.at(id);
  const auto served = CountOf(counts, EndpointOutcome::kServed);
  const auto failures = FailuresIn(counts);
  switch (endpoint.m_state) {
    case JudgementState::kInUse:
      return failures == 0 ? std::nullopt
                           : JudgeInUse(judgement, directory, id, now);
    case JudgementState::kOut:
      // These outcomes are of requests sent before it was taken out.
      return std::nullopt;
    case JudgementState::kProbing:
      if (failures > 0) {
        return TakeOut(judgement, id, now);
      }
      endpoint.m_step = 0;
      return served == 0 ? std::nullopt
                         : std::optional(Enter(
                               judgement, id, JudgementState::kReturning, now));
    case JudgementState::kReturning:
      endpoint.m_step_served += served;
      endpoint.m_step_failures += failures;
      const auto all = endpoint.m_step_served + endpoint.m_step_failures;
      if (failures > 0 && endpoint.m_step_failures >
                              judgement.m_options.m_partial_share * all) {
        return TakeOut(judgement, id, now);
      }
      return std::nullopt;
  }
  return std::nullopt;
}

auto RollWindows(EndpointJudgement& judgement,
                 const EndpointDirectory& directory,
                 TimePoint now) -> void {
  if (now - judgement.m_window_started < judgement.m_options.m_window) {
    return;
  }
  judgement.m_window_started = now;
  for (auto& [id, endpoint] : judgement.m_endpoints) {
    for (auto& [host, window] : endpoint.m_by_host) {
      window.m_previous = std::exchange(window.m_current, {});
    }
    std::erase_if(endpoint.m_by_host, [](const auto& item) {
      return SumsToZero(item.second.m_previous);
    });
    const auto calm =
        endpoint.m_state == JudgementState::kInUse &&
        now - endpoint.m_state_since > judgement.m_options.m_forget_after;
    endpoint.m_times_out = calm ? 0 : endpoint.m_times_out;
    if (endpoint.m_spared && !pvt::LooksBad(judgement, directory, id)) {
      endpoint.m_spared = false;
      judgement.m_unusual.erase(id);
    }
  }
  std::erase_if(judgement.m_endpoints, [&directory](const auto& item) {
    return IsBlank(item.second) ||
           FindEndpoint(directory, item.first) == nullptr;
  });
  std::erase_if(judgement.m_unusual, [&judgement](const EndpointId& id) {
    return !judgement.m_endpoints.contains(id);
  });
}

auto StepIsOver(const JudgementOptions& options,
                const JudgedEndpoint& endpoint,
                TimePoint now) -> bool {
  const auto time = now - endpoint.m_state_since;
  return time >= options.m_max_step_time ||
         (time >= options.m_step_time &&
          endpoint.m_step_served >= options.m_step_served);
}

auto AdvanceState(EndpointJudgement& judgement,
                  const EndpointId& id,
                  TimePoint now) -> std::optional<JudgementChange> {
  auto& endpoint = judgement.m_endpoints.at(id);
  const auto due = now >= endpoint.m_probe_at;
  switch (endpoint.m_state) {
    case JudgementState::kInUse:
      return std::nullopt;
    case JudgementState::kOut:
      return due ? std::optional(
                       Enter(judgement, id, JudgementState::kProbing, now))
                 : std::nullopt;
    case JudgementState::kProbing:
      endpoint.m_probe_pending = endpoint.m_probe_pending && !due;
      return std::nullopt;
    case JudgementState::kReturning:
      if (!StepIsOver(judgement.m_options, endpoint, now)) {
        return std::nullopt;
      }
      ++endpoint.m_step;
      const auto back =
          static_cast<std::size_t>(endpoint.m_step) >= kReturnShares.size();
      return Enter(judgement, id,
                   back ? JudgementState::kInUse : JudgementState::kReturning,
                   now);
  }
  return std::nullopt;
}

}  // namespace

auto TakeReport(EndpointJudgement& judgement,
                const EndpointDirectory& directory,
                const HostId& host,
                const OutcomeReport& report,
                TimePoint now) -> std::vector<JudgementChange> {
  std::vector<JudgementChange> changes;
  for (const auto& [id, counts] : report) {
    if (FindEndpoint(directory, id) == nullptr) {
      continue;
    }
    auto& current = judgement.m_endpoints[id].m_by_host[host].m_current;
    for (std::size_t i = 0; i < current.size(); ++i) {
      current.at(i) += counts.at(i);
    }
    if (auto change = Judge(judgement, directory, id, counts, now)) {
      changes.push_back(*change);
    }
  }
  return changes;
}

auto AdvanceJudgement(EndpointJudgement& judgement,
                      const EndpointDirectory& directory,
                      TimePoint now) -> std::vector<JudgementChange> {
  RollWindows(judgement, directory, now);
  std::vector<JudgementChange> changes;
  const auto unusual = judgement.m_unusual;
  for (const auto& id : unusual) {
    if (auto change = AdvanceState(judgement, id, now)) {
      changes.push_back(*change);
    }
  }
  return changes;
}

auto ForgetOutcomes(EndpointJudgement& judgement, const EndpointId& endpoint)
    -> void {
  judgement.m_endpoints.erase(endpoint);
  judgement.m_unusual.erase(endpoint);
}

auto SharesOf(const EndpointJudgement& judgement,
              const EndpointDirectory& directory) -> EndpointShares {
  EndpointShares shares;
  std::map<ServiceId, bool> panics;
  for (const auto& id : judgement.m_unusual) {
    const auto* entry = FindEndpoint(directory, id);
    const auto& endpoint = judgement.m_endpoints.at(id);
    if (entry == nullptr || endpoint.m_state == JudgementState::kInUse) {
      continue;
    }
    const auto [panic, added] = panics.try_emplace(entry->m_service, false);
    if (added) {
      panic->second = pvt::MostLookBad(
          pvt::TallyService(judgement, directory, entry->m_service));
    }
    if (panic->second && !endpoint.m_unreachable) {
      continue;
    }
    shares[id] =
        endpoint.m_state == JudgementState::kReturning
            ? kReturnShares.at(static_cast<std::size_t>(endpoint.m_step))
            : 0;
  }
  return shares;
}

auto TakeProbe(EndpointJudgement& judgement,
               const EndpointDirectory& directory,
               const ProbeQuery& query,
               TimePoint now) -> std::optional<ProbeOrder> {
  for (const auto& id : judgement.m_unusual) {
    auto& endpoint = judgement.m_endpoints.at(id);
    const auto* entry = FindEndpoint(directory, id);
    const auto listed =
        entry != nullptr && !entry->m_leaving &&
        (query.m_service.empty() || entry->m_service == query.m_service);
    const auto skipped =
        query.m_skipped != nullptr && query.m_skipped->contains(id);
    const auto any =
        now - endpoint.m_state_since >= judgement.m_options.m_any_probe_wait;
    const auto due = endpoint.m_state == JudgementState::kProbing &&
                     !endpoint.m_probe_pending;
    if (listed && !skipped && due && (query.m_repeatable || any)) {
      endpoint.m_probe_pending = true;
      endpoint.m_probe_at = now + judgement.m_options.m_probe_timeout;
      return ProbeOrder{.m_endpoint = id, .m_any = any};
    }
  }
  return std::nullopt;
}

}  // namespace dotterelshed
