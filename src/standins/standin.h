#ifndef DOTTERELSHED_STANDINS_STANDIN_H_
#define DOTTERELSHED_STANDINS_STANDIN_H_

#include <httplib.h>

#include <atomic>
#include <chrono>
#include <cstdint>
#include <mutex>
#include <nlohmann/json.hpp>
#include <string>

/// @file
/// What the three stand-ins share: options, start and stop, JSON answers, and
/// connections that go silent on command.
///
/// A stand-in writes {"http": "127.0.0.1:PORT"} to its ready file once it
/// serves, and ends at SIGTERM. Faults are set with POST /_fault; each fault
/// stays until it is set to false or 0 again.

namespace dotterelshed::standins {

using Json = nlohmann::json;
using Clock = std::chrono::steady_clock;

/// Options that every stand-in takes.
struct StandinOptions {
  std::string m_ready_file;
  /// One line is added for each run, before its effect; empty for none.
  std::string m_run_log;
  /// 0 lets the system choose.
  int m_port = 0;
  int m_threads = 256;
};

/// Connections opened before the last Silence() stay open and deliver nothing
/// more; newer ones work.
class SilenceSwitch {
 public:
  /// Mark of a connection that starts now.
  auto Mark() const -> std::int64_t { return m_epoch.load(); }
  auto IsSilent(std::int64_t mark) const -> bool { return mark < m_epoch; }
  auto Silence() -> void { ++m_epoch; }

 private:
  std::atomic<std::int64_t> m_epoch{0};
};

/// Appends lines to a file that outlives a crash of the process.
class RunLog {
 public:
  explicit RunLog(std::string path) : m_path(std::move(path)) {}
  auto Append(const Json& entry) -> void;

 private:
  std::string m_path;
  std::mutex m_mutex;
};

/// Serves until SIGTERM or SIGINT, then ends the process.
/// @return exit code if the port can't be bound or the file not written
auto Serve(httplib::Server& server, const StandinOptions& options) -> int;

/// Must be called in main before any thread starts, so that signals reach
/// only Serve.
auto BlockStopSignals() -> void;

auto SendJson(httplib::Response& response, int status, const Json& body)
    -> void;

/// The body as a JSON object, or an empty object.
auto ParseObject(const std::string& body) -> Json;

/// Parses --ready-file, --run-log and so on; see AddOptions in each stand-in.
auto FindOption(int argc,
                char** argv,
                const std::string& name,
                const std::string& fallback) -> std::string;
auto HasFlag(int argc, char** argv, const std::string& name) -> bool;
auto ParseStandinOptions(int argc, char** argv) -> StandinOptions;

/// Answers with a status line and a length, then closes the connection
/// without the body, as when an answer is lost on its way.
auto CutAnswer(httplib::Response& response) -> void;

/// Blocks while the peer keeps the connection open; the answer never comes.
auto HangAnswer(httplib::Response& response) -> void;

/// Keeps a stream open without a byte until the peer closes it.
auto WaitUntilClosed(const httplib::DataSink& sink) -> void;

}  // namespace dotterelshed::standins

#endif  // DOTTERELSHED_STANDINS_STANDIN_H_
