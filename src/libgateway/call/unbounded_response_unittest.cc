#include "history/test_history.h"
#include "peer_call.h"
#include "test_environment.h"

/// @file
/// Endpoints whose answers don't end until the host closes the connection.

namespace dotterelshed {
namespace {

constexpr std::size_t kPieceBytes = 16384;

/// Sends m_begin for each request, then m_piece repeatedly.
struct Flood {
  std::string m_begin;
  std::string m_piece;
  std::vector<Request> m_requests;

  auto Handler() -> ScriptedEndpoint::Handler {
    return [this](const Request& request) {
      m_requests.push_back(request);
      request.m_stream->Write(m_begin);
    };
  }

  auto SendMore() -> void {
    for (const auto& request : m_requests) {
      if (!request.m_stream->closed() &&
          request.m_stream->pending_bytes() < kPieceBytes) {
        request.m_stream->Write(m_piece);
      }
    }
  }

  /// Runs until the caller's answer has ended and the host has closed all its
  /// connections to the endpoint.
  auto Run(TestEnvironment& environment,
           const TestCaller& caller,
           const ScriptedEndpoint& endpoint) -> void {
    environment.RunUntil([&] {
      SendMore();
      const auto over = caller.m_ended || caller.Body();
      return over && endpoint.ended() == endpoint.requests();
    });
  }
};

auto Repeat(const std::string& text) -> std::string {
  std::string piece;
  while (piece.size() < kPieceBytes) {
    piece += text;
  }
  return piece;
}

constexpr auto kSignedHead =
    "HTTP/1.1 200 X\r\nRequest-Id: r\r\nResponse-Signature: sig\r\n";

auto MakeCall(const std::string& path, const std::string& more = "")
    -> std::string {
  return "POST " + path + " HTTP/1.1\r\nHost: desk\r\nRequest-Id: r\r\n" +
         more + "Content-Length: 0\r\n\r\n";
}

TEST_CASE("an unbounded response head is abandoned and the request retried") {
  const auto head = GENERATE(std::string("HTTP/1.1 200 "),
                             std::string("HTTP/1.1 200 X\r\nA: "),
                             std::string("HTTP/1.1 200 X\r\n"));
  Flood flood{head, Repeat(head.ends_with("X\r\n") ? "A: b\r\n" : "a"), {}};
  TestEnvironment environment;
  auto& endpoint = environment.AddEndpoint(
      [first = flood.Handler()](const Request& request) {
        if (request.m_number == 1) {
          first(request);
        } else {
          request.m_stream->Write(request.Complete("x"));
        }
      });
  environment.Start();
  auto caller = environment.Call(MakeCall("/safe/1"));
  environment.RunUntil([&] {
    flood.SendMore();
    return caller->m_ended || caller->Body();
  });
  CHECK(caller->Status() == 200);
  CHECK(caller->Body() == "x");
  CHECK(endpoint.requests() == 2);
  CHECK(endpoint.ended() == 1);
}

TEST_CASE("unbounded interim responses are abandoned before the deadline") {
  Flood flood{"", Repeat("HTTP/1.1 102 Processing\r\n\r\n"), {}};
  TestEnvironment environment;
  auto& endpoint = environment.AddEndpoint(flood.Handler());
  environment.Start();
  auto caller = environment.Call(MakeCall("/unsafe/1"));
  flood.Run(environment, *caller, endpoint);
  // 504 would mean that the host waited for the deadline.
  CHECK(caller->Status() == 502);
}

TEST_CASE("an unbounded body never looks complete to the caller") {
  const auto chunked = GENERATE(true, false);
  Flood flood{
      std::string(kSignedHead) +
          (chunked ? "Transfer-Encoding: chunked\r\n\r\n" : "\r\n"),
      chunked ? FormatChunk(std::string(kPieceBytes, 'a')) : Repeat("a"),
      {}};
  TestEnvironment environment;
  auto& endpoint = environment.AddEndpoint(flood.Handler());
  environment.Start();
  auto caller = environment.Call(MakeCall("/unsafe/1"));
  flood.Run(environment, *caller, endpoint);
  CHECK(caller->Status() == 200);
  CHECK(caller->m_ended);
  CHECK_FALSE(caller->Body());
}

TEST_CASE("unbounded chunk framing is abandoned") {
  const auto framing = GENERATE(std::string("5;a="), std::string("0\r\nA: "),
                                std::string("0\r\nA: b\r\n"));
  Flood flood{
      std::string(kSignedHead) + "Transfer-Encoding: chunked\r\n\r\n" + framing,
      Repeat(framing.ends_with("\r\n") ? "A: b\r\n" : "a"),
      {}};
  TestEnvironment environment;
  auto& endpoint = environment.AddEndpoint(flood.Handler());
  environment.Start();
  auto caller = environment.Call(MakeCall("/unsafe/1"));
  flood.Run(environment, *caller, endpoint);
  CHECK_FALSE(caller->Body());
}

TEST_CASE("an unbounded turn is cut off at its granted tokens") {
  Flood flood{
      std::string(kSignedHead) + "Transfer-Encoding: chunked\r\n\r\n", "", {}};
  for (int id = 1; id <= 500; ++id) {
    flood.m_begin += FormatChunk("id: " + std::to_string(id) + "\ndata: t\n\n");
  }
  TestEnvironment environment;
  auto& endpoint = environment.AddEndpoint(flood.Handler());
  environment.Start();
  auto caller = environment.Call(
      MakeCall("/turn/1",
               "Program-Id: p\r\nSession-Id: p\r\nToken-Budget: 400\r\n"
               "Token-Counts: 100,30\r\n"));
  flood.Run(environment, *caller, endpoint);
  CHECK_FALSE(caller->Body());
  // 30 tokens are ten events of three tokens each.
  CHECK(caller->m_got.find("id: 10\n") != std::string::npos);
  CHECK(caller->m_got.find("id: 11\n") == std::string::npos);
}

TEST_CASE("an unbounded event is abandoned") {
  Flood flood{std::string(kSignedHead) + "\r\nid: 1\ndata: ", Repeat("a"), {}};
  TestEnvironment environment;
  auto& endpoint = environment.AddEndpoint(flood.Handler());
  environment.Start();
  auto caller = environment.Call(MakeCall("/turn/1"));
  flood.Run(environment, *caller, endpoint);
  CHECK_FALSE(caller->Body());
}

TEST_CASE("a kept turn without end is abandoned before it fills memory") {
  constexpr std::size_t kMost = 4U << 20U;
  Flood flood{std::string(kSignedHead) + "\r\n", Repeat("data: t\n\n"), {}};
  HistoryEnvironment environment;
  environment.AddDisk("d1", "z");
  auto& endpoint = environment.AddEndpoint(flood.Handler());
  environment.Start();
  auto caller = environment.Call(MakeCall("/kept/1"));
  environment.RunUntil([&] {
    flood.SendMore();
    const auto over = caller->m_ended && endpoint.ended() > 0;
    return over || caller->m_got.size() > kMost;
  });
  CHECK(caller->m_got.size() <= kMost);
  CHECK(caller->m_ended);
  // Streams that are still open must not outlive the loop.
  flood.m_requests.clear();
}

TEST_CASE("a peer's unbounded body is abandoned") {
  Flood flood{"HTTP/1.1 200 X\r\n\r\n", Repeat("a"), {}};
  TestEnvironment environment;
  ScriptedEndpoint peer(environment.m_loop, flood.Handler());
  ConnectionPool pool(environment.m_loop, {});
  std::optional<Result<std::string>> reply;
  CallPeer(environment.m_loop, pool, FormatTcpAddress(peer.address()),
           kGrantPath, "", std::chrono::seconds(20),
           [&reply](const Result<std::string>& got) { reply = got; });
  environment.RunUntil([&] {
    flood.SendMore();
    return reply.has_value();
  });
  REQUIRE_FALSE(*reply);
  CHECK(reply->error().m_code == ErrorCode::kUnavailable);
}

}  // namespace
}  // namespace dotterelshed
