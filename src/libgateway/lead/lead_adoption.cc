#include "lead/lead_service.h"

#include <utility>

#include "dotterelshed/log_events.h"
#include "dotterelshed/steady_time.h"

/// @file
/// How a new lead takes over the ledger: from the store, and from the disk
/// hosts, where its predecessor may have kept a newer one.

namespace dotterelshed {

namespace {

/// Maximum wait for disk hosts that may hold the ledger; they restart in about
/// one second.
constexpr Duration kMaxJournalWait = std::chrono::milliseconds(2000);
/// Interval of reads of disk hosts that didn't respond when the lead took over.
constexpr Duration kUnreadInterval = std::chrono::milliseconds(1000);
/// Delay before the next read or write after one that failed.
constexpr Duration kStoreRetryDelay = std::chrono::milliseconds(200);

}  // namespace

auto LeadService::BeginAdopting() -> void {
  m_phase = Phase::kAdopting;
  m_adopting_since = SteadyTime();
  m_quota_sole_from.reset();
  m_unrecorded.reset();
  m_journal.BeginTerm();
  Adopt();
}

auto LeadService::Adopt() -> void {
  m_writing = true;
  m_context.m_store.Get(ObjectKind::kLedgers,
                        m_context.m_settings.m_domain.value(),
                        [this](const Result<StoredObject>& stored) {
                          m_writing = false;
                          OnAdoptRead(stored);
                        });
}

auto LeadService::OnAdoptRead(const Result<StoredObject>& stored) -> void {
  if (m_phase != Phase::kAdopting) {
    return;
  }
  const auto now = SteadyTime();
  if (!stored) {
    if (stored.error().m_code != ErrorCode::kNotFound) {
      m_retry_at = now + kStoreRetryDelay;
      return;
    }
    m_ledger_version = ResourceVersion(0);
    m_fence = 0;
    ReadQuotaStart(nullptr);
    // No earlier lead can have given advances. The first leads of the domains
    // may not know of each other yet.
    StoredLedger first;
    first.m_record.m_advance_wait = m_ledger.m_options.m_advance_lease;
    AdoptJournal(first);
    return;
  }
  const auto ledger = DecodeStoredLedger(stored->m_spec);
  if (!ledger) {
    LogEvent(
        LogEventId::kLeadClaimFailed,
        {{"code", "invalid_argument"}, {"reason", ledger.error().m_message}});
    m_retry_at = now + kStoreRetryDelay;
    return;
  }
  m_ledger_version = stored->m_version;
  m_fence = ledger->m_fence;
  ReadQuotaStart(&*ledger);
  AdoptJournal(*ledger);
}

/// Merges the journal, since the previous lead may have recorded grants there
/// while the store was not writable.
auto LeadService::AdoptJournal(const StoredLedger& stored) -> void {
  const auto& domain = m_context.m_settings.m_domain;
  m_unread = stored.m_unread.value_or(
      LedgerPosition{.m_incarnation = stored.m_incarnation,
                     .m_write = stored.m_write,
                     .m_journal_hosts = stored.m_journal_hosts});
  m_unread_known = false;
  m_writing = true;
  m_journal.Read(domain, m_context.LeadOf(domain)->m_version, *m_unread,
                 [this, stored](const JournalReadResult& result) {
                   m_writing = false;
                   if (m_phase == Phase::kAdopting) {
                     OnJournalRead(stored, result);
                   }
                 });
}

auto LeadService::OnJournalRead(const StoredLedger& stored,
                                const JournalReadResult& result) -> void {
  const auto now = SteadyTime();
  // Journals count only for accounts that the store has.
  const auto complete = result.m_complete || stored.m_record.m_bounds.empty();
  if (!complete && now - m_adopting_since < kMaxJournalWait) {
    m_retry_at = now + kStoreRetryDelay;
    return;
  }
  auto record = stored.m_record;
  if (const auto& entry = result.m_newest) {
    RaiseBounds(record, entry->m_ledger.m_record);
    LogEvent(LogEventId::kJournalUsed,
             {{"step", "taken_over"},
              {"write", std::to_string(entry->m_ledger.m_write)}});
  }
  m_quota_start.m_fenced = result.m_complete;
  AdoptRecord(m_ledger, record, now);
  if (complete) {
    m_unread.reset();
  } else {
    NoteUnread(m_ledger);
    m_next_unread_read = now + kUnreadInterval;
    LogEvent(LogEventId::kJournalFailed,
             {{"step", "unread"},
              {"write", std::to_string(m_unread->m_write)},
              {"programs", std::to_string(record.m_bounds.size())}});
  }
  WriteAdopted();
}

auto LeadService::ReadUnread(TimePoint now) -> void {
  if (m_phase != Phase::kActive || !m_unread || m_unread_known ||
      m_reading_unread || now < m_next_unread_read) {
    return;
  }
  const auto& domain = m_context.m_settings.m_domain;
  const auto claim = m_context.LeadOf(domain)->m_version;
  m_reading_unread = true;
  m_next_unread_read = now + kUnreadInterval;
  m_journal.Read(domain, claim, *m_unread,
                 [this, domain, claim](const JournalReadResult& result) {
                   m_reading_unread = false;
                   const auto lead = m_context.LeadOf(domain);
                   const auto same_term = m_phase == Phase::kActive && lead &&
                                          lead->m_version == claim;
                   if (same_term && result.m_complete) {
                     OnUnreadRead(result);
                   }
                 });
}

auto LeadService::OnUnreadRead(const JournalReadResult& result) -> void {
  const auto& entry = result.m_newest;
  m_unread_known = true;
  NoteRead(m_ledger, entry ? entry->m_ledger.m_record : LedgerRecord());
  LogEvent(LogEventId::kJournalUsed,
           {{"step", "read"},
            {"write", std::to_string(entry ? entry->m_ledger.m_write : 0)}});
}

auto LeadService::WriteAdopted() -> void {
  m_writing = true;
  auto object = MakeLedgerObject(BeginRecord(m_ledger, SteadyTime()));
  const auto after = [this](const Result<StoredObject>& stored) {
    m_writing = false;
    OnAdoptWritten(stored);
  };
  if (m_ledger_version == ResourceVersion(0)) {
    m_context.m_store.Create(ObjectKind::kLedgers, std::move(object), after);
  } else {
    m_context.m_store.Replace(ObjectKind::kLedgers, object, after,
                              kWriteTimeout);
  }
}

auto LeadService::OnAdoptWritten(const Result<StoredObject>& stored) -> void {
  if (m_phase != Phase::kAdopting) {
    return;
  }
  const auto now = SteadyTime();
  if (!stored) {
    // Read again, since another lead may have written, or this write may have
    // been applied.
    m_retry_at = now + kStoreRetryDelay;
    return;
  }
  m_ledger_version = stored->m_version;
  m_last_write = now;
  m_journal.NoteStored();
  m_phase = Phase::kAnnouncing;
  SetQuotaSoleFrom("taken_over", SoleFrom(m_quota_start, now));
  ListLeads();
}

}  // namespace dotterelshed
