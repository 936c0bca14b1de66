#include "lead_service.h"

#include <algorithm>
#include <utility>

#include "dotterelshed/log_events.h"
#include "dotterelshed/metrics.h"
#include "dotterelshed/steady_time.h"

namespace dotterelshed {

namespace {

/// Longest time that a question waits for its answer.
constexpr Duration kAnswerTime = std::chrono::milliseconds(550);
constexpr Duration kSweepInterval = std::chrono::seconds(5);
/// Turns that never reported their end are taken for over after this time.
constexpr Duration kMaxTurnTime = std::chrono::seconds(20);

}  // namespace

LeadService::LeadService(EntryContext& context)
    : m_context(context),
      m_journal(context),
      m_search(context,
               [this](const ProgramId& program, const SearchOutcome& outcome) {
                 AfterSearch(program, outcome);
               }) {}

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
  if (HasVerifiedAccount(m_ledger, question.m_program)) {
    return true;
  }
  const auto first = m_context.m_settings.m_domain < question.m_domain;
  if (m_ledger.m_accounts.contains(question.m_program)) {
    return first || !question.m_blind;
  }
  return m_search.IsLookingFor(question.m_program) && first &&
         !question.m_blind;
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
  if (HasVerifiedAccount(m_ledger, program)) {
    Grant(waiting, {.m_allow_partial = RecordLost()});
  } else if (note != m_notes.end() && !note->second.m_domain.empty()) {
    waiting.m_answered({.m_verdict = GrantVerdict::kElsewhere,
                        .m_domain = note->second.m_domain});
  } else {
    m_searching[program].push_back(waiting);
    m_search.Start(program, m_ledger.m_accounts.contains(program));
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
  if (conditions.m_unverified) {
    waiting.m_answered({.m_verdict = GrantVerdict::kUnavailable});
  } else if (conditions.m_allow_partial) {
    // A record that is only late is no reason to replace this lead.
    waiting.m_answered({.m_verdict = RecordLost()
                                         ? GrantVerdict::kNoStore
                                         : GrantVerdict::kUnavailable});
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
            {"recorded", std::to_string(account.m_recorded_bound.value())},
            {"advance", account.m_has_advance ? "yes" : "no"},
            {"blind", conditions.m_unverified ? "yes" : "no"},
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

auto LeadService::AfterSearch(const ProgramId& program,
                              const SearchOutcome& outcome) -> void {
  auto& note = m_notes[program];
  note.m_last_used = SteadyTime();
  if (outcome.m_domain) {
    note.m_domain = *outcome.m_domain;
  }
  // The note may also name another lead that looked for it at the same time
  // and goes on.
  const auto elsewhere = note.m_domain;
  auto conditions = outcome.m_conditions;
  conditions.m_allow_partial = conditions.m_unverified || RecordLost();
  for (const auto& one : std::exchange(m_searching[program], {})) {
    if (elsewhere.empty()) {
      Grant(one, conditions);
    } else {
      one.m_answered(
          {.m_verdict = GrantVerdict::kElsewhere, .m_domain = elsewhere});
    }
  }
  m_searching.erase(program);
}

auto LeadService::DecideWaiting() -> void {
  if (m_yielded) {
    // The next lead decides them, or this one when it goes on.
    return;
  }
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
      Grant(one, {.m_allow_partial = true});
    } else {
      one.m_answered({.m_verdict = GrantVerdict::kUnavailable});
    }
  }
  for (auto& [program, searching] : m_searching) {
    for (const auto& one : take_late(searching)) {
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
