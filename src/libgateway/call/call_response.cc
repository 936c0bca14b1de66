#include "call/call_exchange.h"

#include <utility>

#include "crash/end_check.h"
#include "dotterelshed/http_status.h"
#include "dotterelshed/steady_time.h"
#include "dotterelshed/turn_record.h"
#include "judgement/judgement_log.h"

/// @file
/// Handles the responses of attempts: what is forwarded to the client, and what
/// follows when a response is lost or says that the request was not executed.

namespace dotterelshed {

namespace {

constexpr int kFirstServerError = 500;
/// Events of which the time between them shows an endpoint's speed.
constexpr int kMinEventsForSpeed = 3;
/// Bytes buffered for a slow client before reading from the endpoint is paused.
constexpr std::size_t kMaxBufferedBytes = 131072;
/// Maximum size of one event; inference engines send none that is longer.
constexpr std::size_t kMaxEventBytes = 1048576;
/// Maximum size of the events of a turn whose text is kept until it is stored.
constexpr std::size_t kMaxTurnBytes = 2097152;

/// Returns true for statuses that say that the request was not executed. Except
/// for 421 they count only if the response also has the endpoint's explicit
/// header field.
auto ClaimsNotExecuted(int status) -> bool {
  return status == kStatusTimeout || status == kStatusMisdirected ||
         status == kStatusTooMany || status == kStatusUnavailable;
}

}  // namespace

auto CallExchange::JudgeAttempt(EndpointOutcome outcome) -> void {
  ReportJudgement(NoteOutcome(m_context.m_judgement, m_context.m_directory,
                              m_attempt.m_endpoint, outcome, SteadyTime()),
                  "host");
}

/// The time between events of a stream is the endpoint's alone, whatever the
/// length of the prompt and the wait for a place.
auto CallExchange::NoteResponseSpeed() -> void {
  if (!IsSuccess(m_attempt.m_head.m_status)) {
    return;
  }
  auto time = SteadyTime() - m_attempt.m_sent_at;
  if (m_is_event_stream) {
    if (m_attempt.m_events < kMinEventsForSpeed) {
      return;
    }
    time = (m_attempt.m_last_event_at - m_attempt.m_first_event_at) /
           (m_attempt.m_events - 1);
  }
  NoteSpeed(m_context.m_judgement, m_attempt.m_endpoint, m_route.m_name, time);
}

auto CallExchange::NoteBytes() -> void {
  m_attempt.m_heard_at = SteadyTime();
  if (m_attempt.m_connection && !m_attempt.m_connection->relayed()) {
    NoteHeard(m_context.m_endpoint_link, m_attempt.m_endpoint,
              m_attempt.m_heard_at);
  }
}

auto CallExchange::OnHead(ResponseHead& head) -> HeadVerdict {
  NoteBytes();
  auto headers = ParseEndpointAnswerHeaders(head);
  if (headers.m_leaving) {
    // Valid also in a late response to an earlier request.
    m_context.m_on_leave_announced(m_attempt.m_endpoint);
  }
  if (headers.m_request.empty()) {
    if (m_attempt.m_connection->exchanges() > 1) {
      // A response without a request id on a reused connection may belong to an
      // earlier request. A refusal is skipped, since the response to this
      // request may still follow; anything else ends the connection.
      return headers.m_not_run ? HeadVerdict::kSkip : HeadVerdict::kAbort;
    }
  } else if (headers.m_request != m_headers.m_request) {
    return HeadVerdict::kSkip;
  }
  if (IsSuccess(head.m_status) && !headers.m_signed) {
    return HeadVerdict::kAbort;
  }
  m_limits.NoteAnswer({.m_endpoint = m_attempt.m_endpoint,
                       .m_request = m_headers.m_request,
                       .m_stated = headers.m_request_limit,
                       .m_sent_at = m_attempt.m_sent_at});
  const auto type = FieldText(head.m_fields, "content-type");
  m_attempt.m_resumes_stream = m_forwarding;
  if (m_forwarding && IsSuccess(head.m_status) &&
      type != m_forwarded_content_type) {
    return HeadVerdict::kAbort;
  }
  m_attempt.m_headers = std::move(headers);
  m_attempt.m_head = std::move(head);
  m_attempt.m_response_started = true;
  NoteEndpointAlive(m_context.m_crash_ledger, m_attempt.m_endpoint,
                    m_attempt.m_connection->connected_at(), SteadyTime());
  m_attempt.m_discard_response = MustDiscardResponse();
  if (!m_attempt.m_discard_response) {
    m_time_to_first_byte = SteadyTime() - m_started_at;
    BeginForwarding();
  }
  return HeadVerdict::kTake;
}

auto CallExchange::MustDiscardResponse() const -> bool {
  const auto status = m_attempt.m_head.m_status;
  const auto not_run = m_attempt.m_headers.m_not_run;
  const auto unconfirmed_claim = ClaimsNotExecuted(status) && !not_run;
  const auto retryable_error =
      status >= kFirstServerError && IsRetryable() &&
      static_cast<int>(m_may_have_run_on.size()) < m_route.m_max_attempts;
  return (not_run && status != kStatusBadRequest) || unconfirmed_claim ||
         retryable_error || (m_forwarding && !IsSuccess(status));
}

auto CallExchange::BeginForwarding() -> void {
  auto& head = m_attempt.m_head;
  NoteAnswer(m_context.m_loads[m_attempt.m_endpoint],
             SteadyTime() - m_attempt.m_sent_at);
  if (m_forwarding) {
    // A resumed stream continues under the response head of the first endpoint.
    return;
  }
  m_forwarding = true;
  m_forwarded_content_type = FieldText(head.m_fields, "content-type");
  m_is_event_stream =
      m_route.m_kind == CallKind::kStream && IsSuccess(head.m_status);
  if (m_is_event_stream) {
    NoteStreamBegun();
  }
  m_caller->BeginAnswer(head.m_status, head.m_reason,
                        EndToEndFields(head.m_fields),
                        m_is_event_stream ? std::nullopt : head.m_length);
}

auto CallExchange::OnBody(std::string_view bytes) -> void {
  NoteBytes();
  if (m_finished || m_attempt.m_discard_response) {
    return;
  }
  if (m_is_event_stream) {
    m_events.Add(bytes);
    ForwardEvents();
  } else {
    m_caller->SendBody(bytes);
  }
  const auto still_forwarding =
      !m_finished && m_attempt.m_connection != nullptr;
  if (still_forwarding && m_caller->pending_bytes() > kMaxBufferedBytes) {
    m_attempt.m_connection->SetReading(false);
    m_caller->SetDrainedHandler([weak = weak_from_this()] {
      const auto self = weak.lock();
      if (self && self->m_attempt.m_connection) {
        self->m_attempt.m_connection->SetReading(true);
      }
    });
  }
}

auto CallExchange::ForwardEvents() -> void {
  while (auto event = m_events.Next()) {
    if (m_attempt.m_resumes_stream && !event->m_id) {
      // Only numbered events can be matched to the point of interruption.
      HandleLostAttempt("event_without_id");
      return;
    }
    if (event->m_id && m_last_event_id) {
      if (*event->m_id <= *m_last_event_id) {
        continue;
      }
      if (*event->m_id > *m_last_event_id + 1) {
        AbortResponse("event_missing");
        return;
      }
    }
    const auto used = Tokens((m_events_forwarded + 1) * m_tokens_per_event);
    if (m_granted_tokens && used > *m_granted_tokens) {
      AbortResponse("grant_used_up");
      return;
    }
    if (event->m_id) {
      m_last_event_id = event->m_id;
    }
    ++m_events_forwarded;
    m_attempt.m_last_event_at = SteadyTime();
    if (++m_attempt.m_events == 1) {
      m_attempt.m_first_event_at = m_attempt.m_last_event_at;
    }
    if (KeepsHistory()) {
      m_turn_bytes += event->m_text.size();
      if (m_turn_bytes > kMaxTurnBytes) {
        AbortResponse("turn_too_long");
        return;
      }
      m_turn_text += EventData(event->m_text);
      m_turn_text += '\n';
    }
    m_caller->SendBody(event->m_text);
  }
  if (m_events.buffered_bytes() > kMaxEventBytes) {
    AbortResponse("event_too_long");
  }
}

auto CallExchange::OnResponseComplete() -> void {
  if (m_finished) {
    return;
  }
  if (!m_attempt.m_headers.m_not_run) {
    m_crash_tracker.OnServed(SteadyTime());
    const auto failed = m_attempt.m_head.m_status >= kFirstServerError;
    const auto partial = m_is_event_stream && !m_events.empty();
    JudgeAttempt(failed    ? EndpointOutcome::kFailed
                 : partial ? EndpointOutcome::kGarbled
                           : EndpointOutcome::kServed);
    NoteResponseSpeed();
  }
  if (m_attempt.m_discard_response) {
    const auto not_run = m_attempt.m_headers.m_not_run;
    const auto status = m_attempt.m_head.m_status;
    const auto reason = "status_" + std::to_string(status);
    if (not_run) {
      if (m_attempt.m_first_at_endpoint) {
        m_may_have_run_on.erase(m_attempt.m_endpoint);
      }
      m_may_have_run = m_attempt.m_may_have_run_before;
      HandleNotExecuted(reason);
    } else {
      HandleLostAttempt(reason);
    }
    return;
  }
  if (m_is_event_stream && !m_events.empty()) {
    m_events = {};
    HandleLostAttempt("partial_event");
    return;
  }
  const auto status = m_attempt.m_head.m_status;
  m_response_status = status;
  EndAttempt();
  // A stream that the caller resumed lacks the events that it already had.
  const auto whole_turn = m_is_event_stream && !m_headers.m_resume_after;
  if (KeepsHistory() && whole_turn) {
    StoreTurn();
  } else {
    EndResponse();
  }
}

auto CallExchange::EndResponse() -> void {
  m_caller->EndAnswer();
  Finish(m_response_status, "answered");
}

auto CallExchange::OnFailure(ExchangeFailure failure) -> void {
  if (m_finished) {
    return;
  }
  NoteFailure(m_context.m_loads[m_attempt.m_endpoint], SteadyTime());
  JudgeAttempt(failure == ExchangeFailure::kMalformed
                   ? EndpointOutcome::kGarbled
                   : EndpointOutcome::kLost);
  if (failure != ExchangeFailure::kMalformed) {
    ReportLostAttempt(m_attempt.m_response_started
                          ? CrashEvidence::kUnproved
                          : CrashEvidence::kConnectionLost);
    if (m_attempt.m_response_started) {
      CheckForEnd(m_context, m_attempt.m_endpoint);
    }
  }
  HandleLostAttempt(ToString(failure));
}

/// The request may have been executed, and no complete response arrived.
auto CallExchange::HandleLostAttempt(std::string_view reason) -> void {
  LogAttempt(reason, true);
  const auto endpoint = m_attempt.m_endpoint;
  EndAttempt();
  m_events = {};
  if (m_forwarding && !m_is_event_stream) {
    AbortResponse(reason);
    return;
  }
  if (!IsRetryable()) {
    RespondLocally(kStatusBadGateway, reason);
    return;
  }
  // The route limits how many endpoints may execute the request. At the limit,
  // the same endpoint is used again.
  if (static_cast<int>(m_may_have_run_on.size()) >= m_route.m_max_attempts) {
    m_next_endpoint = endpoint;
  } else {
    m_excluded.insert(endpoint);
  }
  StartNextAttempt();
}

/// The request was certainly not executed at the endpoint of the attempt.
auto CallExchange::HandleNotExecuted(std::string_view reason) -> void {
  LogAttempt(reason, false);
  m_excluded.insert(m_attempt.m_endpoint);
  EndAttempt();
  if (!m_may_have_run_on.empty() && !IsRetryable()) {
    RespondLocally(kStatusBadGateway, reason);
    return;
  }
  StartNextAttempt();
}

}  // namespace dotterelshed
