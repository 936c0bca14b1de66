#include <functional>
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
/// Leads that replace each other at this interval.
constexpr int kSilentLeads = 12;
constexpr Duration kLeadChange = std::chrono::milliseconds(300);

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
  const auto changed_at = SteadyTime();
  environment.RunFor(std::chrono::milliseconds(800));
  // The lead watches on after the change, for two seconds each time.
  const auto watches =
      2 + (SteadyTime() - changed_at) / std::chrono::seconds(2);
  CHECK(environment.m_store.calls("leads") - before <= watches);
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
  const auto listings = [&store] {
    return store.listings("servers") + store.listings("config");
  };
  const auto before = listings();
  const auto& larger = environment.AddHost("large", "z", 3.0);
  environment.RunUntil([&larger] { return larger.leads(); });
  domain.ChangeRoutes(2, "next");
  // The new lead lists both kinds.
  CHECK(listings() - before <= 2);
}

TEST_CASE("in an outage the lead looks for the store's return for all") {
  Domain domain;
  auto& environment = domain.m_environment;
  constexpr auto kOutage = std::chrono::seconds(6);
  environment.m_store.SetDown(true);
  const auto before = environment.m_store.refused();
  environment.RunFor(kOutage);
  // The lead calls about once a second for each of three kinds, the others less
  // than half as often; some calls more at the beginning.
  const auto lead_calls = 3 * (kOutage / std::chrono::seconds(1) + 4);
  const auto calls = environment.m_store.refused() - before;
  CHECK(calls < lead_calls + kFollowers * lead_calls / 2);
  environment.m_store.SetDown(false);
  const auto up_at = SteadyTime();
  domain.ChangeRoutes(2, "next");
  CHECK(SteadyTime() - up_at < EntrySettings().m_view_max_age);
}

TEST_CASE(
    "a host that is cut off from the store alone reads through its lead") {
  TestEnvironment environment;
  environment.AddEndpoint(AnswerPlain);
  // What the host reaches in place of the store that its lead reads.
  TestStore dead_store(environment.m_loop);
  REQUIRE(dead_store.Listen(Loopback()));
  environment.Start();
  dead_store.SetDown(true);
  ObjectStore store(environment.m_loop, {.m_address = dead_store.address()});
  const auto lead = environment.m_store.Find("leads", "z")["spec"];
  ConnectionPool peers(environment.m_loop, {});
  int listings = 0;
  const auto watcher = std::make_shared<ObjectWatcher>(
      environment.m_loop, store,
      WatcherOptions{.m_kind = ObjectKind::kEndpoints},
      HandleEachObject(
          [&listings](const StoredObject& /*object*/) { ++listings; }),
      ViewReader{peers, [&lead, &dead_store]() -> std::string {
                   // Known only after the store has failed.
                   return dead_store.refused() > 0
                              ? lead["peer_address"].get<std::string>()
                              : std::string();
                 }});
  watcher->Start();
  environment.RunUntil([&listings] { return listings > 0; });
  CHECK(dead_store.refused() < 5);
}

// Guards against DRAIN broken by a host that never lists a store that is back,
// since it asks one new lead after the other.
TEST_CASE("a host lists a store that is back although its leads change") {
  TestEnvironment environment;
  environment.AddEndpoint(AnswerPlain);
  std::vector<std::unique_ptr<ScriptedEndpoint>> silent;
  silent.reserve(kSilentLeads);
  for (int i = 0; i < kSilentLeads; ++i) {
    silent.push_back(std::make_unique<ScriptedEndpoint>(
        environment.m_loop, [](const auto& /*request*/) {}));
  }
  const auto lead = [&silent] {
    const auto changes = SteadyTime().time_since_epoch() / kLeadChange;
    return FormatTcpAddress(silent[changes % kSilentLeads]->address());
  };
  ObjectStore store(environment.m_loop,
                    {.m_address = environment.m_store.address()});
  ConnectionPool peers(environment.m_loop, {});
  int listings = 0;
  const WatcherOptions options{.m_kind = ObjectKind::kEndpoints};
  const auto watcher = std::make_shared<ObjectWatcher>(
      environment.m_loop, store, options,
      HandleEachObject(
          [&listings](const StoredObject& /*object*/) { ++listings; }),
      ViewReader{peers, lead});
  const auto run_until = [&](const std::function<bool()>& done) {
    environment.RunUntil([&] {
      watcher->Tick(SteadyTime());
      return done();
    });
  };
  environment.m_store.SetDown(true);
  watcher->Start();
  run_until([&environment] { return environment.m_store.refused() > 0; });
  environment.m_store.SetDown(false);
  const auto up_at = SteadyTime();
  run_until(
      [&] { return listings > 0 || SteadyTime() - up_at > options.m_max_age; });
  CHECK(listings > 0);
}

}  // namespace
}  // namespace dotterelshed
