#include <cstdlib>
#include <map>
#include <string>

#include "standin.h"

/// @file
/// Stand-in for a plain service. Any path takes a POST with a JSON body and
/// answers {"path", "body", "run", "key"}, where "run" counts the runs of the
/// key, or of the whole service for calls without one.
///
/// Options: --ready-file F, --port N, --run-log F (one line a run),
/// --checks-fencing (refuses an X-Fencing-Number below the highest seen),
/// --crash-on MARK (ends the process when a body contains MARK).
///
/// POST /_fault takes any of
///   "slow_ms": N              each run waits before its effect
///   "slow_after_ms": N        each run waits between effect and answer
///   "hang": bool              runs take effect and never answer
///   "lose_answers": N         the next N runs take effect, answer is cut
///   "leaving": bool           503 with X-Leaving, does not run
///   "fail_status": N          answers this status without an effect
/// GET /_runs?key=K tells how often K ran; without a key, all keys.

namespace dotterelshed::standins {

namespace {

struct Faults {
  int m_slow_ms = 0;
  int m_slow_after_ms = 0;
  bool m_hang = false;
  int m_lose_answers = 0;
  bool m_leaving = false;
  int m_fail_status = 0;
};

class Service {
 public:
  Service(std::string run_log, std::string crash_mark, bool checks_fencing)
      : m_run_log(std::move(run_log)),
        m_crash_mark(std::move(crash_mark)),
        m_checks_fencing(checks_fencing) {}

  auto Bind(httplib::Server& server) -> void;

 private:
  auto Run(const httplib::Request& request, httplib::Response& response)
      -> void;
  auto Refuses(const httplib::Request& request, httplib::Response& response)
      -> bool;
  auto CountRun(const httplib::Request& request) -> int;
  auto SetFault(const Json& fault) -> void;
  auto TakeLostAnswer() -> bool;
  auto CurrentFaults() -> Faults;

  RunLog m_run_log;
  const std::string m_crash_mark;
  const bool m_checks_fencing;
  std::mutex m_mutex;
  Faults m_faults;
  std::int64_t m_highest_fence = 0;
  std::map<std::string, int> m_runs;
};

auto Service::CurrentFaults() -> Faults {
  const std::lock_guard lock(m_mutex);
  return m_faults;
}

auto Service::Refuses(const httplib::Request& request,
                      httplib::Response& response) -> bool {
  const std::lock_guard lock(m_mutex);
  if (m_faults.m_leaving) {
    response.set_header("X-Leaving", "1");
    SendJson(response, 503, {{"message", "leaving"}});
    return true;
  }
  if (m_faults.m_fail_status != 0) {
    SendJson(response, m_faults.m_fail_status, {{"message", "failing"}});
    return true;
  }
  const auto fence =
      std::atoll(request.get_header_value("X-Fencing-Number").c_str());
  if (m_checks_fencing && fence < m_highest_fence) {
    SendJson(response, 412, {{"message", "fencing number is too old"}});
    return true;
  }
  m_highest_fence = std::max<std::int64_t>(m_highest_fence, fence);
  return false;
}

auto Service::CountRun(const httplib::Request& request) -> int {
  const auto key = request.get_header_value("Idempotency-Key");
  m_run_log.Append({{"key", key}, {"path", request.path}});
  const std::lock_guard lock(m_mutex);
  return ++m_runs[key];
}

auto Service::TakeLostAnswer() -> bool {
  const std::lock_guard lock(m_mutex);
  if (m_faults.m_lose_answers <= 0) {
    return false;
  }
  --m_faults.m_lose_answers;
  return true;
}

auto Service::Run(const httplib::Request& request, httplib::Response& response)
    -> void {
  if (Refuses(request, response)) {
    return;
  }
  const auto faults = CurrentFaults();
  if (!m_crash_mark.empty() &&
      request.body.find(m_crash_mark) != std::string::npos) {
    m_run_log.Append({{"crash", request.path}});
    std::_Exit(EXIT_FAILURE);
  }
  std::this_thread::sleep_for(std::chrono::milliseconds(faults.m_slow_ms));
  const auto run = CountRun(request);
  std::this_thread::sleep_for(
      std::chrono::milliseconds(faults.m_slow_after_ms));
  if (faults.m_hang) {
    HangAnswer(response);
    return;
  }
  if (TakeLostAnswer()) {
    CutAnswer(response);
    return;
  }
  SendJson(response, 200,
           {{"path", request.path},
            {"body", Json::parse(request.body, nullptr, false)},
            {"run", run},
            {"key", request.get_header_value("Idempotency-Key")}});
}

auto Service::SetFault(const Json& fault) -> void {
  const std::lock_guard lock(m_mutex);
  auto& f = m_faults;
  f.m_slow_ms = fault.value("slow_ms", f.m_slow_ms);
  f.m_slow_after_ms = fault.value("slow_after_ms", f.m_slow_after_ms);
  f.m_hang = fault.value("hang", f.m_hang);
  f.m_lose_answers = fault.value("lose_answers", f.m_lose_answers);
  f.m_leaving = fault.value("leaving", f.m_leaving);
  f.m_fail_status = fault.value("fail_status", f.m_fail_status);
}

auto Service::Bind(httplib::Server& server) -> void {
  server.Post("/_fault", [this](const auto& request, auto& response) {
    SetFault(ParseObject(request.body));
    SendJson(response, 200, Json::object());
  });
  server.Get("/_runs", [this](const auto& request, auto& response) {
    const std::lock_guard lock(m_mutex);
    const auto key = request.get_param_value("key");
    const auto found = m_runs.find(key);
    const auto runs = found == m_runs.end() ? 0 : found->second;
    SendJson(response, 200,
             request.has_param("key") ? Json{{"key", key}, {"runs", runs}}
                                      : Json(m_runs));
  });
  server.Get("/v1/load", [this](const auto&, auto& response) {
    const std::lock_guard lock(m_mutex);
    SendJson(response, 200, {{"leaving", m_faults.m_leaving}});
  });
  server.Post(".*", [this](const auto& request, auto& response) {
    Run(request, response);
  });
}

}  // namespace

}  // namespace dotterelshed::standins

auto main(int argc, char** argv) -> int {
  using namespace dotterelshed::standins;
  BlockStopSignals();
  const auto options = ParseStandinOptions(argc, argv);
  Service service(options.m_run_log, FindOption(argc, argv, "--crash-on", ""),
                  HasFlag(argc, argv, "--checks-fencing"));
  httplib::Server server;
  service.Bind(server);
  return Serve(server, options);
}
