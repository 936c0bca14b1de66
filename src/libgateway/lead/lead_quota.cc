#include "dotterelshed/log_events.h"
#include "dotterelshed/quota_term.h"
#include "dotterelshed/steady_time.h"
#include "lead/lead_service.h"

/// @file
/// When a lead may grant quota tokens from its domain's share.

namespace dotterelshed {

auto LeadService::MayGrantQuotas(TimePoint now) const -> bool {
  return active() && m_quota_sole_from && m_quotas_may_resume &&
         MayGrant(m_ledger.m_confirmed_at, now);
}

auto LeadService::term() const -> ResourceVersion {
  const auto lead = m_context.LeadOf(m_context.m_settings.m_domain);
  return lead ? lead->m_version : ResourceVersion(0);
}

auto LeadService::ReadQuotaStart(const StoredLedger* stored) -> void {
  m_quota_start = {.m_first = stored == nullptr};
  m_predecessor = {};
  m_quotas_may_resume = true;
  if (stored == nullptr) {
    return;
  }
  m_predecessor = stored->m_incarnation;
  // A host has one process, so an earlier one of this host has ended.
  const auto ended =
      stored->m_quotas_stopped || stored->m_host == m_context.m_settings.m_host;
  if (ended) {
    m_quota_start.m_wait_left = stored->m_quota_wait;
  }
}

auto LeadService::SetQuotaSoleFrom(std::string_view reason, TimePoint time)
    -> void {
  m_quota_sole_from = time;
  if (m_has_quotas) {
    LogEvent(LogEventId::kQuotaShareTaken,
             {{"domain", m_context.m_settings.m_domain.value()},
              {"reason", std::string(reason)},
              {"wait_ms", FormatMs(time - SteadyTime())}});
  }
}

auto LeadService::TakeQuotaHandover(Duration wait) -> void {
  const auto until = SteadyTime() + wait;
  if (m_quota_sole_from && until < *m_quota_sole_from) {
    SetQuotaSoleFrom("handed_over", until);
  }
}

}  // namespace dotterelshed
