#include "crash/crash_ledger_sync.h"

#include <algorithm>
#include <tuple>
#include <utility>

#include "dotterelshed/log_events.h"
#include "dotterelshed/steady_time.h"
#include "peer_call.h"

namespace dotterelshed {

namespace {

/// Maximum time for which a request waits for a change.
constexpr Duration kPullWait = std::chrono::milliseconds(1500);
/// Added to the wait for the timeout of a pull; a lead that takes longer is
/// hung or partitioned.
constexpr Duration kPullTimeoutMargin = std::chrono::milliseconds(400);
constexpr Duration kPushTimeout = std::chrono::milliseconds(500);
/// Minimum interval between two messages, so that changes are batched.
constexpr Duration kBatchDelay = std::chrono::milliseconds(100);
/// Interval between pulls from leads of other domains.
constexpr Duration kOtherLeadInterval = std::chrono::milliseconds(1000);
constexpr Duration kPushRetryDelay = std::chrono::milliseconds(300);
/// The lead of this host's domain is not pulled within this time after a
/// failure.
constexpr Duration kSourceRetryDelay = std::chrono::milliseconds(2000);
/// Maximum number of contents per message; if more are suspect at once, the
/// rest are omitted.
constexpr std::size_t kMaxContentsPerMessage = 128;
constexpr std::size_t kMaxWaiting = 512;

/// Returns the contents for which @p is_new holds. Above the limit, quarantined
/// ones come first, then those with the most lost attempts, then the latest
/// changed.
template <typename IsNew>
auto CollectContents(const CrashLedger& ledger, IsNew is_new)
    -> std::vector<DigestedContent> {
  std::vector<DigestedContent> contents;
  for (const auto& item : ledger.m_contents) {
    if (is_new(item.second)) {
      contents.emplace_back(item);
    }
  }
  if (contents.size() > kMaxContentsPerMessage) {
    const auto rank = [](const SuspectContent& content) {
      return std::tuple(content.m_quarantine.has_value(), content.m_lost.size(),
                        content.m_changed);
    };
    std::nth_element(contents.begin(),
                     contents.begin() + kMaxContentsPerMessage, contents.end(),
                     [rank](const auto& a, const auto& b) {
                       return rank(a.second) > rank(b.second);
                     });
    contents.resize(kMaxContentsPerMessage);
  }
  return contents;
}

/// Returns true if a host without the content would let further endpoints end.
auto HasEvidence(const SuspectContent& content) -> bool {
  return content.m_quarantine.has_value() || !content.m_lost.empty();
}

}  // namespace

CrashLedgerSync::CrashLedgerSync(EntryContext& context) : m_context(context) {}

auto CrashLedgerSync::IsThisHost(const KnownLead& lead) const -> bool {
  return lead.m_entry.m_host == m_context.m_settings.m_host;
}

// Incoming requests and updates.

auto CrashLedgerSync::UpdateSince(const CrashUpdateRequest& request) const
    -> CrashUpdate {
  const auto& ledger = m_context.m_crash_ledger;
  const auto same = request.m_incarnation == m_context.m_incarnation;
  const auto since = same ? request.m_version : 0;
  return {.m_incarnation = m_context.m_incarnation,
          .m_version = ledger.m_changes,
          .m_contents =
              CollectContents(ledger, [since](const SuspectContent& content) {
                return content.m_changed > since;
              })};
}

auto CrashLedgerSync::HandleRequest(const CrashUpdateRequest& request,
                                    ResponseCallback respond) -> void {
  const auto now = SteadyTime();
  const auto wait = std::min(request.m_wait, kPullWait);
  if (m_waiting.size() >= kMaxWaiting) {
    respond(EncodeCrashUpdate(UpdateSince(request), now));
    return;
  }
  m_waiting.push_back({request, now + wait, std::move(respond)});
  RespondToDue(now);
}

auto CrashLedgerSync::RespondToDue(TimePoint now) -> void {
  const auto changes = m_context.m_crash_ledger.m_changes;
  const auto is_due = [this, changes, now](const PendingRequest& one) {
    const auto& request = one.m_request;
    const auto same = request.m_incarnation == m_context.m_incarnation;
    return now >= one.m_until || !same || request.m_version < changes;
  };
  const auto due = std::stable_partition(
      m_waiting.begin(), m_waiting.end(),
      [&is_due](const auto& one) { return !is_due(one); });
  const std::vector<PendingRequest> ready(due, m_waiting.end());
  m_waiting.erase(due, m_waiting.end());
  for (const auto& one : ready) {
    one.m_respond(EncodeCrashUpdate(UpdateSince(one.m_request), now));
  }
}

auto CrashLedgerSync::ApplyUpdate(const CrashUpdate& update) -> void {
  const auto now = SteadyTime();
  for (const auto& [digest, content] : update.m_contents) {
    if (MergeContent(m_context.m_crash_ledger, digest, content, now)) {
      LogEvent(LogEventId::kContentQuarantined,
               {{"content", ToString(digest)}, {"source", "host"}});
    }
  }
}

// Pushing to leads.

auto CrashLedgerSync::PushToLeads(TimePoint now) -> void {
  for (const auto& [domain, lead] : m_context.m_leads) {
    if (IsThisHost(lead)) {
      continue;
    }
    auto& cursor = m_push_cursors[domain];
    if (cursor.m_incarnation != lead.m_entry.m_incarnation) {
      cursor = {.m_incarnation = lead.m_entry.m_incarnation};
    }
    const auto due = !cursor.m_in_flight && now >= cursor.m_not_before &&
                     cursor.m_version < m_context.m_crash_ledger.m_changes;
    if (due) {
      Push(lead, cursor, now);
    }
  }
}

auto CrashLedgerSync::Push(const KnownLead& lead, Cursor& cursor, TimePoint now)
    -> void {
  const auto& ledger = m_context.m_crash_ledger;
  const auto version = ledger.m_changes;
  CrashUpdate update{.m_incarnation = m_context.m_incarnation,
                     .m_version = version};
  // A new lead may have lost what was pushed to its predecessor, and so may the
  // hosts that saw it first. It gets once what this host knows from others too.
  const auto everything = cursor.m_version == 0;
  update.m_contents = CollectContents(
      ledger,
      [everything, since = cursor.m_version](const SuspectContent& content) {
        return everything ? HasEvidence(content)
                          : content.m_changed_locally > since;
      });
  if (update.m_contents.empty()) {
    cursor.m_version = version;
    return;
  }
  cursor.m_in_flight = true;
  CallPeer(
      m_context.m_loop, m_context.m_peer_connections,
      lead.m_entry.m_peer_address, kCrashUpdatePath,
      EncodeCrashUpdate(update, now), kPushTimeout,
      [this, domain = lead.m_domain, version,
       incarnation = cursor.m_incarnation](const Result<std::string>& reply) {
        auto& pushed = m_push_cursors[domain];
        if (pushed.m_incarnation != incarnation) {
          return;
        }
        pushed.m_in_flight = false;
        if (reply) {
          pushed.m_version = version;
        }
        pushed.m_not_before =
            SteadyTime() + (reply ? kBatchDelay : kPushRetryDelay);
      });
}

// Pulling from leads.

auto CrashLedgerSync::NextSource(TimePoint now) -> const KnownLead* {
  const auto& leads = m_context.m_leads;
  const auto& own_domain = m_context.m_settings.m_domain;
  const auto own = leads.find(own_domain);
  const auto use_own = own != leads.end() && !IsThisHost(own->second) &&
                       now >= m_pull_cursors[own_domain].m_not_before;
  if (use_own) {
    return &own->second;
  }
  auto next = leads.upper_bound(m_last_other_domain);
  for (std::size_t i = 0; i < leads.size(); ++i) {
    if (next == leads.end()) {
      next = leads.begin();
    }
    const auto usable = next->first != own_domain && !IsThisHost(next->second);
    if (usable) {
      m_last_other_domain = next->first;
      return &next->second;
    }
    ++next;
  }
  return nullptr;
}

auto CrashLedgerSync::Pull(TimePoint now) -> void {
  const auto* lead = NextSource(now);
  if (lead == nullptr) {
    m_next_pull = now + kOtherLeadInterval;
    return;
  }
  m_pull_in_flight = true;
  const auto own = lead->m_domain == m_context.m_settings.m_domain;
  const auto& cursor = m_pull_cursors[lead->m_domain];
  const CrashUpdateRequest request{.m_incarnation = cursor.m_incarnation,
                                   .m_version = cursor.m_version,
                                   .m_wait = own ? kPullWait : Duration{0}};
  CallPeer(m_context.m_loop, m_context.m_peer_connections,
           lead->m_entry.m_peer_address, kCrashUpdateRequestPath,
           EncodeCrashUpdateRequest(request),
           request.m_wait + kPullTimeoutMargin,
           [this, domain = lead->m_domain](const Result<std::string>& reply) {
             OnPulled(domain, reply.and_then([](const std::string& text) {
               return DecodeCrashUpdate(text, SteadyTime());
             }));
           });
}

auto CrashLedgerSync::OnPulled(const DomainId& domain,
                               const Result<CrashUpdate>& update) -> void {
  const auto now = SteadyTime();
  const auto own = domain == m_context.m_settings.m_domain;
  auto& cursor = m_pull_cursors[domain];
  m_pull_in_flight = false;
  m_next_pull = now + (own ? kBatchDelay : kOtherLeadInterval);
  if (!update) {
    cursor.m_not_before = now + kSourceRetryDelay;
    if (own) {
      m_next_pull = now;
    }
    return;
  }
  cursor.m_incarnation = update->m_incarnation;
  cursor.m_version = update->m_version;
  ApplyUpdate(*update);
}

auto CrashLedgerSync::Tick(TimePoint now) -> void {
  RespondToDue(now);
  PushToLeads(now);
  if (!m_pull_in_flight && now >= m_next_pull) {
    Pull(now);
  }
}

}  // namespace dotterelshed
