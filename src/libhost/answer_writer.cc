#include "answer_writer.h"

#include <algorithm>
#include <nlohmann/json.hpp>

#include "answer_text.h"
#include "dotterelshed/continuation_token.h"

namespace dotterelshed::pvt {

namespace {

using Json = nlohmann::json;

constexpr int kOk = 200;
constexpr int kBadGateway = 502;
constexpr int kUnavailable = 503;

auto RetrySeconds(Duration duration) -> std::int64_t {
  const auto seconds =
      std::chrono::duration_cast<std::chrono::seconds>(duration).count();
  return std::max<std::int64_t>(1, seconds);
}

auto ReasonStatus(ReasonCode reason) -> int {
  switch (reason) {
    case ReasonCode::kBadRequest:
      return 400;
    case ReasonCode::kBudgetExceeded:
      return 402;
    case ReasonCode::kUnknownService:
    case ReasonCode::kNoRecord:
      return 404;
    case ReasonCode::kBadToken:
    case ReasonCode::kTurnOutOfOrder:
    case ReasonCode::kClaimedElsewhere:
      return 409;
    case ReasonCode::kProgramEnded:
      return 410;
    case ReasonCode::kQuarantined:
    case ReasonCode::kLoopDetected:
      return 422;
    case ReasonCode::kOverLimit:
      return 429;
    case ReasonCode::kEndpointError:
      return kBadGateway;
    case ReasonCode::kTimedOut:
      return 504;
    case ReasonCode::kNone:
    case ReasonCode::kDeadlineTooClose:
    case ReasonCode::kNotOwner:
    case ReasonCode::kNoEndpoint:
    case ReasonCode::kNoPlatform:
    case ReasonCode::kHomeUnreachable:
    case ReasonCode::kDraining:
    case ReasonCode::kKeyUnreadable:
      return kUnavailable;
  }
  return kUnavailable;
}

/// Outcome of an answer as JSON; the last event of a stream.
auto OutcomeJson(const CallAnswer& answer, std::string_view token_secret)
    -> Json {
  Json json = {{"outcome", ToString(answer.m_outcome)},
               {"reason", ToString(answer.m_reason)},
               {"request", answer.m_request.value()},
               {"program", answer.m_program.value()},
               {"turn", answer.m_turn.value()},
               {"spent", answer.m_spent.value()},
               {"remaining", answer.m_remaining.value()}};
  if (!answer.m_message.empty()) {
    json["message"] = answer.m_message;
  }
  if (answer.m_provisional) {
    json["provisional"] = true;
  }
  if (answer.m_retry_after) {
    json["retry_after_s"] = RetrySeconds(*answer.m_retry_after);
  }
  if (answer.m_token) {
    json["token"] = SignToken(*answer.m_token, token_secret);
  }
  return json;
}

auto ChunkEvent(const RequestId& request,
                std::string_view model,
                Json delta,
                Json finish_reason) -> std::string {
  const Json chunk = {{"id", request.value()},
                      {"object", "chat.completion.chunk"},
                      {"model", model},
                      {"choices",
                       {{{"index", 0},
                         {"delta", std::move(delta)},
                         {"finish_reason", std::move(finish_reason)}}}}};
  return "data: " + chunk.dump(-1, ' ', false, Json::error_handler_t::replace) +
         "\n\n";
}

/// Tool calls as a stream has them: each with its place.
auto IndexedCalls(const std::string& tool_calls) -> Json {
  auto calls = Json::parse(tool_calls);
  auto index = 0;
  for (auto& call : calls) {
    call["index"] = index++;
  }
  return calls;
}

}  // namespace

auto HttpStatus(const CallAnswer& answer) -> int {
  if (answer.m_outcome == OutcomeKind::kDone) {
    return answer.m_http_status == 0 ? kOk : answer.m_http_status;
  }
  const auto endpoint_refused =
      answer.m_outcome == OutcomeKind::kFailed && answer.m_http_status >= 400;
  if (endpoint_refused) {
    return answer.m_http_status < 500 ? answer.m_http_status : kBadGateway;
  }
  return ReasonStatus(answer.m_reason);
}

auto AnswerHeaders(const CallAnswer& answer, std::string_view token_secret)
    -> std::map<std::string, std::string> {
  std::map<std::string, std::string> headers{
      {"X-Dotterelshed-Outcome", std::string(ToString(answer.m_outcome))},
      {"X-Dotterelshed-Reason", std::string(ToString(answer.m_reason))},
      {"X-Dotterelshed-Request", answer.m_request.value()},
      {"X-Dotterelshed-Program", answer.m_program.value()},
      {"X-Dotterelshed-Turn", std::to_string(answer.m_turn.value())},
      {"X-Dotterelshed-Spent", std::to_string(answer.m_spent.value())},
      {"X-Dotterelshed-Remaining", std::to_string(answer.m_remaining.value())}};
  if (answer.m_token) {
    headers["X-Dotterelshed-Token"] = SignToken(*answer.m_token, token_secret);
  }
  if (answer.m_provisional) {
    headers["X-Dotterelshed-Provisional"] = "1";
  }
  if (answer.m_retry_after) {
    headers["Retry-After"] =
        std::to_string(RetrySeconds(*answer.m_retry_after));
  }
  return headers;
}

auto AnswerBody(const CallAnswer& answer) -> std::string {
  if (answer.m_outcome == OutcomeKind::kDone || !answer.m_body.empty()) {
    return answer.m_body;
  }
  return ErrorBody(answer.m_reason, answer.m_outcome, answer.m_message,
                   answer.m_request);
}

auto ErrorBody(ReasonCode reason,
               OutcomeKind outcome,
               std::string_view message,
               const RequestId& request) -> std::string {
  Json error = {{"type", ToString(reason)},
                {"message", message},
                {"outcome", ToString(outcome)}};
  if (!request.empty()) {
    error["request"] = request.value();
  }
  return Json{{"error", std::move(error)}}.dump(-1, ' ', false,
                                                Json::error_handler_t::replace);
}

auto CompleteUtf8Length(std::string_view text) -> std::size_t {
  constexpr std::size_t kMaxSequence = 4;
  const auto looked_at = std::min(text.size(), kMaxSequence);
  for (std::size_t back = 1; back <= looked_at; ++back) {
    const auto byte = static_cast<unsigned char>(text[text.size() - back]);
    const auto continues = (byte & 0xC0U) == 0x80U;
    if (continues) {
      continue;
    }
    const std::size_t needed = byte < 0x80U   ? 1
                               : byte < 0xE0U ? 2
                               : byte < 0xF0U ? 3
                                              : 4;
    return needed > back ? text.size() - back : text.size();
  }
  return text.size();
}

auto TextEvent(const RequestId& request,
               std::string_view model,
               std::string_view text) -> std::string {
  return ChunkEvent(request, model, {{"content", text}}, nullptr);
}

auto FinalEvents(const CallAnswer& answer,
                 std::string_view model,
                 bool diverged,
                 std::string_view token_secret) -> std::string {
  std::string events;
  const auto tool_calls = AnswerToolCalls(answer.m_body);
  if (!tool_calls.empty()) {
    events +=
        ChunkEvent(answer.m_request, model,
                   {{"tool_calls", IndexedCalls(tool_calls)}}, "tool_calls");
  } else if (answer.m_outcome == OutcomeKind::kDone) {
    events += ChunkEvent(answer.m_request, model, Json::object(), "stop");
  }
  auto outcome = OutcomeJson(answer, token_secret);
  if (diverged) {
    // The text sent so far is not the answer's beginning: read it anew with
    // GET /v1/requests/<id>.
    outcome["text_replaced"] = true;
  }
  events += "event: dotterelshed\ndata: " +
            outcome.dump(-1, ' ', false, Json::error_handler_t::replace) +
            "\n\n";
  return events + "data: [DONE]\n\n";
}

}  // namespace dotterelshed::pvt
