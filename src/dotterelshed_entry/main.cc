#include <boost/asio/signal_set.hpp>
#include <boost/program_options.hpp>
#include <csignal>
#include <exception>
#include <functional>
#include <iostream>
#include <sstream>
#include <string>

#include "dotterelshed/event_loop.h"
#include "dotterelshed/file_text.h"
#include "dotterelshed/log_events.h"
#include "entry_host.h"
#include "entry_settings.h"
#include "history/disk_host.h"

namespace dotterelshed {
namespace {

namespace options = boost::program_options;

constexpr int kRunError = 1;
constexpr int kUsageError = 2;

auto MakeOptions() -> options::options_description {
  options::options_description description(
      "dotterelshed_entry: one host on the platform. Usage: dotterelshed_entry "
      "--settings FILE");
  description.add_options()("help", "show this text")(
      "settings", options::value<std::string>(),
      "settings file, JSON with comments")("check",
                                           "check the settings and exit");
  return description;
}

auto ReadSettings(const std::string& file) -> Result<EntrySettings> {
  return ReadFileText(file).and_then([&file](const std::string& text) {
    return ParseEntrySettings(text, file);
  });
}

/// Calls @p on_stop at SIGTERM and SIGINT, and @p on_reload at SIGHUP.
class SignalWatch {
 public:
  SignalWatch(EventLoop& loop,
              std::function<void()> on_stop,
              std::function<void()> on_reload)
      : m_signals(loop, SIGTERM, SIGINT, SIGHUP),
        m_on_stop(std::move(on_stop)),
        m_on_reload(std::move(on_reload)) {
    Wait();
  }

 private:
  auto Wait() -> void {
    m_signals.async_wait([this](const boost::system::error_code& error, int n) {
      if (error) {
        return;
      }
      RunGuarded("signal",
                 [this, n] { (n == SIGHUP ? m_on_reload : m_on_stop)(); });
      Wait();
    });
  }

  boost::asio::signal_set m_signals;
  std::function<void()> m_on_stop;
  std::function<void()> m_on_reload;
};

/// Blocks the signals of SignalWatch, whose default action would terminate the
/// process during its shutdown.
auto BlockSignals() -> void {
  sigset_t signals;
  sigemptyset(&signals);
  for (const auto signal : {SIGTERM, SIGINT, SIGHUP}) {
    sigaddset(&signals, signal);
  }
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
}

/// Bounds of the log's volume: each request makes up to three ordinary lines.
constexpr int kMaxOrdinaryLinesPerSecond = 300;
constexpr int kMaxUnusualLinesPerSecond = 1000;

auto StartLog(const EntrySettings& settings) -> Status {
  const auto level = ParseLogLevel(settings.m_log_level);
  return StartLogging({.m_level = level.value_or(LogLevel::kInfo),
                       .m_host = settings.m_host.value(),
                       .m_standard_output = true,
                       .m_max_ordinary_per_second = kMaxOrdinaryLinesPerSecond,
                       .m_max_unusual_per_second = kMaxUnusualLinesPerSecond});
}

/// Addresses and names can't change while the process runs; the level of the
/// log can.
auto Reload(const std::string& file) -> void {
  const auto settings = ReadSettings(file);
  if (!settings) {
    LogEvent(LogEventId::kSettingsReloaded,
             {{"outcome", "rejected"},
              {"place", settings.error().m_place},
              {"reason", settings.error().m_message}});
    return;
  }
  FlushLog();
  const auto status = StartLog(*settings);
  LogEvent(LogEventId::kSettingsReloaded,
           {{"outcome", status ? "in_force" : "rejected"}});
}

/// Starts a host and runs it until @p on_stop has ended the loop.
template <typename Host>
auto RunHost(EventLoop& loop,
             Host& host,
             std::function<void()> on_stop,
             const std::string& file) -> int {
  const SignalWatch signals(loop, std::move(on_stop),
                            [&file] { Reload(file); });
  const auto started = host.Start();
  if (!started) {
    std::cerr << started.error().m_place << ": " << started.error().m_message
              << "\n";
    return kRunError;
  }
  RunEventLoop(loop);
  BlockSignals();
  return 0;
}

auto RunRole(const EntrySettings& settings, const std::string& file) -> int {
  EventLoop loop(1);
  if (settings.m_role == HostRole::kDisk) {
    DiskHost host(loop, settings);
    const auto stop = [&loop, &host] {
      const auto end = [&loop] { loop.stop(); };
      // The process ends whatever the parts of the host do.
      if (!RunGuarded("stop", [&] { host.BeginStop(end); })) {
        end();
      }
    };
    return RunHost(loop, host, stop, file);
  }
  EntryHost host(loop, settings);
  return RunHost(
      loop, host, [&host] { host.Stop(); }, file);
}

auto Run(const options::variables_map& given, const std::string& usage) -> int {
  if (given.count("help") > 0) {
    std::cout << usage;
    return 0;
  }
  if (given.count("settings") == 0) {
    std::cerr << usage;
    return kUsageError;
  }
  const auto file = given["settings"].as<std::string>();
  const auto settings = ReadSettings(file);
  if (!settings) {
    std::cerr << settings.error().m_place << ": " << settings.error().m_message
              << "\n";
    return kUsageError;
  }
  if (given.count("check") > 0) {
    return 0;
  }
  const auto logging = StartLog(*settings);
  if (!logging) {
    std::cerr << logging.error().m_message << "\n";
    return kRunError;
  }
  const auto code = RunRole(*settings, file);
  FlushLog();
  return code;
}

}  // namespace
}  // namespace dotterelshed

auto main(int argc, char** argv) -> int {
  using dotterelshed::kRunError;
  // A closed peer is seen as an error of the write.
  std::signal(SIGPIPE, SIG_IGN);
  // Until SignalWatch handles it. The settings are read later anyway.
  std::signal(SIGHUP, SIG_IGN);
  try {
    const auto description = dotterelshed::MakeOptions();
    std::ostringstream usage;
    usage << description << "\n";
    boost::program_options::variables_map given;
    boost::program_options::store(
        boost::program_options::parse_command_line(argc, argv, description),
        given);
    return dotterelshed::Run(given, usage.str());
  } catch (const boost::program_options::error& error) {
    std::cerr << error.what() << "\n";
    return dotterelshed::kUsageError;
  } catch (const std::exception& error) {
    std::cerr << error.what() << "\n";
    return kRunError;
  }
}
