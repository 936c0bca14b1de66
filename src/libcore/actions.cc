#include "dotterelshed/claims.h"

#include <algorithm>
#include <nlohmann/json.hpp>

#include "claims_state.h"

namespace dotterelshed {

namespace {

auto MakeNonce(const ClaimManager& book) -> std::string {
  const auto& options = book.m_options;
  return options.m_self.m_host.value() + "/" +
         std::to_string(options.m_self.m_incarnation.value()) + "/" +
         std::to_string(options.m_seed) + "/" +
         std::to_string(book.m_next_number);
}

auto MakeClaim(const ClaimManager& book,
               const CallRequest& call,
               bool first,
               TimePoint now) -> pvt::Claim {
  return {
      .m_record = {.m_key = *call.m_key,
                   .m_content = call.m_content,
                   .m_request = call.m_request,
                   .m_program = call.m_program,
                   .m_claimer = book.m_options.m_self,
                   .m_nonce = MakeNonce(book),
                   .m_claimed_at_s = pvt::WallSeconds(book, now).value_or(0)},
      .m_first = first,
      .m_asked = now};
}

/// Drives a lane after something changed in it.
auto Drive(ClaimManager& book, pvt::Lane& lane, TimePoint now, ClaimStep& step)
    -> void {
  pvt::ExpireClaims(book, lane, now, step);
  if (lane.m_object && lane.m_call == pvt::ShardRequest::kNone) {
    pvt::ResolveClaims(book, lane, now, step);
  }
  pvt::DriveLane(book, lane, now, step);
  pvt::DropClosed(book, lane);
}

auto FindClaim(ClaimManager& book, const RequestId& request) -> pvt::Claim* {
  const auto place = book.m_requests.find(request);
  if (place == book.m_requests.end()) {
    return nullptr;
  }
  return &book.m_lanes.at(place->second.m_shard)
              .m_claims.at(place->second.m_number);
}

/// The claim's request has its decision, and the claim was or will be closed
/// without one more; the request may ask again.
auto IsAnswered(const pvt::Claim& claim) -> bool {
  return claim.m_state == pvt::ClaimState::kAbandoned ||
         claim.m_state == pvt::ClaimState::kFinishing;
}

auto WaitsForPlatform(const pvt::Claim& claim) -> bool {
  return claim.m_state != pvt::ClaimState::kGranted;
}

}  // namespace

auto MakeClaimManager(const ClaimOptions& options)
    -> Result<std::shared_ptr<ClaimManager>> {
  auto chart = pvt::LoadClaimStateMachine(options.m_charts_dir);
  if (!chart) {
    return tl::unexpected<Error>(chart.error());
  }
  return std::make_shared<ClaimManager>(
      ClaimManager{.m_options = options, .m_chart = std::move(*chart)});
}

auto RequestClaim(ClaimManager& book,
                  const CallRequest& call,
                  bool first,
                  TimePoint now) -> ClaimStep {
  DOTTERELSHED_CHECK(call.m_key.has_value());
  ClaimStep step;
  const auto* known = FindClaim(book, call.m_request);
  if (known != nullptr && !IsAnswered(*known)) {
    return step;
  }
  auto claim = MakeClaim(book, call, first, now);
  const auto most = static_cast<std::size_t>(book.m_options.m_max_waiting);
  if (book.m_requests.size() >= most) {
    pvt::FireClaim(book, claim, pvt::ClaimEvent::kTimedOut, nullptr, now, step);
    return step;
  }
  const auto id = pvt::LaneOf(book, *call.m_key);
  auto& lane = book.m_lanes[id];
  lane.m_id = id;
  const auto number = book.m_next_number++;
  lane.m_claims.emplace(number, std::move(claim));
  book.m_requests[call.m_request] = {.m_shard = id, .m_number = number};
  Drive(book, lane, now, step);
  return step;
}

auto RecordClaimResult(ClaimManager& book,
                       const RequestId& request,
                       OutcomeKind outcome,
                       int http_status,
                       const std::string& answer,
                       TimePoint now) -> ClaimStep {
  ClaimStep step;
  auto* claim = FindClaim(book, request);
  if (claim == nullptr || claim->m_state != pvt::ClaimState::kGranted) {
    return step;
  }
  auto& lane = book.m_lanes.at(book.m_requests.at(request).m_shard);
  if (outcome == OutcomeKind::kUnknown) {
    pvt::FireClaim(book, *claim, pvt::ClaimEvent::kResultUnknown, nullptr, now,
                   step);
    pvt::DropClosed(book, lane);
    return step;
  }
  const auto limit =
      static_cast<std::size_t>(book.m_options.m_max_answer_bytes.value());
  auto& record = claim->m_record;
  record.m_has_result = true;
  record.m_outcome = outcome;
  record.m_http_status = http_status;
  record.m_answer = answer.substr(0, limit);
  record.m_answer_cut = answer.size() > limit;
  claim->m_not_run = outcome == OutcomeKind::kNotRun;
  claim->m_result_at = now;
  pvt::FireClaim(book, *claim, pvt::ClaimEvent::kResultKnown, nullptr, now,
                 step);
  pvt::DriveLane(book, lane, now, step);
  return step;
}

auto TickClaims(ClaimManager& book, TimePoint now) -> ClaimStep {
  ClaimStep step;
  for (auto& [id, lane] : book.m_lanes) {
    Drive(book, lane, now, step);
  }
  return step;
}

auto HasPendingClaims(const ClaimManager& book) -> bool {
  return std::any_of(
      book.m_lanes.begin(), book.m_lanes.end(), [](const auto& entry) {
        const auto& claims = entry.second.m_claims;
        return std::any_of(claims.begin(), claims.end(), [](const auto& item) {
          return WaitsForPlatform(item.second);
        });
      });
}

auto DumpClaims(const ClaimManager& book, TimePoint now) -> std::string {
  auto lanes = nlohmann::json::object();
  for (const auto& [id, lane] : book.m_lanes) {
    auto claims = nlohmann::json::array();
    for (const auto& [number, claim] : lane.m_claims) {
      const Duration age = now - claim.m_asked;
      claims.push_back({{"key", claim.m_record.m_key.value()},
                        {"request", claim.m_record.m_request.value()},
                        {"state", pvt::ToString(claim.m_state)},
                        {"age_s", ToSeconds(age)}});
    }
    const auto version = lane.m_object ? lane.m_object->m_version.value() : 0;
    lanes[id.value()] = {
        {"version", version},
        {"records",
         lane.m_object ? lane.m_object->m_claims.size() : std::size_t{0}},
        {"sealed", lane.m_index.size()},
        {"claims", claims}};
  }
  return nlohmann::json{{"lanes", lanes}}.dump();
}

}  // namespace dotterelshed
