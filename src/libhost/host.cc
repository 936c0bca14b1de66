#include "dotterelshed/host.h"

#include <pthread.h>

#include <atomic>
#include <csignal>
#include <cstdio>
#include <string>

#include "dotterelshed/log_events.h"
#include "host_process.h"

namespace dotterelshed {

namespace {

/// Wakes the main thread from within the process.
constexpr int kWakeSignal = SIGALRM;

/// Blocks the signals that the main thread waits for, in all threads.
auto BlockSignals() -> sigset_t {
  sigset_t signals;
  sigemptyset(&signals);
  for (const auto signal : {SIGTERM, SIGINT, SIGUSR1, kWakeSignal}) {
    sigaddset(&signals, signal);
  }
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  std::signal(SIGPIPE, SIG_IGN);
  return signals;
}

auto LogStopped(HostExit code) -> HostExit {
  LogEvent(LogEventId::kHostStopped,
           {{"exit_code", std::to_string(static_cast<int>(code))}});
  FlushLog();
  return code;
}

auto PrintDump(pvt::HostProcess& host) -> void {
  const auto dump = host.Dump();
  std::fwrite(dump.data(), 1, dump.size(), stdout);
  std::fflush(stdout);
}

}  // namespace

auto RunHost(const Settings& settings) -> HostExit {
  const auto signals = BlockSignals();
  const auto main_thread = pthread_self();
  std::atomic<bool> stopped = false;
  std::atomic<bool> clean = false;
  pvt::HostProcess host(settings);
  host.SetOnStopped([&](bool was_clean) {
    clean = was_clean;
    stopped = true;
    pthread_kill(main_thread, kWakeSignal);
  });
  const auto started = host.Start();
  if (!started) {
    std::fprintf(stderr, "dotterelshed: %s: %s\n",
                 started.error().m_place.c_str(),
                 started.error().m_message.c_str());
    return LogStopped(HostExit::kNotStarted);
  }
  while (!stopped) {
    int signal = 0;
    sigwait(&signals, &signal);
    if (signal == SIGUSR1) {
      PrintDump(host);
    } else if (signal != kWakeSignal) {
      host.Drain();
    }
  }
  return LogStopped(clean ? HostExit::kStopped : HostExit::kDrainTimeout);
}

}  // namespace dotterelshed
