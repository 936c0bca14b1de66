#include "view/view_server.h"

#include <catch2/catch.hpp>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace dotterelshed {
namespace {

const TimePoint kUntil{std::chrono::seconds(60)};

auto MakeObject(const std::string& name, std::int64_t version) -> StoredObject {
  return {.m_name = name,
          .m_version = ResourceVersion(version),
          .m_spec = {{"service", "s"}}};
}

auto State(std::int64_t version) -> ViewResponse {
  return {.m_version = ResourceVersion(version),
          .m_age = std::chrono::milliseconds(30),
          .m_hold = std::chrono::milliseconds(500)};
}

/// The answer to one request.
struct PendingAnswer {
  std::optional<Result<std::string>> m_reply;

  auto Answer() const -> ViewResponse {
    REQUIRE(m_reply);
    REQUIRE(*m_reply);
    const auto answer = DecodeViewResponse(**m_reply);
    REQUIRE(answer);
    return *answer;
  }
};

auto SendRequest(ViewServer& server,
                 std::int64_t version,
                 std::int64_t present,
                 bool accepts_partial = false)
    -> std::shared_ptr<PendingAnswer> {
  auto pending = std::make_shared<PendingAnswer>();
  server.AddRequest({.m_kind = ObjectKind::kEndpoints,
                     .m_version = ResourceVersion(version),
                     .m_accepts_partial = accepts_partial},
                    State(present), kUntil,
                    [pending](const Result<std::string>& reply) {
                      pending->m_reply = reply;
                    });
  return pending;
}

TEST_CASE("a request with an older version gets all objects at once") {
  ViewServer server;
  server.Replace({MakeObject("a", 3), MakeObject("b", 5)}, ResourceVersion(5));
  const auto answer = SendRequest(server, 4, 7)->Answer();
  CHECK(answer.m_version == ResourceVersion(7));
  CHECK(answer.m_age == std::chrono::milliseconds(30));
  CHECK(answer.m_hold == std::chrono::milliseconds(500));
  REQUIRE(answer.m_objects);
  REQUIRE(answer.m_objects->size() == 2);
  CHECK(answer.m_objects->back().m_version == ResourceVersion(5));
  CHECK(answer.m_objects->back().m_spec["service"] == "s");
}

TEST_CASE("a request with the newest version waits and gets no objects") {
  ViewServer server;
  server.Replace({MakeObject("a", 3)}, ResourceVersion(5));
  const auto pending = SendRequest(server, 5, 5);
  CHECK_FALSE(pending->m_reply);
  server.RespondToAll(State(9));
  const auto answer = pending->Answer();
  CHECK(answer.m_version == ResourceVersion(9));
  CHECK_FALSE(answer.m_objects);
}

TEST_CASE("a waiting request is answered when its time is over") {
  ViewServer server;
  server.Replace({MakeObject("a", 3)}, ResourceVersion(5));
  const auto pending = SendRequest(server, 5, 5);
  server.RespondToDue(State(6), kUntil - std::chrono::milliseconds(1));
  CHECK_FALSE(pending->m_reply);
  server.RespondToDue(State(6), kUntil);
  CHECK_FALSE(pending->Answer().m_objects);
}

TEST_CASE("a waiting request is answered when an object is removed") {
  ViewServer server;
  server.Replace({MakeObject("a", 3), MakeObject("b", 4)}, ResourceVersion(5));
  const auto pending = SendRequest(server, 5, 5);
  server.Apply(
      {.m_changes = {{.m_object = MakeObject("a", 6), .m_removed = true}},
       .m_store_version = ResourceVersion(6)});
  server.RespondToAll(State(6));
  const auto answer = pending->Answer();
  REQUIRE(answer.m_objects);
  REQUIRE(answer.m_objects->size() == 1);
  CHECK(answer.m_objects->front().m_name == "b");
}

TEST_CASE("dropping the view fails waiting requests") {
  ViewServer server;
  server.Replace({}, ResourceVersion(5));
  const auto pending = SendRequest(server, 5, 5);
  server.FailAll({ErrorCode::kTimeout, "", ""});
  REQUIRE(pending->m_reply);
  CHECK(pending->m_reply->error().m_code == ErrorCode::kTimeout);
}

TEST_CASE("a view that was reset doesn't answer until it is listed again") {
  ViewServer server;
  server.Replace({MakeObject("a", 3)}, ResourceVersion(5));
  server.Reset({ErrorCode::kUnavailable, "", ""});
  // Objects may have changed between these versions.
  const auto pending = SendRequest(server, 4, 9);
  CHECK_FALSE(pending->m_reply);
  server.Replace({MakeObject("b", 7)}, ResourceVersion(9));
  server.RespondToAll(State(9));
  const auto answer = pending->Answer();
  REQUIRE(answer.m_objects);
  REQUIRE(answer.m_objects->size() == 1);
  CHECK(answer.m_objects->front().m_name == "b");
}

TEST_CASE("a change of one object is sent without the others") {
  constexpr int kObjects = 1000;
  constexpr std::size_t kMaxResponseBytes = 1000;
  std::vector<StoredObject> objects;
  objects.reserve(kObjects);
  for (int i = 0; i < kObjects; ++i) {
    objects.push_back(MakeObject("e" + std::to_string(i), 3));
  }
  ViewServer server;
  server.Replace(objects, ResourceVersion(5));
  const auto pending = SendRequest(server, 5, 5, true);
  server.Apply({.m_changes = {{.m_object = MakeObject("e7", 6)}},
                .m_store_version = ResourceVersion(6)});
  server.RespondToAll(State(6));
  REQUIRE(pending->m_reply);
  REQUIRE(*pending->m_reply);
  CHECK((*pending->m_reply)->size() < kMaxResponseBytes);
  const auto answer = pending->Answer();
  CHECK(answer.m_partial);
  REQUIRE(answer.m_objects);
  REQUIRE(answer.m_objects->size() == 1);
  CHECK(answer.m_objects->front().m_version == ResourceVersion(6));
  // A version from before the listing, whose changes aren't known.
  CHECK_FALSE(SendRequest(server, 4, 6, true)->Answer().m_partial);
}

TEST_CASE("hosts that don't accept partial responses get all objects") {
  ViewServer server;
  server.Replace({MakeObject("a", 3), MakeObject("b", 4)}, ResourceVersion(5));
  server.Apply({.m_changes = {{.m_object = MakeObject("b", 6)}},
                .m_store_version = ResourceVersion(6)});
  const auto answer = SendRequest(server, 5, 6)->Answer();
  CHECK_FALSE(answer.m_partial);
  REQUIRE(answer.m_objects);
  CHECK(answer.m_objects->size() == 2);
}

/// Content of a view that is kept up to date by responses.
auto ApplyTo(std::map<std::string, std::int64_t>& view,
             const ViewResponse& response) -> void {
  if (!response.m_partial && response.m_objects) {
    view.clear();
  }
  for (const auto& object :
       response.m_objects.value_or(std::vector<StoredObject>())) {
    view[object.m_name] = object.m_version.value();
  }
  for (const auto& name : response.m_removed) {
    view.erase(name);
  }
}

/// A server and the versions of the objects that it should have.
struct ChangingView {
  ViewServer m_server;
  std::map<std::string, std::int64_t> m_objects;
  std::int64_t m_version = 1;

  auto List() -> void {
    std::vector<StoredObject> objects;
    objects.reserve(m_objects.size());
    for (const auto& [name, version] : m_objects) {
      objects.push_back(MakeObject(name, version));
    }
    m_server.Reset({ErrorCode::kUnavailable, "", ""});
    m_server.Replace(objects, ResourceVersion(m_version));
  }

  auto Change(const std::string& name, bool removed) -> void {
    m_server.Apply({.m_changes = {{.m_object = MakeObject(name, m_version),
                                   .m_removed = removed}},
                    .m_store_version = ResourceVersion(m_version)});
    m_objects[name] = m_version;
    if (removed) {
      m_objects.erase(name);
    }
  }
};

TEST_CASE("views kept by partial responses equal the server's, any changes") {
  constexpr int kSteps = 3000;
  constexpr int kNames = 40;
  const auto seed = std::random_device()();
  INFO("seed " << seed);
  std::mt19937 random(seed);
  ChangingView source;
  std::map<std::string, std::int64_t> view;
  std::int64_t known = 0;
  source.List();
  for (int i = 0; i < kSteps; ++i) {
    ++source.m_version;
    const auto action = random() % 100;
    if (action == 0) {
      source.List();
    } else {
      source.Change(std::to_string(random() % kNames), action < 30);
    }
    if (random() % 5 == 0) {
      const auto version = source.m_version;
      ApplyTo(view,
              SendRequest(source.m_server, known, version, true)->Answer());
      known = version;
      REQUIRE(view == source.m_objects);
    }
  }
}

TEST_CASE("malformed view messages are rejected") {
  CHECK_FALSE(DecodeViewRequest(R"({"kind":"ledgers","version":1})"));
  CHECK_FALSE(DecodeViewRequest("{"));
  CHECK_FALSE(DecodeViewResponse(R"({"version":1,"age_ms":0,"hold_ms":0})"));
  CHECK_FALSE(DecodeViewResponse(
      R"({"version":1,"age_ms":0,"hold_ms":0,"objects":[{}]})"));
  const auto request = DecodeViewRequest(EncodeViewRequest(
      {.m_kind = ObjectKind::kConfig, .m_version = ResourceVersion(8)}));
  REQUIRE(request);
  CHECK(request->m_kind == ObjectKind::kConfig);
  CHECK(request->m_version == ResourceVersion(8));
}

}  // namespace
}  // namespace dotterelshed
