#ifndef DOTTERELSHED_LEAD_SERVICE_H_
#define DOTTERELSHED_LEAD_SERVICE_H_

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "account_search.h"
#include "dotterelshed/program_ledger.h"
#include "entry_context.h"
#include "lead_messages.h"
#include "ledger_journal.h"

/// @file
/// The lead of a failure domain: keeps the ledger of the programs that entered
/// there, records it in the store, and says where turns run. Any host may
/// become lead by replacing the domain's entry in the store; the first write to
/// the ledger then shuts the lead before out.

namespace dotterelshed {

class LeadService {
 public:
  using ResponseCallback = std::function<void(const TurnGrantResponse&)>;
  using YieldCallback = std::function<void(bool)>;

  explicit LeadService(EntryContext& context);

  /// Answers within about half a second.
  auto RequestTurn(const TurnGrantRequest& request, ResponseCallback respond)
      -> void;
  /// Returns false when this host doesn't lead or gives way: the next lead
  /// should hear of them.
  auto Settle(const std::vector<TurnSettlement>& settlements) -> bool;
  /// True when this lead keeps the program's account, or is about to open it.
  /// Of two leads that look for the same account at once, or keep a blind one
  /// each, the one of the domain that is first by name goes on.
  /// One that is told that there is none goes on, and is remembered for it.
  auto FindAccount(const FindAccountRequest& request) -> FindAccountResponse;

  /// Tries to become lead in place of @p silent, or of none. Does nothing if
  /// another one leads by now: it hasn't been asked yet.
  auto TakeOver(const std::optional<KnownLead>& silent) -> void;
  /// Writes down what has been granted and stops leading, so that the next lead
  /// starts from exactly that. @p yielded tells whether it is done.
  auto Yield(std::string_view reason, YieldCallback callback) -> void;
  /// Takes a lead that the store or another host names. Returns false when it
  /// is older than what is known.
  auto OnLeadUpdate(const KnownLead& lead) -> bool;
  /// The same for an entry of the store; one that can't be read is logged.
  auto OnLeadObject(const StoredObject& object) -> void;
  /// True when this host leads and its ledger is in force.
  auto active() const -> bool { return m_phase == Phase::kActive; }
  /// True when it leads or is about to.
  auto leading() const -> bool { return m_phase != Phase::kIdle; }
  /// Time for which programs are remembered after their last turn.
  auto SetRetention(Duration retention) -> void {
    m_ledger.m_options.m_retention = retention;
  }
  auto Tick(TimePoint now) -> void;

 private:
  /// A write without answer for so long is looked for by reading; the store
  /// answers a read on another connection though it lost this answer.
  static constexpr Duration kWriteTimeout = std::chrono::milliseconds(300);

  enum class Phase { kIdle, kClaiming, kAdopting, kAnnouncing, kActive };

  /// A question that waits for a record or for other leads.
  struct WaitingTurn {
    TurnGrantRequest m_request;
    ResponseCallback m_respond;
    TimePoint m_deadline;
  };
  /// A turn under way and where it was placed.
  struct PlacedTurn {
    EndpointId m_endpoint;
    TimePoint m_since;
  };
  /// A write to the store that is under way.
  struct PendingWrite {
    LedgerRecord m_record;
    /// Nothing is granted after it.
    bool m_last = false;
  };
  /// What helps the next question of a program.
  struct ProgramHint {
    /// Domain that keeps its account; empty if this one does.
    DomainId m_domain;
    EndpointId m_endpoint;
    TimePoint m_last_used;
  };

  auto IsMine(const LeadEntry& entry) const -> bool;
  auto BecomeIdle() -> void;
  auto OnClaimWritten(const Result<StoredObject>& stored) -> void;
  auto ReadClaim() -> void;
  auto BeginAdopting() -> void;
  auto Adopt() -> void;
  auto OnAdoptRead(const Result<StoredObject>& stored) -> void;
  auto AdoptJournal(const StoredLedger& stored) -> void;
  auto WriteAdopted() -> void;
  auto OnAdoptWritten(const Result<StoredObject>& stored) -> void;
  auto ListLeads() -> void;
  auto Announce() -> void;
  auto OnAnnouncementDone(int round) -> void;
  auto ClaimsAccount(const FindAccountRequest& request) const -> bool;

  auto Decide(const WaitingTurn& waiting) -> void;
  auto Grant(const WaitingTurn& waiting, const GrantConditions& conditions)
      -> void;
  auto LogDecision(const GrantRequest& request,
                   const GrantConditions& conditions,
                   const TurnGrant& grant) const -> void;
  auto OnSearchCompleted(const ProgramId& program, const SearchOutcome& outcome)
      -> void;
  auto PlaceTurn(const TurnGrantRequest& request, TimePoint now) -> EndpointId;

  auto FinishYield(bool done) -> void;
  auto WriteIfDue(TimePoint now) -> void;
  auto OnWriteCompleted(const PendingWrite& write,
                        const Result<StoredObject>& stored) -> void;
  auto VerifyWrite(const PendingWrite& write) -> void;
  auto OnWriteConfirmed(const PendingWrite& write, ResourceVersion version)
      -> void;
  auto OnFenced(std::int64_t fence) -> void;
  auto OnStoreLost() -> void;
  auto WriteJournal(TimePoint now) -> void;
  /// True while no record can be written, in the store or on disk hosts.
  auto IsRecordingUnavailable() const -> bool {
    return m_store_lost && m_journal_lost;
  }
  auto DecideWaiting() -> void;
  auto AnswerExpired(TimePoint now) -> void;
  auto RemoveExpired(TimePoint now) -> void;
  /// The ledger as the next write holds it.
  auto NextLedger(const LedgerRecord& record) -> StoredLedger;
  auto MakeLedgerObject(const LedgerRecord& record) -> StoredObject;

  EntryContext& m_context;
  Phase m_phase = Phase::kIdle;
  ProgramLedger m_ledger;
  ResourceVersion m_ledger_version;
  std::int64_t m_write = 0;
  bool m_writing = false;
  /// Hosts that haven't confirmed yet that they know of this lead.
  int m_pending_announcements = 0;
  /// Counts announcements, to tell late answers of an earlier one apart.
  int m_announcement = 0;
  /// The lead before this one, which may not know that it was replaced.
  std::optional<KnownLead> m_previous_lead;
  TimePoint m_adopting_since;
  TimePoint m_last_write;
  TimePoint m_retry_at;
  /// The last write failed, and none has succeeded since.
  bool m_store_lost = false;
  /// The same for the journal on the disk hosts.
  bool m_journal_lost = false;
  LedgerJournal m_journal;
  /// Set while this lead gives way; nothing is granted meanwhile.
  YieldCallback m_yield_callback;
  std::string m_yield_reason;
  TimePoint m_yield_until;
  std::vector<WaitingTurn> m_waiting;
  AccountSearch m_search;
  /// Questions that wait for the end of a search.
  std::map<ProgramId, std::vector<WaitingTurn>> m_waiting_for_search;
  /// Fences of this domain's ledger that are known here.
  std::int64_t m_fence = 0;
  std::map<ProgramId, ProgramHint> m_program_hints;
  /// Turns under way in this domain, for placing the next.
  EndpointLoads m_loads;
  std::map<RequestId, PlacedTurn> m_placed_turns;
  TimePoint m_last_sweep;
};

}  // namespace dotterelshed

#endif  // DOTTERELSHED_LEAD_SERVICE_H_
