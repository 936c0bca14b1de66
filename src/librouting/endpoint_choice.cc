#include "dotterelshed/endpoint_choice.h"

#include <algorithm>
#include <vector>

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
/// doesn't include this one. It doesn't exceed kAvoidedPenalty: a request that
/// may end endpoints is worse.
constexpr double kOutPenalty = 50;
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

auto Score(const EndpointEntry& entry,
           const EndpointLoads& loads,
           const ChoiceQuery& query,
           TimePoint now) -> double {
  auto score = entry.m_domain == query.m_domain ? 0 : kRemoteDomainPenalty;
  if (!query.m_warm.empty() && query.m_warm != entry.m_id) {
    score += kPromptMissPenalty;
  }
  if (query.m_avoided.contains(entry.m_id)) {
    score += kAvoidedPenalty;
  }
  if (query.m_shares != nullptr) {
    const auto share = query.m_shares->find(entry.m_id);
    const auto left_out =
        share != query.m_shares->end() && query.m_share_draw >= share->second;
    score += left_out ? kOutPenalty : 0;
  }
  const auto found = loads.find(entry.m_id);
  if (found == loads.end()) {
    return score;
  }
  const auto& load = found->second;
  score += static_cast<double>(load.m_outstanding) / std::max(1, entry.m_slots);
  if (load.m_avoid_until > now) {
    score += kAvoidedPenalty;
  }
  return score;
}

}  // namespace

auto ChooseEndpoint(const EndpointDirectory& directory,
                    const EndpointLoads& loads,
                    const ChoiceQuery& query,
                    TimePoint now) -> std::optional<EndpointId> {
  const auto service = directory.m_by_service.find(query.m_service);
  if (service == directory.m_by_service.end()) {
    return std::nullopt;
  }
  std::vector<Scored> scored;
  for (const auto& id : service->second) {
    const auto& entry = directory.m_entries.at(id);
    if (!entry.m_leaving && !query.m_excluded.contains(id)) {
      scored.push_back({id, Score(entry, loads, query, now)});
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
  const auto index = static_cast<std::size_t>(
      query.m_draw * static_cast<double>(scored.size()));
  return scored[std::min(index, scored.size() - 1)].m_id;
}

auto NoteFailure(EndpointLoad& load, TimePoint now) -> void {
  ++load.m_failures_in_a_row;
  const auto over = load.m_failures_in_a_row - kFailuresBeforeAvoidance;
  if (over >= 0) {
    const auto doublings = std::min(over, kMaxDoublings);
    load.m_avoid_until = now + kInitialAvoidance * (1 << doublings);
  }
}

auto NoteAnswer(EndpointLoad& load, Duration latency) -> void {
  load.m_failures_in_a_row = 0;
  load.m_avoid_until = TimePoint{};
  ++load.m_answers;
  const auto weight = load.m_answers == 1 ? 1.0 : kLatencyWeight;
  const auto change = weight * ToSeconds(latency - load.m_mean_latency);
  load.m_mean_latency += FromSeconds(change);
}

}  // namespace dotterelshed
