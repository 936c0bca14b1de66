#ifndef DOTTERELSHED_TRACE_H_
#define DOTTERELSHED_TRACE_H_

#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "dotterelshed/call.h"
#include "dotterelshed/error.h"
#include "dotterelshed/ids.h"
#include "dotterelshed/units.h"

/// @file
/// Traces of a pool's traffic in JSON lines format; the field "kind" gives the
/// type of each line. Traces are recorded by the daemon or made by the
/// generator and replayed by bench/. docs/design/replay.md specifies the
/// format.

namespace dotterelshed {

/// Version of the line format; the parser rejects all others.
constexpr int kTraceVersion = 1;

/// First line: the pool that the trace belongs to.
struct TraceHeader {
  int m_version = kTraceVersion;
  std::string m_name;
  int m_endpoints = 1;
  /// Requests that one engine runs concurrently.
  int m_engine_slots = 16;
  /// KV-cache capacity of one engine.
  Tokens m_kv_capacity{262144};
  /// Interval of peak demand; empty if there is none.
  Duration m_crest_begin{0};
  Duration m_crest_end{0};
};

/// A class of programs, as configured by the operators.
struct TraceClass {
  ClassId m_id;
  int m_weight = 1;
  Duration m_deadline = std::chrono::seconds(60);
};

/// One call. The calls of a program are in the order of their turns.
struct TraceCall {
  /// Arrival time since the start of the trace. Replay uses it for a root's
  /// first turn only; later turns start m_pause after the previous answer.
  Duration m_at{0};
  ProgramId m_program;
  /// Set for a sub-agent, which starts when turn m_parent_turn of its parent
  /// has ended; the parent's next turn waits for it.
  std::optional<ProgramId> m_parent;
  Turn m_parent_turn;
  Turn m_turn;
  ClassId m_class;
  ServiceId m_service;
  ModelId m_model;
  /// Whole prompt, including the program's earlier turns.
  Tokens m_prompt;
  Tokens m_generated;
  Tokens m_max_generated;
  /// Time between the program's previous answer and this call.
  Duration m_pause{0};
  bool m_repeatable = true;
  /// True if the caller marked this as the program's last call.
  bool m_last = false;
  /// True for a crashing request: every endpoint that runs it crashes.
  bool m_crashes = false;
  /// Outcome and latency when recorded; not used by replay.
  OutcomeKind m_outcome = OutcomeKind::kDone;
  Duration m_latency{0};
};

/// Slows one endpoint down from m_at for m_length.
struct TraceSlowdown {
  Duration m_at{0};
  Duration m_length{0};
  /// Index of the endpoint in the pool, from 0.
  int m_endpoint = 0;
  /// Factor by which each step takes longer.
  double m_factor = 1;
};

using TraceLine =
    std::variant<TraceHeader, TraceClass, TraceCall, TraceSlowdown>;

/// One line without a trailing newline.
auto FormatTraceLine(const TraceLine& line) -> std::string;

/// Parses one line. Unknown keys, wrong types and values out of range are
/// errors; the error's place is "<file>:<number>".
auto ParseTraceLine(std::string_view text, const std::string& file, int number)
    -> Result<TraceLine>;

/// A whole trace.
struct Trace {
  TraceHeader m_header;
  std::vector<TraceClass> m_classes;
  std::vector<TraceCall> m_calls;
  std::vector<TraceSlowdown> m_slowdowns;
};

/// Parses all lines of @p text; empty lines and lines that begin with '#' are
/// skipped. Checks that the header comes first and that the turns of each
/// program have no gaps.
auto ParseTrace(std::string_view text, const std::string& file)
    -> Result<Trace>;

/// All lines of @p trace, each with a trailing newline.
auto FormatTrace(const Trace& trace) -> std::string;

}  // namespace dotterelshed

#endif  // DOTTERELSHED_TRACE_H_
