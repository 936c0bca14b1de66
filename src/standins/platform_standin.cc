#include <cstdlib>
#include <memory>
#include <string>
#include <vector>

#include "object_store.h"
#include "standin.h"

/// @file
/// Stand-in for the platform's object API: versions, conditional updates,
/// lists and watches under /apis/dotterelshed/v1/KIND[/NAME].
///
/// Options: --ready-file F, --port N, --history N (changes kept for watches).
///
/// POST /_fault takes any of
///   "outage": bool            every call answers 503, watches break
///   "slow_ms": N              every call waits first
///   "silent": true            open watches go silent for good, new ones work
///   "lose_answers": N         the next N writes take effect, answer is cut
///   "lose_by": "cut"|"hang"   how these answers get lost
///   "lose_kind": "KIND"       only writes of this kind lose their answer
///   "rate_limit_per_s": N     further calls in a second answer 429
///   "list_lag_ms": N          lists and watches of hosts and endpoints lag
/// GET /_counts tells calls by verb and kind since the start; a watch is one.

namespace dotterelshed::standins {

namespace {

constexpr auto kApiRoot = "/apis/dotterelshed/v1/";
constexpr auto kWatchPoll = std::chrono::milliseconds(25);
constexpr auto kDefaultHistory = "4096";

struct Faults {
  bool m_outage = false;
  int m_slow_ms = 0;
  int m_lose_answers = 0;
  std::string m_lose_by = "cut";
  std::string m_lose_kind;
  int m_rate_limit_per_s = 0;
};

/// The whole server; handlers run on the library's threads.
class Platform {
 public:
  explicit Platform(std::size_t history) : m_store(history) {}

  auto Bind(httplib::Server& server) -> void;

 private:
  auto Admit(const std::string& verb,
             const std::string& kind,
             httplib::Response& response) -> bool;
  auto TakeLostAnswer(const std::string& kind, std::string& lose_by) -> bool;
  auto SendWritten(const std::string& kind,
                   const StoreAnswer& answer,
                   httplib::Response& response) -> void;
  auto SetFault(const Json& fault) -> void;
  auto Watch(const httplib::Request& request, httplib::Response& response)
      -> void;
  auto InOutage() -> bool;

  ObjectStore m_store;
  SilenceSwitch m_silence;
  std::mutex m_mutex;
  Faults m_faults;
  std::map<std::string, std::map<std::string, std::int64_t>> m_counts;
  Clock::time_point m_window_start;
  int m_window_calls = 0;
};

auto Platform::InOutage() -> bool {
  const std::lock_guard lock(m_mutex);
  return m_faults.m_outage;
}

/// Counts the call and applies the faults that refuse or slow it.
auto Platform::Admit(const std::string& verb,
                     const std::string& kind,
                     httplib::Response& response) -> bool {
  std::unique_lock lock(m_mutex);
  ++m_counts[verb][kind];
  const auto now = Clock::now();
  if (now - m_window_start >= std::chrono::seconds(1)) {
    m_window_start = now;
    m_window_calls = 0;
  }
  ++m_window_calls;
  const auto limited = m_faults.m_rate_limit_per_s > 0 &&
                       m_window_calls > m_faults.m_rate_limit_per_s;
  const auto outage = m_faults.m_outage;
  const auto slow = std::chrono::milliseconds(m_faults.m_slow_ms);
  lock.unlock();
  if (slow.count() > 0) {
    std::this_thread::sleep_for(slow);
  }
  if (outage) {
    SendJson(response, 503, {{"message", "outage"}});
    return false;
  }
  if (limited) {
    response.set_header("Retry-After", "1");
    SendJson(response, 429, {{"message", "too many calls"}});
    return false;
  }
  return true;
}

auto Platform::TakeLostAnswer(const std::string& kind, std::string& lose_by)
    -> bool {
  const std::lock_guard lock(m_mutex);
  const auto matches =
      m_faults.m_lose_kind.empty() || m_faults.m_lose_kind == kind;
  if (m_faults.m_lose_answers <= 0 || !matches) {
    return false;
  }
  --m_faults.m_lose_answers;
  lose_by = m_faults.m_lose_by;
  return true;
}

auto Platform::SendWritten(const std::string& kind,
                           const StoreAnswer& answer,
                           httplib::Response& response) -> void {
  std::string lose_by;
  if (answer.m_status < 300 && TakeLostAnswer(kind, lose_by)) {
    lose_by == "hang" ? HangAnswer(response) : CutAnswer(response);
    return;
  }
  SendJson(response, answer.m_status, answer.m_body);
}

auto Platform::SetFault(const Json& fault) -> void {
  if (fault.value("silent", false)) {
    m_silence.Silence();
  }
  if (fault.contains("list_lag_ms")) {
    const auto lag = std::chrono::milliseconds(fault["list_lag_ms"].get<int>());
    m_store.SetLag("hosts", lag);
    m_store.SetLag("endpoints", lag);
  }
  const std::lock_guard lock(m_mutex);
  auto& f = m_faults;
  f.m_outage = fault.value("outage", f.m_outage);
  f.m_slow_ms = fault.value("slow_ms", f.m_slow_ms);
  f.m_lose_answers = fault.value("lose_answers", f.m_lose_answers);
  f.m_lose_by = fault.value("lose_by", f.m_lose_by);
  f.m_lose_kind = fault.value("lose_kind", f.m_lose_kind);
  f.m_rate_limit_per_s = fault.value("rate_limit_per_s", f.m_rate_limit_per_s);
}

/// Streams changes one JSON event a line, until the peer closes, an outage
/// begins or the position falls out of the history.
auto Platform::Watch(const httplib::Request& request,
                     httplib::Response& response) -> void {
  const std::string kind = request.matches[1];
  auto after = std::make_shared<std::int64_t>(
      std::atoll(request.get_param_value("resourceVersion").c_str()));
  std::vector<StoreChange> ignored;
  if (!m_store.Changes(kind, *after, std::chrono::milliseconds(0), ignored)) {
    SendJson(response, 410, {{"message", "resourceVersion is too old"}});
    return;
  }
  const auto mark = m_silence.Mark();
  response.set_chunked_content_provider(
      "application/json",
      [this, kind, after, mark](std::size_t, httplib::DataSink& sink) {
        if (m_silence.IsSilent(mark)) {
          WaitUntilClosed(sink);
          return false;
        }
        std::vector<StoreChange> changes;
        if (!sink.is_writable() || InOutage() ||
            !m_store.Changes(kind, *after, kWatchPoll, changes)) {
          return false;
        }
        for (const auto& change : changes) {
          const auto line = change.m_event.dump() + "\n";
          if (!sink.write(line.data(), line.size())) {
            return false;
          }
          *after = change.m_version;
        }
        return true;
      });
}

auto Platform::Bind(httplib::Server& server) -> void {
  const auto kind_path = std::string(kApiRoot) + "([a-z0-9-]+)";
  const auto name_path = kind_path + "/([^/]+)";
  server.Get(kind_path, [this](const auto& request, auto& response) {
    const auto watch = request.has_param("watch");
    if (!Admit(watch ? "watch" : "list", request.matches[1], response)) {
      return;
    }
    if (watch) {
      Watch(request, response);
      return;
    }
    const auto answer = m_store.List(request.matches[1]);
    SendJson(response, answer.m_status, answer.m_body);
  });
  server.Get(name_path, [this](const auto& request, auto& response) {
    if (!Admit("get", request.matches[1], response)) {
      return;
    }
    const auto answer = m_store.Get(request.matches[1], request.matches[2]);
    SendJson(response, answer.m_status, answer.m_body);
  });
  server.Put(name_path, [this](const auto& request, auto& response) {
    const std::string kind = request.matches[1];
    if (!Admit("put", kind, response)) {
      return;
    }
    const auto answer =
        m_store.Put(kind, request.matches[2], ParseObject(request.body));
    SendWritten(kind, answer, response);
  });
  server.Post(kind_path, [this](const auto& request, auto& response) {
    const std::string kind = request.matches[1];
    if (!Admit("post", kind, response)) {
      return;
    }
    auto object = ParseObject(request.body);
    object["metadata"]["resourceVersion"] = "0";
    const auto name = object["metadata"].value("name", "");
    SendWritten(kind, m_store.Put(kind, name, object), response);
  });
  server.Delete(name_path, [this](const auto& request, auto& response) {
    const std::string kind = request.matches[1];
    if (!Admit("delete", kind, response)) {
      return;
    }
    const auto answer = m_store.Delete(
        kind, request.matches[2], request.get_param_value("resourceVersion"));
    SendWritten(kind, answer, response);
  });
  server.Post("/_fault", [this](const auto& request, auto& response) {
    SetFault(ParseObject(request.body));
    SendJson(response, 200, Json::object());
  });
  server.Get("/_counts", [this](const auto&, auto& response) {
    const std::lock_guard lock(m_mutex);
    SendJson(response, 200, Json(m_counts));
  });
}

}  // namespace

}  // namespace dotterelshed::standins

auto main(int argc, char** argv) -> int {
  using namespace dotterelshed::standins;
  BlockStopSignals();
  const auto options = ParseStandinOptions(argc, argv);
  const auto history = FindOption(argc, argv, "--history", kDefaultHistory);
  Platform platform(std::stoul(history));
  httplib::Server server;
  platform.Bind(server);
  return Serve(server, options);
}
