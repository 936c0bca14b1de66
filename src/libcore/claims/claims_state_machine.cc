#include <array>

#include "claims/claims_state.h"
#include "dotterelshed/load_chart.h"

namespace dotterelshed::pvt {

namespace {

constexpr auto kStates = std::to_array<std::string_view>(
    {"waiting", "writing", "uncertain", "abandoned", "granted", "finishing",
     "closed"});
constexpr auto kEvents = std::to_array<std::string_view>(
    {"put_started", "put_confirmed", "put_refused", "put_uncertain",
     "found_own", "found_other", "found_none", "timed_out", "result_known",
     "result_unknown", "result_written"});
constexpr auto kActions = std::to_array<std::string_view>(
    {"grant", "answer_other", "answer_unclaimed", "close_as_not_run",
     "report_unknown"});

auto VerdictOn(const Claim& claim, const ClaimRecord& other)
    -> ClaimDecision::Verdict {
  if (other.m_content != claim.m_record.m_content) {
    return ClaimDecision::Verdict::kContentMismatch;
  }
  return other.m_has_result ? ClaimDecision::Verdict::kHasResult
                            : ClaimDecision::Verdict::kUnknown;
}

auto Decide(const Claim& claim,
            ClaimDecision::Verdict verdict,
            const ClaimRecord& record,
            ClaimStep& step) -> ClaimDecision& {
  step.m_decisions.push_back({.m_request = claim.m_record.m_request,
                              .m_verdict = verdict,
                              .m_record = record});
  return step.m_decisions.back();
}

auto Grant(const ClaimManager& manager,
           const Claim& claim,
           TimePoint now,
           ClaimStep& step) -> void {
  auto& decision =
      Decide(claim, ClaimDecision::Verdict::kGranted, claim.m_record, step);
  decision.m_send_by = now + manager.m_options.m_grant_window;
  step.m_effects.emplace_back(
      WriteLog{.m_id = LogEventId::kClaimWritten,
               .m_fields = {{"key", claim.m_record.m_key.value()},
                            {"request", claim.m_record.m_request.value()}}});
}

/// This host sent nothing. Only for a key that it generated itself is it
/// certain that no other host sent the call either.
auto AnswerUnclaimed(const Claim& claim, ClaimStep& step) -> void {
  Decide(claim,
         claim.m_fresh_key ? ClaimDecision::Verdict::kNotClaimed
                           : ClaimDecision::Verdict::kIndeterminate,
         claim.m_record, step);
}

auto ReportUnknown(const Claim& claim, ClaimStep& step) -> void {
  step.m_effects.emplace_back(
      WriteLog{.m_id = LogEventId::kActionUnknown,
               .m_fields = {{"key", claim.m_record.m_key.value()},
                            {"request", claim.m_record.m_request.value()},
                            {"program", claim.m_record.m_program.value()}}});
}

}  // namespace

auto ToString(ClaimState state) -> std::string_view {
  return kStates[static_cast<std::size_t>(state)];
}

auto LoadClaimStateMachine(const std::string& directory)
    -> Result<ClaimStateMachine> {
  return LoadBoundChart<ClaimStateMachine>(directory, "action",
                                           {kStates, kEvents, kActions});
}

auto FireClaim(ClaimManager& manager,
               Claim& claim,
               ClaimEvent event,
               const ClaimRecord* other,
               TimePoint now,
               ClaimStep& step) -> void {
  const auto* transition = manager.m_state_machine.Find(claim.m_state, event);
  if (transition == nullptr) {
    return;
  }
  claim.m_state = transition->m_to;
  for (const auto action : transition->m_actions) {
    switch (action) {
      case ClaimAction::kGrant:
        Grant(manager, claim, now, step);
        break;
      case ClaimAction::kAnswerOther:
        Decide(claim, VerdictOn(claim, *other), *other, step);
        break;
      case ClaimAction::kAnswerUnclaimed:
        AnswerUnclaimed(claim, step);
        break;
      case ClaimAction::kCloseAsNotRun:
        claim.m_not_run = true;
        claim.m_result_at = now;
        break;
      case ClaimAction::kReportUnknown:
        ReportUnknown(claim, step);
        break;
    }
  }
}

}  // namespace dotterelshed::pvt
