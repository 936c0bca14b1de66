#ifndef DOTTERELSHED_LEAD_MESSAGES_H_
#define DOTTERELSHED_LEAD_MESSAGES_H_

#include <nlohmann/json_fwd.hpp>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "dotterelshed/error.h"
#include "dotterelshed/ids.h"
#include "dotterelshed/program_ledger.h"
#include "dotterelshed/units.h"

/// @file
/// What hosts and leads say to each other, and what a lead keeps in the store.
/// Bodies are JSON.

namespace dotterelshed {

/// A host asks the lead of its failure domain before a turn.
struct TurnGrantRequest {
  GrantRequest m_grant;
  ServiceId m_service;
};

/// Who leads a domain; kept in the store under the domain's name.
struct LeadEntry {
  HostId m_host;
  /// Differs for each start of the process.
  Incarnation m_incarnation;
  std::string m_peer_address;
  /// Cores that the lead's host has; a larger host may ask it to yield.
  double m_processor_share = 1.0;
};

/// A domain's lead as the store names it; a higher version is newer.
struct KnownLead {
  DomainId m_domain;
  LeadEntry m_entry;
  ResourceVersion m_version;
};

enum class GrantVerdict {
  kGranted,
  kBudgetSpent,
  kElsewhere,    ///< Another domain's lead keeps the program's account.
  kNotLead,      ///< The asked host isn't the lead.
  kNoStore,      ///< The lead can't write its record; another host might.
  kUnavailable,  ///< Can't be decided now; the turn must not run.
};

/// Stable lower-case name, on the wire and in logs.
auto ToString(GrantVerdict verdict) -> std::string_view;

struct TurnGrantResponse {
  GrantVerdict m_verdict = GrantVerdict::kUnavailable;
  /// With kElsewhere: the domain to ask.
  DomainId m_domain;
  /// With kGranted: where the turn should run; may be empty.
  EndpointId m_endpoint;
  /// With kGranted: tokens that the turn may generate.
  Tokens m_tokens{0};
  /// With kNotLead: the lead as the asked host knows it.
  std::optional<KnownLead> m_lead;
};

/// A lead asks another whether it keeps a program's account.
struct FindAccountRequest {
  ProgramId m_program;
  /// Domain of the lead that asks.
  DomainId m_domain;
  /// The lead that asks keeps a blind account itself.
  bool m_blind = false;
};

struct FindAccountResponse {
  /// The asked host leads its domain, so that the rest holds.
  bool m_leads = false;
  bool m_found = false;
  /// Otherwise the lead as the asked host knows it.
  std::optional<KnownLead> m_lead;
};

/// A turn that was granted has ended.
struct TurnSettlement {
  ProgramId m_program;
  RequestId m_request;
  Tokens m_used{0};
};

/// The stored ledger of a domain.
struct StoredLedger {
  HostId m_host;
  Incarnation m_incarnation;
  /// Counts the writes of one incarnation, to tell one's own apart.
  std::int64_t m_write = 0;
  /// Counts the fences of other domains' leads.
  std::int64_t m_fence = 0;
  LedgerRecord m_record;
};

/// What a lead keeps on disk hosts while it can't write to the store.
struct JournalEntry {
  DomainId m_domain;
  /// Version of the lead's claim; entries of older claims are refused.
  ResourceVersion m_claim;
  StoredLedger m_ledger;
};

auto EncodeTurnGrantRequest(const TurnGrantRequest& request) -> std::string;
auto DecodeTurnGrantRequest(std::string_view text) -> Result<TurnGrantRequest>;
auto EncodeTurnGrantResponse(const TurnGrantResponse& answer) -> std::string;
auto DecodeTurnGrantResponse(std::string_view text)
    -> Result<TurnGrantResponse>;
auto EncodeFindAccountRequest(const FindAccountRequest& request) -> std::string;
auto DecodeFindAccountRequest(std::string_view text)
    -> Result<FindAccountRequest>;
auto EncodeFindAccountResponse(const FindAccountResponse& answer)
    -> std::string;
auto DecodeFindAccountResponse(std::string_view text)
    -> Result<FindAccountResponse>;
auto EncodeKnownLead(const KnownLead& lead) -> std::string;
auto DecodeKnownLead(std::string_view text) -> Result<KnownLead>;
auto EncodeSettlements(const std::vector<TurnSettlement>& settlements)
    -> std::string;
auto DecodeSettlements(std::string_view text)
    -> Result<std::vector<TurnSettlement>>;
auto EncodeLeadEntry(const LeadEntry& entry) -> nlohmann::json;
auto DecodeLeadEntry(const nlohmann::json& json) -> Result<LeadEntry>;
auto EncodeStoredLedger(const StoredLedger& ledger) -> nlohmann::json;
auto DecodeStoredLedger(const nlohmann::json& json) -> Result<StoredLedger>;
auto EncodeJournalEntry(const JournalEntry& entry) -> std::string;
auto DecodeJournalEntry(std::string_view text) -> Result<JournalEntry>;

}  // namespace dotterelshed

#endif  // DOTTERELSHED_LEAD_MESSAGES_H_
