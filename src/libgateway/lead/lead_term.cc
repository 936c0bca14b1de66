#include "lead/lead_service.h"

#include <algorithm>
#include <utility>

#include "dotterelshed/log_events.h"
#include "dotterelshed/steady_time.h"
#include "peer_call.h"

/// @file
/// Term of a lead: how a host becomes lead, and how it yields to another.

namespace dotterelshed {

namespace {

/// Timeout of the last write of a yielding lead.
constexpr Duration kYieldTimeout = std::chrono::milliseconds(800);
/// A host that yielded does not claim the lead within this time.
constexpr Duration kReclaimDelay = std::chrono::milliseconds(1500);
/// Delay before the next claim after a claim failed for another reason than a
/// conflict.
constexpr Duration kClaimRetryDelay = std::chrono::milliseconds(1000);
/// Time in which a lead that a host has just learned of isn't replaced for its
/// silence: claim, ledger, journals and the first requests that waited.
constexpr Duration kStartTime = std::chrono::milliseconds(2500);
/// Time that a host leaves to larger ones before it replaces a large lead; they
/// notice the silence within the timeout of a grant request.
constexpr Duration kLargerHostTime = std::chrono::milliseconds(800);
/// A host that was out of touch within this time leaves new leads to the
/// others.
constexpr Duration kSettledTime = std::chrono::seconds(10);
constexpr Duration kStoreRetryDelay = std::chrono::milliseconds(200);
/// Timeout of an announcement to another host.
constexpr Duration kAnnounceTimeout = std::chrono::milliseconds(150);

}  // namespace

auto LeadService::IsMine(const LeadEntry& entry) const -> bool {
  return entry.m_host == m_context.m_settings.m_host &&
         entry.m_incarnation == m_context.m_incarnation;
}

auto LeadService::TakeOver(const std::optional<KnownLead>& silent) -> void {
  const auto& domain = m_context.m_settings.m_domain;
  if (m_stopping || m_phase != Phase::kIdle || SteadyTime() < m_retry_at ||
      !m_context.IsCurrentLead(domain, silent)) {
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
    OnClaimWritten(stored);
  };
  m_previous_lead = silent;
  if (!m_previous_lead) {
    m_context.m_store.Create(ObjectKind::kLeads, std::move(object), after);
    return;
  }
  object.m_version = m_previous_lead->m_version;
  m_context.m_store.Replace(ObjectKind::kLeads, object, after, kWriteTimeout);
}

auto LeadService::TakeOverSilent(const std::optional<KnownLead>& silent)
    -> void {
  const auto starts =
      m_context.IsNewLead(m_context.m_settings.m_domain, kStartTime);
  const auto patient = m_has_quotas || m_context.WasOutOfTouch(kSettledTime);
  if (silent && starts && patient) {
    LogLeadLeft(*silent, "new_lead");
  } else if (silent && LeavesToLarger(*silent)) {
    LogLeadLeft(*silent, "larger_host");
  } else {
    TakeOver(silent);
  }
}

auto LeadService::LeavesToLarger(const KnownLead& silent) -> bool {
  const auto now = SteadyTime();
  const auto same = m_silence.m_lead == silent.m_version &&
                    now - m_silence.m_last < kStartTime;
  m_silence = {.m_lead = silent.m_version,
               .m_since = same ? m_silence.m_since : now,
               .m_last = now};
  return IsMuchSmaller(m_context.m_settings.m_processor_share,
                       silent.m_entry.m_processor_share) &&
         now - m_silence.m_since < kLargerHostTime;
}

auto LeadService::LogLeadLeft(const KnownLead& silent, std::string_view reason)
    -> void {
  if (std::exchange(m_logged_left, silent.m_version) != silent.m_version) {
    LogEvent(LogEventId::kLeadLeft,
             {{"domain", silent.m_domain.value()},
              {"lead", silent.m_entry.m_host.value()},
              {"term", std::to_string(silent.m_version.value())},
              {"reason", std::string(reason)}});
  }
}

auto LeadService::OnClaimWritten(const Result<StoredObject>& stored) -> void {
  if (m_phase != Phase::kClaiming) {
    return;
  }
  if (!stored) {
    LogEvent(LogEventId::kLeadClaimFailed,
             {{"code", std::string(ToString(stored.error().m_code))},
              {"reason", stored.error().m_message}});
    BecomeIdle();
    if (stored.error().m_code != ErrorCode::kConflict) {
      m_retry_at = SteadyTime() + kClaimRetryDelay;
    }
    ReadClaim();
    return;
  }
  const auto entry = DecodeLeadEntry(stored->m_spec);
  if (!entry || !IsMine(*entry)) {
    BecomeIdle();
    return;
  }
  m_context.UpdateLead({.m_domain = m_context.m_settings.m_domain,
                        .m_entry = *entry,
                        .m_version = stored->m_version});
  BeginAdopting();
}

/// Checks whether a failed claim was applied nevertheless, or which host
/// claimed the lead before.
auto LeadService::ReadClaim() -> void {
  m_context.m_store.Get(
      ObjectKind::kLeads, m_context.m_settings.m_domain.value(),
      [this](const Result<StoredObject>& stored) {
        if (!stored) {
          // Retried when a turn needs a lead.
          return;
        }
        m_retry_at = std::min(m_retry_at, SteadyTime() + kStoreRetryDelay);
        OnLeadObject(*stored);
      });
}

auto LeadService::OnLeadObject(const StoredObject& object) -> void {
  const auto entry = DecodeLeadEntry(object.m_spec);
  if (!entry) {
    LogEvent(
        LogEventId::kLeadClaimFailed,
        {{"code", "invalid_argument"}, {"reason", entry.error().m_message}});
    return;
  }
  OnLeadUpdate({.m_domain = DomainId(object.m_name),
                .m_entry = *entry,
                .m_version = object.m_version});
}

auto LeadService::OnLeadUpdate(const KnownLead& lead) -> bool {
  if (!m_context.UpdateLead(lead)) {
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
    BeginAdopting();
  }
  return true;
}

/// If two leads start at the same time, the one that lists later finds the
/// other and announces itself before it opens an account.
auto LeadService::ListLeads() -> void {
  m_context.m_store.List(ObjectKind::kLeads,
                         [this](const Result<ObjectListing>& listing) {
                           // If the listing fails, the known leads are used.
                           if (listing && m_phase == Phase::kAnnouncing) {
                             for (const auto& object : listing->m_objects) {
                               OnLeadObject(object);
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
  std::string previous;
  if (m_previous_lead &&
      m_previous_lead->m_entry.m_host != m_context.m_settings.m_host) {
    previous = m_previous_lead->m_entry.m_peer_address;
    addresses.push_back(previous);
  }
  for (const auto& [domain, lead] : m_context.m_leads) {
    if (domain != m_context.m_settings.m_domain) {
      addresses.push_back(lead.m_entry.m_peer_address);
    }
  }
  m_pending_announcements = static_cast<int>(addresses.size()) + 1;
  const auto announcement = ++m_announcement;
  for (const auto& address : addresses) {
    CallPeer(m_context.m_loop, m_context.m_peer_connections, address, kLeadPath,
             EncodeKnownLead(*own), kAnnounceTimeout,
             [this, announcement, from_previous = address == previous](
                 const Result<std::string>& reply) {
               if (from_previous && announcement == m_announcement) {
                 OnHandover(reply);
               }
               // A host that cannot be reached cannot serve its clients either,
               // so a failure counts as done.
               OnAnnouncementDone(announcement);
             });
  }
  OnAnnouncementDone(announcement);
}

auto LeadService::MakeHandover(const KnownLead& lead) const -> std::string {
  const auto& domain = m_context.m_settings.m_domain;
  const auto newest = m_context.LeadOf(domain);
  const auto stopped = m_phase == Phase::kIdle && lead.m_domain == domain &&
                       newest && newest->m_version == lead.m_version;
  const auto quota_wait =
      m_has_quotas ? WaitAfterHandover(m_quota_sole_from, SteadyTime())
                   : std::nullopt;
  return stopped && (quota_wait || m_unrecorded)
             ? EncodeLeadHandover({.m_incarnation = m_context.m_incarnation,
                                   .m_quota_wait = quota_wait,
                                   .m_unrecorded = m_unrecorded})
             : std::string();
}

auto LeadService::OnHandover(const Result<std::string>& reply) -> void {
  const auto handover = reply.and_then(DecodeLeadHandover);
  const auto begun = m_phase == Phase::kAnnouncing || m_phase == Phase::kActive;
  if (!handover || !begun || handover->m_incarnation != m_predecessor) {
    return;
  }
  if (handover->m_quota_wait) {
    TakeQuotaHandover(*handover->m_quota_wait);
  }
  // Once this lead grants, it may have opened accounts of these programs.
  if (handover->m_unrecorded && m_phase == Phase::kAnnouncing) {
    AdoptUnrecorded(m_ledger, *handover->m_unrecorded, SteadyTime());
  }
}

auto LeadService::OnAnnouncementDone(int announcement) -> void {
  if (announcement != m_announcement || --m_pending_announcements > 0 ||
      m_phase != Phase::kAnnouncing) {
    return;
  }
  m_phase = Phase::kActive;
  m_load = {.m_since = SteadyTime()};
  LogEvent(
      LogEventId::kLeadChanged,
      {{"domain", m_context.m_settings.m_domain.value()},
       {"lead", m_context.m_settings.m_host.value()},
       {"term", std::to_string(term().value())},
       {"previous",
        m_previous_lead ? m_previous_lead->m_entry.m_host.value() : ""},
       {"programs", std::to_string(m_ledger.m_accounts.size())},
       {"advance_wait_ms", FormatMs(AdvanceWaitLeft(m_ledger, SteadyTime()))}});
  DecideWaiting();
}

auto LeadService::BecomeIdle() -> void {
  if (m_phase == Phase::kActive) {
    LogEvent(LogEventId::kLeadLost,
             {{"domain", m_context.m_settings.m_domain.value()}});
  }
  if (m_phase == Phase::kActive) {
    m_unrecorded = UnrecordedGrants(m_ledger, SteadyTime());
  }
  m_phase = Phase::kIdle;
  m_retry_at = SteadyTime() + kStoreRetryDelay;
  if (const auto callback = std::exchange(m_yield_callback, nullptr)) {
    callback(false);
  }
  m_load = {};
  m_ledger = {.m_options = m_ledger.m_options};
  m_store_lost = false;
  m_journal_lost = false;
  m_unread.reset();
  m_search.Clear();
  m_program_hints.clear();
  m_judgement.Clear();
  m_limits.Clear();
  m_loads.clear();
  m_placed_turns.clear();
  auto waiting = std::exchange(m_waiting, {});
  for (auto& [program, searching] : std::exchange(m_waiting_for_search, {})) {
    waiting.insert(waiting.end(), searching.begin(), searching.end());
  }
  for (const auto& one : waiting) {
    one.m_respond({.m_verdict = GrantVerdict::kNotLead});
  }
}

auto LeadService::Yield(std::string_view reason, YieldCallback callback)
    -> void {
  if (m_phase == Phase::kAdopting || m_phase == Phase::kAnnouncing) {
    GiveUpTakeover(reason);
    callback(true);
    return;
  }
  if (m_phase != Phase::kActive || m_yield_callback || m_store_lost) {
    callback(false);
    return;
  }
  m_yield_callback = std::move(callback);
  m_yield_reason = reason;
  m_yield_until = SteadyTime() + kYieldTimeout;
  WriteIfDue(SteadyTime());
}

auto LeadService::BeginStop() -> void {
  m_stopping = true;
  Yield("stop", [](bool /*done*/) {});
}

/// Nothing was granted in this term, so there is nothing to record.
auto LeadService::GiveUpTakeover(std::string_view reason) -> void {
  LogYielded(reason);
  BecomeIdle();
  m_retry_at = SteadyTime() + kReclaimDelay;
}

auto LeadService::LogYielded(std::string_view reason) const -> void {
  LogEvent(LogEventId::kLeadYielded,
           {{"domain", m_context.m_settings.m_domain.value()},
            {"term", std::to_string(term().value())},
            {"reason", std::string(reason)}});
}

auto LeadService::StepDown() -> bool {
  if (m_phase == Phase::kActive && m_store_lost) {
    LogYielded("store_lost");
    BecomeIdle();
    m_retry_at = SteadyTime() + kReclaimDelay;
  }
  return m_phase == Phase::kIdle;
}

auto LeadService::FinishYield(bool done) -> void {
  const auto callback = std::exchange(m_yield_callback, nullptr);
  if (done) {
    LogYielded(m_yield_reason);
    BecomeIdle();
    m_retry_at = SteadyTime() + kReclaimDelay;
  } else {
    DecideWaiting();
  }
  callback(done);
}

}  // namespace dotterelshed
