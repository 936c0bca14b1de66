#include <algorithm>
#include <chrono>
#include <nlohmann/json.hpp>
#include <ostream>

#include "command.h"
#include "desk_store.h"
#include "status_report.h"

namespace dotterelshed::ctl {

namespace {

/// Tries against hosts that write the same lane.
constexpr int kWriteTries = 20;
constexpr int kHttpOk = 200;
constexpr int kHttpError = 500;

/// The outcomes that a person may state.
auto ReadOutcome(const std::string& name) -> std::optional<OutcomeKind> {
  for (const auto outcome :
       {OutcomeKind::kDone, OutcomeKind::kFailed, OutcomeKind::kNotRun}) {
    if (ToString(outcome) == name) {
      return outcome;
    }
  }
  return std::nullopt;
}

/// The lane that holds the open claim of @p key. Errors: kNotFound.
auto FindOpenClaim(const PlatformOptions& platform, const std::string& key)
    -> Result<ClaimShardObject> {
  const auto lanes = ReadLanes(platform);
  if (!lanes) {
    return tl::unexpected<Error>(lanes.error());
  }
  for (const auto& lane : *lanes) {
    for (const auto& claim : ClaimsWithoutResult(lane)) {
      if (claim.m_key.value() == key) {
        return lane;
      }
    }
  }
  return Fail(ErrorCode::kNotFound, "no claim without a result has this key",
              key);
}

auto FindClaim(ClaimShardObject& lane, const std::string& key)
    -> std::vector<ClaimRecord>::iterator {
  return std::find_if(
      lane.m_claims.begin(), lane.m_claims.end(),
      [&key](const ClaimRecord& claim) { return claim.m_key.value() == key; });
}

/// Writes what a person found out. A call that did not run leaves its key free
/// to be claimed again.
auto StateOutcome(ClaimShardObject& lane,
                  const std::string& key,
                  OutcomeKind outcome) -> void {
  const auto claim = FindClaim(lane, key);
  if (outcome == OutcomeKind::kNotRun) {
    lane.m_claims.erase(claim);
    return;
  }
  const auto done = outcome == OutcomeKind::kDone;
  claim->m_has_result = true;
  claim->m_outcome = outcome;
  claim->m_http_status = done ? kHttpOk : kHttpError;
  claim->m_answer = nlohmann::json{
      {"outcome", ToString(outcome)},
      {"stated_by",
       "operator"}}.dump();
}

auto ResolveOnce(const PlatformOptions& platform,
                 const std::string& key,
                 OutcomeKind outcome,
                 Duration unknown_after) -> Status {
  auto lane = FindOpenClaim(platform, key);
  if (!lane) {
    return tl::unexpected<Error>(lane.error());
  }
  const auto age = WallClockSeconds() - FindClaim(*lane, key)->m_claimed_at_s;
  if (std::chrono::seconds(age) <= unknown_after) {
    return Fail(
        ErrorCode::kInvalidArgument,
        "the call may still be running; try again in " +
            std::to_string(static_cast<std::int64_t>(ToSeconds(unknown_after)) -
                           age + 1) +
            " s",
        key);
  }
  StateOutcome(*lane, key, outcome);
  const auto version = PutObject(platform, {.m_kind = std::string(kLaneKind),
                                            .m_name = lane->m_shard.value(),
                                            .m_version = lane->m_version,
                                            .m_value = EncodeLane(*lane)});
  return version ? Status{} : tl::unexpected<Error>(version.error());
}

}  // namespace

auto RunResolve(const CommandOptions& options, const CommandOutput& output)
    -> ExitCode {
  const auto outcome = ReadOutcome(options.m_outcome);
  if (!outcome) {
    output.m_error << "dotterelctl: resolve needs --outcome done, failed or "
                      "not_run\n";
    return ExitCode::kUsage;
  }
  const auto platform = MakePlatformOptions(options.m_platform);
  const auto desk = ReadDesk(platform);
  if (!desk) {
    return ReportError(desk.error(), options, output);
  }
  const auto& key = options.m_words.front();
  Status status;
  for (auto tries = 0; tries < kWriteTries; ++tries) {
    status = ResolveOnce(platform, key, *outcome, UnknownAfter(*desk));
    if (status || status.error().m_code != ErrorCode::kConflict) {
      break;
    }
  }
  if (!status) {
    return ReportError(status.error(), options, output);
  }
  output.m_out << key << " is recorded as " << options.m_outcome << "\n";
  return ExitCode::kOk;
}

}  // namespace dotterelshed::ctl
