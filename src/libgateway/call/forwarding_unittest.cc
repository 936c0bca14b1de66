#include <catch2/catch.hpp>
#include <cstdlib>
#include <filesystem>
#include <string>

#include "test_calls.h"

/// @file
/// Requests through one host, with endpoints that answer, fail and misbehave.

namespace dotterelshed {
namespace {

using Request = ScriptedEndpoint::Request;

const std::string kUnsafe =
    "POST /unsafe/x HTTP/1.1\r\nHost: desk\r\nRequest-Id: r1\r\n"
    "Deadline-Ms: 3000\r\nHold: 7\r\nContent-Length: 4\r\n\r\nbody";

TEST_CASE("an answer is forwarded unchanged") {
  TestEnvironment environment;
  Request seen;
  environment.AddEndpoint([&seen](const Request& request) {
    seen = request;
    request.m_stream->Write(request.Complete("hello"));
  });
  environment.Start();
  const auto caller = environment.Finish(kUnsafe);
  CHECK(caller->Status() == 200);
  CHECK(caller->Body() == "hello");
  CHECK(caller->m_got.find("Response-Signature: sig") != std::string::npos);
  CHECK(seen.m_head.m_target == "/unsafe/x");
  CHECK(seen.m_body == "body");
  CHECK(seen.Field("expect-instance") == "e1");
  CHECK(seen.Field("hold").empty());
  CHECK(std::stoi(seen.Field("deadline-ms")) <= 3000);
  CHECK(std::stoi(seen.Field("deadline-ms")) > 0);
}

TEST_CASE("an answer to another request is skipped") {
  TestEnvironment environment;
  environment.AddEndpoint([](const Request& request) {
    request.m_stream->Write(
        "HTTP/1.1 200 OK\r\nRequest-Id: other\r\nResponse-Signature: s\r\n"
        "Content-Length: 5\r\n\r\nwrong" +
        request.Complete("right"));
  });
  environment.Start();
  CHECK(environment.Finish(kSafeCall)->Body() == "right");
}

TEST_CASE("a success without a signature is rejected") {
  TestEnvironment environment;
  auto& endpoint = environment.AddEndpoint([](const Request& request) {
    request.m_stream->Write(
        "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nContent-Length: 2\r\n\r\nok");
  });
  environment.Start();
  CHECK(environment.Finish(kUnsafe)->Status() == 502);
  CHECK(endpoint.requests() == 1);
}

TEST_CASE("a non-idempotent request that may have run is never retried") {
  TestEnvironment environment;
  const auto reply = GENERATE(
      "", "HTTP/1.1 503 X\r\nRequest-Id: r1\r\nContent-Length: 0\r\n\r\n",
      "HTTP/1.1 429 X\r\nRequest-Id: r1\r\nContent-Length: 0\r\n\r\n",
      "not http\r\n\r\n");
  const ScriptedEndpoint::Handler script = [&reply](const Request& request) {
    request.m_stream->Write(reply);
    request.m_stream->CloseAfterWrites();
  };
  auto& first = environment.AddEndpoint(script);
  auto& second = environment.AddEndpoint(script);
  environment.Start();
  CHECK(environment.Finish(kUnsafe)->Status() == 502);
  CHECK(first.requests() + second.requests() == 1);
}

TEST_CASE("a request that hasn't run is retried elsewhere, then refused") {
  TestEnvironment environment;
  const ScriptedEndpoint::Handler full = [](const Request& request) {
    request.m_stream->Write(
        request.Head(503, "Not-Executed: 1\r\nContent-Length: 0\r\n"));
  };
  auto& first = environment.AddEndpoint(full);
  auto& second = environment.AddEndpoint(full);
  environment.Start();
  const auto caller = environment.Finish(kUnsafe);
  CHECK(caller->Status() == 503);
  CHECK(caller->m_got.find("Retry-After: ") != std::string::npos);
  CHECK(caller->m_got.find("Response-Signature") == std::string::npos);
  CHECK(first.requests() == 1);
  CHECK(second.requests() == 1);
}

TEST_CASE("an idempotent request is retried on the same endpoint only") {
  TestEnvironment environment;
  const ScriptedEndpoint::Handler once = [](const Request& request) {
    if (request.m_number == 1) {
      request.m_stream->Close();
    } else {
      request.m_stream->Write(request.Complete("late"));
    }
  };
  auto& first = environment.AddEndpoint(once);
  auto& second = environment.AddEndpoint(once);
  environment.Start();
  CHECK(environment.Finish(kSafeCall)->Body() == "late");
  CHECK(first.requests() * second.requests() == 0);
}

TEST_CASE("an idempotent request without an answer is retried once") {
  TestEnvironment environment;
  auto& endpoint = environment.AddEndpoint([](const Request& request) {
    if (request.m_number == 2) {
      request.m_stream->Write(request.Complete("again"));
    }
  });
  environment.Start();
  CHECK(environment.Finish(kSafeCall)->Body() == "again");
  CHECK(endpoint.requests() == 2);
}

TEST_CASE("an endpoint's own error is forwarded") {
  TestEnvironment environment;
  environment.AddEndpoint([](const Request& request) {
    request.m_stream->Write(request.Head(500, "Content-Length: 3\r\n") + "bad");
  });
  environment.Start();
  const auto caller = environment.Finish(kSafeCall);
  CHECK(caller->Status() == 500);
  CHECK(caller->Body() == "bad");
}

TEST_CASE("a truncated answer never looks complete") {
  TestEnvironment environment;
  const auto head =
      GENERATE("Content-Length: 9\r\n", "Transfer-Encoding: chunked\r\n");
  environment.AddEndpoint([&head](const Request& request) {
    request.m_stream->Write(request.Head(200, head) + "5\r\nab");
    request.m_stream->CloseAfterWrites();
  });
  environment.Start();
  const auto caller = environment.Finish(kUnsafe);
  CHECK(caller->m_ended);
  CHECK_FALSE(caller->Body());
}

TEST_CASE("an answer without a length ends with its connection") {
  TestEnvironment environment;
  environment.AddEndpoint([](const Request& request) {
    request.m_stream->Write(request.Head(200, "") + "all of it");
    request.m_stream->CloseAfterWrites();
  });
  environment.Start();
  CHECK(environment.Finish(kUnsafe)->Body() == "all of it");
}

TEST_CASE("a broken stream resumes after its last complete event") {
  TestEnvironment environment;
  std::vector<std::string> resumed;
  environment.AddEndpoint([&resumed](const Request& request) {
    resumed.push_back(request.Field("last-event-id"));
    if (request.m_number == 1) {
      request.m_stream->Write(ChunkedHead(request) + Chunks(1, 2) +
                              FormatChunk("id: 3\nda"));
      request.m_stream->CloseAfterWrites();
      return;
    }
    request.m_stream->Write(ChunkedHead(request) + Chunks(3, 4) +
                            std::string(kLastChunk));
  });
  environment.Start();
  const auto caller = environment.Finish(MakeTurn("r1", 400, 100));
  CHECK(caller->Body() ==
        MakeEvent(1) + MakeEvent(2) + MakeEvent(3) + MakeEvent(4));
  CHECK(resumed == std::vector<std::string>{"", "2"});
}

TEST_CASE("a stream with a missing event is cut off") {
  TestEnvironment environment;
  environment.AddEndpoint([](const Request& request) {
    request.m_stream->Write(ChunkedHead(request) + Chunks(1, 2) + Chunks(4, 5) +
                            std::string(kLastChunk));
  });
  environment.Start();
  const auto caller = environment.Finish(MakeTurn("r1", 400, 100));
  CHECK(caller->m_ended);
  CHECK_FALSE(caller->Body());
}

TEST_CASE("an attempt's connection is closed when its caller disconnects") {
  TestEnvironment environment;
  auto& endpoint = environment.AddEndpoint([](const Request& request) {
    request.m_stream->Write(ChunkedHead(request) + Chunks(1, 1));
  });
  environment.Start();
  const auto caller = environment.Call(MakeTurn("r1", 400, 100));
  environment.RunUntil([&caller] { return caller->Status() == 200; });
  caller->m_stream->Close();
  environment.RunUntil([&endpoint] { return endpoint.ended() == 1; });
}

TEST_CASE("a turn that exceeds the budget is refused without an attempt") {
  TestEnvironment environment;
  auto& endpoint = environment.AddEndpoint([](const Request& request) {
    request.m_stream->Write(ChunkedHead(request) + Chunks(1, 30) +
                            std::string(kLastChunk));
  });
  environment.Start();
  CHECK(environment.Finish(MakeTurn("r1", 150, 100))->Status() == 200);
  CHECK(environment.Finish(MakeTurn("r2", 150, 100))->Status() == 402);
  CHECK(endpoint.requests() == 1);
}

TEST_CASE("disk hosts keep turns running while the store is down") {
  char folder[] = "/tmp/dotterelshed_world_XXXXXX";
  REQUIRE(mkdtemp(folder) != nullptr);
  TestEnvironment environment;
  environment.AddEndpoint([](const Request& request) {
    request.m_stream->Write(ChunkedHead(request) + Chunks(1, 30) +
                            std::string(kLastChunk));
  });
  environment.AddDiskHost("d1", folder);
  environment.Start();
  const auto status = [&environment](const std::string& id) {
    auto status = 503;
    // The first requests may be refused before the lead treats the store as
    // unavailable.
    for (int tries = 0; tries < 20 && status == 503; ++tries) {
      status = environment.Finish(MakeTurn(id, 400, 100))->Status();
    }
    return status;
  };
  // Journals on disk hosts count only for programs that the store's record has,
  // since other domains' leads read only that.
  CHECK(status("r1") == 200);
  environment.m_store.SetDown(true);
  const auto other =
      "POST /turn/x HTTP/1.1\r\nHost: desk\r\nRequest-Id: q1"
      "\r\nProgram-Id: q\r\nSession-Id: q\r\nToken-Budget: 400"
      "\r\nToken-Counts: 100,100\r\nContent-Length: 0\r\n\r\n";
  for (const auto* id : {"r2", "r3"}) {
    CHECK(status(id) == 200);
    CHECK(environment.Finish(other)->Status() == 503);
  }
  environment.m_store.SetDown(false);
  CHECK(status("r4") == 200);
  CHECK(status("r5") == 402);
  std::filesystem::remove_all(folder);
}

TEST_CASE("requests without a route or with invalid framing are refused") {
  TestEnvironment environment;
  auto& endpoint = environment.AddEndpoint(
      [](const Request& request) { request.m_stream->Write("x"); });
  environment.Start();
  CHECK(environment.Finish("GET /other/ HTTP/1.1\r\nHost: desk\r\n\r\n")
            ->Status() == 404);
  CHECK(environment
            .Finish("POST /unsafe/ HTTP/1.1\r\nHost: desk\r\n"
                    "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n"
                    "0\r\n\r\nGET /safe/ HTTP/1.1\r\nHost: desk\r\n\r\n")
            ->Status() == 400);
  CHECK(environment
            .Finish("GET /safe/ HTTP/1.1\r\nHost: desk\r\nA: " +
                    std::string(5000, 'a'))
            ->Status() == 431);
  CHECK(environment
            .Finish("POST /unsafe/ HTTP/1.1\r\nHost: desk\r\n"
                    "Content-Length: 10001\r\n\r\n")
            ->Status() == 413);
  CHECK(endpoint.requests() == 0);
}

TEST_CASE("a leaving endpoint gets no new requests") {
  TestEnvironment environment;
  const ScriptedEndpoint::Handler script = [](const Request& request) {
    request.m_stream->Write(request.Complete("ok"));
  };
  auto& first = environment.AddEndpoint(script);
  environment.Start();
  CHECK(environment.Finish(kSafeCall)->Status() == 200);
  auto entry = environment.m_store.Find("servers", "e1")["spec"];
  entry["state"] = "draining";
  environment.m_store.Put("servers", "e1", entry);
  environment.RunUntil([&environment] {
    return environment.Finish(kSafeCall)->Status() == 503;
  });
  CHECK(first.requests() >= 1);
}

TEST_CASE("a planned stop answers open requests and ends the event loop") {
  TestEnvironment environment;
  std::optional<Request> open;
  environment.AddEndpoint([&open](const Request& request) { open = request; });
  environment.Start();
  const auto caller = environment.Call(kSafeCall);
  environment.RunUntil([&open] { return open.has_value(); });
  environment.m_host->Stop();
  CHECK_FALSE(environment.m_host->ready());
  open->m_stream->Write(open->Complete("in time"));
  environment.RunUntil([&caller] { return caller->m_ended; });
  CHECK(caller->Body() == "in time");
  CHECK(caller->m_got.find("Connection: close") != std::string::npos);
  environment.RunUntil([&environment] { return environment.m_loop.stopped(); });
}

TEST_CASE("a planned stop passes no request on that comes late in its grace") {
  TestEnvironment environment;
  std::optional<Request> open;
  auto& endpoint = environment.AddEndpoint(
      [&open](const Request& request) { open = request; });
  environment.Start();
  const auto idle = environment.Finish(
      "GET /none/x HTTP/1.1\r\nHost: desk\r\nRequest-Id: r0\r\n\r\n");
  const auto busy = environment.Call(kUnsafe);
  environment.RunUntil([&open] { return open.has_value(); });
  environment.m_host->Stop();
  environment.RunFor(std::chrono::milliseconds(2900));
  // Late requests on a connection that is still busy, on one that was idle, and
  // on a new one.
  busy->m_stream->Write(kUnsafe);
  idle->m_stream->Write(kUnsafe);
  CHECK(idle->m_ended);
  CHECK_THROWS(environment.Call(kUnsafe));
  open->m_stream->Write(open->Complete("in time"));
  environment.RunUntil([&busy] { return busy->m_ended; });
  CHECK(busy->Body() == "in time");
  CHECK(endpoint.requests() == 1);
}

TEST_CASE("an endpoint that says in an answer that it leaves is out of use") {
  TestEnvironment environment;
  const auto status = GENERATE(200, 500, 503);
  const ScriptedEndpoint::Handler leaving = [status](const Request& request) {
    const auto* refusal = status == 503 ? "Not-Executed: 1\r\n" : "";
    request.m_stream->Write(
        request.Head(status, std::string("Server-Leaving: 1\r\n") + refusal +
                                 "Content-Length: 0\r\n"));
  };
  auto& endpoint = environment.AddEndpoint(leaving);
  environment.Start();
  environment.Finish(kUnsafe);
  const auto before = endpoint.requests();
  // The list still calls it ready.
  environment.PutEndpoint(0);
  environment.RunFor(std::chrono::milliseconds(50));
  CHECK(environment.Finish(kUnsafe)->Status() == 503);
  CHECK(endpoint.requests() == before);
}

TEST_CASE("an answer that was cut in its head never becomes a success") {
  TestEnvironment environment;
  const auto cut =
      GENERATE("HTTP/1.1 200 OK\r\n", "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\n",
               "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nResponse-Signature: s\r\n",
               "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nResponse-Signature: s\r\n"
               "Content-Le");
  environment.AddEndpoint([&cut](const Request& request) {
    request.m_stream->Write(cut);
    request.m_stream->CloseAfterWrites();
  });
  environment.Start();
  CHECK(environment.Finish(kUnsafe)->Status() == 502);
}

TEST_CASE("an answer without length ends with its connection") {
  TestEnvironment environment;
  environment.AddEndpoint([](const Request& request) {
    request.m_stream->Write(request.Head(200, "") + "all of it");
    request.m_stream->CloseAfterWrites();
  });
  environment.Start();
  CHECK(environment.Finish(kUnsafe)->Body() == "all of it");
}

}  // namespace
}  // namespace dotterelshed
