#include "attempt_runner.h"

#include <utility>

#include "dotterelshed/backend_client.h"
#include "dotterelshed/metrics.h"
#include "timer_queue.h"

namespace dotterelshed::pvt {

namespace {

/// Progress is told to the core at most this often for one attempt.
constexpr Duration kProgressInterval = std::chrono::milliseconds(50);

auto Refused(std::string message) -> AttemptResult {
  return {.m_end = AttemptEnd::kRefused, .m_message = std::move(message)};
}

auto FindEndpoint(const ServiceConfig& service, const EndpointId& endpoint)
    -> const EndpointConfig* {
  for (const auto& candidate : service.m_endpoints) {
    if (candidate.m_id == endpoint) {
      return &candidate;
    }
  }
  return nullptr;
}

auto MakeSpec(const StartAttempt& start,
              const ServiceConfig& service,
              const EndpointConfig& endpoint) -> AttemptSpec {
  const auto& call = start.m_call;
  const auto left = call.m_deadline - SteadyTime();
  AttemptSpec spec{.m_attempt = start.m_attempt,
                   .m_endpoint = endpoint,
                   .m_kind = call.m_kind,
                   .m_path = call.m_path,
                   .m_body = call.m_body,
                   .m_key = call.m_key,
                   .m_program = call.m_program,
                   .m_priority = start.m_priority,
                   .m_hold = start.m_hold,
                   .m_timeout = std::min(service.m_timeout, left),
                   .m_progress_timeout = service.m_progress_timeout};
  if (service.m_checks_fencing) {
    spec.m_fence = start.m_fence;
  }
  return spec;
}

}  // namespace

auto AttemptRunner::Start(const StartAttempt& start) -> void {
  auto cancelled = std::make_shared<std::atomic<bool>>(false);
  {
    const std::lock_guard lock(m_mutex);
    m_running.emplace(start.m_attempt, cancelled);
  }
  const auto taken =
      m_workers.TryRun([this, start, cancelled] { Run(start, cancelled); });
  if (!taken) {
    Finish(start.m_attempt, Refused("no free thread"));
  }
}

auto AttemptRunner::Cancel(const AttemptId& attempt) -> void {
  const std::lock_guard lock(m_mutex);
  const auto found = m_running.find(attempt);
  if (found != m_running.end()) {
    *found->second = true;
  }
}

auto AttemptRunner::RunningCount() const -> std::size_t {
  const std::lock_guard lock(m_mutex);
  return m_running.size();
}

auto AttemptRunner::Run(const StartAttempt& start, const CancelFlag& cancelled)
    -> void {
  const auto config = m_core.Config();
  const auto service = config->m_services.find(start.m_call.m_service);
  if (service == config->m_services.end()) {
    Finish(start.m_attempt, Refused("service was removed"));
    return;
  }
  const auto* endpoint = FindEndpoint(service->second, start.m_endpoint);
  if (endpoint == nullptr) {
    Finish(start.m_attempt, Refused("endpoint was removed"));
    return;
  }
  const auto entry = m_requests.Find(start.m_call.m_request);
  auto last_progress = SteadyTime();
  const AttemptObserver observer{
      .m_on_text =
          [&](std::string_view text, Tokens generated) {
            if (entry) {
              entry->AddAttemptText(start.m_attempt, text);
            }
            const auto now = SteadyTime();
            if (now - last_progress >= kProgressInterval) {
              last_progress = now;
              m_core.Post(AttemptProgressed{start.m_attempt, generated});
            }
          },
      .m_cancelled = cancelled.get()};
  const auto begin = SteadyTime();
  if (start.m_send_by && begin > *start.m_send_by) {
    Finish(start.m_attempt, Refused("the right to send has expired"));
    return;
  }
  auto result =
      RunAttempt(MakeSpec(start, service->second, *endpoint), observer);
  ObserveMetric(MetricId::kAttemptSeconds, start.m_call.m_service.value(),
                SteadyTime() - begin);
  Finish(start.m_attempt, std::move(result));
}

auto AttemptRunner::Finish(const AttemptId& attempt, AttemptResult result)
    -> void {
  {
    const std::lock_guard lock(m_mutex);
    m_running.erase(attempt);
  }
  CountMetric(MetricId::kAttempts, ToString(result.m_end));
  m_core.Post(AttemptFinished{attempt, std::move(result)});
}

}  // namespace dotterelshed::pvt
