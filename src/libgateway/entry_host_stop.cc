#include <algorithm>
#include <utility>

#include "dotterelshed/log_events.h"
#include "dotterelshed/steady_time.h"
#include "entry_host.h"

/// @file
/// Graceful shutdown of an entry host: it accepts requests for a while,
/// responds to all of them, and stops the event loop within the stop grace
/// period.

namespace dotterelshed {

namespace {

/// Time after SIGTERM in which new requests are still accepted: the load
/// balancer needs two failed readiness probes, one second apart.
constexpr Duration kLameDuckTime = std::chrono::milliseconds(2800);
/// Part of the stop grace period reserved for the exit itself.
constexpr Duration kExitMargin = std::chrono::milliseconds(300);
/// Time after kLameDuckTime to wait until leads have confirmed the settlements.
constexpr Duration kSettleTime = std::chrono::seconds(1);
/// Time before the exit at which open requests get an error response.
constexpr Duration kFinalResponseTime = std::chrono::milliseconds(300);

}  // namespace

auto EntryHost::Stop() -> void {
  if (std::exchange(m_stopping, true)) {
    return;
  }
  m_stop_started_at = SteadyTime();
  m_callers.CloseAfterAnswers();
  m_callers.SetShutdownTime(m_stop_started_at + ExitTime());
  m_lead.BeginStop();
  m_relay_service.Stop();
  LogEvent(LogEventId::kHostDraining,
           {{"open", std::to_string(m_callers.open_requests())}});
}

auto EntryHost::LameDuckTime() const -> Duration {
  return std::min(kLameDuckTime, m_context.m_settings.m_stop_grace / 2);
}

auto EntryHost::ExitTime() const -> Duration {
  return m_context.m_settings.m_stop_grace - kExitMargin;
}

auto EntryHost::ContinueStop(TimePoint now) -> void {
  const auto since = now - m_stop_started_at;
  if (since < LameDuckTime()) {
    return;
  }
  m_callers.StopListening();
  if (since > ExitTime() - kFinalResponseTime) {
    ForEachExchange(
        [](CallExchange& exchange) { exchange.RespondBeforeShutdown(); });
  }
  if (IsDrained(since) || since > ExitTime()) {
    StopLoop();
  }
}

auto EntryHost::IsDrained(Duration since_stop) const -> bool {
  const auto settled =
      m_grants.settled() || since_stop > LameDuckTime() + kSettleTime;
  // A connection without an open request may be receiving one.
  return settled && m_callers.connections() == 0 &&
         m_callers.closing_connections() == 0 && m_relay_service.open() == 0;
}

auto EntryHost::StopLoop() -> void {
  LogEvent(LogEventId::kHostStopped,
           {{"open", std::to_string(m_callers.open_requests())},
            {"closing", std::to_string(m_callers.closing_connections())},
            {"connections", std::to_string(m_callers.connections())},
            {"exit_code", "0"}});
  ForEachExchange([](CallExchange& exchange) { exchange.AbortForShutdown(); });
  m_context.m_loop.stop();
}

}  // namespace dotterelshed
