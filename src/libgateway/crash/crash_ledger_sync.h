#ifndef DOTTERELSHED_CRASH_LEDGER_SYNC_H_
#define DOTTERELSHED_CRASH_LEDGER_SYNC_H_

#include <functional>
#include <map>
#include <string>
#include <vector>

#include "crash/crash_messages.h"
#include "entry_context.h"

/// @file
/// Replicates the ledger of requests under which endpoints crashed to all hosts
/// without using the platform's store. A host pushes its own observations to
/// the leads of all domains and pulls changes from the lead of its own domain.
/// While that lead does not respond, leads of other domains are pulled in turn;
/// leads always pull from the other domains' leads in turn.

namespace dotterelshed {

class CrashLedgerSync {
 public:
  /// Receives the response body.
  using ResponseCallback = std::function<void(const std::string&)>;

  explicit CrashLedgerSync(EntryContext& context);

  /// Responds to another host's request at once, or when the ledger changes
  /// within the requested wait.
  auto HandleRequest(const CrashUpdateRequest& request,
                     ResponseCallback respond) -> void;
  /// Merges the observations of another host.
  auto ApplyUpdate(const CrashUpdate& update) -> void;
  /// Call several times per second.
  auto Tick(TimePoint now) -> void;

 private:
  struct PendingRequest {
    CrashUpdateRequest m_request;
    TimePoint m_until;
    ResponseCallback m_respond;
  };
  /// Replication progress: how much of another host's ledger was pulled, or how
  /// much of this ledger was pushed to it.
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
  /// Returns the lead to pull from next, or nullptr.
  auto NextSource(TimePoint now) -> const KnownLead*;
  auto Pull(TimePoint now) -> void;
  auto OnPulled(const DomainId& domain, const Result<CrashUpdate>& update)
      -> void;
  auto IsThisHost(const KnownLead& lead) const -> bool;

  EntryContext& m_context;
  std::vector<PendingRequest> m_waiting;
  std::map<DomainId, Cursor> m_push_cursors;
  std::map<DomainId, Cursor> m_pull_cursors;
  /// Other domain that was pulled last.
  DomainId m_last_other_domain;
  TimePoint m_next_pull;
  bool m_pull_in_flight = false;
};

}  // namespace dotterelshed

#endif  // DOTTERELSHED_CRASH_LEDGER_SYNC_H_
