#ifndef SOAK_CALLERS_H_
#define SOAK_CALLERS_H_

#include <functional>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "dotterelshed/http_client.h"
#include "promises.h"

/// @file
/// Callers of the soak: each runs one program after the other, turns with calls
/// of the plain service between them, over connections that it keeps using
/// until they end.

namespace dotterelshed::soak {

/// Where callers reach a host.
struct Door {
  std::string m_host;
  std::string m_domain;
  TcpAddress m_address;
};

struct CallerOptions {
  /// Reuses a connection for as long as the host permits, and pauses sometimes.
  bool m_keeps_connections = false;
};

/// What a caller got, for the world's own checks.
using OnCallEnded = std::function<void(const CallResult&)>;

class Caller : public std::enable_shared_from_this<Caller> {
 public:
  Caller(EventLoop& loop,
         Promises& promises,
         const std::vector<Door>& doors,
         std::string name,
         std::string domain,
         unsigned seed,
         CallerOptions options,
         OnCallEnded ended);

  auto Start() -> void { BeginProgram(); }
  auto Stop() -> void { m_stopped = true; }

 private:
  struct Open;

  auto BeginProgram() -> void;
  auto Next() -> void;
  auto Send(CallKind kind, int tries) -> void;
  auto Exchange(const std::shared_ptr<Open>& call) -> void;
  auto Finish(const std::shared_ptr<Open>& call) -> void;
  auto PickDoor() -> const Door&;
  /// True if the kept connection may be used for one more request.
  auto MayUseKept() const -> bool;
  /// Time before the next call of the program.
  auto DrawPause() -> Duration;

  EventLoop& m_loop;
  Promises& m_promises;
  const std::vector<Door>& m_doors;
  std::string m_name;
  std::string m_domain;
  std::mt19937 m_random;
  CallerOptions m_options;
  OnCallEnded m_ended;
  std::shared_ptr<ClientConnection> m_kept;
  std::string m_kept_host;
  TimePoint m_kept_until = TimePoint::max();
  std::string m_program;
  int m_budget = 0;
  int m_steps_left = 0;
  int m_programs = 0;
  int m_calls = 0;
  bool m_stopped = false;
};

}  // namespace dotterelshed::soak

#endif  // SOAK_CALLERS_H_
