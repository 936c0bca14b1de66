#include "dotterelshed/settings.h"

#include <catch2/catch.hpp>
#include <pcg_random.hpp>
#include <string>

namespace dotterelshed {
namespace {

using Catch::Contains;

constexpr auto kMinimal = R"({
  // The three that have no default, and the secret.
  "host": "h1", "domain": "north",
  "platform_address": "127.0.0.1:7000",
  "token_secret": "s", "charts_dir": "charts"
})";

TEST_CASE("settings have defaults for all but a few keys") {
  const auto settings = ParseSettings(kMinimal, "h1.jsonc");
  REQUIRE(settings);
  CHECK(settings->m_host == HostId("h1"));
  CHECK(settings->m_http_address == "127.0.0.1:0");
  CHECK(settings->m_drain_timeout == std::chrono::seconds(30));
}

TEST_CASE("every mistake in settings is named in one run") {
  const auto settings = ParseSettings(R"({
  "host": "h 1",
  "domain": "north", "platform_address": "here",
  "charts_dir": "charts",
  "tick": "5", "max_body": "4MB", "log_level": "loud",
  "hartbeat_interval": "1s", "missed_heartbeats": 1
})",
                                      "h1.jsonc");
  REQUIRE_FALSE(settings);
  const auto& message = settings.error().m_message;
  CHECK_THAT(message, Contains("h1.jsonc:2: host: 'h 1' is no name"));
  CHECK_THAT(message, Contains("h1.jsonc:3: platform_address: 'here'"));
  CHECK_THAT(message, Contains("h1.jsonc:1: token_secret: the key is missing"));
  CHECK_THAT(message, Contains("h1.jsonc:5: tick: '5' has no unit"));
  CHECK_THAT(message, Contains("h1.jsonc:5: max_body: unknown unit 'MB'"));
  CHECK_THAT(message, Contains("h1.jsonc:5: log_level: unknown value 'loud'"));
  CHECK_THAT(message, Contains("did you mean 'heartbeat_interval'?"));
  CHECK_THAT(message, Contains("missed_heartbeats: is out of range; write 2"));
}

/// A number from @p low to @p high.
auto Draw(pcg32& random, int low, int high) -> int {
  return low + static_cast<int>(random(static_cast<std::uint32_t>(high - low)));
}

auto RandomSettings(pcg32& random) -> Settings {
  Settings settings;
  settings.m_host = HostId("h" + std::to_string(Draw(random, 0, 1000)));
  settings.m_domain = DomainId("d" + std::to_string(Draw(random, 0, 9)));
  settings.m_platform_address =
      "10.0.0.1:" + std::to_string(Draw(random, 0, 65535));
  settings.m_seed_peers.assign(static_cast<std::size_t>(Draw(random, 0, 4)),
                               "10.0.0.2:5");
  settings.m_token_secret = "a \"quoted\" \\ secret\n\xC3\xA6";
  settings.m_charts_dir = "/charts // no comment";
  settings.m_data_dir = Draw(random, 0, 2) == 0 ? "" : "/data";
  settings.m_heartbeat_interval = Duration(Draw(random, 10000, 60000000));
  settings.m_tick = Duration(Draw(random, 1000, 1000000));
  settings.m_drain_timeout = std::chrono::seconds(Draw(random, 1, 86400));
  settings.m_max_open_requests = Draw(random, 1, 100000);
  settings.m_max_body = Bytes(Draw(random, 1024, 1073741824));
  return settings;
}

TEST_CASE("formatted settings parse to the same settings") {
  constexpr std::uint64_t kSeed = 20261204;
  constexpr auto kRounds = 500;
  pcg32 random(kSeed);
  for (auto i = 0; i < kRounds; ++i) {
    const auto text = FormatSettings(RandomSettings(random));
    CAPTURE(kSeed, i, text);
    const auto parsed = ParseSettings(text, "x");
    REQUIRE(parsed);
    REQUIRE(FormatSettings(*parsed) == text);
  }
}

}  // namespace
}  // namespace dotterelshed
