#ifndef DOTTERELSHED_LIBHOST_TRACE_RECORDER_H_
#define DOTTERELSHED_LIBHOST_TRACE_RECORDER_H_

#include <fstream>
#include <map>
#include <mutex>
#include <string>

#include "dotterelshed/call.h"

/// @file
/// Records the traffic of the pools that this host owns, for replay.

namespace dotterelshed::pvt {

/// Appends one trace line per finished call to a file; does nothing without
/// a file. See dotterelshed/trace.h for the format.
class TraceRecorder {
 public:
  /// @param file may be empty.
  explicit TraceRecorder(const std::string& file);

  auto Record(const CallRequest& call,
              const CallAnswer& answer,
              TimePoint arrived,
              TimePoint finished) -> void;

 private:
  /// Programs whose turns are followed at once; beyond it all start anew.
  static constexpr std::size_t kMaxPrograms = 10000;

  /// What was recorded of a program so far. Only model calls count as turns.
  struct Progress {
    Turn m_turn;
    TimePoint m_finished;
  };

  std::mutex m_mutex;
  std::ofstream m_out;
  TimePoint m_begin;
  bool m_started = false;
  std::map<ProgramId, Progress> m_programs;
};

}  // namespace dotterelshed::pvt

#endif  // DOTTERELSHED_LIBHOST_TRACE_RECORDER_H_
