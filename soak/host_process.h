#ifndef SOAK_HOST_PROCESS_H_
#define SOAK_HOST_PROCESS_H_

#include <sys/types.h>

#include <optional>
#include <string>
#include <utility>

#include "dotterelshed/units.h"

/// @file
/// One dotterelshed_entry as a child process; only its own id is ever
/// signalled.

namespace dotterelshed::soak {

struct HostOptions {
  std::string m_program;
  std::string m_settings_file;
  std::string m_log_file;
};

class HostProcess {
 public:
  explicit HostProcess(HostOptions options);
  ~HostProcess();
  HostProcess(const HostProcess&) = delete;
  auto operator=(const HostProcess&) -> HostProcess& = delete;

  auto Start() -> void;
  /// The program of later starts.
  auto SetProgram(std::string program) -> void {
    m_options.m_program = std::move(program);
  }
  auto Signal(int signal) -> void;
  auto running() const -> bool { return m_pid > 0; }
  /// Returns true if SIGHUP would not terminate the process: it ignores,
  /// handles or blocks the signal. False until its main function has started.
  auto handles_hangup() const -> bool;
  /// Starts of this process so far.
  auto incarnation() const -> int { return m_incarnation; }
  /// What wait says once the process has ended; empty while it runs.
  auto Reap() -> std::optional<int>;

 private:
  HostOptions m_options;
  pid_t m_pid = 0;
  int m_incarnation = 0;
};

}  // namespace dotterelshed::soak

#endif  // SOAK_HOST_PROCESS_H_
