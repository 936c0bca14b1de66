#ifndef DOTTERELSHED_CRASH_RELAY_H_
#define DOTTERELSHED_CRASH_RELAY_H_

#include <functional>
#include <map>
#include <string>
#include <vector>

#include "crash_messages.h"
#include "entry_context.h"

/// @file
/// Spreads the ledger of requests under which endpoints ended over all hosts,
/// without the platform's store: a host tells the leads of all domains what it
/// has seen itself, and asks the lead of its own domain for what is new. While
/// that one doesn't answer, the lead of another domain is asked. Leads ask each
/// other by turns.

namespace dotterelshed {

class CrashRelay {
 public:
  /// Gets the body to answer with.
  using Answered = std::function<void(const std::string&)>;

  explicit CrashRelay(EntryContext& context);

  /// Answers another host's question, now or when there is news.
  auto Answer(const CrashQuestion& question, Answered answered) -> void;
  /// Takes what another host has seen.
  auto Take(const CrashNews& news) -> void;
  /// Call several times a second.
  auto Tick(TimePoint now) -> void;

 private:
  struct Waiting {
    CrashQuestion m_question;
    TimePoint m_until;
    Answered m_answered;
  };
  /// How far this host is with the ledger of another one, or the other with
  /// that of this one.
  struct Cursor {
    Incarnation m_incarnation;
    std::uint64_t m_version = 0;
    bool m_under_way = false;
    TimePoint m_not_before;
  };

  auto AnswerWaiting(TimePoint now) -> void;
  auto NewsSince(const CrashQuestion& question) const -> CrashNews;
  auto PushToLeads(TimePoint now) -> void;
  auto Push(const KnownLead& lead, Cursor& cursor, TimePoint now) -> void;
  /// The lead to ask next, or nullptr.
  auto NextSource(TimePoint now) -> const KnownLead*;
  auto Pull(TimePoint now) -> void;
  auto OnPulled(const DomainId& domain, const Result<CrashNews>& news) -> void;
  auto IsThisHost(const KnownLead& lead) const -> bool;

  EntryContext& m_context;
  std::vector<Waiting> m_waiting;
  std::map<DomainId, Cursor> m_pushed;
  std::map<DomainId, Cursor> m_pulled;
  /// The other domain that was asked last.
  DomainId m_last_other;
  TimePoint m_next_pull;
  bool m_pulling = false;
};

}  // namespace dotterelshed

#endif  // DOTTERELSHED_CRASH_RELAY_H_
