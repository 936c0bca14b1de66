#ifndef SOAK_PROMISES_H_
#define SOAK_PROMISES_H_

#include <map>
#include <set>
#include <string>
#include <vector>

#include "dotterelshed/units.h"

/// @file
/// What must hold whatever fails, checked from what callers and endpoints see.
/// Each function takes one observation; what is broken is kept as text.

namespace dotterelshed::soak {

enum class CallKind { kSafe, kUnsafe, kTurn };

/// A request as its caller sent it.
struct SentCall {
  std::string m_id;
  CallKind m_kind = CallKind::kSafe;
  /// Of a turn.
  std::string m_program;
};

/// What a caller got.
struct CallResult {
  /// 0 when the connection ended first.
  int m_status = 0;
  /// The answer ended as it should.
  bool m_whole = false;
  bool m_signed = false;
  std::string m_body;
  /// Events handed to the caller, of a turn.
  int m_events = 0;
  /// The connection ended while the request was on it.
  bool m_cut = false;
  /// Requests that the connection had carried before.
  int m_requests_before = 0;
  std::string m_request;
  /// Host that the request was sent to.
  std::string m_host;
};

class Promises {
 public:
  auto OnSent(const SentCall& call) -> void { m_sent[call.m_id] = call; }
  /// An endpoint begins to work on a request.
  auto OnRun(const std::string& id) -> void;
  /// @param right_body  body that the endpoint of this request makes.
  auto OnResult(const std::string& id,
                const CallResult& result,
                const std::string& right_body) -> void;
  /// Tokens that a program may be handed in all: budget and one turn's most.
  auto SetLimit(const std::string& program, int tokens) -> void {
    m_limits[program] = tokens;
  }
  /// True if an endpoint has begun to work on the request.
  auto HasRun(const std::string& id) const -> bool {
    return m_runs.contains(id);
  }
  /// Any other promise that doesn't hold.
  auto Break(const std::string& what) -> void { m_broken.push_back(what); }
  auto broken() const -> const std::vector<std::string>& { return m_broken; }

 private:
  auto CheckBody(const SentCall& call,
                 const CallResult& result,
                 const std::string& right_body) -> void;

  std::map<std::string, SentCall> m_sent;
  std::map<std::string, int> m_runs;
  /// Requests that were promised not to run.
  std::set<std::string> m_refused;
  std::map<std::string, int> m_limits;
  std::map<std::string, int> m_handed;
  std::vector<std::string> m_broken;
};

}  // namespace dotterelshed::soak

#endif  // SOAK_PROMISES_H_
