#include "dotterelshed/crash_ledger.h"

#include <algorithm>
#include <set>
#include <tuple>

#include "crash_attribution.h"

namespace dotterelshed {

namespace {

/// Longest time for which the platform lists an endpoint after it ended. Later
/// reports of its end confirm no loss.
constexpr Duration kCrashConfirmationWindow = std::chrono::seconds(10);
/// Bytes that an endpoint sent before it ended have been read after this time.
constexpr Duration kInFlightTime = std::chrono::milliseconds(200);
/// Maximum error of the times that another host reports.
constexpr Duration kClockError = std::chrono::milliseconds(100);
constexpr std::size_t kMaxLostPerContent = 8;
constexpr std::size_t kMaxServedCallers = 4;
constexpr int kMaxDoublings = 4;

/// Returns the confirmed crashes of attempts that each started after the
/// previous one's crash.
auto ConfirmedInSequence(const std::vector<const LostAttempt*>& crashes)
    -> std::vector<const LostAttempt*> {
  std::vector<const LostAttempt*> known;
  for (const auto* one : crashes) {
    const auto begun = one->m_at - one->m_running;
    const auto sequential = known.empty() || begun >= known.back()->m_at;
    if (one->m_evidence == CrashEvidence::kEndpointEnded && sequential) {
      known.push_back(one);
    }
  }
  return known;
}

auto ReachesThreshold(const CrashLedger& ledger, std::size_t crashes) -> bool {
  return static_cast<int>(crashes) >= ledger.m_options.m_crash_threshold;
}

/// Duration of a quarantine that isn't proved.
auto ShortQuarantineTime(const CrashLedgerOptions& options, std::size_t crashes)
    -> Duration {
  const auto further = static_cast<int>(crashes) - options.m_crash_threshold;
  const auto term =
      options.m_short_quarantine * (1 << std::min(further, kMaxDoublings));
  return std::min<Duration>(term, options.m_long_quarantine);
}

/// Merges a quarantine into the content's existing one, if any.
auto AddQuarantine(SuspectContent& content, const Quarantine& quarantine)
    -> void {
  auto& known = content.m_quarantine;
  if (!known) {
    known = quarantine;
    return;
  }
  if (known->m_caller != quarantine.m_caller) {
    known->m_caller = std::nullopt;
  }
  known->m_since = std::max(known->m_since, quarantine.m_since);
  known->m_until = std::max(known->m_until, quarantine.m_until);
  known->m_proved = known->m_proved || quarantine.m_proved;
}

/// Quarantines a content for a caller if enough crashes are attributed to it.
auto QuarantineFor(const CrashLedger& ledger,
                   SuspectContent& content,
                   CallerDigest caller,
                   TimePoint now) -> void {
  const auto crashes = AttributedCrashes(ledger, content, caller, now);
  if (!ReachesThreshold(ledger, crashes.size())) {
    return;
  }
  const auto& options = ledger.m_options;
  const auto since = crashes.back()->m_at;
  const auto proved =
      ReachesThreshold(ledger, ConfirmedInSequence(crashes).size());
  const auto term = proved ? options.m_long_quarantine
                           : ShortQuarantineTime(options, crashes.size());
  AddQuarantine(content, {.m_caller = caller,
                          .m_since = since,
                          .m_until = since + term,
                          .m_proved = proved});
}

/// Quarantines a content for all callers if confirmed, sequential crashes are
/// attributed to as many callers as the threshold.
auto QuarantineForAll(const CrashLedger& ledger,
                      SuspectContent& content,
                      TimePoint now) -> void {
  const auto crashes = ConfirmedInSequence(
      AttributedCrashes(ledger, content, std::nullopt, now));
  std::set<CallerDigest> callers;
  for (const auto* one : crashes) {
    callers.insert(one->m_caller);
  }
  if (ReachesThreshold(ledger, callers.size())) {
    const auto since = crashes.back()->m_at;
    AddQuarantine(content,
                  {.m_since = since,
                   .m_until = since + ledger.m_options.m_long_quarantine,
                   .m_proved = true});
  }
}

/// Quarantines a content for each caller with enough crashes, and for all
/// callers if enough of them have crashes. A quarantine whose attribution isn't
/// final yet is replaced.
auto EvaluateQuarantine(const CrashLedger& ledger,
                        SuspectContent& content,
                        TimePoint now) -> void {
  if (content.m_quarantine && !IsAttributionFinal(*content.m_quarantine, now)) {
    content.m_quarantine.reset();
  }
  if (!ReachesThreshold(ledger, content.m_lost.size())) {
    return;
  }
  std::set<CallerDigest> callers;
  for (const auto& one : content.m_lost) {
    callers.insert(one.m_caller);
  }
  for (const auto& caller : callers) {
    QuarantineFor(ledger, content, caller, now);
  }
  QuarantineForAll(ledger, content, now);
}

auto CountWithdrawn(const SuspectContent& content) -> std::ptrdiff_t {
  return std::count_if(content.m_lost.begin(), content.m_lost.end(),
                       [](const LostAttempt& one) {
                         return one.m_evidence == CrashEvidence::kWithdrawn;
                       });
}

/// Evaluates a content again after one of its losses was withdrawn.
auto ReevaluateQuarantine(const CrashLedger& ledger,
                          SuspectContent& content,
                          TimePoint now) -> void {
  if (content.m_quarantine && !content.m_quarantine->m_proved) {
    content.m_quarantine.reset();
  }
  EvaluateQuarantine(ledger, content, now);
}

/// Evaluates @p changed, and again all contents whose attribution isn't final,
/// since @p changed may explain their crashes. Returns true if that quarantines
/// @p changed.
auto EvaluateAfterChange(CrashLedger& ledger,
                         SuspectContent& changed,
                         TimePoint now) -> bool {
  const auto before = changed.m_quarantine.has_value();
  EvaluateQuarantine(ledger, changed, now);
  for (auto& [digest, content] : ledger.m_contents) {
    const auto& quarantine = content.m_quarantine;
    if (&content != &changed && quarantine &&
        !IsAttributionFinal(*quarantine, now)) {
      EvaluateQuarantine(ledger, content, now);
    }
  }
  return !before && changed.m_quarantine;
}

auto MarkChanged(CrashLedger& ledger, SuspectContent& content, bool own)
    -> void {
  content.m_changed = ++ledger.m_changes;
  if (own) {
    content.m_changed_locally = content.m_changed;
  }
}

/// True when @p a is evicted before @p b.
auto IsEvictedBefore(const SuspectContent& a, const SuspectContent& b) -> bool {
  const auto rank = [](const SuspectContent& content) {
    return std::tuple(content.m_quarantine.has_value(), content.m_lost.size(),
                      content.m_last_seen);
  };
  return rank(a) < rank(b);
}

/// Returns the entry of a content, adding it if necessary; that may evict
/// another one.
auto FindOrAddContent(CrashLedger& ledger, const ContentDigest& digest)
    -> SuspectContent& {
  auto& contents = ledger.m_contents;
  const auto found = contents.find(digest);
  if (found != contents.end()) {
    return found->second;
  }
  if (contents.size() >= ledger.m_options.m_max_contents) {
    contents.erase(std::min_element(
        contents.begin(), contents.end(), [](const auto& a, const auto& b) {
          return IsEvictedBefore(a.second, b.second);
        }));
  }
  return contents[digest];
}

auto IsEarlier(const LostAttempt& a, const LostAttempt& b) -> bool {
  return std::tie(a.m_at, a.m_id) < std::tie(b.m_at, b.m_id);
}

/// Adds a lost attempt and keeps the latest ones. Returns false if this one is
/// older than those kept.
auto AddLost(SuspectContent& content, const LostAttempt& lost) -> bool {
  auto& kept = content.m_lost;
  content.m_last_seen = std::max(content.m_last_seen, lost.m_at);
  kept.insert(std::upper_bound(kept.begin(), kept.end(), lost, IsEarlier),
              lost);
  if (kept.size() <= kMaxLostPerContent) {
    return true;
  }
  const auto newest = kept.front().m_id != lost.m_id;
  kept.erase(kept.begin());
  return newest;
}

/// Records that a content was served and erases the losses and quarantine that
/// this clears.
auto ApplyServed(SuspectContent& content, CallerDigest caller, TimePoint at)
    -> void {
  auto& served = content.m_served;
  content.m_served_to_any = std::max(content.m_served_to_any, at);
  served[caller] = std::max(served[caller], at);
  if (served.size() > kMaxServedCallers) {
    served.erase(std::min_element(
        served.begin(), served.end(),
        [](const auto& a, const auto& b) { return a.second < b.second; }));
  }
  std::erase_if(content.m_lost, [caller, at](const LostAttempt& one) {
    return one.m_caller == caller && one.m_at <= at;
  });
  const auto& quarantine = content.m_quarantine;
  if (IsQuarantined(content, caller) && quarantine->m_since <= at) {
    content.m_quarantine.reset();
  }
}

/// Merges another host's report of a lost attempt. Returns true if that changes
/// the content.
auto MergeLost(SuspectContent& content, const LostAttempt& lost) -> bool {
  const auto known = std::find_if(
      content.m_lost.begin(), content.m_lost.end(),
      [&lost](const LostAttempt& one) { return one.m_id == lost.m_id; });
  if (known != content.m_lost.end()) {
    const auto more = lost.m_evidence > known->m_evidence;
    known->m_evidence = std::max(known->m_evidence, lost.m_evidence);
    return more;
  }
  const auto served = content.m_served.find(lost.m_caller);
  const auto cleared =
      served != content.m_served.end() && lost.m_at <= served->second;
  auto reported = lost;
  reported.m_own = false;
  return !cleared && AddLost(content, reported);
}

auto MergeQuarantine(SuspectContent& content, const Quarantine& quarantine)
    -> bool {
  const auto cleared =
      std::any_of(content.m_served.begin(), content.m_served.end(),
                  [&quarantine](const auto& served) {
                    const auto meant = !quarantine.m_caller ||
                                       *quarantine.m_caller == served.first;
                    return meant && quarantine.m_since <= served.second;
                  });
  const auto& known = content.m_quarantine;
  const auto is_new = !known || (known->m_caller && !quarantine.m_caller) ||
                      quarantine.m_until > known->m_until + kClockError;
  if (cleared || !is_new) {
    return false;
  }
  AddQuarantine(content, quarantine);
  return true;
}

/// Withdraws this host's lost attempts at an endpoint for which @p disproved
/// returns true: the endpoint can't have ended at that time.
template <typename Disproved>
auto Withdraw(CrashLedger& ledger,
              const EndpointId& endpoint,
              TimePoint now,
              Disproved disproved) -> void {
  if (!ledger.m_suspect_endpoints.contains(endpoint)) {
    return;
  }
  const auto digest = MakeEndpointDigest(endpoint);
  for (auto& [key, content] : ledger.m_contents) {
    auto withdrawn = false;
    for (auto& one : content.m_lost) {
      if (one.m_own && one.m_endpoint == digest &&
          one.m_evidence < CrashEvidence::kEndpointEnded && disproved(one)) {
        one.m_evidence = CrashEvidence::kWithdrawn;
        withdrawn = true;
      }
    }
    if (withdrawn) {
      MarkChanged(ledger, content, true);
      ReevaluateQuarantine(ledger, content, now);
    }
  }
}

}  // namespace

auto ToString(CrashEvidence evidence) -> std::string_view {
  switch (evidence) {
    case CrashEvidence::kUnproved:
      return "unproved";
    case CrashEvidence::kConnectionLost:
      return "connection_lost";
    case CrashEvidence::kEndpointEnded:
      return "endpoint_ended";
    case CrashEvidence::kWithdrawn:
      return "withdrawn";
  }
  return "unproved";
}

auto Admit(CrashLedger& ledger, const CallFingerprint& call, TimePoint now)
    -> Admission {
  const auto found = ledger.m_contents.find(call.m_content);
  if (found == ledger.m_contents.end()) {
    return Admission::kFree;
  }
  auto& content = found->second;
  if (!IsQuarantined(content, call.m_caller)) {
    const auto lost = CountCrashesInvolved({&content, call.m_caller});
    return lost > 0 ? Admission::kSuspect : Admission::kFree;
  }
  content.m_last_seen = now;
  if (QuarantineLeft(ledger, call, now) > Duration{0}) {
    return Admission::kRefused;
  }
  content.m_quarantine->m_until = now + ledger.m_options.m_trial_time;
  MarkChanged(ledger, content, true);
  return Admission::kTrial;
}

auto QuarantineLeft(const CrashLedger& ledger,
                    const CallFingerprint& call,
                    TimePoint now) -> Duration {
  const auto found = ledger.m_contents.find(call.m_content);
  if (found == ledger.m_contents.end() ||
      !IsQuarantined(found->second, call.m_caller)) {
    return Duration{0};
  }
  const auto end =
      found->second.m_quarantine->m_until + ledger.m_options.m_trial_delay;
  return std::max(end - now, Duration{0});
}

auto CountAttributedCrashes(const CrashLedger& ledger,
                            const CallFingerprint& call,
                            TimePoint now) -> int {
  const auto found = ledger.m_contents.find(call.m_content);
  return found == ledger.m_contents.end()
             ? 0
             : static_cast<int>(
                   AttributedCrashes(ledger, found->second, call.m_caller, now)
                       .size());
}

auto NoteAttemptLost(CrashLedger& ledger,
                     const CallFingerprint& call,
                     const EndpointId& endpoint,
                     const LostAttempt& lost) -> bool {
  auto& content = FindOrAddContent(ledger, call.m_content);
  auto own = lost;
  own.m_caller = call.m_caller;
  own.m_endpoint = MakeEndpointDigest(endpoint);
  own.m_own = true;
  AddLost(content, own);
  ledger.m_suspect_endpoints[endpoint] = own.m_at;
  MarkChanged(ledger, content, lost.m_evidence != CrashEvidence::kUnproved);
  return EvaluateAfterChange(ledger, content, lost.m_at);
}

auto NoteEndpointEnded(CrashLedger& ledger,
                       const EndpointId& endpoint,
                       TimePoint now) -> void {
  const auto digest = MakeEndpointDigest(endpoint);
  for (auto& [key, content] : ledger.m_contents) {
    auto proved = false;
    auto own = false;
    for (auto& one : content.m_lost) {
      if (one.m_endpoint == digest &&
          one.m_evidence < CrashEvidence::kEndpointEnded &&
          now - one.m_at <= kCrashConfirmationWindow) {
        one.m_evidence = CrashEvidence::kEndpointEnded;
        proved = true;
        own |= one.m_own;
      }
    }
    if (proved) {
      MarkChanged(ledger, content, own);
      EvaluateAfterChange(ledger, content, now);
    }
  }
}

auto NoteEndpointAlive(CrashLedger& ledger,
                       const EndpointId& endpoint,
                       TimePoint connected_at,
                       TimePoint now) -> void {
  Withdraw(ledger, endpoint, now, [connected_at, now](const LostAttempt& one) {
    return connected_at < one.m_at && one.m_at + kInFlightTime < now;
  });
}

auto NoteEndpointListed(CrashLedger& ledger,
                        const EndpointId& endpoint,
                        TimePoint shown_at,
                        TimePoint now) -> void {
  const auto lapse_time = ledger.m_options.m_listing_expiry;
  Withdraw(ledger, endpoint, now,
           [shown_at, lapse_time](const LostAttempt& one) {
             return one.m_at + lapse_time < shown_at;
           });
}

auto NoteServed(CrashLedger& ledger, const CallFingerprint& call, TimePoint now)
    -> void {
  const auto found = ledger.m_contents.find(call.m_content);
  if (found == ledger.m_contents.end()) {
    return;
  }
  auto& content = found->second;
  const auto own = std::any_of(content.m_lost.begin(), content.m_lost.end(),
                               [&call](const LostAttempt& one) {
                                 return one.m_caller == call.m_caller;
                               });
  const auto first_since = !content.m_lost.empty() &&
                           content.m_lost.back().m_at > content.m_served_to_any;
  if (own || first_since || IsQuarantined(content, call.m_caller)) {
    ApplyServed(content, call.m_caller, now);
    MarkChanged(ledger, content, true);
  }
}

auto MergeContent(CrashLedger& ledger,
                  const ContentDigest& digest,
                  const SuspectContent& other,
                  TimePoint now) -> bool {
  auto& content = FindOrAddContent(ledger, digest);
  const auto withdrawn = CountWithdrawn(content);
  auto changed = false;
  if (content.m_served_to_any + kClockError < other.m_served_to_any) {
    content.m_served_to_any = other.m_served_to_any;
    changed = true;
  }
  for (const auto& [caller, at] : other.m_served) {
    const auto known = content.m_served.find(caller);
    if (known == content.m_served.end() || known->second + kClockError < at) {
      ApplyServed(content, caller, at);
      changed = true;
    }
  }
  for (const auto& one : other.m_lost) {
    changed |= MergeLost(content, one);
  }
  const auto before = content.m_quarantine.has_value();
  if (other.m_quarantine) {
    changed |= MergeQuarantine(content, *other.m_quarantine);
  }
  content.m_last_seen = std::max(content.m_last_seen, other.m_last_seen);
  if (changed) {
    MarkChanged(ledger, content, false);
    EvaluateAfterChange(ledger, content, now);
  }
  if (CountWithdrawn(content) > withdrawn) {
    ReevaluateQuarantine(ledger, content, now);
  }
  return !before && content.m_quarantine.has_value();
}

auto ForgetOldContents(CrashLedger& ledger, TimePoint now) -> void {
  const auto retention = ledger.m_options.m_retention;
  std::erase_if(ledger.m_contents, [now, retention](const auto& item) {
    return now - item.second.m_last_seen > retention;
  });
  std::erase_if(ledger.m_suspect_endpoints, [now](const auto& item) {
    return now - item.second > kCrashConfirmationWindow;
  });
}

}  // namespace dotterelshed
