#include "dotterelshed/claims.h"

#include <algorithm>
#include <nlohmann/json.hpp>

#include "claims/claims_state.h"

namespace dotterelshed {

namespace {

auto MakeNonce(const ClaimManager& manager) -> std::string {
  const auto& options = manager.m_options;
  return options.m_self.m_host.value() + "/" +
         std::to_string(options.m_self.m_incarnation.value()) + "/" +
         std::to_string(options.m_seed) + "/" +
         std::to_string(manager.m_next_number);
}

auto MakeClaim(const ClaimManager& manager,
               const CallRequest& call,
               bool fresh_key,
               TimePoint now) -> pvt::Claim {
  return {.m_record = {.m_key = *call.m_key,
                       .m_content = call.m_content,
                       .m_request = call.m_request,
                       .m_program = call.m_program,
                       .m_claimer = manager.m_options.m_self,
                       .m_nonce = MakeNonce(manager),
                       .m_claimed_at_s =
                           pvt::WallSeconds(manager, now).value_or(0)},
          .m_fresh_key = fresh_key,
          .m_requested_at = now};
}

/// Expires and resolves claims, then starts the next platform request.
auto Drive(ClaimManager& manager,
           pvt::ClaimShard& shard,
           TimePoint now,
           ClaimStep& step) -> void {
  pvt::ExpireClaims(manager, shard, now, step);
  if (shard.m_object && shard.m_pending == pvt::ShardRequest::kNone) {
    pvt::ResolveClaims(manager, shard, now, step);
  }
  pvt::DriveShard(manager, shard, now, step);
  pvt::DropClosed(manager, shard);
}

auto FindClaim(ClaimManager& manager, const RequestId& request) -> pvt::Claim* {
  const auto location = manager.m_requests.find(request);
  if (location == manager.m_requests.end()) {
    return nullptr;
  }
  return &manager.m_shards.at(location->second.m_shard)
              .m_claims.at(location->second.m_number);
}

/// The request has its decision and gets no further one from this claim, so
/// that it may request a new claim.
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
  auto state_machine = pvt::LoadClaimStateMachine(options.m_charts_dir);
  if (!state_machine) {
    return tl::unexpected<Error>(state_machine.error());
  }
  return std::make_shared<ClaimManager>(ClaimManager{
      .m_options = options, .m_state_machine = std::move(*state_machine)});
}

auto RequestClaim(ClaimManager& manager,
                  const CallRequest& call,
                  bool fresh_key,
                  TimePoint now) -> ClaimStep {
  DOTTERELSHED_CHECK(call.m_key.has_value());
  ClaimStep step;
  const auto* known = FindClaim(manager, call.m_request);
  if (known != nullptr && !IsAnswered(*known)) {
    return step;
  }
  auto claim = MakeClaim(manager, call, fresh_key, now);
  const auto limit = static_cast<std::size_t>(manager.m_options.m_max_waiting);
  if (manager.m_requests.size() >= limit) {
    pvt::FireClaim(manager, claim, pvt::ClaimEvent::kTimedOut, nullptr, now,
                   step);
    return step;
  }
  const auto id = pvt::ShardOf(manager, *call.m_key);
  auto& shard = manager.m_shards[id];
  shard.m_id = id;
  const auto number = manager.m_next_number++;
  shard.m_claims.emplace(number, std::move(claim));
  manager.m_requests[call.m_request] = {.m_shard = id, .m_number = number};
  Drive(manager, shard, now, step);
  return step;
}

auto RecordClaimResult(ClaimManager& manager,
                       const RequestId& request,
                       OutcomeKind outcome,
                       int http_status,
                       const std::string& answer,
                       TimePoint now) -> ClaimStep {
  ClaimStep step;
  auto* claim = FindClaim(manager, request);
  if (claim == nullptr || claim->m_state != pvt::ClaimState::kGranted) {
    return step;
  }
  auto& shard = manager.m_shards.at(manager.m_requests.at(request).m_shard);
  if (outcome == OutcomeKind::kUnknown) {
    pvt::FireClaim(manager, *claim, pvt::ClaimEvent::kResultUnknown, nullptr,
                   now, step);
    pvt::DropClosed(manager, shard);
    return step;
  }
  const auto limit =
      static_cast<std::size_t>(manager.m_options.m_max_answer_bytes.value());
  auto& record = claim->m_record;
  record.m_has_result = true;
  record.m_outcome = outcome;
  record.m_http_status = http_status;
  record.m_answer = answer.substr(0, limit);
  record.m_answer_truncated = answer.size() > limit;
  claim->m_not_run = outcome == OutcomeKind::kNotRun;
  claim->m_result_at = now;
  pvt::FireClaim(manager, *claim, pvt::ClaimEvent::kResultKnown, nullptr, now,
                 step);
  pvt::DriveShard(manager, shard, now, step);
  return step;
}

auto TickClaims(ClaimManager& manager, TimePoint now) -> ClaimStep {
  ClaimStep step;
  for (auto& [id, shard] : manager.m_shards) {
    Drive(manager, shard, now, step);
  }
  return step;
}

auto HasPendingClaims(const ClaimManager& manager) -> bool {
  return std::any_of(
      manager.m_shards.begin(), manager.m_shards.end(), [](const auto& entry) {
        const auto& claims = entry.second.m_claims;
        return std::any_of(claims.begin(), claims.end(), [](const auto& item) {
          return WaitsForPlatform(item.second);
        });
      });
}

auto DumpClaims(const ClaimManager& manager, TimePoint now) -> std::string {
  auto shards = nlohmann::json::object();
  for (const auto& [id, shard] : manager.m_shards) {
    auto claims = nlohmann::json::array();
    for (const auto& [number, claim] : shard.m_claims) {
      const Duration age = now - claim.m_requested_at;
      claims.push_back({{"key", claim.m_record.m_key.value()},
                        {"request", claim.m_record.m_request.value()},
                        {"state", pvt::ToString(claim.m_state)},
                        {"age_s", ToSeconds(age)}});
    }
    const auto version = shard.m_object ? shard.m_object->m_version.value() : 0;
    shards[id.value()] = {
        {"version", version},
        {"records",
         shard.m_object ? shard.m_object->m_claims.size() : std::size_t{0}},
        {"sealed", shard.m_index.size()},
        {"claims", claims}};
  }
  return nlohmann::json{{"lanes", shards}}.dump();
}

}  // namespace dotterelshed
