#include <atomic>
#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "dotterelshed/backend_client.h"
#include "test_server.h"

namespace dotterelshed {

namespace {

using Json = nlohmann::json;

constexpr auto kShortSilence = std::chrono::milliseconds(60);
constexpr auto kText = "the level rises at the north basin";

auto Chunk(const std::string& text) -> std::string {
  const Json chunk = {{"id", "c1"},
                      {"model", "m"},
                      {"choices",
                       {{{"index", 0},
                         {"delta", {{"content", text}}},
                         {"finish_reason", nullptr}}}}};
  return "data: " + chunk.dump() + "\n\n";
}

auto LastChunk() -> std::string {
  const Json chunk = {
      {"choices",
       {{{"index", 0}, {"delta", Json::object()}, {"finish_reason", "stop"}}}},
      {"usage",
       {{"prompt_tokens", 9},
        {"completion_tokens", 7},
        {"prompt_tokens_details", {{"cached_tokens", 4}}}}}};
  return "data: " + chunk.dump() + "\n\ndata: [DONE]\n\n";
}

/// The rest of kText from @p offset on, and the end.
auto Rest(std::size_t offset) -> std::string {
  return Chunk(std::string(kText).substr(offset)) + LastChunk();
}

auto ModelSpec(const TestServer& server) -> AttemptSpec {
  AttemptSpec spec;
  spec.m_attempt = AttemptId("attempt-1");
  spec.m_priority = 3;
  spec.m_endpoint = server.Endpoint();
  spec.m_body = R"({"model":"m","messages":[]})";
  spec.m_timeout = std::chrono::seconds(30);
  spec.m_progress_timeout = kShortSilence;
  return spec;
}

auto PlainSpec(const TestServer& server) -> AttemptSpec {
  auto spec = ModelSpec(server);
  spec.m_kind = ServiceKind::kPlain;
  spec.m_path = "gates/open";
  spec.m_key = IdempotencyKey("key-1");
  return spec;
}

/// Collects what an attempt reports while it runs.
struct Collected {
  std::string m_text;
  std::atomic<bool> m_cancelled{false};

  auto Observer() -> AttemptObserver {
    return {
        .m_on_text = [this](std::string_view text, Tokens) { m_text += text; },
        .m_cancelled = &m_cancelled};
  }
};

auto TextOf(const AttemptResult& result) -> std::string {
  const auto body = Json::parse(result.m_body);
  return body["choices"][0]["message"]["content"].get<std::string>();
}

/// Serves resumes from the asked offset, and records the offsets.
auto ServeResume(TestServer& server, std::vector<std::string>& offsets)
    -> void {
  server.m_http.Get(
      "/v1/streams/attempt-1", [&offsets](const auto& request, auto& response) {
        const auto offset = request.get_param_value("offset");
        offsets.push_back(offset);
        response.set_content(Rest(std::stoul(offset)), "text/event-stream");
      });
}

}  // namespace

TEST_CASE("a streamed answer arrives whole, with its usage") {
  TestServer server;
  server.m_http.Post("/v1/chat/completions",
                     [](const auto& request, auto& response) {
                       const auto body = Json::parse(request.body);
                       REQUIRE(body["stream"] == true);
                       CHECK(request.get_header_value("X-Priority") == "3");
                       response.set_content(Rest(0), "text/event-stream");
                     });
  server.Start();
  Collected collected;
  const auto result = RunAttempt(ModelSpec(server), collected.Observer());
  CHECK(result.m_end == AttemptEnd::kCompleted);
  CHECK(collected.m_text == kText);
  CHECK(TextOf(result) == kText);
  CHECK(result.m_usage.m_prompt == Tokens(9));
  CHECK(result.m_usage.m_cached == Tokens(4));
  CHECK(result.m_usage.m_generated == Tokens(7));
}

TEST_CASE("an engine that does not stream is understood") {
  TestServer server;
  const Json body = {
      {"choices",
       {{{"message", {{"content", kText}}}, {"finish_reason", "stop"}}}}};
  server.m_http.Post("/v1/chat/completions", [&](const auto&, auto& response) {
    response.set_content(body.dump(), "application/json");
  });
  server.Start();
  Collected collected;
  const auto result = RunAttempt(ModelSpec(server), collected.Observer());
  CHECK(result.m_end == AttemptEnd::kCompleted);
  CHECK(collected.m_text == kText);
}

TEST_CASE(
    "a silent or broken stream goes on elsewhere, no byte lost or twice") {
  const auto silent = GENERATE(true, false);
  const auto cut = GENERATE(std::size_t{0}, std::size_t{1}, std::size_t{12});
  TestServer server;
  std::vector<std::string> offsets;
  server.m_http.Post("/v1/chat/completions", [&](const auto&, auto& response) {
    const auto head =
        cut == 0 ? std::string() : Chunk(std::string(kText).substr(0, cut));
    silent ? SendThenFallSilent(response, head) : SendThenBreak(response, head);
  });
  ServeResume(server, offsets);
  server.Start();
  Collected collected;
  const auto result = RunAttempt(ModelSpec(server), collected.Observer());
  CHECK(result.m_end == AttemptEnd::kCompleted);
  CHECK(collected.m_text == kText);
  CHECK(TextOf(result) == kText);
  REQUIRE(offsets.size() == 1);
  CHECK(offsets[0] == std::to_string(cut));
}

TEST_CASE("half an event at the cut is not counted") {
  TestServer server;
  std::vector<std::string> offsets;
  server.m_http.Post("/v1/chat/completions", [](const auto&, auto& response) {
    const auto second = Chunk("level");
    SendThenBreak(response,
                  Chunk("the ") + second.substr(0, second.size() - 4));
  });
  ServeResume(server, offsets);
  server.Start();
  Collected collected;
  RunAttempt(ModelSpec(server), collected.Observer());
  CHECK(collected.m_text == kText);
  CHECK(offsets == std::vector<std::string>{"4"});
}

TEST_CASE("an engine that resumes too early does not double bytes") {
  TestServer server;
  server.m_http.Post("/v1/chat/completions", [](const auto&, auto& response) {
    SendThenBreak(response, Chunk("the level"));
  });
  server.m_http.Get("/v1/streams/attempt-1", [](const auto&, auto& response) {
    const Json chunk = {
        {"offset", 4},
        {"choices",
         {{{"delta", {{"content", std::string(kText).substr(4)}}}}}}};
    response.set_content("data: " + chunk.dump() + "\n\n" + LastChunk(),
                         "text/event-stream");
  });
  server.Start();
  Collected collected;
  const auto result = RunAttempt(ModelSpec(server), collected.Observer());
  CHECK(result.m_end == AttemptEnd::kCompleted);
  CHECK(collected.m_text == kText);
}

TEST_CASE("a stream that the engine forgot is lost, not refused") {
  TestServer server;
  server.m_http.Post("/v1/chat/completions", [](const auto&, auto& response) {
    SendThenBreak(response, Chunk("the "));
  });
  server.Start();
  Collected collected;
  const auto result = RunAttempt(ModelSpec(server), collected.Observer());
  CHECK(result.m_end == AttemptEnd::kLost);
}

TEST_CASE("an engine that is silent on every connection is given up") {
  TestServer server;
  const auto silent = [](const auto&, auto& response) {
    SendThenFallSilent(response, "");
  };
  server.m_http.Post("/v1/chat/completions", silent);
  server.m_http.Get("/v1/streams/attempt-1", silent);
  server.Start();
  Collected collected;
  const auto result = RunAttempt(ModelSpec(server), collected.Observer());
  CHECK(result.m_end == AttemptEnd::kLost);
}

TEST_CASE("a cancelled attempt stops at once and frees the engine") {
  TestServer server;
  std::atomic<bool> freed{false};
  Collected collected;
  server.m_http.Post("/v1/chat/completions", [&](const auto&, auto& response) {
    collected.m_cancelled = true;
    SendThenFallSilent(response, Chunk("the "));
  });
  server.m_http.Delete("/v1/streams/attempt-1",
                       [&](const auto&, auto&) { freed = true; });
  server.Start();
  auto spec = ModelSpec(server);
  spec.m_progress_timeout = std::chrono::hours(1);
  const auto result = RunAttempt(spec, collected.Observer());
  CHECK(result.m_end == AttemptEnd::kCancelled);
  CHECK(freed);
}

TEST_CASE("the timeout holds for an answer that trickles") {
  TestServer server;
  server.m_http.Post("/v1/chat/completions", [](const auto&, auto& response) {
    response.set_chunked_content_provider(
        "text/event-stream", [](std::size_t, httplib::DataSink& sink) {
          const auto chunk = Chunk("x");
          return sink.write(chunk.data(), chunk.size());
        });
  });
  server.Start();
  auto spec = ModelSpec(server);
  spec.m_timeout = std::chrono::milliseconds(100);
  Collected collected;
  CHECK(RunAttempt(spec, collected.Observer()).m_end == AttemptEnd::kTimedOut);
}

TEST_CASE("answers of a plain service are classified by what they prove") {
  struct Case {
    int m_status;
    bool m_leaving;
    AttemptEnd m_end;
  };
  const auto wanted = GENERATE(Case{200, false, AttemptEnd::kCompleted},
                               Case{404, false, AttemptEnd::kRejected},
                               Case{412, false, AttemptEnd::kFenced},
                               Case{500, false, AttemptEnd::kErrored},
                               Case{503, false, AttemptEnd::kErrored},
                               Case{503, true, AttemptEnd::kLeaving});
  TestServer server;
  std::string key;
  server.m_http.Post("/gates/open", [&](const auto& request, auto& response) {
    key = request.get_header_value("Idempotency-Key");
    response.status = wanted.m_status;
    if (wanted.m_leaving) {
      response.set_header("X-Leaving", "1");
    }
    response.set_content("{}", "application/json");
  });
  server.Start();
  const auto result = RunAttempt(PlainSpec(server), {});
  CHECK(result.m_end == wanted.m_end);
  CHECK(result.m_http_status == wanted.m_status);
  CHECK(result.m_body == "{}");
  CHECK(key == "key-1");
}

TEST_CASE("only a connection that was never made counts as refused") {
  const auto kind = GENERATE(ServiceKind::kModel, ServiceKind::kPlain);
  AttemptSpec spec;
  spec.m_kind = kind;
  spec.m_endpoint = ClosedEndpoint();
  spec.m_body = "{}";
  const auto result = RunAttempt(spec, {});
  CHECK(result.m_end == AttemptEnd::kRefused);
  CHECK(CannotHaveRun(result.m_end));
}

TEST_CASE("a plain answer that breaks off may have run") {
  TestServer server;
  std::atomic<int> runs{0};
  server.m_http.Post("/gates/open", [&](const auto&, auto& response) {
    ++runs;
    SendThenBreak(response, "{\"half\":");
  });
  server.Start();
  const auto result = RunAttempt(PlainSpec(server), {});
  CHECK(result.m_end == AttemptEnd::kLost);
  CHECK_FALSE(CannotHaveRun(result.m_end));
  CHECK(runs == 1);
}

TEST_CASE("a plain service that hangs is timed out, and sent to once") {
  TestServer server;
  std::atomic<int> runs{0};
  server.m_http.Post("/gates/open", [&](const auto&, auto& response) {
    ++runs;
    SendThenFallSilent(response, "");
  });
  server.Start();
  auto spec = PlainSpec(server);
  spec.m_timeout = std::chrono::milliseconds(100);
  CHECK(RunAttempt(spec, {}).m_end == AttemptEnd::kTimedOut);
  CHECK(runs == 1);
}

}  // namespace dotterelshed
