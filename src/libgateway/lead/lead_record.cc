#include "lead/lead_service.h"

#include <algorithm>
#include <utility>

#include "dotterelshed/log_events.h"
#include "dotterelshed/quota_term.h"
#include "dotterelshed/steady_time.h"

/// @file
/// Recording of the lead's ledger: in the store, or on disk hosts while the
/// store is not writable.

namespace dotterelshed {

namespace {

/// Minimum interval between writes while turns wait for one.
constexpr Duration kUrgentWriteInterval = std::chrono::milliseconds(80);
/// Minimum interval between writes that only raise bounds for later turns.
constexpr Duration kLazyWriteInterval = std::chrono::milliseconds(1000);
/// Interval at which a lead without changes writes to confirm that it still
/// leads.
constexpr Duration kConfirmInterval = std::chrono::seconds(4);
/// The same while there are quotas, which a lead grants only for a short time
/// after a confirmed write.
constexpr Duration kQuotaConfirmInterval = std::chrono::milliseconds(500);
/// Interval of retries after a failed write.
constexpr Duration kStoreProbeInterval = std::chrono::milliseconds(500);

}  // namespace

auto LeadService::NextLedger(const LedgerRecord& record) -> StoredLedger {
  const auto wait = WaitAfterHandover(m_quota_sole_from, SteadyTime());
  return {.m_host = m_context.m_settings.m_host,
          .m_incarnation = m_context.m_incarnation,
          .m_write = ++m_write,
          .m_fence = m_fence,
          .m_quota_wait = m_has_quotas ? wait : std::nullopt,
          .m_quotas_stopped = m_yield_callback != nullptr,
          .m_record = record,
          .m_unread = m_unread_known ? std::nullopt : m_unread};
}

auto LeadService::MakeLedgerObject(const LedgerRecord& record) -> StoredObject {
  auto ledger = NextLedger(record);
  ledger.m_journal_hosts = m_journal.NameHosts(SteadyTime());
  return {.m_name = m_context.m_settings.m_domain.value(),
          .m_version = m_ledger_version,
          .m_spec = EncodeStoredLedger(ledger)};
}

auto LeadService::IsConfirmDue(TimePoint now) const -> bool {
  const auto interval = m_has_quotas ? kQuotaConfirmInterval : kConfirmInterval;
  return now - m_ledger.m_confirmed_at >= interval;
}

auto LeadService::WriteJournal(TimePoint now) -> void {
  const auto confirm = m_has_quotas && IsConfirmDue(now);
  const auto interval =
      m_waiting.empty() ? kQuotaConfirmInterval : kUrgentWriteInterval;
  const auto due = !m_waiting.empty() || confirm;
  if (m_unread || !due || now - m_last_write < interval) {
    return;
  }
  m_writing = true;
  m_last_write = now;
  const auto& domain = m_context.m_settings.m_domain;
  auto record = BeginRecord(m_ledger, now);
  const JournalEntry entry{.m_domain = domain,
                           .m_claim = m_context.LeadOf(domain)->m_version,
                           .m_ledger = NextLedger(record)};
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
      NoteJournaled(m_ledger, record);
    }
    DecideWaiting();
  });
}

auto LeadService::WriteIfDue(TimePoint now) -> void {
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
  const auto lazy = m_has_quotas ? kQuotaConfirmInterval : kLazyWriteInterval;
  const auto interval = m_waiting.empty() ? lazy : kUrgentWriteInterval;
  const auto confirm = IsConfirmDue(now);
  const auto wanted = !m_waiting.empty() || m_ledger.m_dirty || confirm ||
                      m_journal.AreNamesOutdated(now);
  const auto due = wanted && now - m_last_write >= interval;
  if (!due && !m_yield_callback) {
    return;
  }
  m_writing = true;
  m_last_write = now;
  if (m_yield_callback) {
    // Also if the yield fails: this write may have been applied, and says that
    // nothing is granted after it, until another one has replaced it.
    m_quotas_may_resume = false;
  }
  PendingWrite write{.m_record = m_yield_callback
                                     ? BeginHandoverRecord(m_ledger, now)
                                     : BeginRecord(m_ledger, now),
                     .m_last = m_yield_callback != nullptr,
                     .m_names_unread = m_unread && !m_unread_known};
  auto object = MakeLedgerObject(write.m_record);
  m_context.m_store.Replace(
      ObjectKind::kLedgers, object,
      [this, write = std::move(write)](const Result<StoredObject>& stored) {
        m_writing = false;
        OnWriteCompleted(write, stored);
      },
      kWriteTimeout);
}

auto LeadService::OnWriteConfirmed(const PendingWrite& write,
                                   ResourceVersion version) -> void {
  m_ledger_version = version;
  m_store_lost = false;
  m_journal.NoteStored();
  if (!write.m_names_unread) {
    m_unread.reset();
  }
  m_quotas_may_resume = !write.m_last;
  NoteRecorded(m_ledger, write.m_record);
  NoteRecordTime(m_load, SteadyTime() - m_last_write);
  if (write.m_last && m_yield_callback) {
    FinishYield(true);
  } else {
    DecideWaiting();
  }
}

auto LeadService::OnWriteCompleted(const PendingWrite& write,
                                   const Result<StoredObject>& stored) -> void {
  if (m_phase != Phase::kActive) {
    return;
  }
  if (stored) {
    OnWriteConfirmed(write, stored->m_version);
    return;
  }
  LogEvent(LogEventId::kLedgerWriteFailed,
           {{"code", std::string(ToString(stored.error().m_code))},
            {"reason", stored.error().m_message},
            {"waiting", std::to_string(m_waiting.size())}});
  m_ledger.m_dirty = true;
  if (stored.error().m_code == ErrorCode::kUnavailable) {
    OnStoreLost();
    return;
  }
  // The write may have been applied, or another lead may have written.
  VerifyWrite(write);
}

auto LeadService::VerifyWrite(const PendingWrite& write) -> void {
  m_writing = true;
  m_context.m_store.Get(
      ObjectKind::kLedgers, m_context.m_settings.m_domain.value(),
      [this, write](const Result<StoredObject>& stored) {
        m_writing = false;
        if (m_phase != Phase::kActive) {
          return;
        }
        if (!stored) {
          OnStoreLost();
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
          OnWriteConfirmed(write, stored->m_version);
        }
        if (ledger->m_fence != m_fence) {
          OnFenced(ledger->m_fence);
        }
      });
}

auto LeadService::OnFenced(std::int64_t fence) -> void {
  m_fence = fence;
  NoteFence(m_ledger);
  m_search.ForgetFences();
  LogEvent(LogEventId::kLedgerFenced,
           {{"domain", m_context.m_settings.m_domain.value()},
            {"fence", std::to_string(fence)}});
  DecideWaiting();
}

auto LeadService::OnStoreLost() -> void {
  // The disk hosts are tried again after each failure of the store.
  m_journal_lost = m_unread.has_value();
  m_store_lost = true;
  m_retry_at = SteadyTime() + kStoreProbeInterval;
  if (m_yield_callback) {
    FinishYield(false);
  } else {
    DecideWaiting();
  }
}

}  // namespace dotterelshed
