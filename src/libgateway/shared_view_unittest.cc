#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

#include "test_environment.h"

/// @file
/// Calls of the store by the hosts of a domain: the lead reads for all, so that
/// the calls don't grow with the number of hosts.

namespace dotterelshed {
namespace {

constexpr int kFollowers = 6;

auto AnswerPlain(const ScriptedEndpoint::Request& request) -> void {
  request.m_stream->Write(request.Complete("x"));
}

/// One domain with a lead and its followers, all of them ready.
struct Domain {
  TestEnvironment m_environment;
  std::vector<EntryHost*> m_followers;

  Domain() {
    m_environment.AddEndpoint(AnswerPlain);
    m_environment.Start();
    for (int i = 0; i < kFollowers; ++i) {
      m_followers.push_back(
          &m_environment.AddHost("f" + std::to_string(i), "z"));
    }
  }

  /// Puts a configuration with a route named @p name and runs until each
  /// follower serves it.
  auto ChangeRoutes(int version, const std::string& name) -> void {
    auto config = m_environment.m_store.Find("config", "main")["spec"];
    config["version"] = version;
    config["routes"][0]["pathPrefix"] = "/" + name + "/";
    m_environment.m_store.Put("config", "main", config);
    for (auto* host : m_followers) {
      m_environment.RunUntil([&] {
        return m_environment
                   .FinishAt(*host, "GET /" + name +
                                        "/1 HTTP/1.1\r\nHost: desk\r\n\r\n")
                   ->Status() == 200;
      });
    }
  }
};

TEST_CASE("only the lead reads the entry of another domain's new lead") {
  Domain domain;
  auto& environment = domain.m_environment;
  const auto before = environment.m_store.calls("leads");
  ScriptedEndpoint other(environment.m_loop, AnswerPlain);
  environment.PutLead("y", "h9", other);
  environment.RunFor(std::chrono::milliseconds(800));
  // The answer to the lead's watch, and its next watches.
  CHECK(environment.m_store.calls("leads") - before <= 3);
}

TEST_CASE("a host that starts in a domain with a lead reads the leads only") {
  Domain domain;
  auto& store = domain.m_environment.m_store;
  const auto before = store.calls("servers") + store.calls("config");
  const auto started_at = SteadyTime();
  domain.m_environment.AddHost("late", "z");
  // The watches of the lead go on meanwhile.
  const auto watches =
      2 + 2 * (SteadyTime() - started_at) / std::chrono::milliseconds(200);
  CHECK(store.calls("servers") + store.calls("config") - before <= watches);
}

TEST_CASE("a request that arrives during the first listing waits for it") {
  TestEnvironment environment;
  environment.AddEndpoint(AnswerPlain);
  ObjectStore store(environment.m_loop,
                    {.m_address = environment.m_store.address()});
  const auto watcher = std::make_shared<ObjectWatcher>(
      environment.m_loop, store,
      WatcherOptions{.m_kind = ObjectKind::kEndpoints},
      HandleEachObject([](const StoredObject& /*object*/) {}));
  watcher->Start();
  std::optional<Result<std::string>> reply;
  watcher->HandleRequest(
      {.m_kind = ObjectKind::kEndpoints},
      [&reply](const Result<std::string>& response) { reply = response; });
  environment.RunUntil([&reply] { return reply.has_value(); });
  REQUIRE(*reply);
  const auto view = DecodeViewResponse(**reply);
  REQUIRE(view);
  REQUIRE(view->m_objects);
  CHECK(view->m_objects->size() == 1);
}

TEST_CASE("hosts that start without a lead read the store themselves") {
  TestEnvironment environment;
  environment.AddEndpoint(AnswerPlain);
  environment.StartFollower();
  CHECK(environment.m_store.calls("servers") > 0);
}

TEST_CASE("the followers move on to a new lead without reading the store") {
  Domain domain;
  auto& environment = domain.m_environment;
  const auto& store = environment.m_store;
  const auto calls = [&store] {
    return store.calls("servers") + store.calls("config");
  };
  const auto before = calls();
  const auto& larger = environment.AddHost("large", "z", 3.0);
  environment.RunUntil([&larger] { return larger.leads(); });
  domain.ChangeRoutes(2, "next");
  // The new lead lists both kinds; the watches of the leads go on meanwhile.
  CHECK(calls() - before < kFollowers);
}

}  // namespace
}  // namespace dotterelshed
