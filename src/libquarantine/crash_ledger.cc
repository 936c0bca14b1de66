#include "dotterelshed/crash_ledger.h"

#include <algorithm>
#include <set>
#include <tuple>

#include "crash_attribution.h"

namespace dotterelshed {

namespace {

/// The platform lists an endpoint for this long after it ended, at most.
constexpr Duration kCrashConfirmationWindow = std::chrono::seconds(10);
/// Bytes that an endpoint sent before its end have been read by then.
constexpr Duration kInFlightTime = std::chrono::milliseconds(200);
/// Times that another host tells are exact to this time.
constexpr Duration kClockError = std::chrono::milliseconds(100);
constexpr std::size_t kMaxLostPerContent = 8;
constexpr std::size_t kMaxServedCallers = 4;
constexpr int kMaxDoublings = 4;

/// Ends that are known, each of an attempt that began after the one before.
auto ConfirmedInSequence(const std::vector<const LostAttempt*>& ends)
    -> std::vector<const LostAttempt*> {
  std::vector<const LostAttempt*> known;
  for (const auto* one : ends) {
    const auto begun = one->m_at - one->m_running;
    const auto in_turn = known.empty() || begun >= known.back()->m_at;
    if (one->m_evidence == CrashEvidence::kEndpointEnded && in_turn) {
      known.push_back(one);
    }
  }
  return known;
}

auto ReachesThreshold(const CrashLedger& ledger, std::size_t ends) -> bool {
  return static_cast<int>(ends) >= ledger.m_options.m_crash_threshold;
}

/// Term of a quarantine that isn't proved.
auto ShortQuarantineTime(const CrashLedgerOptions& options, std::size_t ends)
    -> Duration {
  const auto further = static_cast<int>(ends) - options.m_crash_threshold;
  const auto term =
      options.m_short_quarantine * (1 << std::min(further, kMaxDoublings));
  return std::min<Duration>(term, options.m_long_quarantine);
}

/// Joins a quarantine with the one that may be there.
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

/// Quarantines a content for a caller if it has enough ends.
auto QuarantineFor(const CrashLedger& ledger,
                   SuspectContent& content,
                   CallerDigest caller,
                   TimePoint now) -> void {
  const auto ends = AttributedCrashes(ledger, content, caller, now);
  if (!ReachesThreshold(ledger, ends.size())) {
    return;
  }
  const auto& options = ledger.m_options;
  const auto since = ends.back()->m_at;
  const auto proved =
      ReachesThreshold(ledger, ConfirmedInSequence(ends).size());
  const auto term = proved ? options.m_long_quarantine
                           : ShortQuarantineTime(options, ends.size());
  AddQuarantine(content, {.m_caller = caller,
                          .m_since = since,
                          .m_until = since + term,
                          .m_proved = proved});
}

/// Quarantines a content for all callers if it is proved, by as many of them.
auto QuarantineForAll(const CrashLedger& ledger,
                      SuspectContent& content,
                      TimePoint now) -> void {
  const auto ends = ConfirmedInSequence(
      AttributedCrashes(ledger, content, std::nullopt, now));
  std::set<CallerDigest> callers;
  for (const auto* one : ends) {
    callers.insert(one->m_caller);
  }
  if (ReachesThreshold(ledger, callers.size())) {
    const auto since = ends.back()->m_at;
    AddQuarantine(content,
                  {.m_since = since,
                   .m_until = since + ledger.m_options.m_long_quarantine,
                   .m_proved = true});
  }
}

/// Quarantines a content for each caller with enough ends, and for all callers
/// when several have them together. What hasn't settled is judged anew.
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

/// Judges a content anew after one of its ends turned out to be none.
auto ReevaluateQuarantine(const CrashLedger& ledger,
                          SuspectContent& content,
                          TimePoint now) -> void {
  if (content.m_quarantine && !content.m_quarantine->m_proved) {
    content.m_quarantine.reset();
  }
  EvaluateQuarantine(ledger, content, now);
}

/// Judges @p changed, and again what was judged without it. Returns true when
/// that quarantines @p changed.
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

/// True when a content is forgotten before another one.
auto IsEvictedBefore(const SuspectContent& a, const SuspectContent& b) -> bool {
  const auto rank = [](const SuspectContent& content) {
    return std::tuple(content.m_quarantine.has_value(), content.m_lost.size(),
                      content.m_last_seen);
  };
  return rank(a) < rank(b);
}

/// The entry of a content, new if needed; another one may be forgotten for it.
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

/// Keeps the latest ones. Returns false when this one is older than these.
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

/// Notes that a content was served, and drops what that clears.
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

/// Adds what another host knows of lost attempts; returns what is new.
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
  auto others = lost;
  others.m_own = false;
  return !cleared && AddLost(content, others);
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
  const auto news = !known || (known->m_caller && !quarantine.m_caller) ||
                    quarantine.m_until > known->m_until + kClockError;
  if (cleared || !news) {
    return false;
  }
  AddQuarantine(content, quarantine);
  return true;
}

/// Withdraws what this host lost at an endpoint, where @p disproved says that
/// the endpoint didn't end then.
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
