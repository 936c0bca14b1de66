#include "lead/lead_service.h"

#include <algorithm>
#include <utility>

#include "dotterelshed/account_access.h"
#include "dotterelshed/log_events.h"
#include "dotterelshed/metrics.h"
#include "dotterelshed/steady_time.h"

namespace dotterelshed {

namespace {

/// Timeout of a grant request.
constexpr Duration kResponseTimeout = std::chrono::milliseconds(550);
constexpr Duration kSweepInterval = std::chrono::seconds(5);
/// A placed turn whose end was not reported is considered finished after this
/// time.
constexpr Duration kMaxTurnTime = std::chrono::seconds(20);

}  // namespace

LeadService::LeadService(EntryContext& context)
    : m_context(context),
      m_journal(context),
      m_search(context,
               [this](const ProgramId& program, const SearchOutcome& outcome) {
                 OnSearchCompleted(program, outcome);
               }),
      m_judgement(context),
      m_limits(context) {}

auto LeadService::SetRetention(Duration retention) -> void {
  dotterelshed::SetRetention(m_ledger, retention, SteadyTime());
}

auto LeadService::FindAccount(const FindAccountRequest& request)
    -> FindAccountResponse {
  if (!active()) {
    return {.m_lead = m_context.LeadOf(m_context.m_settings.m_domain)};
  }
  const auto claimed = ClaimsAccount(request);
  if (!claimed) {
    m_program_hints[request.m_program] = {.m_domain = request.m_domain,
                                          .m_last_used = SteadyTime()};
  }
  return {.m_leads = true,
          .m_found = claimed,
          .m_may_have_lost_advances =
              AdvanceWaitLeft(m_ledger, SteadyTime()) > Duration{0}};
}

auto LeadService::ClaimsAccount(const FindAccountRequest& request) const
    -> bool {
  if (HasVerifiedAccount(m_ledger, request.m_program)) {
    return true;
  }
  const auto first = m_context.m_settings.m_domain < request.m_domain;
  if (m_ledger.m_accounts.contains(request.m_program)) {
    return first || !request.m_unverified;
  }
  return m_search.IsSearching(request.m_program) && first &&
         !request.m_unverified;
}

// Grant requests.

auto LeadService::RequestTurn(const TurnGrantRequest& request,
                              ResponseCallback respond) -> void {
  if (m_phase == Phase::kIdle) {
    respond({.m_verdict = GrantVerdict::kNotLead,
             .m_lead = m_context.LeadOf(m_context.m_settings.m_domain)});
    return;
  }
  const WaitingTurn waiting{request, std::move(respond),
                            SteadyTime() + kResponseTimeout};
  if (m_phase != Phase::kActive) {
    m_waiting.push_back(waiting);
    return;
  }
  Decide(waiting);
}

auto LeadService::Decide(const WaitingTurn& waiting) -> void {
  const auto& program = waiting.m_request.m_grant.m_program;
  const auto hint = m_program_hints.find(program);
  if (HasVerifiedAccount(m_ledger, program)) {
    Grant(waiting, {.m_allow_partial = IsRecordingUnavailable()});
  } else if (hint != m_program_hints.end() && !hint->second.m_domain.empty()) {
    waiting.m_respond({.m_verdict = GrantVerdict::kElsewhere,
                       .m_domain = hint->second.m_domain});
  } else {
    m_waiting_for_search[program].push_back(waiting);
    m_search.Start(program, m_ledger.m_accounts.contains(program));
  }
}

auto LeadService::Grant(const WaitingTurn& waiting,
                        const GrantConditions& conditions) -> void {
  if (m_yield_callback) {
    m_waiting.push_back(waiting);
    return;
  }
  const auto now = SteadyTime();
  const auto grant =
      RequestGrant(m_ledger, waiting.m_request.m_grant, conditions, now);
  if (grant.m_decision == GrantDecision::kGranted) {
    TurnGrantResponse response{.m_verdict = GrantVerdict::kGranted,
                               .m_tokens = grant.m_tokens};
    const auto placement = PlaceTurn(waiting.m_request, response, now);
    LogDecision(waiting.m_request.m_grant, conditions, grant, placement);
    waiting.m_respond(response);
    return;
  }
  LogDecision(waiting.m_request.m_grant, conditions, grant, {});
  if (grant.m_decision == GrantDecision::kBudgetSpent) {
    waiting.m_respond({.m_verdict = GrantVerdict::kBudgetSpent});
    return;
  }
  if (grant.m_decision == GrantDecision::kUnread) {
    waiting.m_respond({.m_verdict = GrantVerdict::kUnavailable});
    return;
  }
  if (conditions.m_unverified) {
    waiting.m_respond({.m_verdict = GrantVerdict::kUnavailable});
  } else if (conditions.m_allow_partial) {
    // A delayed write alone is no reason to replace this lead.
    waiting.m_respond({.m_verdict = IsRecordingUnavailable()
                                        ? GrantVerdict::kNoStore
                                        : GrantVerdict::kUnavailable});
  } else {
    m_waiting.push_back(waiting);
    WriteIfDue(now);
  }
}

auto LeadService::LogDecision(const GrantRequest& request,
                              const GrantConditions& conditions,
                              const TurnGrant& grant,
                              const std::vector<LogField>& placement) -> void {
  CountMetric(MetricId::kTurnDecisions, ToString(grant.m_decision));
  NoteDecision(m_load, grant.m_decision);
  const auto& account = m_ledger.m_accounts.at(request.m_program);
  std::vector<LogField> fields = {
      {"request", Unscoped(request.m_request)},
      {"program", Unscoped(request.m_program)},
      {"decision", std::string(ToString(grant.m_decision))},
      {"tokens", std::to_string(grant.m_tokens.value())},
      {"budget", std::to_string(account.m_budget.value())},
      {"spent", std::to_string(account.m_spent.value())},
      {"running", std::to_string(account.m_running.size())},
      {"recorded", std::to_string(account.m_recorded_bound.value())},
      {"advance", account.m_has_advance ? "yes" : "no"},
      {"blind", conditions.m_unverified ? "yes" : "no"},
      {"store", m_store_lost ? "lost" : "reached"}};
  fields.insert(fields.end(), placement.begin(), placement.end());
  LogEvent(LogEventId::kTurnDecided, fields,
           grant.m_decision == GrantDecision::kGranted ? LogWeight::kOrdinary
                                                       : LogWeight::kUnusual);
}

auto LeadService::Settle(const std::vector<TurnSettlement>& settlements)
    -> bool {
  if (m_phase != Phase::kActive || m_yield_callback) {
    return false;
  }
  const auto now = SteadyTime();
  for (const auto& one : settlements) {
    SettleTurn(m_ledger, one.m_program, one.m_request, one.m_used, now);
    const auto placed = m_placed_turns.find(one.m_request);
    if (placed != m_placed_turns.end()) {
      --m_loads[placed->second.m_endpoint].m_outstanding;
      m_placed_turns.erase(placed);
    }
  }
  return true;
}

auto LeadService::OnSearchCompleted(const ProgramId& program,
                                    const SearchOutcome& outcome) -> void {
  auto& hint = m_program_hints[program];
  hint.m_last_used = SteadyTime();
  if (outcome.m_domain) {
    hint.m_domain = *outcome.m_domain;
  }
  // The hint may also name another lead that searched at the same time and
  // proceeds.
  const auto elsewhere = hint.m_domain;
  auto conditions = outcome.m_conditions;
  conditions.m_allow_partial =
      conditions.m_unverified || IsRecordingUnavailable();
  for (const auto& one : std::exchange(m_waiting_for_search[program], {})) {
    if (elsewhere.empty()) {
      Grant(one, conditions);
    } else {
      one.m_respond(
          {.m_verdict = GrantVerdict::kElsewhere, .m_domain = elsewhere});
    }
  }
  m_waiting_for_search.erase(program);
}

auto LeadService::DecideWaiting() -> void {
  if (m_yield_callback) {
    // Decided by the next lead, or by this one if it does not yield after all.
    return;
  }
  for (const auto& one : std::exchange(m_waiting, {})) {
    Decide(one);
  }
}

auto LeadService::AnswerExpired(TimePoint now) -> void {
  const auto take_late = [now](std::vector<WaitingTurn>& waiting) {
    const auto begin = std::partition(
        waiting.begin(), waiting.end(),
        [now](const WaitingTurn& one) { return one.m_deadline > now; });
    std::vector<WaitingTurn> late(begin, waiting.end());
    waiting.erase(begin, waiting.end());
    return late;
  };
  for (const auto& one : take_late(m_waiting)) {
    AnswerLate(one, m_phase == Phase::kActive && !m_yield_callback);
  }
  for (auto& [program, searching] : m_waiting_for_search) {
    for (const auto& one : take_late(searching)) {
      AnswerLate(one, false);
    }
  }
}

/// A partial grant cuts the answer of a turn that needs more. It is the last
/// resort while the record can be written, which usually takes less time than a
/// second request may wait.
auto LeadService::AnswerLate(const WaitingTurn& waiting, bool decidable)
    -> void {
  ++m_load.m_late;
  if (waiting.m_request.m_may_retry && !m_store_lost) {
    waiting.m_respond({.m_verdict = GrantVerdict::kRetry});
  } else if (decidable) {
    Grant(waiting, {.m_allow_partial = true});
  } else {
    waiting.m_respond({.m_verdict = GrantVerdict::kUnavailable});
  }
}

auto LeadService::RemoveExpired(TimePoint now) -> void {
  if (now - m_last_sweep < kSweepInterval) {
    return;
  }
  m_last_sweep = now;
  ForgetIdlePrograms(m_ledger, now);
  std::erase_if(m_program_hints, [this, now](const auto& item) {
    return now - item.second.m_last_used > m_ledger.m_options.m_retention;
  });
  std::erase_if(m_placed_turns, [this, now](const auto& item) {
    const auto over = now - item.second.m_since > kMaxTurnTime;
    if (over) {
      --m_loads[item.second.m_endpoint].m_outstanding;
    }
    return over;
  });
}

auto LeadService::Tick(TimePoint now) -> void {
  AnswerExpired(now);
  if (m_yield_callback && now > m_yield_until) {
    FinishYield(false);
  }
  if (m_phase == Phase::kAdopting && !m_writing && now >= m_retry_at) {
    Adopt();
  }
  WriteIfDue(now);
  ReadUnread(now);
  if (leading()) {
    NoteTick(m_load, term(), m_waiting.size(), now);
    m_journal.Tick(now);
    m_judgement.Tick(now);
    m_limits.Tick(now);
  }
  RemoveExpired(now);
}

}  // namespace dotterelshed
