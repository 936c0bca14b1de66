#include "host_process.h"

#include <fcntl.h>
#include <spawn.h>
#include <sys/wait.h>
#include <csignal>

#include <array>
#include <cstdint>
#include <fstream>
#include <string>
#include <utility>

#include "dotterelshed/error.h"

namespace dotterelshed::soak {

HostProcess::HostProcess(HostOptions options) : m_options(std::move(options)) {}

HostProcess::~HostProcess() {
  if (running()) {
    Signal(SIGKILL);
    waitpid(m_pid, nullptr, 0);
  }
}

auto HostProcess::Start() -> void {
  posix_spawn_file_actions_t actions;
  posix_spawn_file_actions_init(&actions);
  constexpr int kStandardOutput = 1;
  constexpr int kFirstInherited = 3;
  constexpr int kLogMode = 0644;
  posix_spawn_file_actions_addopen(&actions, kStandardOutput,
                                   m_options.m_log_file.c_str(),
                                   O_WRONLY | O_CREAT | O_APPEND, kLogMode);
  // A connection that the child inherits would stay open after its end here.
  posix_spawn_file_actions_addclosefrom_np(&actions, kFirstInherited);
  std::string settings = "--settings";
  std::array<char*, 4> arguments{m_options.m_program.data(), settings.data(),
                                 m_options.m_settings_file.data(), nullptr};
  const auto failed = posix_spawn(&m_pid, m_options.m_program.c_str(), &actions,
                                  nullptr, arguments.data(), environ);
  posix_spawn_file_actions_destroy(&actions);
  DOTTERELSHED_CHECK(failed == 0);
  ++m_incarnation;
}

auto HostProcess::Signal(int signal) -> void {
  if (running()) {
    kill(m_pid, signal);
  }
}

auto HostProcess::handles_hangup() const -> bool {
  std::ifstream status("/proc/" + std::to_string(m_pid) + "/status");
  std::uint64_t withstood = 0;
  for (std::string line; std::getline(status, line);) {
    const auto name = line.substr(0, line.find(':'));
    if (name == "SigBlk" || name == "SigIgn" || name == "SigCgt") {
      constexpr int kHexadecimal = 16;
      withstood |=
          std::stoull(line.substr(name.size() + 1), nullptr, kHexadecimal);
    }
  }
  return (withstood >> (SIGHUP - 1) & 1U) != 0;
}

auto HostProcess::Reap() -> std::optional<int> {
  int status = 0;
  if (!running() || waitpid(m_pid, &status, WNOHANG) != m_pid) {
    return std::nullopt;
  }
  m_pid = 0;
  return status;
}

}  // namespace dotterelshed::soak
