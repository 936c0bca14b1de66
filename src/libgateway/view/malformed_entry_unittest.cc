#include <catch2/catch.hpp>
#include <string>

#include "test_calls.h"

/// @file
/// Malformed entries from other writers among the endpoints' entries.

namespace dotterelshed {
namespace {

using Request = ScriptedEndpoint::Request;

auto MakeMalformedSpec(int kind) -> std::string {
  constexpr int kDeep = 400000;
  switch (kind) {
    case 0:
      return R"({"service":"s","address":"127.0.0.1:1","state":"ready",
                 "slots":1e400})";
    case 1:
      return R"({"service":"s","address":"127.0.0.1:1","state":"ready",
                 "coldLeftMs":-1e999})";
    case 2:
      return std::string(kDeep, '[') + std::string(kDeep, ']');
    case 3: {
      std::string text;
      for (int i = 0; i < kDeep; ++i) {
        text += "{\"a\":";
      }
      return text + "1" + std::string(kDeep, '}');
    }
    case 4:
      return R"({"service":"s","address":"127.0.0.1:70000","state":"ready"})";
    case 5:
      return "{\"service\":\"\xff\xfe\"}";
    case 6:
      return R"({"service":"s","address":"127.0.0.1:1","state":"ready",
                 "slots":123456789012345678901234567890})";
    default:
      return R"({"service":"s","address":"[::1]:99999999999","state":"ready"})";
  }
}

TEST_CASE("a malformed entry neither hides others nor ends a host") {
  TestEnvironment environment;
  const auto kind = GENERATE(range(0, 8));
  const auto listed_at_start = GENERATE(true, false);
  const auto put = [&environment, kind] {
    // One name sorts before the valid entry's name, the other after it.
    environment.m_store.PutRaw("servers", "a", MakeMalformedSpec(kind));
    environment.m_store.PutRaw("servers", "z", MakeMalformedSpec(kind));
  };
  environment.AddEndpoint([](const Request& request) {
    request.m_stream->Write(request.Complete("ok"));
  });
  if (listed_at_start) {
    put();
  }
  environment.Start();
  auto& follower = environment.AddHost("h2", "z");
  if (!listed_at_start) {
    put();
  }
  // Both hosts learn of an endpoint that registers after the malformed entries.
  auto& later = environment.AddEndpoint([](const Request& request) {
    request.m_stream->Write(request.Complete("later"));
  });
  environment.RunUntil([&environment, &later] {
    environment.Finish(kSafeCall);
    return later.requests() > 0;
  });
  environment.m_endpoints[0]->Crash();
  environment.m_store.Remove("servers", "e1");
  environment.RunUntil([&environment, &follower] {
    return environment.FinishAt(follower, kSafeCall)->Body() == "later";
  });
}

TEST_CASE("an entry overwritten with malformed data is no endpoint any more") {
  TestEnvironment environment;
  auto& first = environment.AddEndpoint([](const Request& request) {
    request.m_stream->Write(request.Complete("ok"));
  });
  environment.Start();
  CHECK(environment.Finish(kSafeCall)->Status() == 200);
  environment.m_store.PutRaw("servers", "e1", MakeMalformedSpec(0));
  environment.RunUntil([&environment] {
    return environment.Finish(kSafeCall)->Status() == 503;
  });
  CHECK(first.requests() >= 1);
}

}  // namespace
}  // namespace dotterelshed
