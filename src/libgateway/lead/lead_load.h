#ifndef DOTTERELSHED_LEAD_LOAD_H_
#define DOTTERELSHED_LEAD_LOAD_H_

#include <cstddef>

#include "dotterelshed/ids.h"
#include "dotterelshed/program_ledger.h"
#include "dotterelshed/units.h"

/// @file
/// How busy a lead is: its decisions, how late its event loop is, and how long
/// its writes of the ledger take. One line of the log per second.

namespace dotterelshed {

struct LeadLoad {
  /// Start of the second that is being counted.
  TimePoint m_since;
  TimePoint m_last_tick;
  /// Longest time between two ticks of the event loop.
  Duration m_longest_tick{0};
  int m_granted = 0;
  int m_refused = 0;
  /// Turns that had waited for their full time before they were answered.
  int m_late = 0;
  /// Most turns that waited at a time.
  std::size_t m_most_waiting = 0;
  /// Confirmed writes to the store, and the time of the longest.
  int m_records = 0;
  Duration m_longest_record{0};
};

auto NoteDecision(LeadLoad& load, GrantDecision decision) -> void;
/// @param time  from the start of the write to its confirmation.
auto NoteRecordTime(LeadLoad& load, Duration time) -> void;
/// Notes a tick with @p waiting turns. Once per second, the line is logged and
/// the counts begin anew.
/// @param term  Store version of the lead's entry.
auto NoteTick(LeadLoad& load,
              ResourceVersion term,
              std::size_t waiting,
              TimePoint now) -> void;

}  // namespace dotterelshed

#endif  // DOTTERELSHED_LEAD_LOAD_H_
