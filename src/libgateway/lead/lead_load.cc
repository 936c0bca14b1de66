#include "lead/lead_load.h"

#include <algorithm>

#include "dotterelshed/log_events.h"

namespace dotterelshed {

namespace {

constexpr Duration kLogInterval = std::chrono::seconds(1);

auto LogLoad(const LeadLoad& load, ResourceVersion term) -> void {
  LogEvent(LogEventId::kLeadLoad,
           {{"term", std::to_string(term.value())},
            {"granted", std::to_string(load.m_granted)},
            {"refused", std::to_string(load.m_refused)},
            {"late", std::to_string(load.m_late)},
            {"waiting", std::to_string(load.m_most_waiting)},
            {"tick_ms", FormatMs(load.m_longest_tick)},
            {"records", std::to_string(load.m_records)},
            {"record_ms", FormatMs(load.m_longest_record)}},
           LogWeight::kOrdinary);
}

}  // namespace

auto NoteDecision(LeadLoad& load, GrantDecision decision) -> void {
  if (decision == GrantDecision::kGranted) {
    ++load.m_granted;
  } else if (decision != GrantDecision::kNeedsRecord) {
    ++load.m_refused;
  }
}

auto NoteRecordTime(LeadLoad& load, Duration time) -> void {
  ++load.m_records;
  load.m_longest_record = std::max(load.m_longest_record, time);
}

auto NoteTick(LeadLoad& load,
              ResourceVersion term,
              std::size_t waiting,
              TimePoint now) -> void {
  if (load.m_last_tick != TimePoint()) {
    load.m_longest_tick = std::max(load.m_longest_tick, now - load.m_last_tick);
  }
  load.m_last_tick = now;
  load.m_most_waiting = std::max(load.m_most_waiting, waiting);
  if (now - load.m_since >= kLogInterval) {
    LogLoad(load, term);
    load = {.m_since = now, .m_last_tick = now};
  }
}

}  // namespace dotterelshed
