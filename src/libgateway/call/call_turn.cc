#include "call/call_exchange.h"

#include <algorithm>
#include <utility>

#include "dotterelshed/http_status.h"
#include "dotterelshed/log_events.h"
#include "dotterelshed/metrics.h"
#include "dotterelshed/steady_time.h"

/// @file
/// What a request needs before its first attempt and after its last event: an
/// account, the history of its conversation, and tokens of its program.

namespace dotterelshed {

// Account of the caller.

auto CallExchange::CheckAccess() -> bool {
  CountAccessDecision(m_access);
  if (IsLetIn(m_access)) {
    return true;
  }
  if (m_access.m_outcome == AccessOutcome::kUnconfirmed) {
    RespondUnserved(ToString(m_access.m_outcome), kRetryAfter);
  } else {
    RespondKeyRequired(m_access.m_outcome);
  }
  return false;
}

auto CallExchange::CheckAccessAgain() -> bool {
  const auto access = DecideCallAccess(m_context, m_route, m_headers);
  if (IsLetIn(access) && ScopeOf(access) == ScopeOf(m_access)) {
    return true;
  }
  const auto waits = IsLetIn(access) ||
                     access.m_outcome == AccessOutcome::kUnconfirmed ||
                     m_may_have_run;
  if (waits) {
    // The key may belong to another account by now, whose turns, budget and
    // quota were not looked at.
    RespondUnserved(
        IsLetIn(access) ? "key_changed" : ToString(access.m_outcome),
        kRetryAfter);
  } else {
    RespondKeyRequired(access.m_outcome);
  }
  return false;
}

auto CallExchange::RespondKeyRequired(AccessOutcome outcome) -> void {
  RespondWith(kStatusUnauthorized, ToString(outcome), MakeKeyRequiredFields(),
              KeyRequiredText(outcome == AccessOutcome::kMissingKey));
}

// Software version of the stream.

auto CallExchange::TakesUpStream() const -> bool {
  return m_route.m_kind == CallKind::kStream && m_route.m_resumable &&
         m_headers.m_resume_after.has_value();
}

auto CallExchange::FindStreamOrigin() -> void {
  m_stream_origins.Find(m_ids.m_resumes,
                        [self = shared_from_this()](
                            const std::optional<SoftwareVersion>& software) {
                          self->OnStreamOrigin(software);
                        });
}

/// Endpoints don't check the version, and the caller can't see it.
auto CallExchange::OnStreamOrigin(
    const std::optional<SoftwareVersion>& software) -> void {
  if (m_finished) {
    return;
  }
  if (!software || software->empty()) {
    RespondLocally(kStatusUnavailable, "stream_origin_unknown", kRetryAfter);
    return;
  }
  m_software = *software;
  if (HasVersion(m_context.m_directory, m_service, m_software)) {
    BeginWork();
    return;
  }
  // Endpoints of the version may have joined while this host was cut off or
  // stood still.
  m_context.m_refresh_endpoints([self = shared_from_this()] {
    if (!self->m_finished) {
      self->BeginWork();
    }
  });
}

auto CallExchange::NoteStreamBegun() -> void {
  if (!m_software.empty()) {
    return;
  }
  m_software = m_attempt.m_software;
  if (m_route.m_resumable && !m_headers.m_request.empty()) {
    const auto wait = m_headers.m_deadline.value_or(m_route.m_timeout);
    m_stream_origins.NoteBegun({.m_attempt = m_ids.m_request,
                                .m_software = m_software,
                                .m_lifetime = wait + kLifetimeMargin});
  }
}

// History of the conversation.

auto CallExchange::ReadHistory() -> void {
  m_history.Read({.m_turn = *m_ids.m_previous_turn,
                  .m_program = m_ids.m_program,
                  .m_retention = m_route.m_retention},
                 [self = shared_from_this()](const HistoryReadResult& result) {
                   self->OnHistory(result);
                 });
}

auto CallExchange::OnHistory(const HistoryReadResult& result) -> void {
  if (m_finished) {
    return;
  }
  switch (result.m_outcome) {
    case HistoryOutcome::kFound:
      break;
    case HistoryOutcome::kAbsent:
      RespondLocally(kStatusNotFound, "no_such_turn");
      return;
    case HistoryOutcome::kUnknown:
      RespondLocally(kStatusUnavailable, "history_unavailable", kRetryAfter);
      return;
  }
  m_previous_text = result.m_text;
  BeginAttempts();
}

auto CallExchange::StoreTurn() -> void {
  m_storing = true;
  m_history.Store({.m_turn = m_ids.m_request,
                   .m_previous = m_ids.m_previous_turn.value_or(RequestId()),
                   .m_program = m_ids.m_program,
                   .m_text = m_turn_text,
                   .m_lifetime = m_route.m_retention + kLifetimeMargin},
                  [weak = weak_from_this()] {
                    if (const auto self = weak.lock()) {
                      self->OnTurnStored();
                    }
                  });
}

auto CallExchange::OnTurnStored() -> void {
  if (m_finished) {
    return;
  }
  const auto before = m_previous_text ? *m_previous_text : std::string();
  m_history.Remember(m_ids.m_request,
                     std::make_shared<const std::string>(before + m_turn_text));
  m_storing = false;
  EndResponse();
}

// Token budget.

auto CallExchange::RequestTurnGrant() -> void {
  TurnGrantRequest request;
  request.m_grant = {.m_program = m_ids.m_program,
                     .m_request = m_ids.m_request,
                     .m_budget = *m_headers.m_budget,
                     .m_turn_max = m_headers.m_max_tokens};
  request.m_service = m_service;
  request.m_software = m_software;
  request.m_host = SubsetHost();
  m_must_settle = true;
  m_grants.RequestTurn(
      request, [self = shared_from_this()](const TurnGrantResponse& response) {
        self->OnTurnGrant(response);
      });
}

auto CallExchange::OnTurnGrant(const TurnGrantResponse& response) -> void {
  if (response.m_verdict != GrantVerdict::kGranted) {
    m_must_settle = false;
  }
  if (m_finished) {
    // The client has disconnected, so the turn does not run.
    if (m_must_settle) {
      m_grants.Settle(
          {.m_program = m_ids.m_program, .m_request = m_ids.m_request});
    }
    return;
  }
  switch (response.m_verdict) {
    case GrantVerdict::kGranted:
      if (response.m_limit_wait > Duration{0}) {
        RespondLimited(response.m_limit_wait);
        return;
      }
      if (response.m_permitted) {
        m_permit = Permit{.m_endpoint = response.m_endpoint,
                          .m_until = SteadyTime() + kPermitTime};
      }
      m_next_endpoint = response.m_endpoint;
      m_is_probe = response.m_probe;
      m_granted_tokens = response.m_tokens;
      StartNextAttempt();
      return;
    case GrantVerdict::kBudgetSpent:
      RespondLocally(kStatusBudgetSpent, "budget_spent");
      return;
    default:
      RespondLocally(kStatusUnavailable, "no_grant", kRetryAfter);
      return;
  }
}

}  // namespace dotterelshed
