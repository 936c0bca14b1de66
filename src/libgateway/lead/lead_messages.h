#ifndef DOTTERELSHED_LEAD_MESSAGES_H_
#define DOTTERELSHED_LEAD_MESSAGES_H_

#include <nlohmann/json_fwd.hpp>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "dotterelshed/error.h"
#include "dotterelshed/host_judgement.h"
#include "dotterelshed/ids.h"
#include "dotterelshed/program_ledger.h"
#include "dotterelshed/units.h"
#include "lead/journal_hosts.h"

/// @file
/// Messages between hosts and leads, and the objects that a lead keeps in the
/// store. The lead of a failure domain is the host that keeps the domain's
/// token accounts and grants its turns. Bodies are JSON.

namespace dotterelshed {

/// Requests a token grant for a turn from the lead of a failure domain.
struct TurnGrantRequest {
  GrantRequest m_grant;
  ServiceId m_service;
  /// The turn takes up a stream of this software version; empty otherwise.
  SoftwareVersion m_software;
  /// Sender, if it prefers some endpoints; empty otherwise.
  HostId m_host;
  /// The sender has time for one more request, so the lead may answer kRetry
  /// instead of a partial grant or a refusal.
  bool m_may_retry = false;
};

/// Names the lead of a domain; stored under the domain's name.
struct LeadEntry {
  HostId m_host;
  /// Random number of this start of the process.
  Incarnation m_incarnation;
  std::string m_peer_address;
  /// Processor capacity of the lead's host, in cores; a larger host may request
  /// it to yield.
  double m_processor_share = 1.0;
};

/// Returns true if a host with the processor share @p share should leave its
/// domain's lead to one with @p other. A handover stops the domain's turns for
/// a moment, so that a small difference isn't worth it.
auto IsMuchSmaller(double share, double other) -> bool;

/// The lead of a domain and the store version of its entry; a higher version is
/// newer.
struct KnownLead {
  DomainId m_domain;
  LeadEntry m_entry;
  ResourceVersion m_version;
};

enum class GrantVerdict {
  kGranted,
  kBudgetSpent,
  kElsewhere,    ///< Another domain's lead holds the account.
  kNotLead,      ///< The receiver is not the lead.
  kNoStore,      ///< The lead cannot write its record; another host might.
  kRetry,        ///< Not decided yet; the sender may ask again at once.
  kUnavailable,  ///< Cannot be decided now; the turn must not run.
};

/// Stable lower-case name, on the wire and in logs.
auto ToString(GrantVerdict verdict) -> std::string_view;

struct TurnGrantResponse {
  GrantVerdict m_verdict = GrantVerdict::kUnavailable;
  /// With kElsewhere: domain that holds the account.
  DomainId m_domain;
  /// With kGranted: endpoint that the turn should use; may be empty.
  EndpointId m_endpoint;
  /// With kGranted: the turn is the probe of an endpoint that is out of use.
  bool m_probe = false;
  /// With kGranted: the lead's permit for the endpoint was taken for the turn.
  bool m_permitted = false;
  /// With kGranted and no endpoint: time until the limits of the service's
  /// endpoints leave room for a turn; zero if limits aren't the reason.
  Duration m_limit_wait{0};
  /// With kGranted: tokens that the turn may generate.
  Tokens m_tokens{0};
  /// With kNotLead: lead that the receiver knows of, if any.
  std::optional<KnownLead> m_lead;
};

/// Asks another lead whether it holds a program's account.
struct FindAccountRequest {
  ProgramId m_program;
  /// Domain of the requesting lead.
  DomainId m_domain;
  /// The requesting lead holds an unverified account of the program.
  bool m_unverified = false;
};

struct FindAccountResponse {
  /// The receiver leads its domain, so that m_found is valid.
  bool m_leads = false;
  bool m_found = false;
  /// With m_leads: an earlier lead of the receiver's domain may have given the
  /// program an advance that isn't on record.
  bool m_may_have_lost_advances = false;
  /// If the receiver does not lead: the lead that it knows of, if any.
  std::optional<KnownLead> m_lead;
};

/// Reports the end of a granted turn.
struct TurnSettlement {
  ProgramId m_program;
  RequestId m_request;
  Tokens m_used{0};
};

/// What a host saw of endpoints since its last report.
struct EndpointReport {
  HostId m_host;
  OutcomeReport m_outcomes;
  SlownessReport m_slowness;
};

/// Message of a host to a lead, sent at intervals.
struct SettlementBatch {
  std::vector<TurnSettlement> m_settlements;
  /// Only for the lead of the host's own domain, which answers with its
  /// judgement. Leads of earlier versions ignore it and answer nothing.
  std::optional<EndpointReport> m_report;
};

/// A write of a lead to its ledger.
struct LedgerPosition {
  Incarnation m_incarnation;
  /// Counts the writes of one incarnation.
  std::int64_t m_write = 0;
  /// Disk hosts that may hold later writes.
  JournalScope m_journal_hosts;
};

/// Stored ledger of a domain.
struct StoredLedger {
  HostId m_host;
  Incarnation m_incarnation;
  /// Counts the writes of one incarnation; identifies a lead's own write.
  std::int64_t m_write = 0;
  /// Counts the fences set by leads of other domains. A fence changes the
  /// stored ledger, so that the owner's next write fails.
  std::int64_t m_fence = 0;
  /// Time for which the writer's own share of quotas had still to wait for its
  /// predecessor; nothing without quotas.
  std::optional<Duration> m_quota_wait;
  /// The writer grants no quota tokens after this write.
  bool m_quotas_stopped = false;
  LedgerRecord m_record;
  /// Disk hosts that may hold later writes of the same incarnation.
  JournalScope m_journal_hosts;
  /// Last write to the store of an earlier lead that may have made later ones
  /// on disk hosts, which haven't been read yet.
  std::optional<LedgerPosition> m_unread;
};

/// What a lead that learns of its successor says to it.
struct LeadHandover {
  Incarnation m_incarnation;
  /// Time for which the successor's share of quotas must still wait; see
  /// WaitAfterHandover. Nothing without quotas.
  std::optional<Duration> m_quota_wait;
  /// See UnrecordedGrants. Nothing if this host's last term granted nothing.
  std::optional<LedgerRecord> m_unrecorded;
};

/// Entry that a lead writes to disk hosts while the store is not writable.
struct JournalEntry {
  DomainId m_domain;
  /// Store version of the lead's entry (its claim); writes under older claims
  /// are rejected.
  ResourceVersion m_claim;
  StoredLedger m_ledger;
};

auto EncodeTurnGrantRequest(const TurnGrantRequest& request) -> std::string;
auto DecodeTurnGrantRequest(std::string_view text) -> Result<TurnGrantRequest>;
auto EncodeTurnGrantResponse(const TurnGrantResponse& response) -> std::string;
auto DecodeTurnGrantResponse(std::string_view text)
    -> Result<TurnGrantResponse>;
auto EncodeFindAccountRequest(const FindAccountRequest& request) -> std::string;
auto DecodeFindAccountRequest(std::string_view text)
    -> Result<FindAccountRequest>;
auto EncodeFindAccountResponse(const FindAccountResponse& response)
    -> std::string;
auto DecodeFindAccountResponse(std::string_view text)
    -> Result<FindAccountResponse>;
auto EncodeKnownLead(const KnownLead& lead) -> std::string;
auto DecodeKnownLead(std::string_view text) -> Result<KnownLead>;
auto EncodeSettlements(const SettlementBatch& batch) -> std::string;
auto DecodeSettlements(std::string_view text) -> Result<SettlementBatch>;
auto EncodeDomainJudgement(const DomainJudgement& judgement) -> std::string;
auto DecodeDomainJudgement(std::string_view text) -> Result<DomainJudgement>;
auto EncodeLeadEntry(const LeadEntry& entry) -> nlohmann::json;
auto DecodeLeadEntry(const nlohmann::json& json) -> Result<LeadEntry>;
auto EncodeStoredLedger(const StoredLedger& ledger) -> nlohmann::json;
auto DecodeStoredLedger(const nlohmann::json& json) -> Result<StoredLedger>;
auto EncodeLeadHandover(const LeadHandover& handover) -> std::string;
auto DecodeLeadHandover(std::string_view text) -> Result<LeadHandover>;
auto EncodeJournalEntry(const JournalEntry& entry) -> std::string;
auto DecodeJournalEntry(std::string_view text) -> Result<JournalEntry>;

}  // namespace dotterelshed

#endif  // DOTTERELSHED_LEAD_MESSAGES_H_
