#include "dotterelshed/log_events.h"

#include <algorithm>
#include <array>

#include "dotterelshed/error.h"

namespace dotterelshed {

namespace {

constexpr auto kCatalogue = std::to_array<LogEventInfo>({
    {LogEventId::kHostStarted, LogLevel::kInfo, "host_started",
     "The process listens for callers and peers."},
    {LogEventId::kHostDraining, LogLevel::kInfo, "host_draining",
     "A planned stop began: no new work is taken, pools are handed over."},
    {LogEventId::kHostStopped, LogLevel::kInfo, "host_stopped",
     "The process is about to exit; its exit code is in the fields."},
    {LogEventId::kCallRefused, LogLevel::kInfo, "call_refused",
     "A call ended without being done; outcome and reason are in the fields."},
    {LogEventId::kCallFinished, LogLevel::kDebug, "call_finished",
     "A call's final event was released to its caller."},
    {LogEventId::kLeadChanged, LogLevel::kInfo, "lead_changed",
     "The failure domain has a new lead."},
    {LogEventId::kPoolChanged, LogLevel::kInfo, "pool_changed",
     "A pool has a new term, primary or copy holder."},
    {LogEventId::kHostSuspected, LogLevel::kWarning, "host_suspected",
     "A host missed its heartbeats; its roles will move."},
    {LogEventId::kStaleTermSeen, LogLevel::kWarning, "stale_term_seen",
     "A message of an old term was refused; its sender steps down."},
    {LogEventId::kHistoryMismatch, LogLevel::kWarning, "history_mismatch",
     "A caller's token does not match the stored history; refused."},
    {LogEventId::kClaimWritten, LogLevel::kDebug, "claim_written",
     "A non-idempotent call was claimed in the platform."},
    {LogEventId::kActionUnknown, LogLevel::kError, "action_unknown",
     "A claimed call has no result; a person has to look: dotterelctl "
     "actions."},
    {LogEventId::kContentQuarantined, LogLevel::kError, "content_quarantined",
     "A request's content crashed two endpoints and is refused from now on."},
    {LogEventId::kConfigInForce, LogLevel::kInfo, "config_in_force",
     "A configuration generation is in force on this host."},
    {LogEventId::kConfigRejected, LogLevel::kError, "config_rejected",
     "A configuration could not be used; the last one stays in force."},
    {LogEventId::kPlatformLost, LogLevel::kWarning, "platform_lost",
     "The platform does not answer; tables and configuration stay as they "
     "are."},
    {LogEventId::kPlatformBack, LogLevel::kInfo, "platform_back",
     "The platform answers again."},
});

}  // namespace

auto LogEventCatalogue() -> std::span<const LogEventInfo> {
  return kCatalogue;
}

auto FindLogEvent(LogEventId id) -> const LogEventInfo& {
  const auto* found =
      std::find_if(kCatalogue.begin(), kCatalogue.end(),
                   [id](const LogEventInfo& info) { return info.m_id == id; });
  DOTTERELSHED_CHECK(found != kCatalogue.end());
  return *found;
}

}  // namespace dotterelshed
