#ifndef DOTTERELSHED_ACCOUNT_SEARCH_H_
#define DOTTERELSHED_ACCOUNT_SEARCH_H_

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <vector>

#include "dotterelshed/program_ledger.h"
#include "entry_context.h"
#include "lead/lead_messages.h"

/// @file
/// Searches the other failure domains for the account of a program that this
/// lead does not know. The search asks the leads of those domains. If a lead
/// does not respond, its domain's ledger is read from the store and fenced, so
/// that the silent lead cannot record a new account unnoticed.

namespace dotterelshed {

/// Result of a search.
struct SearchOutcome {
  /// Domain that holds the account, if one does.
  std::optional<DomainId> m_domain;
  /// Conditions for opening an account here; valid if m_domain is empty.
  GrantConditions m_conditions;
};

class AccountSearch {
 public:
  using Completed = std::function<void(const ProgramId&, const SearchOutcome&)>;

  AccountSearch(EntryContext& context, Completed completed);

  /// Starts a search for a program unless one is already running. @p unverified
  /// says that this lead holds an unverified account of the program. May call
  /// the completion handler before it returns.
  auto Start(const ProgramId& program, bool unverified) -> void;
  auto IsSearching(const ProgramId& program) const -> bool {
    return m_searches.contains(program);
  }
  /// Call when another lead has fenced this domain's ledger. That lead no
  /// longer asks this one about its accounts, so the fences set by this lead no
  /// longer exclude new accounts.
  auto ForgetFences() -> void { m_fenced.clear(); }
  /// Drops all searches without calling the completion handler; used when this
  /// host stops leading.
  auto Clear() -> void;

 private:
  struct Search {
    /// Domains without a result so far.
    std::set<DomainId> m_pending_domains;
    GrantConditions m_conditions;
    /// This lead holds an unverified account of the program.
    bool m_unverified_here = false;
  };
  enum class LookupResult {
    kFound,
    kNone,
    kNoneOnRecord,  ///< None, but an earlier lead's advance may be lost.
    kUnreachable,   ///< No response; the fenced ledger has no record of it.
    kUnknown,       ///< No response, and the ledger could not be read.
  };
  /// Cached copy of another domain's stored ledger.
  struct FetchedLedger {
    TimePoint m_read_at;
    LedgerRecord m_record;
  };

  static auto ResultOf(const FindAccountResponse& response) -> LookupResult;
  auto QueryLead(const ProgramId& program, const DomainId& domain) -> void;
  auto OnFindResponse(const ProgramId& program,
                      const DomainId& domain,
                      const Result<FindAccountResponse>& response) -> void;
  auto ReadLedger(const ProgramId& program, const DomainId& domain) -> void;
  auto FetchLedger(const DomainId& domain, int attempts_left) -> void;
  auto OnLedgerFetched(const DomainId& domain,
                       const Result<StoredObject>& stored,
                       int attempts_left) -> void;
  auto Fence(const DomainId& domain,
             const StoredLedger& ledger,
             ResourceVersion version,
             int attempts_left) -> void;
  auto CompleteReads(const DomainId& domain,
                     const std::optional<LedgerRecord>& record) -> void;
  auto ResolveFromLedger(const ProgramId& program,
                         const DomainId& domain,
                         const LedgerRecord& record) -> void;
  auto RecordResult(const ProgramId& program,
                    const DomainId& domain,
                    LookupResult result) -> void;
  auto Complete(const ProgramId& program, const SearchOutcome& outcome) -> void;

  EntryContext& m_context;
  Completed m_completed;
  std::map<ProgramId, Search> m_searches;
  /// Incremented by Clear() to detect responses to earlier requests.
  int m_generation = 0;
  std::map<DomainId, FetchedLedger> m_fetched_ledgers;
  /// Programs whose search waits for the ledger of a domain.
  std::map<DomainId, std::vector<ProgramId>> m_waiting_for_ledger;
  /// Domains whose ledger this lead has fenced. Before a fenced lead opens
  /// another account it must ask this lead or fence its ledger.
  std::set<DomainId> m_fenced;
  /// Time until which the lead of a domain is not asked again after a timeout.
  std::map<DomainId, TimePoint> m_unresponsive_until;
  /// Earliest time of the next ledger read after a store failure.
  TimePoint m_next_store_read;
};

}  // namespace dotterelshed

#endif  // DOTTERELSHED_ACCOUNT_SEARCH_H_
