#include "relay/link_monitor.h"

#include <memory>
#include <string>

#include "dotterelshed/log_events.h"
#include "dotterelshed/steady_time.h"

namespace dotterelshed {

auto LinkMonitor::Tick(TimePoint now) -> void {
  if (IsCheckDue(m_context.m_endpoint_link, now)) {
    BeginCheck(now);
  }
}

auto LinkMonitor::BeginCheck(TimePoint now) -> void {
  const auto& directory = m_context.m_directory;
  const auto targets = CheckTargets(directory, m_context.m_settings.m_domain,
                                    m_context.RandomFraction());
  m_context.m_endpoint_link.m_checking = true;
  if (targets.empty()) {
    NoteCheck(m_context.m_endpoint_link, {}, now);
    return;
  }
  auto check = std::make_shared<Check>();
  check->m_open = static_cast<int>(targets.size());
  check->m_result.m_tried = check->m_open;
  for (const auto& id : targets) {
    const auto& entry = directory.m_entries.at(id);
    m_context.m_endpoint_connections.Connect(
        entry.m_address,
        [this, check, address = entry.m_address](
            const std::shared_ptr<ClientConnection>& connection) {
          if (connection) {
            ++check->m_result.m_connected;
            m_context.m_endpoint_connections.Release(address, connection,
                                                     std::nullopt);
          }
          if (--check->m_open == 0) {
            EndCheck(check->m_result);
          }
        });
  }
}

auto LinkMonitor::EndCheck(const LinkCheck& result) -> void {
  const auto now = SteadyTime();
  auto& link = m_context.m_endpoint_link;
  const auto unconnected = link.m_unconnected.size();
  const auto unanswered = link.m_unanswered.size();
  const auto silent = now - link.m_last_heard;
  if (!NoteCheck(link, result, now)) {
    return;
  }
  LogEvent(LogEventId::kEndpointLinksChanged,
           {{"state", link.m_lost ? "lost" : "back"},
            {"tried", std::to_string(result.m_tried)},
            {"connected", std::to_string(result.m_connected)},
            {"unconnected", std::to_string(unconnected)},
            {"unanswered", std::to_string(unanswered)},
            {"silent_ms", FormatMs(silent)}});
  if (link.m_lost) {
    ForgetOwnFailures();
  }
  m_on_change(link.m_lost);
}

auto LinkMonitor::ForgetOwnFailures() -> void {
  m_context.m_endpoint_connections.CloseAllIdle();
  ForgetOwnOutcomes(m_context.m_judgement);
  for (auto& [id, load] : m_context.m_loads) {
    ForgetFailures(load);
  }
}

}  // namespace dotterelshed
