#ifndef DOTTERELSHED_ACCOUNT_SEARCH_H_
#define DOTTERELSHED_ACCOUNT_SEARCH_H_

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <vector>

#include "dotterelshed/program_ledger.h"
#include "entry_context.h"
#include "lead_messages.h"

/// @file
/// How a lead finds out whether another domain keeps the account of a program
/// that it doesn't know: it asks the other leads. In place of one that doesn't
/// answer it reads the domain's stored ledger, and fences it first, so that an
/// account that isn't on record there can't get on record unnoticed.

namespace dotterelshed {

/// What a search has found.
struct SearchOutcome {
  /// Domain that keeps the account, if one does.
  std::optional<DomainId> m_domain;
  /// Otherwise how an account may be opened here.
  GrantConditions m_conditions;
};

class AccountSearch {
 public:
  using Completed = std::function<void(const ProgramId&, const SearchOutcome&)>;

  AccountSearch(EntryContext& context, Completed ended);

  /// Begins to look for a program, unless that is under way. @p blind says that
  /// this lead keeps a blind account of it. May end before it returns.
  auto Start(const ProgramId& program, bool blind) -> void;
  auto IsSearching(const ProgramId& program) const -> bool {
    return m_searches.contains(program);
  }
  /// The own ledger has been fenced: the lead that did it goes on without
  /// hearing of this one's accounts, so earlier fences no longer hold.
  auto ForgetFences() -> void { m_fenced.clear(); }
  /// Ends all searches without outcome: this host no longer leads.
  auto Clear() -> void;

 private:
  struct Search {
    /// Domains that haven't answered yet.
    std::set<DomainId> m_pending_domains;
    GrantConditions m_conditions;
    /// This lead keeps a blind account of it.
    bool m_unverified_here = false;
  };
  enum class LookupResult {
    kFound,
    kNone,
    kUnreachable,  ///< The lead can't be asked; it is fenced and has no record.
    kUnknown,      ///< Neither the lead nor its ledger can be read.
  };
  /// What another domain's stored ledger said a moment ago.
  struct FetchedLedger {
    TimePoint m_read_at;
    LedgerRecord m_record;
  };

  auto QueryLead(const ProgramId& program, const DomainId& domain) -> void;
  auto OnFindResponse(const ProgramId& program,
                      const DomainId& domain,
                      const Result<FindAccountResponse>& answer) -> void;
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
                    LookupResult answer) -> void;
  auto Complete(const ProgramId& program, const SearchOutcome& outcome) -> void;

  EntryContext& m_context;
  Completed m_completed;
  std::map<ProgramId, Search> m_searches;
  /// Counts the calls of Clear, to tell late answers apart.
  int m_generation = 0;
  std::map<DomainId, FetchedLedger> m_fetched_ledgers;
  /// Searches that wait for another domain's ledger.
  std::map<DomainId, std::vector<ProgramId>> m_waiting_for_ledger;
  /// Domains whose ledger this lead has fenced. What they open later, they open
  /// after asking this lead or fencing it.
  std::set<DomainId> m_fenced;
  /// Domains whose lead didn't answer, and until when it isn't asked.
  std::map<DomainId, TimePoint> m_unresponsive_until;
  /// Until when no ledger is read again after a failure.
  TimePoint m_next_store_read;
};

}  // namespace dotterelshed

#endif  // DOTTERELSHED_ACCOUNT_SEARCH_H_
