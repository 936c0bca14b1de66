#include "crash_relay.h"

#include <algorithm>
#include <tuple>
#include <utility>

#include "dotterelshed/log_events.h"
#include "dotterelshed/steady_time.h"
#include "peer_call.h"

namespace dotterelshed {

namespace {

/// A question waits for news for this time.
constexpr Duration kPullWait = std::chrono::milliseconds(1500);
/// A lead that answers later is frozen or cut off.
constexpr Duration kPullMargin = std::chrono::milliseconds(400);
constexpr Duration kPushTimeout = std::chrono::milliseconds(500);
/// Pause between two calls that bring news.
constexpr Duration kJoinTime = std::chrono::milliseconds(100);
/// Pause between questions to the leads of other domains.
constexpr Duration kOtherLeadPause = std::chrono::milliseconds(1000);
constexpr Duration kRetryPause = std::chrono::milliseconds(300);
/// The lead of the own domain isn't asked for this time after a failure.
constexpr Duration kSourceAvoidance = std::chrono::milliseconds(2000);
/// Contents of one message; under a flood the others aren't told.
constexpr std::size_t kMaxContentsOfMessage = 128;
constexpr std::size_t kMaxWaiting = 512;

/// The contents for which @p is_new holds; of too many, those that matter most.
template <typename IsNew>
auto CollectContents(const CrashLedger& ledger, IsNew is_new)
    -> std::vector<DigestedContent> {
  std::vector<DigestedContent> contents;
  for (const auto& item : ledger.m_contents) {
    if (is_new(item.second)) {
      contents.emplace_back(item);
    }
  }
  if (contents.size() > kMaxContentsOfMessage) {
    const auto rank = [](const SuspectContent& content) {
      return std::tuple(content.m_quarantine.has_value(), content.m_lost.size(),
                        content.m_changed);
    };
    std::nth_element(contents.begin(), contents.begin() + kMaxContentsOfMessage,
                     contents.end(), [rank](const auto& a, const auto& b) {
                       return rank(a.second) > rank(b.second);
                     });
    contents.resize(kMaxContentsOfMessage);
  }
  return contents;
}

}  // namespace

CrashRelay::CrashRelay(EntryContext& context) : m_context(context) {}

auto CrashRelay::IsThisHost(const KnownLead& lead) const -> bool {
  return lead.m_entry.m_host == m_context.m_settings.m_host;
}

// Answering and taking.

auto CrashRelay::NewsSince(const CrashQuestion& question) const -> CrashNews {
  const auto& ledger = m_context.m_crashes;
  const auto same = question.m_incarnation == m_context.m_incarnation;
  const auto since = same ? question.m_version : 0;
  return {.m_incarnation = m_context.m_incarnation,
          .m_version = ledger.m_changes,
          .m_contents =
              CollectContents(ledger, [since](const SuspectContent& content) {
                return content.m_changed > since;
              })};
}

auto CrashRelay::Answer(const CrashQuestion& question, Answered answered)
    -> void {
  const auto now = SteadyTime();
  const auto wait = std::min(question.m_wait, kPullWait);
  if (m_waiting.size() >= kMaxWaiting) {
    answered(EncodeCrashNews(NewsSince(question), now));
    return;
  }
  m_waiting.push_back({question, now + wait, std::move(answered)});
  AnswerWaiting(now);
}

auto CrashRelay::AnswerWaiting(TimePoint now) -> void {
  const auto changes = m_context.m_crashes.m_changes;
  const auto is_due = [this, changes, now](const Waiting& one) {
    const auto& question = one.m_question;
    const auto same = question.m_incarnation == m_context.m_incarnation;
    return now >= one.m_until || !same || question.m_version < changes;
  };
  const auto due = std::stable_partition(
      m_waiting.begin(), m_waiting.end(),
      [&is_due](const auto& one) { return !is_due(one); });
  const std::vector<Waiting> ready(due, m_waiting.end());
  m_waiting.erase(due, m_waiting.end());
  for (const auto& one : ready) {
    one.m_answered(EncodeCrashNews(NewsSince(one.m_question), now));
  }
}

auto CrashRelay::Take(const CrashNews& news) -> void {
  const auto now = SteadyTime();
  for (const auto& [digest, content] : news.m_contents) {
    if (MergeContent(m_context.m_crashes, digest, content, now)) {
      LogEvent(LogEventId::kContentQuarantined,
               {{"content", ToString(digest)}, {"source", "host"}});
    }
  }
}

// Telling the leads.

auto CrashRelay::PushToLeads(TimePoint now) -> void {
  for (const auto& [domain, lead] : m_context.m_leads) {
    if (IsThisHost(lead)) {
      continue;
    }
    auto& cursor = m_pushed[domain];
    if (cursor.m_incarnation != lead.m_entry.m_incarnation) {
      // A lead that has changed may not know what the one before was told.
      cursor = {.m_incarnation = lead.m_entry.m_incarnation};
    }
    const auto due = !cursor.m_under_way && now >= cursor.m_not_before &&
                     cursor.m_version < m_context.m_crashes.m_changes;
    if (due) {
      Push(lead, cursor, now);
    }
  }
}

auto CrashRelay::Push(const KnownLead& lead, Cursor& cursor, TimePoint now)
    -> void {
  const auto& ledger = m_context.m_crashes;
  const auto version = ledger.m_changes;
  CrashNews news{.m_incarnation = m_context.m_incarnation,
                 .m_version = version};
  news.m_contents = CollectContents(
      ledger, [since = cursor.m_version](const SuspectContent& content) {
        return content.m_changed_locally > since;
      });
  if (news.m_contents.empty()) {
    cursor.m_version = version;
    return;
  }
  cursor.m_under_way = true;
  CallPeer(
      m_context.m_loop, m_context.m_peers, lead.m_entry.m_peer_address,
      kCrashNewsPath, EncodeCrashNews(news, now), kPushTimeout,
      [this, domain = lead.m_domain, version,
       incarnation = cursor.m_incarnation](const Result<std::string>& reply) {
        auto& told = m_pushed[domain];
        if (told.m_incarnation != incarnation) {
          return;
        }
        told.m_under_way = false;
        if (reply) {
          told.m_version = version;
        }
        told.m_not_before = SteadyTime() + (reply ? kJoinTime : kRetryPause);
      });
}

// Asking.

auto CrashRelay::NextSource(TimePoint now) -> const KnownLead* {
  const auto& leads = m_context.m_leads;
  const auto& own_domain = m_context.m_settings.m_domain;
  const auto own = leads.find(own_domain);
  const auto use_own = own != leads.end() && !IsThisHost(own->second) &&
                       now >= m_pulled[own_domain].m_not_before;
  if (use_own) {
    return &own->second;
  }
  auto next = leads.upper_bound(m_last_other);
  for (std::size_t i = 0; i < leads.size(); ++i) {
    if (next == leads.end()) {
      next = leads.begin();
    }
    const auto usable = next->first != own_domain && !IsThisHost(next->second);
    if (usable) {
      m_last_other = next->first;
      return &next->second;
    }
    ++next;
  }
  return nullptr;
}

auto CrashRelay::Pull(TimePoint now) -> void {
  const auto* lead = NextSource(now);
  if (lead == nullptr) {
    m_next_pull = now + kOtherLeadPause;
    return;
  }
  m_pulling = true;
  const auto own = lead->m_domain == m_context.m_settings.m_domain;
  const auto& cursor = m_pulled[lead->m_domain];
  const CrashQuestion question{.m_incarnation = cursor.m_incarnation,
                               .m_version = cursor.m_version,
                               .m_wait = own ? kPullWait : Duration{0}};
  CallPeer(m_context.m_loop, m_context.m_peers, lead->m_entry.m_peer_address,
           kCrashQuestionPath, EncodeCrashQuestion(question),
           question.m_wait + kPullMargin,
           [this, domain = lead->m_domain](const Result<std::string>& reply) {
             OnPulled(domain, reply.and_then([](const std::string& text) {
               return DecodeCrashNews(text, SteadyTime());
             }));
           });
}

auto CrashRelay::OnPulled(const DomainId& domain, const Result<CrashNews>& news)
    -> void {
  const auto now = SteadyTime();
  const auto own = domain == m_context.m_settings.m_domain;
  auto& cursor = m_pulled[domain];
  m_pulling = false;
  m_next_pull = now + (own ? kJoinTime : kOtherLeadPause);
  if (!news) {
    cursor.m_not_before = now + kSourceAvoidance;
    if (own) {
      m_next_pull = now;
    }
    return;
  }
  cursor.m_incarnation = news->m_incarnation;
  cursor.m_version = news->m_version;
  Take(*news);
}

auto CrashRelay::Tick(TimePoint now) -> void {
  AnswerWaiting(now);
  PushToLeads(now);
  if (!m_pulling && now >= m_next_pull) {
    Pull(now);
  }
}

}  // namespace dotterelshed
