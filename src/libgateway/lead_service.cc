#include "lead_service.h"

#include <algorithm>
#include <utility>

#include "dotterelshed/log_events.h"
#include "dotterelshed/metrics.h"
#include "dotterelshed/steady_time.h"
#include "peer_call.h"

namespace dotterelshed {

namespace {

/// Longest time that a question waits for its answer.
constexpr Duration kAnswerTime = std::chrono::milliseconds(550);
/// Time between two writes while turns wait for one.
constexpr Duration kUrgentWriteInterval = std::chrono::milliseconds(80);
/// Time between two writes that only prepare coming turns.
constexpr Duration kLazyWriteInterval = std::chrono::milliseconds(1000);
/// A lead that has nothing to record confirms in this time that it still leads.
constexpr Duration kConfirmInterval = std::chrono::seconds(4);
/// A lead whose writes fail tries the store again after this time.
constexpr Duration kStoreProbeInterval = std::chrono::milliseconds(500);
/// Longest time for the last write of a lead that gives way.
constexpr Duration kYieldTime = std::chrono::milliseconds(800);
/// One that gave way claims again after this time, if nobody else did.
constexpr Duration kYieldPause = std::chrono::milliseconds(1500);
/// A host that couldn't reach the store for its claim waits this long.
constexpr Duration kClaimRetryWait = std::chrono::milliseconds(1000);
constexpr Duration kStoreRetryWait = std::chrono::milliseconds(200);
/// Longest wait for another domain's lead.
constexpr Duration kFindTimeout = std::chrono::milliseconds(150);
/// Time for which a silent lead isn't asked again.
constexpr Duration kSilentTime = std::chrono::milliseconds(1000);
/// Age up to which another domain's stored ledger needn't be read again.
constexpr Duration kOtherLedgerAge = std::chrono::milliseconds(400);
/// Reads and writes of another domain's ledger until it is fenced.
constexpr int kMaxFenceTries = 4;
constexpr Duration kSweepInterval = std::chrono::seconds(5);
/// Turns that never reported their end are taken for over after this time.
constexpr Duration kMaxTurnTime = std::chrono::seconds(20);

}  // namespace

LeadService::LeadService(EntryContext& context)
    : m_context(context), m_journal(context) {}

auto LeadService::IsMine(const LeadEntry& entry) const -> bool {
  return entry.m_host == m_context.m_settings.m_host &&
         entry.m_incarnation == m_context.m_incarnation;
}

auto LeadService::Find(const FindQuestion& question) -> FindAnswer {
  if (!active()) {
    return {.m_lead = m_context.LeadOf(m_context.m_settings.m_domain)};
  }
  const auto claimed = Claims(question);
  if (!claimed) {
    m_notes[question.m_program] = {.m_domain = question.m_domain,
                                   .m_last_used = SteadyTime()};
  }
  return {.m_leads = true, .m_found = claimed};
}

auto LeadService::Claims(const FindQuestion& question) const -> bool {
  if (KnowsProgram(m_ledger, question.m_program)) {
    return true;
  }
  const auto first = m_context.m_settings.m_domain < question.m_domain;
  if (m_ledger.m_accounts.contains(question.m_program)) {
    return first || !question.m_blind;
  }
  return m_searches.contains(question.m_program) && first && !question.m_blind;
}

// Becoming lead.

auto LeadService::TakeOver(const std::optional<KnownLead>& silent) -> void {
  const auto& domain = m_context.m_settings.m_domain;
  if (m_phase != Phase::kIdle || SteadyTime() < m_retry_at ||
      !m_context.IsNewest(domain, silent)) {
    return;
  }
  m_phase = Phase::kClaiming;
  StoredObject object{
      .m_name = domain.value(),
      .m_spec = EncodeLeadEntry(
          {.m_host = m_context.m_settings.m_host,
           .m_incarnation = m_context.m_incarnation,
           .m_peer_address = m_context.m_settings.m_peer_address,
           .m_processor_share = m_context.m_settings.m_processor_share})};
  const auto after = [this](const Result<StoredObject>& stored) {
    AfterClaim(stored);
  };
  m_before = silent;
  if (!m_before) {
    m_context.m_store.Create(ObjectKind::kLeads, std::move(object), after);
    return;
  }
  object.m_version = m_before->m_version;
  m_context.m_store.Replace(ObjectKind::kLeads, std::move(object), after);
}

auto LeadService::AfterClaim(const Result<StoredObject>& stored) -> void {
  if (m_phase != Phase::kClaiming) {
    return;
  }
  if (!stored) {
    LogEvent(LogEventId::kLeadClaimFailed,
             {{"code", std::string(ToString(stored.error().m_code))},
              {"reason", stored.error().m_message}});
    // If it was done all the same, the store's list of leads will say so.
    BecomeIdle();
    if (stored.error().m_code != ErrorCode::kConflict) {
      m_retry_at = SteadyTime() + kClaimRetryWait;
    }
    return;
  }
  const auto entry = DecodeLeadEntry(stored->m_spec);
  if (!entry || !IsMine(*entry)) {
    BecomeIdle();
    return;
  }
  m_context.TakeLead({.m_domain = m_context.m_settings.m_domain,
                      .m_entry = *entry,
                      .m_version = stored->m_version});
  m_phase = Phase::kAdopting;
  Adopt();
}

auto LeadService::NoteLead(const KnownLead& lead) -> bool {
  if (!m_context.TakeLead(lead)) {
    return false;
  }
  if (lead.m_domain != m_context.m_settings.m_domain) {
    return true;
  }
  const auto begun = m_phase != Phase::kIdle && m_phase != Phase::kClaiming;
  if (!IsMine(lead.m_entry)) {
    if (begun) {
      BecomeIdle();
    }
  } else if (!begun) {
    m_phase = Phase::kAdopting;
    Adopt();
  }
  return true;
}

auto LeadService::Adopt() -> void {
  m_writing = true;
  m_context.m_store.Get(ObjectKind::kLedgers,
                        m_context.m_settings.m_domain.value(),
                        [this](const Result<StoredObject>& stored) {
                          m_writing = false;
                          AfterAdoptRead(stored);
                        });
}

auto LeadService::AfterAdoptRead(const Result<StoredObject>& stored) -> void {
  if (m_phase != Phase::kAdopting) {
    return;
  }
  const auto now = SteadyTime();
  if (!stored) {
    if (stored.error().m_code != ErrorCode::kNotFound) {
      m_retry_at = now + kStoreRetryWait;
      return;
    }
    m_ledger_version = ResourceVersion(0);
    m_fence = 0;
    AdoptJournal({});
    return;
  }
  const auto ledger = DecodeStoredLedger(stored->m_spec);
  if (!ledger) {
    LogEvent(
        LogEventId::kLeadClaimFailed,
        {{"code", "invalid_argument"}, {"reason", ledger.error().m_message}});
    m_retry_at = now + kStoreRetryWait;
    return;
  }
  m_ledger_version = stored->m_version;
  m_fence = ledger->m_fence;
  AdoptJournal(*ledger);
}

/// The lead before may have gone on without the store.
auto LeadService::AdoptJournal(const StoredLedger& stored) -> void {
  const auto& domain = m_context.m_settings.m_domain;
  m_writing = true;
  m_journal.Read(domain, m_context.LeadOf(domain)->m_version, stored,
                 [this, record = stored.m_record](
                     const std::optional<JournalEntry>& entry) mutable {
                   m_writing = false;
                   if (m_phase != Phase::kAdopting) {
                     return;
                   }
                   if (entry) {
                     for (const auto& [program, bound] :
                          entry->m_ledger.m_record.m_bounds) {
                       auto& known = record.m_bounds[program];
                       known = std::max(known, bound);
                     }
                     LogEvent(
                         LogEventId::kJournalUsed,
                         {{"step", "taken_over"},
                          {"write", std::to_string(entry->m_ledger.m_write)}});
                   }
                   AdoptRecord(m_ledger, record, SteadyTime());
                   WriteAdopted();
                 });
}

auto LeadService::WriteAdopted() -> void {
  m_writing = true;
  auto object = MakeLedgerObject(BeginRecord(m_ledger, SteadyTime()));
  const auto after = [this](const Result<StoredObject>& stored) {
    m_writing = false;
    AfterAdoptWrite(stored);
  };
  if (m_ledger_version == ResourceVersion(0)) {
    m_context.m_store.Create(ObjectKind::kLedgers, std::move(object), after);
  } else {
    m_context.m_store.Replace(ObjectKind::kLedgers, std::move(object), after);
  }
}

auto LeadService::AfterAdoptWrite(const Result<StoredObject>& stored) -> void {
  if (m_phase != Phase::kAdopting) {
    return;
  }
  const auto now = SteadyTime();
  if (!stored) {
    // Read again: another lead may have written, or this write may be there.
    m_retry_at = now + kStoreRetryWait;
    return;
  }
  m_ledger_version = stored->m_version;
  m_last_write = now;
  m_phase = Phase::kAnnouncing;
  ListLeads();
}

/// Of two leads that begin at once, the one that lists later knows the other,
/// and tells it before it opens an account.
auto LeadService::ListLeads() -> void {
  m_context.m_store.List(ObjectKind::kLeads,
                         [this](const Result<ObjectListing>& listing) {
                           if (m_phase != Phase::kAnnouncing) {
                             return;
                           }
                           if (!listing) {
                             // Goes on with the leads that are known.
                             Announce();
                             return;
                           }
                           for (const auto& object : listing->m_objects) {
                             const auto entry = DecodeLeadEntry(object.m_spec);
                             if (entry) {
                               NoteLead({.m_domain = DomainId(object.m_name),
                                         .m_entry = *entry,
                                         .m_version = object.m_version});
                             }
                           }
                           if (m_phase == Phase::kAnnouncing) {
                             Announce();
                           }
                         });
}

auto LeadService::Announce() -> void {
  const auto own = m_context.LeadOf(m_context.m_settings.m_domain);
  std::vector<std::string> addresses;
  if (m_before && m_before->m_entry.m_host != m_context.m_settings.m_host) {
    addresses.push_back(m_before->m_entry.m_peer_address);
  }
  for (const auto& [domain, lead] : m_context.m_leads) {
    if (domain != m_context.m_settings.m_domain) {
      addresses.push_back(lead.m_entry.m_peer_address);
    }
  }
  m_unannounced = static_cast<int>(addresses.size()) + 1;
  for (const auto& address : addresses) {
    CallPeer(m_context.m_loop, m_context.m_peers, address, kLeadPath,
             EncodeKnownLead(*own), kFindTimeout,
             [this](const Result<std::string>& /*reply*/) {
               // One that can't be reached can't be asked by its callers
               // either.
               AfterAnnouncement();
             });
  }
  AfterAnnouncement();
}

auto LeadService::AfterAnnouncement() -> void {
  if (--m_unannounced > 0 || m_phase != Phase::kAnnouncing) {
    return;
  }
  m_phase = Phase::kActive;
  LogEvent(LogEventId::kLeadChanged,
           {{"domain", m_context.m_settings.m_domain.value()},
            {"lead", m_context.m_settings.m_host.value()},
            {"programs", std::to_string(m_ledger.m_accounts.size())}});
  DecideWaiting();
}

auto LeadService::BecomeIdle() -> void {
  if (m_phase == Phase::kActive) {
    LogEvent(LogEventId::kLeadLost,
             {{"domain", m_context.m_settings.m_domain.value()}});
  }
  m_phase = Phase::kIdle;
  m_retry_at = SteadyTime() + kStoreRetryWait;
  if (const auto yielded = std::exchange(m_yielded, nullptr)) {
    yielded(false);
  }
  m_ledger = {};
  m_store_lost = false;
  m_journal_lost = false;
  m_other_ledgers.clear();
  m_fenced.clear();
  m_notes.clear();
  m_loads.clear();
  m_placed.clear();
  auto waiting = std::exchange(m_waiting, {});
  for (auto& [program, search] : std::exchange(m_searches, {})) {
    waiting.insert(waiting.end(), search.m_waiting.begin(),
                   search.m_waiting.end());
  }
  for (const auto& one : waiting) {
    one.m_answered({.m_verdict = GrantVerdict::kNotLead});
  }
}

// Giving way.

auto LeadService::Yield(std::string_view reason, Yielded yielded) -> void {
  if (m_phase != Phase::kActive || m_yielded || m_store_lost) {
    yielded(false);
    return;
  }
  m_yielded = std::move(yielded);
  m_yield_reason = reason;
  m_yield_until = SteadyTime() + kYieldTime;
  MaybeWrite(SteadyTime());
}

auto LeadService::FinishYield(bool done) -> void {
  const auto yielded = std::exchange(m_yielded, nullptr);
  if (done) {
    LogEvent(LogEventId::kLeadYielded,
             {{"domain", m_context.m_settings.m_domain.value()},
              {"reason", m_yield_reason}});
    BecomeIdle();
    m_retry_at = SteadyTime() + kYieldPause;
  } else {
    DecideWaiting();
  }
  yielded(done);
}

// Answering questions.

auto LeadService::Ask(const GrantQuestion& question, Answered answered)
    -> void {
  if (m_phase == Phase::kIdle) {
    answered({.m_verdict = GrantVerdict::kNotLead,
              .m_lead = m_context.LeadOf(m_context.m_settings.m_domain)});
    return;
  }
  const Waiting waiting{question, std::move(answered),
                        SteadyTime() + kAnswerTime};
  if (m_phase != Phase::kActive) {
    m_waiting.push_back(waiting);
    return;
  }
  Decide(waiting);
}

auto LeadService::Decide(const Waiting& waiting) -> void {
  const auto& program = waiting.m_question.m_grant.m_program;
  const auto note = m_notes.find(program);
  if (KnowsProgram(m_ledger, program)) {
    Grant(waiting, {.m_partial = RecordLost()});
  } else if (note != m_notes.end() && !note->second.m_domain.empty()) {
    waiting.m_answered({.m_verdict = GrantVerdict::kElsewhere,
                        .m_domain = note->second.m_domain});
  } else {
    StartSearch(waiting);
  }
}

auto LeadService::Grant(const Waiting& waiting,
                        const GrantConditions& conditions) -> void {
  if (m_yielded) {
    m_waiting.push_back(waiting);
    return;
  }
  const auto now = SteadyTime();
  const auto grant =
      RequestGrant(m_ledger, waiting.m_question.m_grant, conditions, now);
  LogDecision(waiting.m_question.m_grant, conditions, grant);
  switch (grant.m_decision) {
    case GrantDecision::kGranted:
      waiting.m_answered({.m_verdict = GrantVerdict::kGranted,
                          .m_endpoint = Place(waiting.m_question, now),
                          .m_tokens = grant.m_tokens});
      return;
    case GrantDecision::kBudgetSpent:
      waiting.m_answered({.m_verdict = GrantVerdict::kBudgetSpent});
      return;
    case GrantDecision::kNeedsRecord:
      break;
  }
  if (conditions.m_blind) {
    waiting.m_answered({.m_verdict = GrantVerdict::kUnavailable});
  } else if (conditions.m_partial) {
    waiting.m_answered({.m_verdict = GrantVerdict::kNoStore});
  } else {
    m_waiting.push_back(waiting);
    MaybeWrite(now);
  }
}

auto LeadService::LogDecision(const GrantRequest& request,
                              const GrantConditions& conditions,
                              const TurnGrant& grant) const -> void {
  CountMetric(MetricId::kTurnDecisions, ToString(grant.m_decision));
  const auto& account = m_ledger.m_accounts.at(request.m_program);
  LogEvent(LogEventId::kTurnDecided,
           {{"request", request.m_request.value()},
            {"program", request.m_program.value()},
            {"decision", std::string(ToString(grant.m_decision))},
            {"tokens", std::to_string(grant.m_tokens.value())},
            {"budget", std::to_string(account.m_budget.value())},
            {"spent", std::to_string(account.m_spent.value())},
            {"running", std::to_string(account.m_running.size())},
            {"recorded", std::to_string(account.m_recorded.value())},
            {"advance", account.m_has_advance ? "yes" : "no"},
            {"blind", conditions.m_blind ? "yes" : "no"},
            {"store", m_store_lost ? "lost" : "reached"}},
           grant.m_decision == GrantDecision::kGranted ? LogWeight::kOrdinary
                                                       : LogWeight::kUnusual);
}

auto LeadService::Place(const GrantQuestion& question, TimePoint now)
    -> EndpointId {
  auto& note = m_notes[question.m_grant.m_program];
  note.m_last_used = now;
  const auto chosen = ChooseEndpoint(m_context.m_directory, m_loads,
                                     {.m_service = question.m_service,
                                      .m_domain = m_context.m_settings.m_domain,
                                      .m_warm = note.m_endpoint,
                                      .m_prompt = question.m_prompt,
                                      .m_draw = m_context.Draw()},
                                     now);
  if (!chosen) {
    return {};
  }
  note.m_endpoint = *chosen;
  ++m_loads[*chosen].m_outstanding;
  m_placed[question.m_grant.m_request] = {*chosen, now};
  return *chosen;
}

auto LeadService::Settle(const std::vector<TurnSettlement>& settlements)
    -> bool {
  if (m_phase != Phase::kActive || m_yielded) {
    return false;
  }
  const auto now = SteadyTime();
  for (const auto& one : settlements) {
    SettleTurn(m_ledger, one.m_program, one.m_request, one.m_used, now);
    const auto placed = m_placed.find(one.m_request);
    if (placed != m_placed.end()) {
      --m_loads[placed->second.m_endpoint].m_outstanding;
      m_placed.erase(placed);
    }
  }
  return true;
}

// Finding the account of an unknown program.

auto LeadService::StartSearch(const Waiting& waiting) -> void {
  const auto program = waiting.m_question.m_grant.m_program;
  const auto [found, is_new] = m_searches.try_emplace(program);
  found->second.m_waiting.push_back(waiting);
  if (!is_new) {
    return;
  }
  for (const auto& [domain, lead] : m_context.m_leads) {
    if (domain != m_context.m_settings.m_domain) {
      found->second.m_open.insert(domain);
    }
  }
  const auto domains = found->second.m_open;
  if (domains.empty()) {
    for (const auto& one : EndSearch(program)) {
      Grant(one, {.m_partial = RecordLost()});
    }
    return;
  }
  for (const auto& domain : domains) {
    // What is known already may have ended the search.
    if (m_searches.contains(program)) {
      AskOther(program, domain);
    }
  }
}

auto LeadService::AskOther(const ProgramId& program, const DomainId& domain)
    -> void {
  const auto silent = m_silent_until.find(domain);
  if (silent != m_silent_until.end() && SteadyTime() < silent->second) {
    ReadOtherLedger(program, domain);
    return;
  }
  const auto& address = m_context.m_leads.at(domain).m_entry.m_peer_address;
  CallPeer(
      m_context.m_loop, m_context.m_peers, address, kFindPath,
      EncodeFindQuestion({.m_program = program,
                          .m_domain = m_context.m_settings.m_domain,
                          .m_blind = m_ledger.m_accounts.contains(program)}),
      kFindTimeout, [this, program, domain](const Result<std::string>& reply) {
        AfterFind(program, domain, reply.and_then(DecodeFindAnswer));
      });
}

auto LeadService::AfterFind(const ProgramId& program,
                            const DomainId& domain,
                            const Result<FindAnswer>& answer) -> void {
  if (!m_searches.contains(program)) {
    return;
  }
  if (answer && answer->m_leads) {
    AfterSearch(program, domain,
                answer->m_found ? SearchResult::kFound : SearchResult::kNone);
    return;
  }
  if (answer && answer->m_lead && m_context.TakeLead(*answer->m_lead)) {
    AskOther(program, domain);
    return;
  }
  m_silent_until[domain] = SteadyTime() + kSilentTime;
  ReadOtherLedger(program, domain);
}

auto LeadService::ReadOtherLedger(const ProgramId& program,
                                  const DomainId& domain) -> void {
  const auto known = m_other_ledgers.find(domain);
  if (known != m_other_ledgers.end() && m_fenced.contains(domain) &&
      SteadyTime() - known->second.m_read_at < kOtherLedgerAge) {
    AfterAbsence(program, domain, known->second.m_record);
    return;
  }
  if (SteadyTime() < m_no_reads_until) {
    AfterSearch(program, domain, SearchResult::kUnknown);
    return;
  }
  auto& readers = m_readers[domain];
  readers.push_back(program);
  if (readers.size() == 1) {
    GetOtherLedger(domain, kMaxFenceTries);
  }
}

auto LeadService::GetOtherLedger(const DomainId& domain, int tries) -> void {
  m_context.m_store.Get(
      ObjectKind::kLedgers, domain.value(),
      [this, domain, tries](const Result<StoredObject>& stored) {
        OnOtherLedger(domain, stored, tries);
      });
}

auto LeadService::OnOtherLedger(const DomainId& domain,
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
    EndReads(domain, std::nullopt);
    return;
  }
  if (m_fenced.contains(domain)) {
    EndReads(domain, ledger->m_record);
    return;
  }
  auto fenced = *ledger;
  ++fenced.m_fence;
  m_context.m_store.Replace(
      ObjectKind::kLedgers,
      {.m_name = domain.value(),
       .m_version = stored->m_version,
       .m_spec = EncodeStoredLedger(fenced)},
      [this, domain, tries,
       record = ledger->m_record](const Result<StoredObject>& written) {
        if (written && leading()) {
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

auto LeadService::EndReads(const DomainId& domain,
                           const std::optional<LedgerRecord>& record) -> void {
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
      AfterSearch(program, domain, SearchResult::kUnknown);
    }
  }
}

/// The other lead wasn't heard, but what it isn't known to have recorded it
/// can't record any more without a search of its own.
auto LeadService::AfterAbsence(const ProgramId& program,
                               const DomainId& domain,
                               const LedgerRecord& record) -> void {
  AfterSearch(program, domain,
              record.m_bounds.contains(program) ? SearchResult::kFound
                                                : SearchResult::kUnheard);
}

auto LeadService::AfterSearch(const ProgramId& program,
                              const DomainId& domain,
                              SearchResult result) -> void {
  if (result == SearchResult::kFound) {
    m_notes[program] = {.m_domain = domain, .m_last_used = SteadyTime()};
    for (const auto& one : EndSearch(program)) {
      one.m_answered(
          {.m_verdict = GrantVerdict::kElsewhere, .m_domain = domain});
    }
    return;
  }
  auto& search = m_searches.at(program);
  search.m_open.erase(domain);
  search.m_blind = search.m_blind || result == SearchResult::kUnknown;
  search.m_unheard = search.m_unheard || result == SearchResult::kUnheard;
  if (!search.m_open.empty()) {
    return;
  }
  const auto note = m_notes.find(program);
  if (note != m_notes.end() && !note->second.m_domain.empty()) {
    // The other one that looked for it at the same time goes on.
    const auto other = note->second.m_domain;
    for (const auto& one : EndSearch(program)) {
      one.m_answered(
          {.m_verdict = GrantVerdict::kElsewhere, .m_domain = other});
    }
    return;
  }
  const GrantConditions conditions{.m_blind = search.m_blind,
                                   .m_unheard = search.m_unheard,
                                   .m_partial = search.m_blind || RecordLost()};
  for (const auto& one : EndSearch(program)) {
    Grant(one, conditions);
  }
}

auto LeadService::EndSearch(const ProgramId& program) -> std::vector<Waiting> {
  const auto found = m_searches.find(program);
  auto waiting = std::move(found->second.m_waiting);
  m_searches.erase(found);
  return waiting;
}

// Recording.

auto LeadService::MakeLedgerObject(const LedgerRecord& record) -> StoredObject {
  return {
      .m_name = m_context.m_settings.m_domain.value(),
      .m_version = m_ledger_version,
      .m_spec = EncodeStoredLedger({.m_host = m_context.m_settings.m_host,
                                    .m_incarnation = m_context.m_incarnation,
                                    .m_write = ++m_write,
                                    .m_fence = m_fence,
                                    .m_record = record})};
}

auto LeadService::WriteJournal(TimePoint now) -> void {
  if (m_waiting.empty() || now - m_last_write < kUrgentWriteInterval) {
    return;
  }
  m_writing = true;
  m_last_write = now;
  const auto& domain = m_context.m_settings.m_domain;
  auto record = BeginRecord(m_ledger, now);
  const JournalEntry entry{
      .m_domain = domain,
      .m_claim = m_context.LeadOf(domain)->m_version,
      .m_ledger = {.m_host = m_context.m_settings.m_host,
                   .m_incarnation = m_context.m_incarnation,
                   .m_write = ++m_write,
                   .m_fence = m_fence,
                   .m_record = record}};
  m_journal.Write(entry, [this, record = std::move(record)](bool secured) {
    m_writing = false;
    if (m_phase != Phase::kActive) {
      return;
    }
    m_journal_lost = !secured;
    LogEvent(
        secured ? LogEventId::kJournalUsed : LogEventId::kJournalFailed,
        {{"step", "written"}, {"waiting", std::to_string(m_waiting.size())}});
    if (secured) {
      NoteKept(m_ledger, record);
    }
    DecideWaiting();
  });
}

auto LeadService::MaybeWrite(TimePoint now) -> void {
  if (m_phase != Phase::kActive || m_writing) {
    return;
  }
  if (m_store_lost && now < m_retry_at) {
    WriteJournal(now);
    return;
  }
  if (now < m_retry_at) {
    return;
  }
  const auto interval =
      m_waiting.empty() ? kLazyWriteInterval : kUrgentWriteInterval;
  const auto confirm = now - m_ledger.m_confirmed >= kConfirmInterval;
  const auto wanted = !m_waiting.empty() || m_ledger.m_dirty || confirm;
  const auto due = wanted && now - m_last_write >= interval;
  if (!due && !m_yielded) {
    return;
  }
  m_writing = true;
  m_last_write = now;
  PendingWrite write{.m_record = m_yielded ? BeginLastRecord(m_ledger, now)
                                           : BeginRecord(m_ledger, now),
                     .m_last = m_yielded != nullptr};
  auto object = MakeLedgerObject(write.m_record);
  m_context.m_store.Replace(
      ObjectKind::kLedgers, std::move(object),
      [this, write = std::move(write)](const Result<StoredObject>& stored) {
        m_writing = false;
        AfterWrite(write, stored);
      });
}

auto LeadService::Confirm(const PendingWrite& write, ResourceVersion version)
    -> void {
  m_ledger_version = version;
  m_store_lost = false;
  NoteRecorded(m_ledger, write.m_record);
  if (write.m_last && m_yielded) {
    FinishYield(true);
  } else if (!m_yielded) {
    DecideWaiting();
  }
}

auto LeadService::AfterWrite(const PendingWrite& write,
                             const Result<StoredObject>& stored) -> void {
  if (m_phase != Phase::kActive) {
    return;
  }
  if (stored) {
    Confirm(write, stored->m_version);
    return;
  }
  LogEvent(LogEventId::kLedgerWriteFailed,
           {{"code", std::string(ToString(stored.error().m_code))},
            {"reason", stored.error().m_message},
            {"waiting", std::to_string(m_waiting.size())}});
  m_ledger.m_dirty = true;
  if (stored.error().m_code == ErrorCode::kUnavailable) {
    LoseStore();
    return;
  }
  // It may have been done, or another lead may have written.
  CheckLedger(write);
}

auto LeadService::CheckLedger(const PendingWrite& write) -> void {
  m_writing = true;
  m_context.m_store.Get(
      ObjectKind::kLedgers, m_context.m_settings.m_domain.value(),
      [this, write](const Result<StoredObject>& stored) {
        m_writing = false;
        if (m_phase != Phase::kActive) {
          return;
        }
        if (!stored) {
          LoseStore();
          return;
        }
        const auto ledger = DecodeStoredLedger(stored->m_spec);
        if (!ledger || ledger->m_host != m_context.m_settings.m_host ||
            ledger->m_incarnation != m_context.m_incarnation) {
          BecomeIdle();
          return;
        }
        m_ledger_version = stored->m_version;
        if (ledger->m_write == m_write) {
          Confirm(write, stored->m_version);
        }
        if (ledger->m_fence != m_fence) {
          TakeFence(ledger->m_fence);
        }
      });
}

auto LeadService::TakeFence(std::int64_t fence) -> void {
  m_fence = fence;
  NoteFence(m_ledger);
  // The other lead may go on without hearing of this one's accounts.
  m_fenced.clear();
  LogEvent(LogEventId::kLedgerFenced,
           {{"domain", m_context.m_settings.m_domain.value()},
            {"fence", std::to_string(fence)}});
  if (!m_yielded) {
    DecideWaiting();
  }
}

auto LeadService::LoseStore() -> void {
  // Each time the store fails, the disk hosts are tried again.
  m_journal_lost = false;
  m_store_lost = true;
  m_retry_at = SteadyTime() + kStoreProbeInterval;
  if (m_yielded) {
    FinishYield(false);
  } else {
    DecideWaiting();
  }
}

auto LeadService::DecideWaiting() -> void {
  for (const auto& one : std::exchange(m_waiting, {})) {
    Decide(one);
  }
}

auto LeadService::AnswerLate(TimePoint now) -> void {
  const auto take_late = [now](std::vector<Waiting>& waiting) {
    const auto begin = std::partition(
        waiting.begin(), waiting.end(),
        [now](const Waiting& one) { return one.m_deadline > now; });
    std::vector<Waiting> late(begin, waiting.end());
    waiting.erase(begin, waiting.end());
    return late;
  };
  for (const auto& one : take_late(m_waiting)) {
    if (m_phase == Phase::kActive && !m_yielded) {
      Grant(one, {.m_partial = true});
    } else {
      one.m_answered({.m_verdict = GrantVerdict::kUnavailable});
    }
  }
  for (auto& [program, search] : m_searches) {
    for (const auto& one : take_late(search.m_waiting)) {
      one.m_answered({.m_verdict = GrantVerdict::kUnavailable});
    }
  }
}

auto LeadService::ForgetOld(TimePoint now) -> void {
  if (now - m_last_sweep < kSweepInterval) {
    return;
  }
  m_last_sweep = now;
  ForgetIdlePrograms(m_ledger, now);
  std::erase_if(m_notes, [this, now](const auto& item) {
    return now - item.second.m_last_used > m_ledger.m_options.m_retention;
  });
  std::erase_if(m_placed, [this, now](const auto& item) {
    const auto over = now - item.second.m_since > kMaxTurnTime;
    if (over) {
      --m_loads[item.second.m_endpoint].m_outstanding;
    }
    return over;
  });
}

auto LeadService::Tick(TimePoint now) -> void {
  AnswerLate(now);
  if (m_yielded && now > m_yield_until) {
    FinishYield(false);
  }
  if (m_phase == Phase::kAdopting && !m_writing && now >= m_retry_at) {
    Adopt();
  }
  MaybeWrite(now);
  if (leading()) {
    m_journal.Refresh(now);
  }
  ForgetOld(now);
}

}  // namespace dotterelshed
