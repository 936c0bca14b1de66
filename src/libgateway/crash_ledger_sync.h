#ifndef DOTTERELSHED_CRASH_LEDGER_SYNC_H_
#define DOTTERELSHED_CRASH_LEDGER_SYNC_H_

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

class CrashLedgerSync {
 public:
  /// Gets the body to answer with.
  using ResponseCallback = std::function<void(const std::string&)>;

  explicit CrashLedgerSync(EntryContext& context);

  /// Answers another host's question, now or when there is news.
  auto HandleRequest(const CrashUpdateRequest& request,
                     ResponseCallback respond) -> void;
  /// Takes what another host has seen.
  auto ApplyUpdate(const CrashUpdate& update) -> void;
  /// Call several times a second.
  auto Tick(TimePoint now) -> void;

 private:
  struct PendingRequest {
    CrashUpdateRequest m_request;
    TimePoint m_until;
    ResponseCallback m_respond;
  };
  /// How far this host is with the ledger of another one, or the other with
  /// that of this one.
  struct Cursor {
    Incarnation m_incarnation;
    std::uint64_t m_version = 0;
    bool m_in_flight = false;
    TimePoint m_not_before;
  };

  auto RespondToDue(TimePoint now) -> void;
  auto UpdateSince(const CrashUpdateRequest& request) const -> CrashUpdate;
  auto PushToLeads(TimePoint now) -> void;
  auto Push(const KnownLead& lead, Cursor& cursor, TimePoint now) -> void;
  /// The lead to ask next, or nullptr.
  auto NextSource(TimePoint now) -> const KnownLead*;
  auto Pull(TimePoint now) -> void;
  auto OnPulled(const DomainId& domain, const Result<CrashUpdate>& update)
      -> void;
  auto IsThisHost(const KnownLead& lead) const -> bool;

  EntryContext& m_context;
  std::vector<PendingRequest> m_waiting;
  std::map<DomainId, Cursor> m_push_cursors;
  std::map<DomainId, Cursor> m_pull_cursors;
  /// The other domain that was asked last.
  DomainId m_last_other_domain;
  TimePoint m_next_pull;
  bool m_pull_in_flight = false;
};

}  // namespace dotterelshed

#endif  // DOTTERELSHED_CRASH_LEDGER_SYNC_H_
