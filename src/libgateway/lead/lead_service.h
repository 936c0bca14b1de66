#ifndef DOTTERELSHED_LEAD_SERVICE_H_
#define DOTTERELSHED_LEAD_SERVICE_H_

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "dotterelshed/log_events.h"
#include "dotterelshed/program_ledger.h"
#include "dotterelshed/quota_term.h"
#include "entry_context.h"
#include "lead/account_search.h"
#include "lead/lead_judgement.h"
#include "lead/lead_limits.h"
#include "lead/lead_load.h"
#include "lead/lead_messages.h"
#include "lead/ledger_journal.h"

/// @file
/// Lead of a failure domain: the host that keeps the token accounts of the
/// programs that entered in the domain, records their ledger in the store, and
/// places turns on endpoints. Any host may become lead by replacing the
/// domain's lead entry in the store. Its first write to the ledger then fences
/// the previous lead.

namespace dotterelshed {

class LeadService {
 public:
  using ResponseCallback = std::function<void(const TurnGrantResponse&)>;
  using YieldCallback = std::function<void(bool)>;

  explicit LeadService(EntryContext& context);

  /// Responds within about half a second.
  auto RequestTurn(const TurnGrantRequest& request, ResponseCallback respond)
      -> void;
  /// Returns false if this host does not lead or is yielding; the settlements
  /// must then be sent to the next lead.
  auto Settle(const std::vector<TurnSettlement>& settlements) -> bool;
  /// Takes what a host of this domain saw of endpoints. Returns the judgement
  /// for that host; nothing if this host doesn't lead or doesn't judge.
  auto TakeEndpointReport(const EndpointReport& report)
      -> std::optional<DomainJudgement>;
  /// Takes what a host of this domain heard of endpoints' limits, and gives it
  /// a permit if it asks for one.
  auto AskPermit(const LimitAsk& ask) -> LimitAnswer;
  /// Tells the other domains' leads what this lead's own host heard.
  auto TellLimits(const LimitStatements& statements) -> void;
  /// Reports whether this lead holds the program's account or is about to open
  /// it. If two leads search for the same account at the same time, or each
  /// hold an unverified one, the lead whose domain name sorts first proceeds. A
  /// requesting lead that gets a negative response proceeds and is remembered
  /// as holder of the account.
  auto FindAccount(const FindAccountRequest& request) -> FindAccountResponse;

  /// Tries to become lead in place of @p silent, or as first lead. Does nothing
  /// if a newer lead is known, since that one has not been asked yet.
  auto TakeOver(const std::optional<KnownLead>& silent) -> void;
  /// Takes over from a lead that doesn't answer. Some hosts give a new lead
  /// time to start. Where accounts have quotas, each change of lead costs the
  /// domain its share of them, and hosts whose requests wait would go on
  /// replacing one busy lead after the other. A much smaller host leaves the
  /// place to larger ones for a moment. A host that was out of touch with
  /// the store may lose it again and leaves the lead to the others.
  auto TakeOverSilent(const std::optional<KnownLead>& silent) -> void;
  /// Records the granted tokens and stops leading, so that the next lead starts
  /// from exact values. A host that is still taking over gives up at once.
  /// @p callback receives whether this succeeded.
  auto Yield(std::string_view reason, YieldCallback callback) -> void;
  /// The host is being stopped: yields, and doesn't become lead again.
  auto BeginStop() -> void;
  /// Stops leading at once if this lead can't write to the store, so that a
  /// host that can may take over. Returns false if it goes on leading.
  auto StepDown() -> bool;
  /// Handles a lead reported by the store or by another host. Returns false if
  /// a lead of the same or a higher version is known.
  auto OnLeadUpdate(const KnownLead& lead) -> bool;
  /// Handles a lead entry of the store; an invalid one is logged.
  auto OnLeadObject(const StoredObject& object) -> void;
  /// Returns true if this host leads and its ledger is in force.
  auto active() const -> bool { return m_phase == Phase::kActive; }
  /// Returns true if this host leads or is becoming lead.
  auto leading() const -> bool { return m_phase != Phase::kIdle; }
  /// Sets the time for which programs are remembered after their last turn.
  auto SetRetention(Duration retention) -> void;
  auto Tick(TimePoint now) -> void;

  // Quotas of client accounts.

  /// States whether the configuration has quotas. If it has, a lead confirms
  /// several times per second that it still leads.
  auto SetQuotas(bool has_quotas) -> void { m_has_quotas = has_quotas; }
  /// Returns true if this lead may grant from its domain's share of quotas,
  /// which accrues from quota_sole_from().
  auto MayGrantQuotas(TimePoint now) const -> bool;
  /// Returns the moment from which no other lead of the domain grants quotas;
  /// nothing before this host first led. Stays after the end of the term.
  auto quota_sole_from() const -> std::optional<TimePoint> {
    return m_quota_sole_from;
  }
  /// Returns the store version of the newest known entry of the domain's lead.
  auto term() const -> ResourceVersion;
  /// Returns the body of the answer to @p lead, which has announced itself:
  /// what this host, as its predecessor, hands over. Empty if there is nothing.
  auto MakeHandover(const KnownLead& lead) const -> std::string;

 private:
  /// After this time without a response, a write is verified by reading: the
  /// store may have lost only the response, and it serves the read on another
  /// connection.
  static constexpr Duration kWriteTimeout = std::chrono::milliseconds(300);

  enum class Phase { kIdle, kClaiming, kAdopting, kAnnouncing, kActive };

  /// A grant request that waits for a record or for an account search.
  struct WaitingTurn {
    TurnGrantRequest m_request;
    ResponseCallback m_respond;
    TimePoint m_deadline;
  };
  /// A running turn and the endpoint it was placed on.
  struct PlacedTurn {
    EndpointId m_endpoint;
    TimePoint m_since;
  };
  /// A lead of this domain that doesn't answer.
  struct Silence {
    ResourceVersion m_lead;
    TimePoint m_since;
    /// When it was last noticed.
    TimePoint m_last;
  };
  /// A ledger write to the store in progress.
  struct PendingWrite {
    LedgerRecord m_record;
    /// Last write of a yielding lead; nothing is granted after it.
    bool m_last = false;
    /// The ledger names an earlier lead's journal that hasn't been read.
    bool m_names_unread = false;
  };
  /// Information for later requests of a program.
  struct ProgramHint {
    /// Domain that holds the account; empty if this one does or none is known.
    DomainId m_domain;
    EndpointId m_endpoint;
    TimePoint m_last_used;
  };

  /// Notes what the stored ledger, if there is one, says about quotas.
  auto ReadQuotaStart(const StoredLedger* stored) -> void;
  auto SetQuotaSoleFrom(std::string_view reason, TimePoint time) -> void;
  /// Handles the answer of the previous lead to the announcement.
  auto OnHandover(const Result<std::string>& reply) -> void;
  auto TakeQuotaHandover(Duration wait) -> void;

  /// Notes that @p silent doesn't answer. Returns true while larger hosts may
  /// be about to replace it, since this one could hardly bear its load.
  auto LeavesToLarger(const KnownLead& silent) -> bool;
  /// Logs once a lead that this host doesn't replace at once.
  auto LogLeadLeft(const KnownLead& silent, std::string_view reason) -> void;
  auto IsMine(const LeadEntry& entry) const -> bool;
  auto BecomeIdle() -> void;
  auto OnClaimWritten(const Result<StoredObject>& stored) -> void;
  auto ReadClaim() -> void;
  auto BeginAdopting() -> void;
  auto Adopt() -> void;
  auto OnAdoptRead(const Result<StoredObject>& stored) -> void;
  auto AdoptJournal(const StoredLedger& stored) -> void;
  auto OnJournalRead(const StoredLedger& stored,
                     const JournalReadResult& result) -> void;
  auto WriteAdopted() -> void;
  /// Reads again what couldn't be read when this lead took over.
  auto ReadUnread(TimePoint now) -> void;
  auto OnUnreadRead(const JournalReadResult& result) -> void;
  auto OnAdoptWritten(const Result<StoredObject>& stored) -> void;
  auto ListLeads() -> void;
  auto Announce() -> void;
  auto OnAnnouncementDone(int announcement) -> void;
  auto ClaimsAccount(const FindAccountRequest& request) const -> bool;

  auto Decide(const WaitingTurn& waiting) -> void;
  auto Grant(const WaitingTurn& waiting, const GrantConditions& conditions)
      -> void;
  auto LogDecision(const GrantRequest& request,
                   const GrantConditions& conditions,
                   const TurnGrant& grant,
                   const std::vector<LogField>& placement) -> void;
  /// Inputs of the choice of a turn's endpoint, for the log; empty where hosts
  /// don't judge endpoints.
  auto DescribePlacement(const TurnGrantResponse& response, bool kept) const
      -> std::vector<LogField>;
  auto OnSearchCompleted(const ProgramId& program, const SearchOutcome& outcome)
      -> void;
  auto KnownSlowness() const -> const EndpointSlowness*;
  /// Chooses the endpoint of a granted turn and adds it to @p response. Returns
  /// the inputs of the choice.
  auto PlaceTurn(const TurnGrantRequest& request,
                 TurnGrantResponse& response,
                 TimePoint now) -> std::vector<LogField>;

  auto FinishYield(bool done) -> void;
  auto GiveUpTakeover(std::string_view reason) -> void;
  auto LogYielded(std::string_view reason) const -> void;
  auto WriteIfDue(TimePoint now) -> void;
  auto OnWriteCompleted(const PendingWrite& write,
                        const Result<StoredObject>& stored) -> void;
  auto VerifyWrite(const PendingWrite& write) -> void;
  auto OnWriteConfirmed(const PendingWrite& write, ResourceVersion version)
      -> void;
  auto OnFenced(std::int64_t fence) -> void;
  auto OnStoreLost() -> void;
  auto WriteJournal(TimePoint now) -> void;
  /// Returns true if a write is due even if there is nothing to record.
  auto IsConfirmDue(TimePoint now) const -> bool;
  /// Returns true while no record can be written, neither to the store nor to
  /// disk hosts.
  auto IsRecordingUnavailable() const -> bool {
    return m_store_lost && m_journal_lost;
  }
  auto DecideWaiting() -> void;
  auto AnswerExpired(TimePoint now) -> void;
  /// Answers a turn that has waited for its full time. @p decidable is true if
  /// this lead may decide it now.
  auto AnswerLate(const WaitingTurn& waiting, bool decidable) -> void;
  auto RemoveExpired(TimePoint now) -> void;
  /// Returns the ledger for the next write.
  auto NextLedger(const LedgerRecord& record) -> StoredLedger;
  auto MakeLedgerObject(const LedgerRecord& record) -> StoredObject;

  EntryContext& m_context;
  Phase m_phase = Phase::kIdle;
  /// The host is being stopped and claims no lead.
  bool m_stopping = false;
  ProgramLedger m_ledger;
  ResourceVersion m_ledger_version;
  std::int64_t m_write = 0;
  bool m_writing = false;
  /// Announcements of this lead that have neither been confirmed nor failed,
  /// plus one while they are being sent.
  int m_pending_announcements = 0;
  /// Number of the current announcement; responses to earlier ones are ignored.
  int m_announcement = 0;
  /// Previous lead, which may not know that it was replaced.
  std::optional<KnownLead> m_previous_lead;
  TimePoint m_adopting_since;
  TimePoint m_last_write;
  TimePoint m_retry_at;
  /// The last write to the store failed.
  bool m_store_lost = false;
  /// The last write to the journal on the disk hosts failed.
  bool m_journal_lost = false;
  LedgerJournal m_journal;
  /// Earlier lead's last write to the store, while its later ones on disk hosts
  /// haven't been read, or the store doesn't know yet that they have. This lead
  /// writes no journal meanwhile, since that would replace the earlier one.
  std::optional<LedgerPosition> m_unread;
  /// m_unread has been read.
  bool m_unread_known = false;
  bool m_reading_unread = false;
  TimePoint m_next_unread_read;
  /// Set while this lead is yielding; nothing is granted meanwhile.
  YieldCallback m_yield_callback;
  std::string m_yield_reason;
  TimePoint m_yield_until;
  std::vector<WaitingTurn> m_waiting;
  AccountSearch m_search;
  /// Requests that wait for an account search, by program.
  std::map<ProgramId, std::vector<WaitingTurn>> m_waiting_for_search;
  /// Last known fence counter of this domain's ledger.
  std::int64_t m_fence = 0;
  std::map<ProgramId, ProgramHint> m_program_hints;
  /// Load of endpoints by running turns of this domain; used to place turns.
  EndpointLoads m_loads;
  std::map<RequestId, PlacedTurn> m_placed_turns;
  LeadJudgement m_judgement;
  LeadLimits m_limits;
  LeadLoad m_load;
  Silence m_silence;
  /// Version of the last lead that LogLeadLeft logged.
  ResourceVersion m_logged_left;
  TimePoint m_last_sweep;
  bool m_has_quotas = false;
  std::optional<TimePoint> m_quota_sole_from;
  /// How this term began, as far as it matters for quotas.
  TermStart m_quota_start;
  /// Incarnation of the host that last wrote the ledger before this one.
  Incarnation m_predecessor;
  /// What this host knows of its last term beyond the store's record.
  std::optional<LedgerRecord> m_unrecorded;
  /// False from a write which says that this lead stops granting quotas until
  /// another one is confirmed.
  bool m_quotas_may_resume = true;
};

}  // namespace dotterelshed

#endif  // DOTTERELSHED_LEAD_SERVICE_H_
