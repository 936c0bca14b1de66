#include "crash_attribution.h"

#include <algorithm>

namespace dotterelshed {

namespace {

/// Attempts lost at one endpoint within this time are lost by the same end: an
/// endpoint takes longer to start anew.
constexpr Duration kSameCrashWindow = std::chrono::seconds(1);
/// Two requests that were lost together each time: the one that began later by
/// this time ended the endpoint.
constexpr Duration kMinStartGap = std::chrono::milliseconds(10);
/// What was lost at the same end is known at all hosts after this time. Until
/// then a quarantine is judged anew with each attempt that turns out to be
/// lost.
constexpr Duration kReportingTime = std::chrono::milliseconds(500);

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

/// The different ends among lost attempts, which are in order of time.
auto DistinctCrashes(const std::vector<const LostAttempt*>& lost)
    -> std::vector<const LostAttempt*> {
  std::vector<const LostAttempt*> ends;
  for (const auto* one : lost) {
    const auto known = std::any_of(
        ends.begin(), ends.end(),
        [one](const LostAttempt* end) { return IsSameCrash(*end, *one); });
    if (!known) {
      ends.push_back(one);
    }
  }
  return ends;
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

/// True when @p other, lost at the same end, is the likelier cause of it.
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

/// True when another request that was lost at the same end explains it better.
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
  std::vector<const LostAttempt*> ends;
  for (const auto& one : content.m_lost) {
    const auto meant =
        caller ? one.m_caller == *caller : one.m_at > content.m_served_to_any;
    if (meant && Counts(content, one) &&
        !IsExplainedByOther(ledger, content, one, now)) {
      ends.push_back(&one);
    }
  }
  return DistinctCrashes(ends);
}

}  // namespace dotterelshed
