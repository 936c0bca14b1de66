#include "crash_attribution.h"

#include <algorithm>

namespace dotterelshed {

namespace {

/// Attempts lost at one endpoint within this time were lost in the same crash;
/// an endpoint takes longer to restart.
constexpr Duration kSameCrashWindow = std::chrono::seconds(1);
/// Of two requests that were lost together each time, one that started later by
/// more than this is taken for the cause.
constexpr Duration kMinStartGap = std::chrono::milliseconds(10);
/// After this time all hosts know of the attempts lost in a crash. Until then a
/// quarantine is evaluated again with each reported loss.
constexpr Duration kReportingTime = std::chrono::milliseconds(500);

/// True when a lost attempt is evidence of a crash and its caller wasn't served
/// since.
auto Counts(const SuspectContent& content, const LostAttempt& lost) -> bool {
  const auto served = content.m_served.find(lost.m_caller);
  return (lost.m_evidence == CrashEvidence::kConnectionLost ||
          lost.m_evidence == CrashEvidence::kEndpointEnded) &&
         (served == content.m_served.end() || served->second < lost.m_at);
}

auto IsSameCrash(const LostAttempt& a, const LostAttempt& b) -> bool {
  const auto apart = a.m_at < b.m_at ? b.m_at - a.m_at : a.m_at - b.m_at;
  return a.m_endpoint == b.m_endpoint && apart < kSameCrashWindow;
}

/// Returns one lost attempt of each crash; @p lost is ordered by time.
auto DistinctCrashes(const std::vector<const LostAttempt*>& lost)
    -> std::vector<const LostAttempt*> {
  std::vector<const LostAttempt*> crashes;
  for (const auto* one : lost) {
    const auto known = std::any_of(
        crashes.begin(), crashes.end(),
        [one](const LostAttempt* crash) { return IsSameCrash(*crash, *one); });
    if (!known) {
      crashes.push_back(one);
    }
  }
  return crashes;
}

}  // namespace

auto CountCrashesInvolved(const CallerLosses& lost) -> int {
  std::vector<const LostAttempt*> counted;
  for (const auto& one : lost.m_content->m_lost) {
    if (one.m_caller == lost.m_caller && Counts(*lost.m_content, one)) {
      counted.push_back(&one);
    }
  }
  return static_cast<int>(DistinctCrashes(counted).size());
}

auto IsQuarantined(const SuspectContent& content, CallerDigest caller) -> bool {
  const auto& quarantine = content.m_quarantine;
  return quarantine &&
         (!quarantine->m_caller || *quarantine->m_caller == caller);
}

auto IsAttributionFinal(const Quarantine& quarantine, TimePoint now) -> bool {
  return now - quarantine.m_since >= kReportingTime;
}

namespace {

auto IsFinallyQuarantined(const CallerLosses& lost, TimePoint now) -> bool {
  return IsQuarantined(*lost.m_content, lost.m_caller) &&
         IsAttributionFinal(*lost.m_content->m_quarantine, now);
}

/// True when @p other, lost in the same crash, more likely caused it. Decided
/// by, in this order: a quarantine whose attribution is final, the number of
/// crashes that each was lost in, the later start.
auto IsMoreLikelyCause(const CallerLosses& lost,
                       const LostAttempt& attempt,
                       const CallerLosses& other,
                       const LostAttempt& other_attempt,
                       TimePoint now) -> bool {
  const auto quarantined = IsFinallyQuarantined(lost, now);
  if (IsFinallyQuarantined(other, now) != quarantined) {
    return !quarantined;
  }
  const auto count = CountCrashesInvolved(lost);
  const auto other_count = CountCrashesInvolved(other);
  if (count != other_count) {
    return other_count > count;
  }
  return count > 1 &&
         other_attempt.m_running + kMinStartGap < attempt.m_running;
}

/// True when another request that was lost in the same crash more likely caused
/// it.
auto IsExplainedByOther(const CrashLedger& ledger,
                        const SuspectContent& content,
                        const LostAttempt& attempt,
                        TimePoint now) -> bool {
  const CallerLosses lost{&content, attempt.m_caller};
  for (const auto& [digest, other] : ledger.m_contents) {
    for (const auto& one : other.m_lost) {
      const auto same = &other == &content && one.m_caller == attempt.m_caller;
      const auto together =
          !same && IsSameCrash(one, attempt) && Counts(other, one);
      if (together &&
          IsMoreLikelyCause(lost, attempt, {&other, one.m_caller}, one, now)) {
        return true;
      }
    }
  }
  return false;
}

}  // namespace

auto AttributedCrashes(const CrashLedger& ledger,
                       const SuspectContent& content,
                       std::optional<CallerDigest> caller,
                       TimePoint now) -> std::vector<const LostAttempt*> {
  std::vector<const LostAttempt*> crashes;
  for (const auto& one : content.m_lost) {
    const auto meant =
        caller ? one.m_caller == *caller : one.m_at > content.m_served_to_any;
    if (meant && Counts(content, one) &&
        !IsExplainedByOther(ledger, content, one, now)) {
      crashes.push_back(&one);
    }
  }
  return DistinctCrashes(crashes);
}

}  // namespace dotterelshed
