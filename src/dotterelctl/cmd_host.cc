#include <chrono>
#include <nlohmann/json.hpp>
#include <ostream>
#include <thread>

#include "command.h"
#include "host_client.h"

namespace dotterelshed::ctl {

namespace {

using Clock = std::chrono::steady_clock;

constexpr auto kPollInterval = std::chrono::milliseconds(100);
constexpr auto kDefaultDrainWait = std::chrono::seconds(60);

/// Whether the host stopped listening before @p wait was over.
auto WaitStopped(const std::string& address, Duration wait) -> bool {
  const auto end = Clock::now() + wait;
  while (HostAnswers(address)) {
    if (Clock::now() >= end) {
      return false;
    }
    std::this_thread::sleep_for(kPollInterval);
  }
  return true;
}

}  // namespace

auto RunDump(const CommandOptions& options, const CommandOutput& output)
    -> ExitCode {
  const auto address = ResolveHost(options);
  if (!address) {
    return ReportError(address.error(), options, output);
  }
  const auto dump = GetFromHost(*address, "/admin/dump");
  if (!dump) {
    return ReportError(dump.error(), options, output);
  }
  output.m_out << *dump << "\n";
  return ExitCode::kOk;
}

auto RunDrain(const CommandOptions& options, const CommandOutput& output)
    -> ExitCode {
  const auto address = ResolveHost(options);
  if (!address) {
    return ReportError(address.error(), options, output);
  }
  const auto asked = PostToHost(*address, "/admin/drain");
  if (!asked) {
    return ReportError(asked.error(), options, output);
  }
  const auto stopped =
      WaitStopped(*address, options.m_wait.value_or(kDefaultDrainWait));
  if (options.m_json) {
    const nlohmann::ordered_json json{{"host", *address}, {"stopped", stopped}};
    output.m_out << json.dump() << "\n";
  } else {
    output.m_out << *address
                 << (stopped ? " has stopped\n"
                             : " is draining, but has not stopped yet\n");
  }
  return stopped ? ExitCode::kOk : ExitCode::kNotInForce;
}

}  // namespace dotterelshed::ctl
