#include "lead/account_search.h"

#include <utility>

#include "dotterelshed/log_events.h"
#include "dotterelshed/steady_time.h"
#include "peer_call.h"

namespace dotterelshed {

namespace {

/// Timeout of a request to another domain's lead.
constexpr Duration kFindTimeout = std::chrono::milliseconds(150);
/// A lead that timed out, or a store that failed, is not asked again within
/// this time.
constexpr Duration kRetryInterval = std::chrono::milliseconds(1000);
/// Maximum age at which a cached ledger of another domain is still used.
constexpr Duration kMaxLedgerAge = std::chrono::milliseconds(400);
/// Maximum number of read-and-write attempts to fence a ledger.
constexpr int kMaxFenceAttempts = 4;

}  // namespace

AccountSearch::AccountSearch(EntryContext& context, Completed completed)
    : m_context(context), m_completed(std::move(completed)) {}

auto AccountSearch::Start(const ProgramId& program, bool unverified) -> void {
  const auto [found, is_new] = m_searches.try_emplace(program);
  if (!is_new) {
    return;
  }
  found->second.m_unverified_here = unverified;
  for (const auto& [domain, lead] : m_context.m_leads) {
    if (domain != m_context.m_settings.m_domain) {
      found->second.m_pending_domains.insert(domain);
    }
  }
  const auto domains = found->second.m_pending_domains;
  if (domains.empty()) {
    Complete(program, {});
    return;
  }
  for (const auto& domain : domains) {
    // A cached ledger may already have completed the search.
    if (m_searches.contains(program)) {
      QueryLead(program, domain);
    }
  }
}

auto AccountSearch::Clear() -> void {
  ++m_generation;
  m_searches.clear();
  m_fetched_ledgers.clear();
  m_fenced.clear();
}

auto AccountSearch::QueryLead(const ProgramId& program, const DomainId& domain)
    -> void {
  const auto unresponsive = m_unresponsive_until.find(domain);
  if (unresponsive != m_unresponsive_until.end() &&
      SteadyTime() < unresponsive->second) {
    ReadLedger(program, domain);
    return;
  }
  const auto& address = m_context.m_leads.at(domain).m_entry.m_peer_address;
  CallPeer(m_context.m_loop, m_context.m_peer_connections, address, kFindPath,
           EncodeFindAccountRequest(
               {.m_program = program,
                .m_domain = m_context.m_settings.m_domain,
                .m_unverified = m_searches.at(program).m_unverified_here}),
           kFindTimeout,
           [this, program, domain](const Result<std::string>& reply) {
             OnFindResponse(program, domain,
                            reply.and_then(DecodeFindAccountResponse));
           });
}

auto AccountSearch::ResultOf(const FindAccountResponse& response)
    -> LookupResult {
  if (response.m_found) {
    return LookupResult::kFound;
  }
  return response.m_may_have_lost_advances ? LookupResult::kNoneOnRecord
                                           : LookupResult::kNone;
}

auto AccountSearch::OnFindResponse(const ProgramId& program,
                                   const DomainId& domain,
                                   const Result<FindAccountResponse>& response)
    -> void {
  if (!m_searches.contains(program)) {
    return;
  }
  if (response && response->m_leads) {
    RecordResult(program, domain, ResultOf(*response));
    return;
  }
  if (response && response->m_lead && m_context.UpdateLead(*response->m_lead)) {
    QueryLead(program, domain);
    return;
  }
  m_unresponsive_until[domain] = SteadyTime() + kRetryInterval;
  ReadLedger(program, domain);
}

auto AccountSearch::ReadLedger(const ProgramId& program, const DomainId& domain)
    -> void {
  const auto known = m_fetched_ledgers.find(domain);
  if (known != m_fetched_ledgers.end() && m_fenced.contains(domain) &&
      SteadyTime() - known->second.m_read_at < kMaxLedgerAge) {
    ResolveFromLedger(program, domain, known->second.m_record);
    return;
  }
  if (SteadyTime() < m_next_store_read) {
    RecordResult(program, domain, LookupResult::kUnknown);
    return;
  }
  auto& waiting = m_waiting_for_ledger[domain];
  waiting.push_back(program);
  if (waiting.size() == 1) {
    FetchLedger(domain, kMaxFenceAttempts);
  }
}

auto AccountSearch::FetchLedger(const DomainId& domain, int attempts_left)
    -> void {
  m_context.m_store.Get(
      ObjectKind::kLedgers, domain.value(),
      [this, domain, attempts_left](const Result<StoredObject>& stored) {
        OnLedgerFetched(domain, stored, attempts_left);
      });
}

auto AccountSearch::OnLedgerFetched(const DomainId& domain,
                                    const Result<StoredObject>& stored,
                                    int attempts_left) -> void {
  if (!stored && stored.error().m_code == ErrorCode::kNotFound) {
    // No lead of that domain has ever recorded an account.
    CompleteReads(domain, LedgerRecord());
    return;
  }
  const auto ledger = stored.and_then([](const StoredObject& object) {
    return DecodeStoredLedger(object.m_spec);
  });
  if (!ledger) {
    m_next_store_read = SteadyTime() + kRetryInterval;
    LogEvent(LogEventId::kLedgerReadFailed,
             {{"domain", domain.value()},
              {"code", std::string(ToString(ledger.error().m_code))},
              {"reason", ledger.error().m_message}});
    CompleteReads(domain, std::nullopt);
    return;
  }
  if (m_fenced.contains(domain)) {
    CompleteReads(domain, ledger->m_record);
    return;
  }
  Fence(domain, *ledger, stored->m_version, attempts_left);
}

auto AccountSearch::Fence(const DomainId& domain,
                          const StoredLedger& ledger,
                          ResourceVersion version,
                          int attempts_left) -> void {
  auto fenced = ledger;
  ++fenced.m_fence;
  m_context.m_store.Replace(
      ObjectKind::kLedgers,
      {.m_name = domain.value(),
       .m_version = version,
       .m_spec = EncodeStoredLedger(fenced)},
      [this, domain, attempts_left, term = m_generation,
       record = ledger.m_record](const Result<StoredObject>& written) {
        if (written && term == m_generation) {
          m_fenced.insert(domain);
          CompleteReads(domain, record);
        } else if (!written && attempts_left > 1 &&
                   written.error().m_code == ErrorCode::kConflict) {
          FetchLedger(domain, attempts_left - 1);
        } else {
          CompleteReads(domain, std::nullopt);
        }
      });
}

auto AccountSearch::CompleteReads(const DomainId& domain,
                                  const std::optional<LedgerRecord>& record)
    -> void {
  if (record) {
    m_fetched_ledgers[domain] = {SteadyTime(), *record};
  }
  for (const auto& program : std::exchange(m_waiting_for_ledger[domain], {})) {
    if (!m_searches.contains(program)) {
      continue;
    }
    if (record) {
      ResolveFromLedger(program, domain, *record);
    } else {
      RecordResult(program, domain, LookupResult::kUnknown);
    }
  }
}

/// Evaluates the fenced ledger of a lead that did not respond. An account that
/// is not on record there cannot be recorded any more without a search by that
/// lead.
auto AccountSearch::ResolveFromLedger(const ProgramId& program,
                                      const DomainId& domain,
                                      const LedgerRecord& record) -> void {
  RecordResult(program, domain,
               record.m_bounds.contains(program) ? LookupResult::kFound
                                                 : LookupResult::kUnreachable);
}

auto AccountSearch::RecordResult(const ProgramId& program,
                                 const DomainId& domain,
                                 LookupResult result) -> void {
  if (result == LookupResult::kFound) {
    Complete(program, {.m_domain = domain});
    return;
  }
  auto& search = m_searches.at(program);
  search.m_pending_domains.erase(domain);
  auto& conditions = search.m_conditions;
  conditions.m_unverified =
      conditions.m_unverified || result == LookupResult::kUnknown;
  conditions.m_other_advance = conditions.m_other_advance ||
                               result == LookupResult::kUnreachable ||
                               result == LookupResult::kNoneOnRecord;
  if (search.m_pending_domains.empty()) {
    Complete(program, {.m_conditions = conditions});
  }
}

auto AccountSearch::Complete(const ProgramId& program,
                             const SearchOutcome& outcome) -> void {
  m_searches.erase(program);
  m_completed(program, outcome);
}

}  // namespace dotterelshed
