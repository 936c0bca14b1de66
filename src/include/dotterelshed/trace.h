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
/// Traces of a pool's traffic: JSON lines, one object a line, told apart by
/// their "kind". Recorded by the daemon, made by the generator, replayed by
/// bench/. The format is written down in docs/design/replay.md.

namespace dotterelshed {

/// Version of the line format; a reader refuses any other.
constexpr int kTraceVersion = 1;

/// First line: the pool that the trace belongs to.
struct TraceHeader {
  int m_version = kTraceVersion;
  std::string m_name;
  int m_endpoints = 1;
  /// Requests that one engine runs at once.
  int m_engine_slots = 16;
  /// Memory of one engine for KV prefixes.
  Tokens m_kv_capacity{262144};
  /// Span in which the demand crest lies; empty when there is none.
  Duration m_crest_begin{0};
  Duration m_crest_end{0};
};

/// A class of programs, as the operators' text had it.
struct TraceClass {
  ClassId m_id;
  int m_weight = 1;
  Duration m_deadline = std::chrono::seconds(60);
};

/// One call. The calls of a program stand in the order of their turns.
struct TraceCall {
  /// Arrival since the trace began. Replay uses it for a root's first turn;
  /// later turns follow their program's previous answer by m_pause.
  Duration m_at{0};
  ProgramId m_program;
  /// Set for a sub-agent: it starts when this turn of its parent has ended,
  /// and the parent's next turn waits for it.
  std::optional<ProgramId> m_parent;
  Turn m_parent_turn;
  Turn m_turn;
  ClassId m_class;
  ServiceId m_service;
  ModelId m_model;
  /// Whole prompt, the program's earlier turns included.
  Tokens m_prompt;
  Tokens m_generated;
  Tokens m_max_generated;
  /// Time between the program's previous answer and this call.
  Duration m_pause{0};
  bool m_repeatable = true;
  /// True when the program's last call announced itself.
  bool m_last = false;
  /// True when the content crashes every endpoint that runs it.
  bool m_crashes = false;
  /// How it went when it was recorded; replay does not use them.
  OutcomeKind m_outcome = OutcomeKind::kDone;
  Duration m_latency{0};
};

/// An endpoint is slowed from m_at on.
struct TraceSlowdown {
  Duration m_at{0};
  Duration m_length{0};
  /// Position of the endpoint in the pool, from 0.
  int m_endpoint = 0;
  /// Factor on the time of each step.
  double m_factor = 1;
};

using TraceLine =
    std::variant<TraceHeader, TraceClass, TraceCall, TraceSlowdown>;

/// One line without the newline at its end.
auto FormatTraceLine(const TraceLine& line) -> std::string;

/// Reads one line. Unknown keys, wrong types and values out of range are
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

/// Reads all lines of @p text; empty lines and lines that begin with '#' are
/// skipped. Checks that the header comes first and that turns follow each
/// other without gaps.
auto ParseTrace(std::string_view text, const std::string& file)
    -> Result<Trace>;

/// The lines of @p trace, each with a newline.
auto FormatTrace(const Trace& trace) -> std::string;

}  // namespace dotterelshed

#endif  // DOTTERELSHED_TRACE_H_
