#include <cstdlib>
#include <memory>
#include <sstream>
#include <string>
#include <thread>

#include "engine_state.h"
#include "standin.h"

/// @file
/// Stand-in for a model engine: OpenAI-compatible chat completions with
/// streams that can be resumed and cancelled, a prefix cache, holds, lagged
/// load, late and gappy cache events, and orders.
///
/// Options: --ready-file F, --port N, --run-log F, --token-rate T/s,
/// --prefill-rate T/s, --max-running N, --kv-capacity TOKENS,
/// --load-lag-ms N, --event-lag-ms N, --model-load-ms N, --models a,b,
/// --checks-fencing, --crash-on MARK (ends the process when a request
/// contains MARK).
///
/// POST /_fault takes any of
///   "slow_factor": X          generation takes X times as long
///   "slow_ms": N              each request waits before it starts
///   "hang": bool              requests are taken and never answered
///   "silent": true            open streams go silent for good, new ones work
///   "cut_streams": N          the next N streams break ...
///   "cut_after_bytes": N      ... after this much text
///   "leaving": bool           503 with X-Leaving, does not run
///   "fail_status": N          answers this status without running
///   "crash_on": "MARK"        as the option
///   "drop_events": N          the next N cache events are lost
/// GET /_runs lists attempts that were started.

namespace dotterelshed::standins {

namespace {

constexpr auto kTick = std::chrono::milliseconds(2);
constexpr auto kReadWait = std::chrono::milliseconds(50);

struct Faults {
  int m_slow_ms = 0;
  bool m_hang = false;
  int m_cut_streams = 0;
  std::size_t m_cut_after_bytes = 0;
  int m_fail_status = 0;
  std::string m_crash_mark;
};

/// How one connection reads a stream.
struct Reader {
  std::shared_ptr<Stream> m_stream;
  std::size_t m_offset = 0;
  std::int64_t m_silence_mark = 0;
  bool m_cut = false;
  std::size_t m_cut_after_bytes = 0;
  std::size_t m_sent_bytes = 0;
};

auto UsageOf(const Stream& stream) -> Json {
  const auto generated = stream.m_answer.m_tokens.size();
  return {
      {"prompt_tokens", stream.m_prompt_tokens},
      {"completion_tokens", generated},
      {"total_tokens",
       stream.m_prompt_tokens + static_cast<std::int64_t>(generated)},
      {"prompt_tokens_details", {{"cached_tokens", stream.m_cached_tokens}}}};
}

auto ChunkOf(const Stream& stream, const Json& delta, const Json& finish)
    -> Json {
  return {{"id", "chatcmpl-" + stream.m_attempt},
          {"object", "chat.completion.chunk"},
          {"model", stream.m_model},
          {"choices",
           {{{"index", 0}, {"delta", delta}, {"finish_reason", finish}}}}};
}

auto EventLine(const Json& chunk) -> std::string {
  return "data: " + chunk.dump() + "\n\n";
}

/// The last chunks of a stream: finish reason, tool calls, usage.
auto EndOfStream(const Stream& stream) -> std::string {
  auto delta = Json::object();
  if (!stream.m_answer.m_tool_calls.is_null()) {
    delta["tool_calls"] = stream.m_answer.m_tool_calls;
    for (std::size_t i = 0; i < delta["tool_calls"].size(); ++i) {
      delta["tool_calls"][i]["index"] = i;
    }
  }
  auto last = ChunkOf(stream, delta, stream.m_answer.m_finish_reason);
  last["usage"] = UsageOf(stream);
  return EventLine(last) + "data: [DONE]\n\n";
}

auto WholeAnswer(const Stream& stream) -> Json {
  std::string text;
  for (const auto& token : stream.m_answer.m_tokens) {
    text += token;
  }
  Json message = {{"role", "assistant"}, {"content", text}};
  if (!stream.m_answer.m_tool_calls.is_null()) {
    message["content"] = nullptr;
    message["tool_calls"] = stream.m_answer.m_tool_calls;
  }
  return {{"id", "chatcmpl-" + stream.m_attempt},
          {"object", "chat.completion"},
          {"model", stream.m_model},
          {"choices",
           {{{"index", 0},
             {"message", message},
             {"finish_reason", stream.m_answer.m_finish_reason}}}},
          {"usage", UsageOf(stream)}};
}

class Engine {
 public:
  Engine(EngineOptions options, std::string run_log, std::string crash_mark)
      : m_state(std::move(options)), m_run_log(std::move(run_log)) {
    m_faults.m_crash_mark = std::move(crash_mark);
  }

  auto Bind(httplib::Server& server) -> void;
  auto RunClock() -> void;

 private:
  auto Complete(const httplib::Request& request, httplib::Response& response)
      -> void;
  auto Refuses(const httplib::Request& request,
               const Json& body,
               httplib::Response& response) -> bool;
  auto SendStream(const std::shared_ptr<Stream>& stream,
                  std::size_t offset,
                  httplib::Response& response) -> void;
  auto WriteNext(Reader& reader, httplib::DataSink& sink) -> bool;
  auto SendWhole(const std::shared_ptr<Stream>& stream,
                 httplib::Response& response) -> void;
  auto TakeOrder(const Json& order, httplib::Response& response) -> void;
  auto SetFault(const Json& fault) -> void;
  auto CurrentFaults() -> Faults;
  auto TakeCut(Reader& reader) -> void;
  auto BindStreams(httplib::Server& server) -> void;
  auto BindReports(httplib::Server& server) -> void;

  EngineState m_state;
  RunLog m_run_log;
  SilenceSwitch m_silence;
  std::mutex m_mutex;
  Faults m_faults;
  std::atomic<std::int64_t> m_next_attempt{0};
};

auto Engine::RunClock() -> void {
  while (true) {
    std::this_thread::sleep_for(kTick);
    m_state.Advance(Clock::now());
  }
}

auto Engine::CurrentFaults() -> Faults {
  const std::lock_guard lock(m_mutex);
  return m_faults;
}

auto Engine::TakeCut(Reader& reader) -> void {
  const std::lock_guard lock(m_mutex);
  if (m_faults.m_cut_streams <= 0) {
    return;
  }
  --m_faults.m_cut_streams;
  reader.m_cut = true;
  reader.m_cut_after_bytes = m_faults.m_cut_after_bytes;
}

auto Engine::Refuses(const httplib::Request& request,
                     const Json& body,
                     httplib::Response& response) -> bool {
  const auto faults = CurrentFaults();
  if (m_state.IsLeaving()) {
    response.set_header("X-Leaving", "1");
    SendJson(response, 503, {{"error", {{"message", "leaving"}}}});
    return true;
  }
  if (faults.m_fail_status != 0) {
    SendJson(response, faults.m_fail_status,
             {{"error", {{"message", "failing"}}}});
    return true;
  }
  if (!body.is_object() || !body.contains("messages")) {
    SendJson(response, 400, {{"error", {{"message", "messages missing"}}}});
    return true;
  }
  const auto fence =
      std::atoll(request.get_header_value("X-Fencing-Number").c_str());
  if (request.has_header("X-Fencing-Number") && !m_state.AcceptFence(fence)) {
    SendJson(response, 412, {{"error", {{"message", "old fencing number"}}}});
    return true;
  }
  if (!m_state.HasModel(body.value("model", ""))) {
    SendJson(response, 404, {{"error", {{"message", "model not loaded"}}}});
    return true;
  }
  return false;
}

auto Engine::Complete(const httplib::Request& request,
                      httplib::Response& response) -> void {
  const auto body = Json::parse(request.body, nullptr, false);
  if (Refuses(request, body, response)) {
    return;
  }
  const auto faults = CurrentFaults();
  auto attempt = request.get_header_value("X-Request-Id");
  if (attempt.empty()) {
    attempt = "local-" + std::to_string(++m_next_attempt);
  }
  m_run_log.Append({{"attempt", attempt},
                    {"program", request.get_header_value("X-Kv-Program")}});
  if (!faults.m_crash_mark.empty() &&
      request.body.find(faults.m_crash_mark) != std::string::npos) {
    m_run_log.Append({{"crash", attempt}});
    std::_Exit(EXIT_FAILURE);
  }
  if (faults.m_hang) {
    HangAnswer(response);
    return;
  }
  std::this_thread::sleep_for(std::chrono::milliseconds(faults.m_slow_ms));
  const auto stream =
      m_state.Start(attempt, request.get_header_value("X-Kv-Program"),
                    request.get_header_value("X-Kv-Hold"), body);
  if (body.value("stream", false)) {
    SendStream(stream, 0, response);
    return;
  }
  SendWhole(stream, response);
}

auto Engine::SendWhole(const std::shared_ptr<Stream>& stream,
                       httplib::Response& response) -> void {
  StreamPiece piece;
  while (!piece.m_finished && !piece.m_cancelled) {
    piece = m_state.Read(*stream, std::string::npos, kReadWait);
  }
  if (piece.m_cancelled) {
    SendJson(response, 499, {{"error", {{"message", "cancelled"}}}});
    return;
  }
  SendJson(response, 200, WholeAnswer(*stream));
}

auto Engine::SendStream(const std::shared_ptr<Stream>& stream,
                        std::size_t offset,
                        httplib::Response& response) -> void {
  auto reader = std::make_shared<Reader>();
  reader->m_stream = stream;
  reader->m_offset = offset;
  reader->m_silence_mark = m_silence.Mark();
  TakeCut(*reader);
  response.set_chunked_content_provider(
      "text/event-stream",
      [this, reader](std::size_t, httplib::DataSink& sink) {
        return WriteNext(*reader, sink);
      });
}

/// Sends what has been generated since the last call, one token a chunk.
auto Engine::WriteNext(Reader& reader, httplib::DataSink& sink) -> bool {
  const auto piece = m_state.Read(*reader.m_stream, reader.m_offset, kReadWait);
  if (m_silence.IsSilent(reader.m_silence_mark)) {
    WaitUntilClosed(sink);
    return false;
  }
  if (!sink.is_writable() || piece.m_cancelled) {
    return false;
  }
  if (!piece.m_text.empty()) {
    auto text = piece.m_text;
    if (reader.m_cut) {
      text.resize(std::min(text.size(),
                           reader.m_cut_after_bytes - reader.m_sent_bytes));
    }
    auto chunk = ChunkOf(*reader.m_stream, {{"content", text}}, nullptr);
    chunk["offset"] = reader.m_offset;
    chunk["tokens"] = piece.m_tokens_so_far;
    const auto line = EventLine(chunk);
    if (!text.empty() && !sink.write(line.data(), line.size())) {
      return false;
    }
    reader.m_offset += text.size();
    reader.m_sent_bytes += text.size();
  }
  if (reader.m_cut && reader.m_sent_bytes >= reader.m_cut_after_bytes) {
    return false;
  }
  if (piece.m_finished) {
    const auto end = EndOfStream(*reader.m_stream);
    sink.write(end.data(), end.size());
    sink.done();
  }
  return true;
}

auto Engine::TakeOrder(const Json& order, httplib::Response& response) -> void {
  if (!m_state.AcceptFence(order.value("fence", std::int64_t{0}))) {
    SendJson(response, 412, {{"error", {{"message", "old fencing number"}}}});
    return;
  }
  const auto kind = order.value("kind", "");
  if (kind == "load_model" || kind == "unload_model") {
    m_state.SetModel(order.value("model", ""), kind == "load_model");
  }
  SendJson(response, 200, {{"accepted", kind}});
}

auto Engine::SetFault(const Json& fault) -> void {
  if (fault.value("silent", false)) {
    m_silence.Silence();
  }
  if (fault.contains("leaving")) {
    m_state.SetLeaving(fault["leaving"].get<bool>());
  }
  if (fault.contains("slow_factor")) {
    m_state.SetSlowFactor(fault["slow_factor"].get<double>());
  }
  if (fault.contains("drop_events")) {
    m_state.DropEvents(fault["drop_events"].get<int>());
  }
  const std::lock_guard lock(m_mutex);
  auto& f = m_faults;
  f.m_slow_ms = fault.value("slow_ms", f.m_slow_ms);
  f.m_hang = fault.value("hang", f.m_hang);
  f.m_cut_streams = fault.value("cut_streams", f.m_cut_streams);
  f.m_cut_after_bytes = fault.value("cut_after_bytes", f.m_cut_after_bytes);
  f.m_fail_status = fault.value("fail_status", f.m_fail_status);
  f.m_crash_mark = fault.value("crash_on", f.m_crash_mark);
}

auto Engine::BindStreams(httplib::Server& server) -> void {
  server.Post("/v1/chat/completions",
              [this](const auto& request, auto& response) {
                Complete(request, response);
              });
  const auto path = "/v1/streams/([^/]+)";
  server.Get(path, [this](const auto& request, auto& response) {
    if (CurrentFaults().m_hang) {
      HangAnswer(response);
      return;
    }
    const auto stream = m_state.Find(request.matches[1]);
    if (stream == nullptr) {
      SendJson(response, 404, {{"error", {{"message", "no such stream"}}}});
      return;
    }
    const auto offset = request.get_param_value("offset");
    SendStream(stream, std::strtoull(offset.c_str(), nullptr, 10), response);
  });
  server.Delete(path, [this](const auto& request, auto& response) {
    const auto found = m_state.Cancel(request.matches[1]);
    SendJson(response, found ? 200 : 404, {{"cancelled", found}});
  });
}

auto Engine::BindReports(httplib::Server& server) -> void {
  server.Get("/v1/load", [this](const auto&, auto& response) {
    SendJson(response, 200, m_state.Load());
  });
  server.Get("/v1/cache_events", [this](const auto& request, auto& response) {
    const auto since = request.get_param_value("since");
    SendJson(response, 200,
             m_state.CacheEventsSince(std::atoll(since.c_str())));
  });
  server.Get("/v1/holds", [this](const auto&, auto& response) {
    SendJson(response, 200, m_state.Holds());
  });
  server.Delete("/v1/holds/([^/]+)",
                [this](const auto& request, auto& response) {
                  const auto found = m_state.ReleaseHold(request.matches[1]);
                  SendJson(response, found ? 200 : 404, {{"released", found}});
                });
  server.Get("/_runs", [this](const auto&, auto& response) {
    SendJson(response, 200, m_state.Runs());
  });
}

auto Engine::Bind(httplib::Server& server) -> void {
  BindStreams(server);
  BindReports(server);
  server.Post("/v1/orders", [this](const auto& request, auto& response) {
    TakeOrder(ParseObject(request.body), response);
  });
  server.Post("/_fault", [this](const auto& request, auto& response) {
    SetFault(ParseObject(request.body));
    SendJson(response, 200, Json::object());
  });
}

auto ParseEngineOptions(int argc, char** argv) -> EngineOptions {
  const auto number = [&](const char* name, const char* fallback) {
    return std::stod(FindOption(argc, argv, name, fallback));
  };
  const auto millis = [&](const char* name, const char* fallback) {
    return std::chrono::milliseconds(
        std::stoll(FindOption(argc, argv, name, fallback)));
  };
  EngineOptions options;
  options.m_token_rate = number("--token-rate", "0");
  options.m_prefill_rate = number("--prefill-rate", "0");
  options.m_max_running = static_cast<int>(number("--max-running", "64"));
  options.m_kv_capacity =
      static_cast<std::int64_t>(number("--kv-capacity", "200000"));
  options.m_load_lag = millis("--load-lag-ms", "500");
  options.m_event_lag = millis("--event-lag-ms", "200");
  options.m_model_load_time = millis("--model-load-ms", "200");
  options.m_checks_fencing = HasFlag(argc, argv, "--checks-fencing");
  std::istringstream models(FindOption(argc, argv, "--models", ""));
  for (std::string model; std::getline(models, model, ',');) {
    options.m_models.insert(model);
  }
  return options;
}

}  // namespace

}  // namespace dotterelshed::standins

auto main(int argc, char** argv) -> int {
  using namespace dotterelshed::standins;
  BlockStopSignals();
  const auto options = ParseStandinOptions(argc, argv);
  Engine engine(ParseEngineOptions(argc, argv), options.m_run_log,
                FindOption(argc, argv, "--crash-on", ""));
  std::thread([&engine] { engine.RunClock(); }).detach();
  httplib::Server server;
  engine.Bind(server);
  return Serve(server, options);
}
