#include <catch2/catch.hpp>
#include <map>
#include <string>

#include "history/test_history.h"
#include "test_calls.h"

/// @file
/// A stream goes on only at the software version that began it, within one
/// answer and over the attempts of its caller.

namespace dotterelshed {
namespace {

/// Sends the head and two events of a stream, and no more.
auto BeginStream(const Request& request) -> void {
  request.m_stream->Write(ChunkedHead(request) + Chunks(1, 2));
}

/// Sends the events of a stream from @p first on.
auto EndStream(const Request& request, int first) -> void {
  request.m_stream->Write(ChunkedHead(request) + Chunks(first, 4) +
                          std::string(kLastChunk));
}

auto Begin(const std::string& id) -> std::string {
  return "POST /turn/x HTTP/1.1\r\nHost: desk\r\nRequest-Id: " + id +
         "\r\nDeadline-Ms: 3000\r\nContent-Length: 0\r\n\r\n";
}

auto TakeUp(const std::string& id, const std::string& begun) -> std::string {
  return "POST /turn/x HTTP/1.1\r\nHost: desk\r\nRequest-Id: " + id +
         "\r\nDeadline-Ms: 3000\r\nLast-Event-Id: 2\r\nResumes: " + begun +
         "\r\nContent-Length: 0\r\n\r\n";
}

/// A route whose streams may be resumed, at three endpoints each.
struct StreamEnvironment : public HistoryEnvironment {
  StreamEnvironment() {
    m_store.Put("config", "main", nlohmann::json::parse(R"({"version":3,
      "routes":[
       {"name":"turn","host":"desk","pathPrefix":"/turn/","kind":"stream",
        "service":"s","timeoutMs":4000,"resumable":true,"maxAttempts":3}],
      "services":[{"name":"s","engine":{"slots":4,"tokensPerEvent":3}}],
      "limits":{"headerBytes":4000,"maxBodyBytes":10000}})"));
  }
};

/// Endpoints of the versions v1 and v2. The stream "r1" never ends at the one
/// that begins it.
struct TwoVersions : public StreamEnvironment {
  TwoVersions() {
    for (const auto* version : {"v1", "v2"}) {
      AddEndpoint(
          [this, version](const Request& request) {
            if (request.Field("last-event-id").empty()) {
              m_begun_at = version;
              BeginStream(request);
            } else {
              ++m_taken_up_at[version];
              EndStream(request, 3);
            }
          },
          version);
    }
  }

  /// Begins the stream at the first host, whose caller then leaves.
  auto BeginAndLeave() -> void {
    const auto caller = Call(Begin("r1"));
    RunUntil(
        [&caller] { return caller->m_got.find("id: 2") != std::string::npos; });
    RunFor(std::chrono::milliseconds(50));
    caller->m_stream->Close();
  }

  auto WasTakenUpElsewhere() const -> bool {
    return m_taken_up_at.contains(m_begun_at == "v1" ? "v2" : "v1");
  }

  /// Version that began the stream.
  std::string m_begun_at;
  /// Number of requests that took it up, by version.
  std::map<std::string, int> m_taken_up_at;
};

TEST_CASE("a stream that its caller takes up goes on at its version") {
  TwoVersions environment;
  environment.AddDisk("d1", "z");
  environment.Start();
  auto& same = *environment.m_host;
  auto& other = environment.AddHost("h2", "z");
  environment.BeginAndLeave();
  // It knows nothing of before its start.
  auto& fresh = environment.AddHost("h3", "y");
  int number = 0;
  for (auto* host : {&same, &other, &fresh, &same, &other, &fresh, &fresh}) {
    const auto id = "t" + std::to_string(++number);
    const auto caller = environment.FinishAt(*host, TakeUp(id, "r1"));
    CHECK(caller->Status() == 200);
    CHECK(caller->Body() == MakeEvent(3) + MakeEvent(4));
  }
  CHECK_FALSE(environment.WasTakenUpElsewhere());
}

TEST_CASE("a stream of which no host knows the version isn't taken up") {
  TwoVersions environment;
  environment.Start();
  environment.BeginAndLeave();
  auto& fresh = environment.AddHost("h2", "z");
  const auto* begun = GENERATE("r1", "never");
  const auto caller = environment.FinishAt(fresh, TakeUp("t1", begun));
  CHECK(caller->Status() == 503);
  CHECK(environment.m_taken_up_at.empty());
}

// Guards against ORDER, and against a refusal, at a host that was out of step
// while endpoints of another version joined.
TEST_CASE(
    "a host out of step takes up a stream at a version that is new to it") {
  TwoVersions environment;
  environment.AddDisk("d1", "z");
  environment.m_store.Remove("servers", "e2");
  environment.Start();
  environment.m_store.SetSilentWatches(true);
  environment.PutEndpoint(1, 0, "v2");
  environment.m_store.Remove("servers", "e1");
  auto& other = environment.AddHost("h2", "y");
  environment.RunFor(std::chrono::milliseconds(300));
  const auto caller = environment.CallAt(other, Begin("r1"));
  environment.RunUntil(
      [&caller] { return caller->m_got.find("id: 2") != std::string::npos; });
  environment.RunFor(std::chrono::milliseconds(50));
  caller->m_stream->Close();
  REQUIRE(environment.m_begun_at == "v2");
  const auto before = environment.m_store.listings("servers");
  for (const auto* id : {"t1", "t2", "t3"}) {
    CHECK(environment.Finish(TakeUp(id, "r1"))->Status() == 200);
  }
  CHECK(environment.m_store.listings("servers") == before + 1);
  CHECK_FALSE(environment.WasTakenUpElsewhere());
}

TEST_CASE("a stream that breaks off isn't resumed at another version") {
  StreamEnvironment environment;
  std::string first;
  const auto same_left = GENERATE(true, false);
  std::map<std::string, int> resumed;
  const auto add = [&](const std::string& version) {
    environment.AddEndpoint(
        [&, version](const Request& request) {
          if (request.Field("last-event-id").empty()) {
            first = version;
            BeginStream(request);
            request.m_stream->CloseAfterWrites();
          } else {
            ++resumed[version];
            EndStream(request, 3);
          }
        },
        version);
  };
  add("v1");
  add("v2");
  if (same_left) {
    add("v1");
    add("v2");
  }
  environment.Start();
  const auto caller = environment.Finish(Begin("r1"));
  CHECK(caller->Body().has_value() == same_left);
  CHECK(resumed.size() == (same_left ? 1 : 0));
  CHECK(resumed.contains(first) == same_left);
}

}  // namespace
}  // namespace dotterelshed
