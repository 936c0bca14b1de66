#include <algorithm>
#include <chrono>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <thread>
#include <utility>

#include "completion_stream.h"
#include "dotterelshed/backend_client.h"
#include "http_exchange.h"

namespace dotterelshed {

namespace {

using SteadyClock = std::chrono::steady_clock;

constexpr auto kLongestAttempt = std::chrono::hours(1);
constexpr int kMaxFailedResumes = 3;
constexpr auto kResumePause = std::chrono::milliseconds(20);
constexpr int kHttpNotFound = 404;
constexpr int kHttpPreconditionFailed = 412;

auto DeadlineOf(const AttemptSpec& spec) -> SteadyClock::time_point {
  const auto limit =
      spec.m_timeout > Duration(0) ? spec.m_timeout : Duration(kLongestAttempt);
  return SteadyClock::now() + limit;
}

auto IsCancelled(const AttemptObserver& observer) -> bool {
  return observer.m_cancelled != nullptr && observer.m_cancelled->load();
}

auto SilenceTimeout(const AttemptSpec& spec) -> Duration {
  return spec.m_progress_timeout > Duration(0) ? spec.m_progress_timeout
                                               : Duration(kLongestAttempt);
}

/// Classifies an answer that is not a success.
auto EndOfStatus(const pvt::HttpReply& reply) -> AttemptEnd {
  if (reply.m_leaving) {
    return AttemptEnd::kLeaving;
  }
  if (reply.m_status == kHttpPreconditionFailed) {
    return AttemptEnd::kFenced;
  }
  if (reply.m_status >= 200 && reply.m_status < 300) {
    return AttemptEnd::kCompleted;
  }
  if (reply.m_status >= 400 && reply.m_status < 500) {
    return AttemptEnd::kRejected;
  }
  return AttemptEnd::kErrored;
}

/// Classifies an exchange that sent a request for the first time.
auto EndOfReply(const pvt::HttpReply& reply) -> AttemptEnd {
  switch (reply.m_end) {
    case pvt::ExchangeEnd::kAnswered:
      return EndOfStatus(reply);
    case pvt::ExchangeEnd::kNotSent:
      return AttemptEnd::kRefused;
    case pvt::ExchangeEnd::kBroken:
      return AttemptEnd::kLost;
    case pvt::ExchangeEnd::kDeadline:
      return AttemptEnd::kTimedOut;
    case pvt::ExchangeEnd::kCancelled:
      return AttemptEnd::kCancelled;
  }
  return AttemptEnd::kLost;
}

auto MessageOf(AttemptEnd end, const AttemptSpec& spec) -> std::string {
  return "endpoint " + spec.m_endpoint.m_id.value() + " at " +
         spec.m_endpoint.m_address + ": " + std::string(ToString(end));
}

/// Headers that both kinds of service get.
auto CommonHeaders(const AttemptSpec& spec)
    -> std::vector<std::pair<std::string, std::string>> {
  std::vector<std::pair<std::string, std::string>> headers = {
      {"Content-Type", "application/json"},
      {"X-Request-Id", spec.m_attempt.value()}};
  if (spec.m_key) {
    headers.emplace_back("Idempotency-Key", spec.m_key->value());
  }
  if (spec.m_fence) {
    headers.emplace_back("X-Fencing-Number",
                         std::to_string(spec.m_fence->value()));
  }
  return headers;
}

auto RunPlainAttempt(const AttemptSpec& spec, const AttemptObserver& observer)
    -> AttemptResult {
  const auto slash = spec.m_path.empty() || spec.m_path.front() != '/';
  const auto reply = pvt::Exchange({.m_address = spec.m_endpoint.m_address,
                                    .m_method = "POST",
                                    .m_path = (slash ? "/" : "") + spec.m_path,
                                    .m_headers = CommonHeaders(spec),
                                    .m_body = spec.m_body,
                                    .m_silence_timeout = kLongestAttempt,
                                    .m_deadline = DeadlineOf(spec),
                                    .m_cancelled = observer.m_cancelled});
  const auto end = EndOfReply(reply);
  return {.m_end = end,
          .m_http_status = reply.m_status,
          .m_body = reply.m_body,
          .m_message = MessageOf(end, spec)};
}

/// The caller's body, with streaming on whatever the caller asked for: only a
/// stream shows progress.
auto StreamingBody(const std::string& body) -> std::string {
  auto request = nlohmann::json::parse(body, nullptr, false);
  if (!request.is_object()) {
    return body;
  }
  request["stream"] = true;
  request["stream_options"] = {{"include_usage", true}};
  return request.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

/// One model attempt over as many connections as it takes.
class ModelAttempt {
 public:
  ModelAttempt(const AttemptSpec& spec, const AttemptObserver& observer)
      : m_spec(spec),
        m_observer(observer),
        m_stream(observer.m_on_text),
        m_deadline(DeadlineOf(spec)) {}

  auto Run() -> AttemptResult {
    auto reply = Send(FirstRequest());
    if (!m_stream.Finished() && WasDecided(reply)) {
      return Ended(reply, EndOfReply(reply));
    }
    while (!m_stream.Finished()) {
      CountFailure(reply);
      if (m_failed_resumes > kMaxFailedResumes) {
        return GivenUp(reply, AttemptEnd::kLost);
      }
      if (!PauseBeforeResume()) {
        return GivenUp(reply, EndOfStop());
      }
      reply = Send(ResumeRequest());
      if (m_stream.Finished()) {
        break;
      }
      if (reply.m_end == pvt::ExchangeEnd::kCancelled ||
          reply.m_end == pvt::ExchangeEnd::kDeadline) {
        return GivenUp(reply, EndOfReply(reply));
      }
      if (reply.m_status == kHttpNotFound) {
        return Ended(reply, AttemptEnd::kLost);
      }
    }
    return {.m_end = AttemptEnd::kCompleted,
            .m_http_status = 200,
            .m_body = m_stream.Body(),
            .m_message = "",
            .m_usage = m_stream.GetUsage()};
  }

 private:
  auto FirstRequest() -> pvt::HttpRequest {
    auto request = ResumeRequest();
    request.m_method = "POST";
    request.m_path = "/v1/chat/completions";
    request.m_body = StreamingBody(m_spec.m_body);
    request.m_headers = CommonHeaders(m_spec);
    request.m_headers.emplace_back("X-Priority",
                                   std::to_string(m_spec.m_priority));
    if (!m_spec.m_hold.empty()) {
      request.m_headers.emplace_back("X-Kv-Hold", m_spec.m_hold.value());
    }
    if (!m_spec.m_program.empty()) {
      request.m_headers.emplace_back("X-Kv-Program", m_spec.m_program.value());
    }
    return request;
  }

  auto ResumeRequest() -> pvt::HttpRequest {
    return {.m_address = m_spec.m_endpoint.m_address,
            .m_method = "GET",
            .m_path = "/v1/streams/" + m_spec.m_attempt.value() +
                      "?offset=" + std::to_string(m_stream.Offset()),
            .m_silence_timeout = SilenceTimeout(m_spec),
            .m_deadline = m_deadline,
            .m_cancelled = m_observer.m_cancelled,
            .m_on_bytes = [this](std::string_view bytes) {
              return TakeBytes(bytes);
            }};
  }

  auto Send(const pvt::HttpRequest& request) -> pvt::HttpReply {
    m_stream.Reconnect();
    m_whole.clear();
    m_looks_streamed.reset();
    auto reply = pvt::Exchange(request);
    const auto answered = reply.m_end == pvt::ExchangeEnd::kAnswered;
    if (answered && !m_whole.empty()) {
      m_stream.FeedWhole(m_whole);
    }
    return reply;
  }

  /// Engines that can't stream answer with one JSON object.
  auto TakeBytes(std::string_view bytes) -> bool {
    if (!m_looks_streamed) {
      m_looks_streamed = bytes.empty() || bytes.front() != '{';
    }
    if (*m_looks_streamed) {
      return m_stream.Feed(bytes);
    }
    m_whole += bytes;
    return true;
  }

  /// True when the first exchange leaves nothing to resume.
  static auto WasDecided(const pvt::HttpReply& reply) -> bool {
    if (reply.m_end == pvt::ExchangeEnd::kBroken) {
      return reply.m_status >= 300;
    }
    const auto success = reply.m_status >= 200 && reply.m_status < 300;
    return reply.m_end != pvt::ExchangeEnd::kAnswered || !success;
  }

  auto CountFailure(const pvt::HttpReply& reply) -> void {
    const auto success = reply.m_status >= 200 && reply.m_status < 300;
    const auto alive = success && reply.m_received > 0;
    m_failed_resumes = alive ? 0 : m_failed_resumes + 1;
  }

  /// Waits longer after each failure. False when stopped meanwhile.
  auto PauseBeforeResume() -> bool {
    const auto pause = kResumePause * (1 << m_failed_resumes);
    const auto until = SteadyClock::now() + pause;
    while (SteadyClock::now() < until) {
      if (IsCancelled(m_observer) || SteadyClock::now() >= m_deadline) {
        return false;
      }
      std::this_thread::sleep_for(kResumePause / 4);
    }
    return true;
  }

  auto EndOfStop() const -> AttemptEnd {
    return IsCancelled(m_observer) ? AttemptEnd::kCancelled
                                   : AttemptEnd::kTimedOut;
  }

  /// An end after which the engine may still be generating.
  auto GivenUp(const pvt::HttpReply& reply, AttemptEnd end) -> AttemptResult {
    (void)CancelStream(m_spec.m_endpoint, m_spec.m_attempt);
    return Ended(reply, end);
  }

  auto Ended(const pvt::HttpReply& reply, AttemptEnd end) -> AttemptResult {
    const auto stopped =
        end == AttemptEnd::kCancelled || end == AttemptEnd::kTimedOut;
    if (stopped && reply.m_end != pvt::ExchangeEnd::kNotSent) {
      (void)CancelStream(m_spec.m_endpoint, m_spec.m_attempt);
    }
    return {.m_end = end,
            .m_http_status = reply.m_status,
            .m_body = reply.m_body,
            .m_message = MessageOf(end, m_spec),
            .m_usage = m_stream.GetUsage()};
  }

  const AttemptSpec& m_spec;
  const AttemptObserver& m_observer;
  pvt::CompletionStream m_stream;
  const SteadyClock::time_point m_deadline;
  std::optional<bool> m_looks_streamed;
  std::string m_whole;
  int m_failed_resumes = 0;
};

}  // namespace

auto RunAttempt(const AttemptSpec& spec, const AttemptObserver& observer)
    -> AttemptResult {
  if (spec.m_kind == ServiceKind::kPlain) {
    return RunPlainAttempt(spec, observer);
  }
  return ModelAttempt(spec, observer).Run();
}

}  // namespace dotterelshed
