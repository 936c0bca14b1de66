#include "dotterelshed/platform_client.h"

#include <catch2/catch.hpp>
#include <map>
#include <mutex>
#include <thread>

#include "platform_http.h"

namespace dotterelshed {
namespace {

using pvt::Json;

/// A store of one kind over HTTP on a port of the system's choice. With
/// m_lost set, writes take effect and their answers are cut off.
class TinyPlatform {
 public:
  TinyPlatform() {
    m_server.Get("/apis/dotterelshed/v1/things/(.+)",
                 [this](const auto& in, auto& out) { Get(in, out); });
    m_server.Get("/apis/dotterelshed/v1/things",
                 [this](const auto& in, auto& out) { Watch(in, out); });
    m_server.Post("/apis/dotterelshed/v1/things",
                  [this](const auto& in, auto& out) { Write(in, out); });
    m_server.Put("/apis/dotterelshed/v1/things/(.+)",
                 [this](const auto& in, auto& out) { Write(in, out); });
    m_port = m_server.bind_to_any_port("127.0.0.1");
    m_thread = std::thread([this] { m_server.listen_after_bind(); });
  }
  ~TinyPlatform() {
    m_server.stop();
    m_thread.join();
  }

  auto Options() const -> PlatformOptions {
    return {.m_address = "127.0.0.1:" + std::to_string(m_port),
            .m_writer = "test"};
  }

  std::atomic<int> m_lost{0};
  std::atomic<int> m_status{0};
  std::atomic<bool> m_overwrite{false};
  std::atomic<int> m_watches{0};

 private:
  auto Get(const httplib::Request& in, httplib::Response& out) -> void {
    const std::lock_guard lock(m_mutex);
    const auto found = m_objects.find(in.matches[1]);
    out.status = found == m_objects.end() ? 404 : 200;
    out.set_content(found == m_objects.end() ? "{}" : found->second.dump(),
                    "application/json");
  }

  /// Sends one event and half of the next, then breaks the connection.
  auto Watch(const httplib::Request& in, httplib::Response& out) -> void {
    ++m_watches;
    const auto from = std::stoi(in.get_param_value("resourceVersion"));
    if (from < 10 || from >= 13) {
      out.status = 410;
      return;
    }
    const auto line = EventLine(from + 1);
    const auto half = EventLine(from + 2).substr(0, 20);
    out.set_chunked_content_provider("application/json",
                                     [line, half](std::size_t, auto& sink) {
                                       sink.write(line.data(), line.size());
                                       sink.write(half.data(), half.size());
                                       return false;
                                     });
  }

  static auto EventLine(int version) -> std::string {
    const Json event{
        {"type", "MODIFIED"},
        {"object",
         {{"kind", "things"},
          {"metadata",
           {{"name", "a"}, {"resourceVersion", std::to_string(version)}}},
          {"spec", {{"n", version}}}}}};
    return event.dump() + "\n";
  }

  auto Write(const httplib::Request& in, httplib::Response& out) -> void {
    const std::lock_guard lock(m_mutex);
    if (m_status != 0) {
      out.status = m_status;
      return;
    }
    auto object = Json::parse(in.body);
    const auto name = object["metadata"]["name"].get<std::string>();
    const auto found = m_objects.find(name);
    const auto stored = found == m_objects.end()
                            ? "0"
                            : found->second["metadata"]["resourceVersion"];
    if (object["metadata"]["resourceVersion"] != stored) {
      out.status = 409;
      return;
    }
    object["metadata"]["resourceVersion"] = std::to_string(++m_version);
    m_objects[name] = object;
    if (m_lost > 0) {
      --m_lost;
      if (m_overwrite) {
        m_objects[name]["metadata"]["annotations"]["writer"] = "another";
      }
      out.set_content_provider(100, "application/json",
                               [](auto, auto, auto&) { return false; });
      return;
    }
    out.set_content(object.dump(), "application/json");
  }

  httplib::Server m_server;
  int m_port = 0;
  std::thread m_thread;
  std::mutex m_mutex;
  std::map<std::string, Json> m_objects;
  int m_version = 0;
};

auto Thing(std::int64_t version, const std::string& value) -> PlatformObject {
  return {.m_kind = "things",
          .m_name = "a",
          .m_version = ResourceVersion(version),
          .m_value = value};
}

TEST_CASE("a put replaces only the version that it names") {
  TinyPlatform platform;
  const auto options = platform.Options();
  CHECK(GetObject(options, "things", "a").error().m_code ==
        ErrorCode::kNotFound);
  const auto created = PutObject(options, Thing(0, R"({"n":1})"));
  REQUIRE(created);
  CHECK(PutObject(options, Thing(0, "{}")).error().m_code ==
        ErrorCode::kConflict);
  const auto replaced =
      PutObject(options, Thing(created->value(), R"({"n":2})"));
  REQUIRE(replaced);
  const auto read = GetObject(options, "things", "a");
  REQUIRE(read);
  CHECK(read->m_version == *replaced);
  CHECK(read->m_value == R"({"n":2})");
}

TEST_CASE("a put recognises its own write after a lost answer") {
  TinyPlatform platform;
  platform.m_lost = 1;
  const auto version = PutObject(platform.Options(), Thing(0, "{}"));
  REQUIRE(version);
  CHECK(version->value() == 1);
}

TEST_CASE("a put stays uncertain when another write covered it") {
  TinyPlatform platform;
  platform.m_lost = 1;
  platform.m_overwrite = true;
  const auto version = PutObject(platform.Options(), Thing(0, "{}"));
  REQUIRE_FALSE(version);
  CHECK(version.error().m_code == ErrorCode::kTimeout);
}

TEST_CASE("a refused put can't have happened, a broken one may have") {
  TinyPlatform platform;
  const auto code = [&platform](int status) {
    platform.m_status = status;
    return PutObject(platform.Options(), Thing(0, "{}")).error().m_code;
  };
  CHECK(code(503) == ErrorCode::kUnavailable);
  CHECK(code(429) == ErrorCode::kUnavailable);
  CHECK(code(500) == ErrorCode::kTimeout);
  CHECK(code(413) == ErrorCode::kLimit);
}

TEST_CASE("a watch goes on after broken connections and loses no event") {
  TinyPlatform platform;
  const std::atomic<bool> stop{false};
  std::vector<std::int64_t> seen;
  const auto status =
      WatchObjects(platform.Options(), "things", ResourceVersion(10), stop,
                   [&seen](const WatchEvent& event) {
                     seen.push_back(event.m_object.m_version.value());
                   });
  CHECK(seen == std::vector<std::int64_t>{11, 12, 13});
  REQUIRE_FALSE(status);
  CHECK(status.error().m_code == ErrorCode::kGone);
  CHECK(platform.m_watches == 4);
}

TEST_CASE("no platform at all is unavailable") {
  const PlatformOptions options{.m_address = "127.0.0.1:1", .m_writer = "test"};
  CHECK(PutObject(options, Thing(0, "{}")).error().m_code ==
        ErrorCode::kUnavailable);
  CHECK(ListObjects(options, "things").error().m_code ==
        ErrorCode::kUnavailable);
}

}  // namespace
}  // namespace dotterelshed
