#ifndef DOTTERELSHED_PROGRAM_ADMISSION_H_
#define DOTTERELSHED_PROGRAM_ADMISSION_H_

#include <optional>

#include "dotterelshed/account.h"
#include "dotterelshed/ids.h"
#include "dotterelshed/units.h"

/// @file
/// Types of the decision which programs are let in when there is more demand
/// than room, and in which order their turns run. See docs/design/admission.md.

namespace dotterelshed {

/// What one endpoint has left, as known to a lead.
struct EndpointRoom {
  EndpointId m_endpoint;
  int m_places = 0;
  /// Turns that run there or were placed and not yet reported.
  int m_taken = 0;
  /// Prompt memory, and the part that can't be given up.
  Tokens m_memory{0};
  Tokens m_memory_taken{0};
  /// Speed relative to its service; 1 is the usual.
  double m_speed = 1;
  TimePoint m_known_at;
};

/// Work that a program or a turn still causes, on an idle endpoint.
struct ExpectedWork {
  Tokens m_prompt{0};
  Tokens m_generated{0};
  int m_turns = 1;
  Duration m_tools{0};
};

/// A turn that asks for a place.
struct TurnDemand {
  RequestId m_request;
  ProgramId m_program;
  AccountId m_account;
  ServiceId m_service;
  Priority m_priority;
  /// First turn of a root program, which may be refused for lack of room.
  bool m_first = false;
  /// Came back after the time that an earlier refusal named.
  bool m_returned = false;
  /// Time by which the program must have ended.
  std::optional<TimePoint> m_finish_by;
  TimePoint m_arrived;
  ExpectedWork m_work;
};

enum class AdmissionVerdict {
  kRun,      ///< Placed now.
  kWait,     ///< Queued; runs before its deadline by the forecast.
  kRefused,  ///< Not run; m_retry_after says when there is room.
};

struct AdmissionDecision {
  AdmissionVerdict m_verdict = AdmissionVerdict::kRun;
  EndpointId m_endpoint;
  /// Forecast of the wait for a place.
  Duration m_wait{0};
  Duration m_retry_after{0};
};

}  // namespace dotterelshed

#endif  // DOTTERELSHED_PROGRAM_ADMISSION_H_
