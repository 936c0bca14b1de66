#include "stream/stream_origin_client.h"

#include <algorithm>
#include <utility>

#include "dotterelshed/account_access.h"
#include "dotterelshed/log_events.h"
#include "dotterelshed/metrics.h"
#include "dotterelshed/replica_placement.h"
#include "dotterelshed/steady_time.h"
#include "peer_call.h"

namespace dotterelshed {

namespace {

/// Disk hosts, of as many failure domains, that are told of a stream.
constexpr std::size_t kCopies = 2;
constexpr Duration kTellTimeout = std::chrono::milliseconds(500);

auto LogFind(const RequestId& attempt,
             const std::optional<SoftwareVersion>& software,
             int asked,
             int answered,
             Duration time) -> void {
  const auto* outcome = software ? "found" : "unknown";
  CountMetric(MetricId::kStreamOrigins, outcome);
  LogEvent(LogEventId::kStreamOriginSought,
           {{"resumes", Unscoped(attempt)},
            {"software", software.value_or(SoftwareVersion()).value()},
            {"outcome", outcome},
            {"asked", std::to_string(asked)},
            {"answered", std::to_string(answered)},
            {"ms", FormatMs(time)}},
           software ? LogWeight::kOrdinary : LogWeight::kUnusual);
}

}  // namespace

StreamOriginClient::StreamOriginClient(EntryContext& context,
                                       ReplicaDirectory& disk_hosts)
    : m_context(context), m_disk_hosts(disk_hosts) {}

auto StreamOriginClient::NoteBegun(const StreamBegun& begun) -> void {
  const auto now = SteadyTime();
  AddOrigin(
      m_own, begun.m_attempt,
      {.m_software = begun.m_software, .m_expires = now + begun.m_lifetime},
      now);
  auto hosts =
      ChooseReplicas(m_disk_hosts.hosts(), ProgramId(begun.m_attempt.value()),
                     m_disk_hosts.Avoided(now));
  hosts.resize(std::min(hosts.size(), kCopies));
  for (const auto& host : hosts) {
    CallPeer(m_context.m_loop, m_context.m_peer_connections, host.m_address,
             kStreamBegunPath, EncodeStreamBegun(begun), kTellTimeout,
             [](const Result<std::string>& reply) {
               CountMetric(MetricId::kStreamOriginCopies,
                           reply ? "kept" : "lost");
             });
  }
}

auto StreamOriginClient::Find(const RequestId& attempt, Respond respond)
    -> void {
  const auto now = SteadyTime();
  if (const auto own = FindOrigin(m_own, attempt, now)) {
    LogFind(attempt, own, 0, 0, Duration{0});
    respond(own);
    return;
  }
  auto find = std::make_shared<PendingFind>();
  find->m_attempt = attempt;
  find->m_respond = std::move(respond);
  find->m_since = now;
  const auto hosts = m_disk_hosts.hosts();
  find->m_asked = static_cast<int>(hosts.size());
  find->m_open = find->m_asked;
  if (hosts.empty()) {
    Finish(find, std::nullopt);
    return;
  }
  const auto body = EncodeStreamQuestion({.m_attempt = attempt});
  for (const auto& host : hosts) {
    CallPeer(m_context.m_loop, m_context.m_peer_connections, host.m_address,
             kStreamQuestionPath, body, kAskTimeout,
             [this, find](const Result<std::string>& reply) {
               OnAnswer(find, reply);
             });
  }
}

auto StreamOriginClient::OnAnswer(const std::shared_ptr<PendingFind>& find,
                                  const Result<std::string>& reply) -> void {
  --find->m_open;
  const auto answer = reply.and_then(
      [](const std::string& text) { return DecodeStreamAnswer(text); });
  find->m_answered += answer ? 1 : 0;
  if (answer && answer->m_software) {
    Finish(find, answer->m_software);
  } else if (find->m_open == 0) {
    Finish(find, std::nullopt);
  }
}

auto StreamOriginClient::Finish(const std::shared_ptr<PendingFind>& find,
                                const std::optional<SoftwareVersion>& software)
    -> void {
  const auto respond = std::exchange(find->m_respond, nullptr);
  if (!respond) {
    return;
  }
  LogFind(find->m_attempt, software, find->m_asked, find->m_answered,
          SteadyTime() - find->m_since);
  respond(software);
}

}  // namespace dotterelshed
