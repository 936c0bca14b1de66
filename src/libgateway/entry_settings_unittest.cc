#include "entry_settings.h"

#include <catch2/catch.hpp>

namespace dotterelshed {
namespace {

constexpr auto kText = R"({
  // a comment
  "role": "entry",
  "host": "h1",
  "domain": "z",
  "caller_address": "127.0.0.1:1",
  "ready_address": "127.0.0.1:2",
  "peer_address": "127.0.0.1:3",
  "platform_address": "127.0.0.1:4",
  "processor_share": 0.25,
  "tolerated_losses": 2,
  "view_max_age_ms": 4000,
  "endpoint_heartbeat_ms": 1100,
  "endpoint_leave_ms": 3000,
  "config_change_ms": 2500,
  "key_withdrawal_ms": 5500,
  "strict_key_withdrawal": true,
  "first_start": true,
  "obligations": ["base", "health"],
  "domains": ["y", "z"],
  "quota_window_s": 4,
  "quota_over": 0.2,
  "quota_slack": 10,
  "stop_grace_s": 8.5
})";

auto Changed(const std::string& from, const std::string& to) -> std::string {
  std::string text = kText;
  return text.replace(text.find(from), from.size(), to);
}

TEST_CASE("settings are parsed") {
  const auto settings = ParseEntrySettings(kText, "f");
  REQUIRE(settings);
  CHECK(settings->m_role == HostRole::kEntry);
  CHECK(settings->m_host == HostId("h1"));
  CHECK(settings->m_stop_grace == std::chrono::milliseconds(8500));
  CHECK(settings->m_view_max_age == std::chrono::seconds(4));
  CHECK(settings->m_endpoint_heartbeat == std::chrono::milliseconds(1100));
  CHECK(settings->m_endpoint_leave == std::chrono::seconds(3));
  CHECK(settings->m_config_change == std::chrono::milliseconds(2500));
  CHECK(settings->m_key_withdrawal == std::chrono::milliseconds(5500));
  CHECK(settings->m_strict_key_withdrawal);
  CHECK(settings->m_first_start);
  CHECK(settings->m_processor_share == 0.25);
  CHECK(settings->m_tolerated_losses == 2);
  CHECK(settings->m_obligations.m_judge_endpoints);
  CHECK_FALSE(settings->m_obligations.m_spare_connections);
  CHECK(settings->m_domains == std::vector{DomainId("y"), DomainId("z")});
  CHECK(settings->m_quota_window == std::chrono::seconds(4));
  CHECK(settings->m_quota_over == 0.2);
  CHECK(settings->m_quota_slack == 10);
  CHECK_FALSE(settings->m_tolerated_domains);
  const auto with_domains = ParseEntrySettings(
      Changed("\"view_max_age_ms\"",
              "\"tolerated_domains\": 0, \"view_max_age_ms\""),
      "f");
  REQUIRE(with_domains);
  CHECK(with_domains->m_tolerated_domains == 0);
}

TEST_CASE("an invalid setting is reported with its key") {
  const auto [from, to, key] =
      GENERATE(std::tuple("\"entry\"", "\"other\"", "role"),
               std::tuple("\"h1\"", "\"\"", "host"),
               std::tuple("127.0.0.1:2", "127.0.0.1", "ready_address"),
               std::tuple("8.5", "-1", "stop_grace_s"),
               std::tuple(": 2,", ": -2,", "tolerated_losses"),
               std::tuple("4000", "1500", "view_max_age_ms"),
               std::tuple("1100", "0", "endpoint_heartbeat_ms"),
               std::tuple("3000", "\"3\"", "endpoint_leave_ms"),
               std::tuple("2500", "900", "config_change_ms"),
               std::tuple("\"z\"]", "\"x\"]", "domains"),
               std::tuple("\"y\"", "1", "domains"),
               std::tuple("4,\n  \"quota_over", "0.5,\n  \"quota_over",
                          "quota_window_s"),
               std::tuple("0.2,", "-1,", "quota_over"),
               std::tuple("10,", "\"10\",", "quota_slack"),
               std::tuple("5500", "-1", "key_withdrawal_ms"),
               std::tuple("withdrawal\": true", "withdrawal\": 1",
                          "strict_key_withdrawal"),
               std::tuple("start\": true", "start\": 1", "first_start"),
               std::tuple("0.25", "true", "processor_share"),
               std::tuple("\"base\"", "7", "obligations"),
               std::tuple("stop_grace_s", "stop_grace", "stop_grace"));
  const auto settings = ParseEntrySettings(Changed(from, to), "f");
  REQUIRE_FALSE(settings);
  CHECK(settings.error().m_place == "f: " + std::string(key));
}

TEST_CASE("a number or flag may stand in a list or have no value") {
  const auto [text, slack] =
      GENERATE(std::pair("[25]", 25.0), std::pair("[]", 0.0),
               std::pair("[null]", 0.0), std::pair("null", 0.0));
  const auto settings = ParseEntrySettings(
      Changed("\"quota_slack\": 10", std::string("\"quota_slack\": ") + text),
      "f");
  REQUIRE(settings);
  CHECK(settings->m_quota_slack ==
        (slack == 0 ? EntrySettings().m_quota_slack : slack));
  const auto flag = ParseEntrySettings(
      Changed("withdrawal\": true", "withdrawal\": [true]"), "f");
  REQUIRE(flag);
  CHECK(flag->m_strict_key_withdrawal);
  CHECK_FALSE(ParseEntrySettings(Changed("10,", "[10, 11],"), "f"));
  CHECK_FALSE(ParseEntrySettings(Changed("10,", "[\"10\"],"), "f"));
  CHECK_FALSE(ParseEntrySettings(Changed("\"h1\"", "null"), "f"));
}

TEST_CASE("the stricter bound of keys and configuration is followed") {
  EntrySettings settings;
  settings.m_config_change = std::chrono::seconds(3);
  CHECK(KeyWithdrawalTime(settings) == settings.m_config_change);
  CHECK(ConfigChangeTime(settings) == settings.m_config_change);
  settings.m_key_withdrawal = std::chrono::seconds(5);
  CHECK(KeyWithdrawalTime(settings) == std::chrono::seconds(5));
  CHECK(ConfigChangeTime(settings) == std::chrono::seconds(3));
  settings.m_key_withdrawal = std::chrono::seconds(2);
  CHECK(ConfigChangeTime(settings) == std::chrono::seconds(2));
  settings.m_key_withdrawal = std::chrono::milliseconds(1);
  CHECK(ConfigChangeTime(settings) == std::chrono::seconds(1));
}

TEST_CASE("a disk host needs no caller address") {
  const auto text = R"({"role": "disk", "host": "h", "domain": "z",
    "caller_address": "", "ready_address": "", "peer_address": "127.0.0.1:3",
    "platform_address": "127.0.0.1:4", "data_dir": "/d"})";
  CHECK(ParseEntrySettings(text, "f"));
}

}  // namespace
}  // namespace dotterelshed
