#include "call_router.h"

#include <utility>

#include "answer_text.h"
#include "dotterelshed/log_events.h"
#include "dotterelshed/metrics.h"

namespace dotterelshed::pvt {

namespace {

/// Pause before a call is routed again.
constexpr Duration kRouteRetry = std::chrono::milliseconds(100);
/// A call is routed again for this long, enough for a pool to change hands.
constexpr Duration kRoutePatience = std::chrono::seconds(8);
/// Told to callers whose call can't be routed now.
constexpr Duration kRetryAfter = std::chrono::seconds(1);

/// Entries that only ask for an answer stand beside the request's own.
auto AskId(const RequestId& request) -> RequestId {
  return RequestId(request.value() + "?");
}

auto RefusalAnswer(const CallRequest& call,
                   ReasonCode reason,
                   std::string message) -> CallAnswer {
  return {.m_request = call.m_request,
          .m_program = call.m_program,
          .m_turn = call.m_turn,
          .m_outcome = OutcomeKind::kNotRun,
          .m_reason = reason,
          .m_message = std::move(message),
          .m_retry_after = kRetryAfter};
}

/// Refusals of a host that turned out not to be the one to ask.
/// Asking again is safe also where the outcome is unknown: the program's home
/// answers a turn once, and a call that runs at most once is claimed first.
auto IsMisrouted(const CallAnswer& answer) -> bool {
  const auto open = answer.m_outcome == OutcomeKind::kNotRun ||
                    answer.m_outcome == OutcomeKind::kUnknown;
  return open && (answer.m_reason == ReasonCode::kNotOwner ||
                  answer.m_reason == ReasonCode::kDraining ||
                  answer.m_reason == ReasonCode::kHomeUnreachable);
}

/// A refusal after this one may not say that the call did not run.
auto NoteUncertain(RoutedCall& routed, const CallAnswer& answer) -> void {
  routed.m_uncertain =
      routed.m_uncertain || answer.m_outcome == OutcomeKind::kUnknown;
}

auto LogAnswer(const CallAnswer& answer) -> void {
  const auto refused = answer.m_outcome != OutcomeKind::kDone;
  LogEvent(refused ? LogEventId::kCallRefused : LogEventId::kCallFinished,
           {{"request", answer.m_request.value()},
            {"outcome", std::string(ToString(answer.m_outcome))},
            {"reason", std::string(ToString(answer.m_reason))},
            {"message", answer.m_message}});
}

auto ListenOn(const RequestEntryPtr& entry,
              std::uint64_t offset,
              const CallSink& sink) -> std::function<void()> {
  const auto listener = entry->AddListener(offset, sink);
  return [entry, listener] { entry->RemoveListener(listener); };
}

}  // namespace

auto CallRouter::Submit(const CallRequest& call) -> Result<RequestEntryPtr> {
  const auto opened =
      m_services.m_requests.Open(call.m_request, call.m_content);
  if (opened.m_entry->content() != call.m_content) {
    return Fail(ErrorCode::kConflict,
                "the request id was used for another body");
  }
  if (opened.m_created) {
    const auto routed = std::make_shared<RoutedCall>(RoutedCall{
        .m_call = call, .m_entry = opened.m_entry, .m_arrived = SteadyTime()});
    Remember(routed);
    RouteNow(routed);
  }
  return opened.m_entry;
}

auto CallRouter::ServeCall(const CallRequest& call,
                           std::uint64_t offset,
                           const CallSink& sink) -> std::function<void()> {
  const auto opened =
      m_services.m_requests.Open(call.m_request, call.m_content);
  if (opened.m_entry->content() != call.m_content) {
    sink.m_on_answer(RefusalAnswer(call, ReasonCode::kBadRequest,
                                   "the request id was used for another body"));
    return {};
  }
  auto detach = ListenOn(opened.m_entry, offset, sink);
  if (opened.m_created) {
    Remember(std::make_shared<RoutedCall>(RoutedCall{.m_call = call,
                                                     .m_entry = opened.m_entry,
                                                     .m_arrived = SteadyTime(),
                                                     .m_entry_host = false}));
    if (m_services.m_core.Route(call).m_kind == Route::Kind::kLocal) {
      m_services.m_core.Post(CallArrived{call});
    } else {
      FinishLocal(RefusalAnswer(call, ReasonCode::kNotOwner,
                                "this host does not own the program's pool"));
    }
  }
  return detach;
}

auto CallRouter::Remember(const RoutedCallPtr& routed) -> void {
  const std::lock_guard lock(m_mutex);
  m_routed[routed->m_call.m_request] = routed;
}

auto CallRouter::Forget(const RequestId& request) -> RoutedCallPtr {
  const std::lock_guard lock(m_mutex);
  const auto found = m_routed.find(request);
  if (found == m_routed.end()) {
    return nullptr;
  }
  auto routed = found->second;
  m_routed.erase(found);
  return routed;
}

auto CallRouter::RouteNow(const RoutedCallPtr& routed) -> void {
  const auto route = m_services.m_core.Route(routed->m_call);
  switch (route.m_kind) {
    case Route::Kind::kLocal:
      m_services.m_core.Post(CallArrived{routed->m_call});
      return;
    case Route::Kind::kForward:
      Forward(routed, route.m_addresses.m_peer);
      return;
    case Route::Kind::kRefuse:
      break;
  }
  TryAgain(routed, RefusalAnswer(routed->m_call, route.m_reason,
                                 "the program's home can't be reached now"));
}

auto CallRouter::Forward(const RoutedCallPtr& routed,
                         const std::string& address) -> void {
  CountMetric(MetricId::kPeerForwards);
  const auto [forward, offset] = routed->m_entry->BeginForward();
  m_peers->ForwardCall(
      address, routed->m_call, offset,
      [routed, forward = forward](std::string_view text, Tokens) {
        routed->m_entry->AddForwardText(forward, text);
      },
      [this, routed](const Result<CallAnswer>& answer) {
        OnForwardDone(routed, answer);
      });
}

auto CallRouter::OnForwardDone(const RoutedCallPtr& routed,
                               const Result<CallAnswer>& answer) -> void {
  if (answer) {
    if (IsMisrouted(*answer)) {
      NoteUncertain(*routed, *answer);
      TryAgain(routed, *answer);
    } else {
      FinishRouted(routed, *answer);
    }
    return;
  }
  if (answer.error().m_code != ErrorCode::kUnavailable) {
    routed->m_uncertain = true;
  }
  TryAgain(routed, RefusalAnswer(routed->m_call, ReasonCode::kHomeUnreachable,
                                 answer.error().m_message));
}

auto CallRouter::TryAgain(const RoutedCallPtr& routed, const CallAnswer& last)
    -> void {
  const auto now = SteadyTime();
  if (now + kRouteRetry >= routed->m_call.m_deadline ||
      now >= routed->m_arrived + kRoutePatience) {
    FinishRouted(routed, last);
    return;
  }
  m_services.m_timers.After(kRouteRetry, [this, routed] { RouteNow(routed); });
}

auto CallRouter::FinishRouted(const RoutedCallPtr& routed, CallAnswer answer)
    -> void {
  if (routed->m_uncertain && answer.m_outcome == OutcomeKind::kNotRun) {
    answer.m_outcome = OutcomeKind::kUnknown;
    answer.m_message =
        "an earlier try got no answer and may have run; " + answer.m_message;
  }
  Forget(routed->m_call.m_request);
  LogAnswer(answer);
  m_services.m_requests.Finish(answer, AnswerText(answer.m_body));
}

auto CallRouter::FinishLocal(const CallAnswer& answer) -> void {
  const auto text = AnswerText(answer.m_body);
  auto ask = answer;
  ask.m_request = AskId(answer.m_request);
  m_services.m_requests.Finish(ask, text);
  if (answer.m_reason == ReasonCode::kNoRecord) {
    return;
  }
  const auto routed = Forget(answer.m_request);
  if (!routed) {
    m_services.m_requests.Finish(answer, text);
    return;
  }
  m_services.m_trace.Record(routed->m_call, answer, routed->m_arrived,
                            SteadyTime());
  if (routed->m_entry_host && IsMisrouted(answer)) {
    Remember(routed);
    NoteUncertain(*routed, answer);
    TryAgain(routed, answer);
    return;
  }
  FinishRouted(routed, answer);
}

auto CallRouter::Ask(const RequestId& request, const ProgramId& program)
    -> RequestEntryPtr {
  if (auto entry = m_services.m_requests.Find(request)) {
    return entry;
  }
  const auto ask = AskId(request);
  const auto opened = m_services.m_requests.Open(ask, Digest());
  if (!opened.m_created) {
    return opened.m_entry;
  }
  const CallRequest probe{
      .m_request = request, .m_program = program, .m_root = program};
  const auto route = m_services.m_core.Route(probe);
  if (route.m_kind == Route::Kind::kLocal) {
    m_services.m_core.Post(AnswerRequested{request, program});
  } else if (route.m_kind == Route::Kind::kForward) {
    m_peers->ForwardAsk(
        route.m_addresses.m_peer, request, program, 0,
        [entry = opened.m_entry](std::string_view text, Tokens) {
          entry->AddForwardText(0, text);
        },
        [this, ask, probe](const Result<CallAnswer>& answer) {
          auto result = answer.value_or(
              RefusalAnswer(probe, ReasonCode::kHomeUnreachable,
                            "the request's home can't be reached now"));
          result.m_request = ask;
          if (!answer) {
            result.m_outcome = OutcomeKind::kUnknown;
          }
          m_services.m_requests.Finish(result, AnswerText(result.m_body));
        });
  } else {
    auto result = RefusalAnswer(probe, route.m_reason,
                                "the request's home can't be reached now");
    result.m_request = ask;
    result.m_outcome = OutcomeKind::kUnknown;
    m_services.m_requests.Finish(result, "");
  }
  return opened.m_entry;
}

auto CallRouter::ServeAsk(const RequestId& request,
                          const ProgramId& program,
                          std::uint64_t offset,
                          const CallSink& sink) -> std::function<void()> {
  if (const auto entry = m_services.m_requests.Find(request)) {
    return ListenOn(entry, offset, sink);
  }
  const auto opened = m_services.m_requests.Open(AskId(request), Digest());
  auto detach = ListenOn(opened.m_entry, offset, sink);
  if (opened.m_created) {
    m_services.m_core.Post(AnswerRequested{request, program});
  }
  return detach;
}

auto CallRouter::EndProgram(const ProgramId& program) -> void {
  const CallRequest probe{.m_program = program, .m_root = program};
  const auto route = m_services.m_core.Route(probe);
  if (route.m_kind == Route::Kind::kLocal) {
    m_services.m_core.Post(ProgramEndRequested{program});
  } else if (route.m_kind == Route::Kind::kForward) {
    m_peers->ForwardEnd(route.m_addresses.m_peer, program);
  }
}

}  // namespace dotterelshed::pvt
