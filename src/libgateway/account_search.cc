#include "account_search.h"

#include <utility>

#include "dotterelshed/log_events.h"
#include "dotterelshed/steady_time.h"
#include "peer_call.h"

namespace dotterelshed {

namespace {

/// Longest wait for another domain's lead.
constexpr Duration kFindTimeout = std::chrono::milliseconds(150);
/// Time for which a silent lead, or a store that failed, isn't asked again.
constexpr Duration kSilentTime = std::chrono::milliseconds(1000);
/// Age up to which another domain's stored ledger needn't be read again.
constexpr Duration kOtherLedgerAge = std::chrono::milliseconds(400);
/// Reads and writes of another domain's ledger until it is fenced.
constexpr int kMaxFenceTries = 4;

}  // namespace

AccountSearch::AccountSearch(EntryContext& context, Ended ended)
    : m_context(context), m_ended(std::move(ended)) {}

auto AccountSearch::Start(const ProgramId& program, bool blind) -> void {
  const auto [found, is_new] = m_searches.try_emplace(program);
  if (!is_new) {
    return;
  }
  found->second.m_blind_here = blind;
  for (const auto& [domain, lead] : m_context.m_leads) {
    if (domain != m_context.m_settings.m_domain) {
      found->second.m_open.insert(domain);
    }
  }
  const auto domains = found->second.m_open;
  if (domains.empty()) {
    End(program, {});
    return;
  }
  for (const auto& domain : domains) {
    // What is known already may have ended the search.
    if (m_searches.contains(program)) {
      AskOther(program, domain);
    }
  }
}

auto AccountSearch::Clear() -> void {
  ++m_term;
  m_searches.clear();
  m_other_ledgers.clear();
  m_fenced.clear();
}

auto AccountSearch::AskOther(const ProgramId& program, const DomainId& domain)
    -> void {
  const auto silent = m_silent_until.find(domain);
  if (silent != m_silent_until.end() && SteadyTime() < silent->second) {
    ReadOtherLedger(program, domain);
    return;
  }
  const auto& address = m_context.m_leads.at(domain).m_entry.m_peer_address;
  CallPeer(m_context.m_loop, m_context.m_peers, address, kFindPath,
           EncodeFindQuestion({.m_program = program,
                               .m_domain = m_context.m_settings.m_domain,
                               .m_blind = m_searches.at(program).m_blind_here}),
           kFindTimeout,
           [this, program, domain](const Result<std::string>& reply) {
             AfterFind(program, domain, reply.and_then(DecodeFindAnswer));
           });
}

auto AccountSearch::AfterFind(const ProgramId& program,
                              const DomainId& domain,
                              const Result<FindAnswer>& answer) -> void {
  if (!m_searches.contains(program)) {
    return;
  }
  if (answer && answer->m_leads) {
    TakeAnswer(program, domain,
               answer->m_found ? Answer::kFound : Answer::kNone);
    return;
  }
  if (answer && answer->m_lead && m_context.TakeLead(*answer->m_lead)) {
    AskOther(program, domain);
    return;
  }
  m_silent_until[domain] = SteadyTime() + kSilentTime;
  ReadOtherLedger(program, domain);
}

auto AccountSearch::ReadOtherLedger(const ProgramId& program,
                                    const DomainId& domain) -> void {
  const auto known = m_other_ledgers.find(domain);
  if (known != m_other_ledgers.end() && m_fenced.contains(domain) &&
      SteadyTime() - known->second.m_read_at < kOtherLedgerAge) {
    AfterAbsence(program, domain, known->second.m_record);
    return;
  }
  if (SteadyTime() < m_no_reads_until) {
    TakeAnswer(program, domain, Answer::kUnknown);
    return;
  }
  auto& readers = m_readers[domain];
  readers.push_back(program);
  if (readers.size() == 1) {
    GetOtherLedger(domain, kMaxFenceTries);
  }
}

auto AccountSearch::GetOtherLedger(const DomainId& domain, int tries) -> void {
  m_context.m_store.Get(
      ObjectKind::kLedgers, domain.value(),
      [this, domain, tries](const Result<StoredObject>& stored) {
        OnOtherLedger(domain, stored, tries);
      });
}

auto AccountSearch::OnOtherLedger(const DomainId& domain,
                                  const Result<StoredObject>& stored,
                                  int tries) -> void {
  if (!stored && stored.error().m_code == ErrorCode::kNotFound) {
    // No lead there has ever kept an account.
    EndReads(domain, LedgerRecord());
    return;
  }
  const auto ledger = stored.and_then([](const StoredObject& object) {
    return DecodeStoredLedger(object.m_spec);
  });
  if (!ledger) {
    m_no_reads_until = SteadyTime() + kSilentTime;
    LogEvent(LogEventId::kLedgerReadFailed,
             {{"domain", domain.value()},
              {"code", std::string(ToString(ledger.error().m_code))},
              {"reason", ledger.error().m_message}});
    EndReads(domain, std::nullopt);
    return;
  }
  if (m_fenced.contains(domain)) {
    EndReads(domain, ledger->m_record);
    return;
  }
  Fence(domain, *ledger, stored->m_version, tries);
}

auto AccountSearch::Fence(const DomainId& domain,
                          const StoredLedger& ledger,
                          ResourceVersion version,
                          int tries) -> void {
  auto fenced = ledger;
  ++fenced.m_fence;
  m_context.m_store.Replace(
      ObjectKind::kLedgers,
      {.m_name = domain.value(),
       .m_version = version,
       .m_spec = EncodeStoredLedger(fenced)},
      [this, domain, tries, term = m_term,
       record = ledger.m_record](const Result<StoredObject>& written) {
        if (written && term == m_term) {
          m_fenced.insert(domain);
          EndReads(domain, record);
        } else if (!written && tries > 1 &&
                   written.error().m_code == ErrorCode::kConflict) {
          GetOtherLedger(domain, tries - 1);
        } else {
          EndReads(domain, std::nullopt);
        }
      });
}

auto AccountSearch::EndReads(const DomainId& domain,
                             const std::optional<LedgerRecord>& record)
    -> void {
  if (record) {
    m_other_ledgers[domain] = {SteadyTime(), *record};
  }
  for (const auto& program : std::exchange(m_readers[domain], {})) {
    if (!m_searches.contains(program)) {
      continue;
    }
    if (record) {
      AfterAbsence(program, domain, *record);
    } else {
      TakeAnswer(program, domain, Answer::kUnknown);
    }
  }
}

/// The other lead wasn't heard, but what it isn't known to have recorded it
/// can't record any more without a search of its own.
auto AccountSearch::AfterAbsence(const ProgramId& program,
                                 const DomainId& domain,
                                 const LedgerRecord& record) -> void {
  TakeAnswer(
      program, domain,
      record.m_bounds.contains(program) ? Answer::kFound : Answer::kUnheard);
}

auto AccountSearch::TakeAnswer(const ProgramId& program,
                               const DomainId& domain,
                               Answer answer) -> void {
  if (answer == Answer::kFound) {
    End(program, {.m_domain = domain});
    return;
  }
  auto& search = m_searches.at(program);
  search.m_open.erase(domain);
  auto& conditions = search.m_conditions;
  conditions.m_unverified =
      conditions.m_unverified || answer == Answer::kUnknown;
  conditions.m_other_fenced =
      conditions.m_other_fenced || answer == Answer::kUnheard;
  if (search.m_open.empty()) {
    End(program, {.m_conditions = conditions});
  }
}

auto AccountSearch::End(const ProgramId& program, const SearchOutcome& outcome)
    -> void {
  m_searches.erase(program);
  m_ended(program, outcome);
}

}  // namespace dotterelshed
