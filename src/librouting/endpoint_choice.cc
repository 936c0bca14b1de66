#include "dotterelshed/endpoint_choice.h"

#include <algorithm>
#include <vector>

#include "dotterelshed/endpoint_subset.h"

namespace dotterelshed {

namespace {

/// Score added to an endpoint of another failure domain, as a fraction of its
/// slots in use: traffic stays in its domain until that is clearly busier.
constexpr double kRemoteDomainPenalty = 0.5;
/// Score added to an endpoint without the program's prompt: the cost of
/// processing a whole prompt again, as a fraction of a fully used engine.
constexpr double kPromptMissPenalty = 0.25;
/// Score added to an endpoint to avoid, which is thus chosen last.
constexpr double kAvoidedPenalty = 100;
/// Score added to an endpoint that is out of use, or whose share of requests
/// doesn't include this one. Less than kAvoidedPenalty: an endpoint out
/// of use is preferred to one that this request must avoid.
constexpr double kOutPenalty = 50;
/// Work of the request itself, in the unit of ExpectedWork.
constexpr double kOwnWork = 0.25;
/// Score added to an endpoint of the own domain that the host has no kept
/// connections to: less than one place at a small endpoint.
constexpr double kOutsideSubsetPenalty = 0.1;
/// Scores that differ by no more than this count as equal.
constexpr double kTieTolerance = 0.01;
/// Avoidance after the first failures; doubles with each further one.
constexpr Duration kInitialAvoidance = std::chrono::milliseconds(500);
constexpr int kMaxDoublings = 4;
constexpr int kFailuresBeforeAvoidance = 2;
/// Weight of a new value in the moving average of the latency.
constexpr double kLatencyWeight = 0.2;

struct Scored {
  EndpointId m_id;
  double m_score = 0;
};

/// Work that a request meets at an endpoint, in the time of a whole prompt and
/// answer: what runs there, and the prompt if it isn't kept there.
auto ExpectedWork(const EndpointEntry& entry,
                  const EndpointLoads& loads,
                  const ChoiceQuery& query) -> double {
  const auto found = loads.find(entry.m_id);
  const auto running = found == loads.end() ? 0 : found->second.m_outstanding;
  const auto cold = !query.m_warm.empty() && query.m_warm != entry.m_id;
  return static_cast<double>(running) / std::max(1, entry.m_slots) +
         (cold ? kPromptMissPenalty : 0);
}

/// Times that the endpoint takes as multiples of the usual.
auto Slowness(const EndpointId& id, const ChoiceQuery& query) -> double {
  const auto found = query.m_slowness->find(id);
  return found == query.m_slowness->end() ? 1 : found->second;
}

auto ExpectedEnd(const EndpointEntry& entry,
                 const EndpointLoads& loads,
                 const ChoiceQuery& query) -> double {
  const auto work = ExpectedWork(entry, loads, query);
  if (query.m_slowness == nullptr) {
    return work;
  }
  return Slowness(entry.m_id, query) *
         (work + (query.m_sees_all_load ? kOwnWork : 0));
}

/// Penalty of an endpoint that shouldn't get this request at all.
auto AvoidancePenalty(const EndpointEntry& entry,
                      const EndpointLoads& loads,
                      const ChoiceQuery& query,
                      TimePoint now) -> double {
  auto penalty = query.m_avoided.contains(entry.m_id) ? kAvoidedPenalty : 0;
  if (query.m_shares != nullptr) {
    const auto share = query.m_shares->find(entry.m_id);
    const auto left_out =
        share != query.m_shares->end() && query.m_share_draw >= share->second;
    penalty += left_out ? kOutPenalty : 0;
  }
  const auto found = loads.find(entry.m_id);
  if (found != loads.end() && found->second.m_avoid_until > now) {
    penalty += kAvoidedPenalty;
  }
  return penalty;
}

/// What all endpoints of a service are scored by.
struct Scoring {
  const EndpointLoads& m_loads;
  const ChoiceQuery& m_query;
  /// Share of the endpoints that the host prefers.
  double m_subset_share = 1;
  TimePoint m_now;
};

auto Score(const EndpointEntry& entry, const Scoring& scoring) -> double {
  const auto& query = scoring.m_query;
  auto score = ExpectedEnd(entry, scoring.m_loads, query) +
               AvoidancePenalty(entry, scoring.m_loads, query, scoring.m_now);
  if (entry.m_domain != query.m_domain) {
    score += kRemoteDomainPenalty;
  } else if (!IsInSubset(query.m_host, entry.m_id, scoring.m_subset_share)) {
    score += kOutsideSubsetPenalty;
  }
  return score;
}

/// Share of the own domain's endpoints that the host prefers.
auto SubsetShareOf(const EndpointDirectory& directory,
                   const std::vector<EndpointId>& endpoints,
                   const ChoiceQuery& query) -> double {
  if (query.m_host.empty() || query.m_hosts == 0) {
    return 1;
  }
  const auto own = std::count_if(endpoints.begin(), endpoints.end(),
                                 [&directory, &query](const EndpointId& id) {
                                   return directory.m_entries.at(id).m_domain ==
                                          query.m_domain;
                                 });
  return SubsetShare(static_cast<std::size_t>(own), query.m_hosts);
}

/// Picks one at random, by its speed if that is known.
auto PickAmongEquals(const std::vector<Scored>& equals,
                     const ChoiceQuery& query) -> EndpointId {
  const auto speed = [&query](const Scored& one) {
    return query.m_slowness == nullptr ? 1 : 1 / Slowness(one.m_id, query);
  };
  auto total = 0.0;
  for (const auto& one : equals) {
    total += speed(one);
  }
  auto left = query.m_draw * total;
  for (const auto& one : equals) {
    left -= speed(one);
    if (left < 0) {
      return one.m_id;
    }
  }
  return equals.back().m_id;
}

}  // namespace

auto IsOfVersion(const EndpointEntry& entry, const SoftwareVersion& software)
    -> bool {
  return software.empty() || entry.m_software == software;
}

auto HasVersion(const EndpointDirectory& directory,
                const ServiceId& service,
                const SoftwareVersion& software) -> bool {
  const auto found = directory.m_by_service.find(service);
  return found != directory.m_by_service.end() &&
         std::any_of(found->second.begin(), found->second.end(),
                     [&](const EndpointId& id) {
                       const auto& entry = directory.m_entries.at(id);
                       return !entry.m_leaving && IsOfVersion(entry, software);
                     });
}

auto ChooseEndpoint(const EndpointDirectory& directory,
                    const EndpointLoads& loads,
                    const ChoiceQuery& query,
                    TimePoint now) -> std::optional<EndpointId> {
  const auto service = directory.m_by_service.find(query.m_service);
  if (service == directory.m_by_service.end()) {
    return std::nullopt;
  }
  const Scoring scoring{
      .m_loads = loads,
      .m_query = query,
      .m_subset_share = SubsetShareOf(directory, service->second, query),
      .m_now = now};
  std::vector<Scored> scored;
  for (const auto& id : service->second) {
    const auto& entry = directory.m_entries.at(id);
    if (!entry.m_leaving && !query.m_excluded.contains(id) &&
        IsOfVersion(entry, query.m_software)) {
      scored.push_back({id, Score(entry, scoring)});
    }
  }
  if (scored.empty()) {
    return std::nullopt;
  }
  const auto best = std::min_element(
      scored.begin(), scored.end(),
      [](const Scored& a, const Scored& b) { return a.m_score < b.m_score; });
  const auto limit = best->m_score + kTieTolerance;
  std::erase_if(scored,
                [limit](const Scored& one) { return one.m_score > limit; });
  return PickAmongEquals(scored, query);
}

auto NoteFailure(EndpointLoad& load, TimePoint now) -> void {
  ++load.m_failures_in_a_row;
  const auto over = load.m_failures_in_a_row - kFailuresBeforeAvoidance;
  if (over >= 0) {
    const auto doublings = std::min(over, kMaxDoublings);
    load.m_avoid_until = now + kInitialAvoidance * (1 << doublings);
  }
}

auto ForgetFailures(EndpointLoad& load) -> void {
  load.m_failures_in_a_row = 0;
  load.m_avoid_until = TimePoint{};
}

auto NoteAnswer(EndpointLoad& load, Duration latency) -> void {
  ForgetFailures(load);
  ++load.m_answers;
  const auto weight = load.m_answers == 1 ? 1.0 : kLatencyWeight;
  const auto change = weight * ToSeconds(latency - load.m_mean_latency);
  load.m_mean_latency += FromSeconds(change);
}

}  // namespace dotterelshed
