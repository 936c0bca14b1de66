#include "dotterelshed/config_text.h"

#include <catch2/catch.hpp>
#include <fstream>
#include <sstream>

namespace dotterelshed {
namespace {

constexpr auto kGood = R"({
  "desk": "test", "currency": "DKK",
  "domains": ["north", "south"],
  "default_class": "short",
  "services": [
    { "name": "chat", "kind": "model", "timeout": "500ms", // comment
      "price": { "per_million_prompt_tokens": "2 DKK", "per_call": "0.25 DKK" },
      "models": [ { "name": "m", "version": "1" } ],
      "endpoints": [
        { "name": "e", "domain": "north", "address": "127.0.0.1:9000", "count": 2 }
      ] },
    { "name": "tool", "kind": "plain", "depends_on": ["chat"],
      "endpoints": [
        { "name": "t", "domain": "south", "address": "127.0.0.1:9100" }
      ] }
  ],
  "classes": [ { "name": "short", "budget": "1.5 DKK" } ],
  "accounts": [ { "name": "a" } ]
})";

/// The good text with one piece replaced.
auto Replaced(const std::string& from, const std::string& to) -> std::string {
  auto text = std::string(kGood);
  const auto at = text.find(from);
  REQUIRE(at != std::string::npos);
  return text.replace(at, from.size(), to);
}

/// The only problem of the good text with one piece replaced.
auto OnlyProblem(const std::string& from, const std::string& to)
    -> ConfigProblem {
  const auto check = CheckConfigText(Replaced(from, to), Generation(1));
  std::string all;
  for (const auto& problem : check.m_problems) {
    all += FormatProblem(problem, "t") + "\n";
  }
  INFO(all);
  REQUIRE(check.m_problems.size() == 1);
  return check.m_problems.front();
}

TEST_CASE("a good text is compiled whole") {
  const auto check = CheckConfigText(kGood, Generation(7));
  REQUIRE(check.ok());
  const auto& config = check.m_config;
  CHECK(config.m_generation == Generation(7));
  const auto& chat = config.m_services.at(ServiceId("chat"));
  CHECK(chat.m_timeout == std::chrono::milliseconds(500));
  CHECK(chat.m_repeatable);
  CHECK(chat.m_price_per_prompt_token == Cost(2));
  CHECK(chat.m_price_per_call == Cost(250000));
  REQUIRE(chat.m_endpoints.size() == 2);
  CHECK(chat.m_endpoints[1].m_id == EndpointId("e-2"));
  CHECK(chat.m_endpoints[1].m_address == "127.0.0.2:9000");
  CHECK_FALSE(config.m_services.at(ServiceId("tool")).m_repeatable);
  CHECK(config.m_classes.at(ClassId("short")).m_budget == Cost(1500000));
  CHECK(config.m_accounts.at(AccountId("a")).m_classes ==
        std::vector{ClassId("short")});
}

TEST_CASE("each mistake is named with line, path and remedy") {
  struct Case {
    std::string m_from;
    std::string m_to;
    int m_line;
    std::string m_path;
    std::string m_words;
    std::string m_remedy;
  };
  const std::vector<Case> cases{
      {R"("timeout": "500ms")", R"("timeuot": "500ms")", 6,
       "services[0].timeuot", "unknown key", "'timeout'"},
      {R"("500ms")", R"("500 parsecs")", 6, "services[0].timeout",
       "unknown unit 'parsecs'", "ms"},
      {R"("500ms")", R"("500")", 6, "services[0].timeout", "no unit", "ms"},
      {R"("500ms")", "500", 6, "services[0].timeout", "is a whole number",
       "write a duration"},
      {R"("500ms")", R"("25h")", 6, "services[0].timeout", "out of range",
       "1ms to 24h"},
      {R"("0.25 DKK")", R"("0.25 EUR")", 7, "services[0].price.per_call",
       "unknown currency 'EUR'", "DKK"},
      {R"("2 DKK")", R"("2.5 DKK")", 7,
       "services[0].price.per_million_prompt_tokens", "fraction", "whole"},
      {R"(["chat"])", R"(["chatt"])", 12, "services[1].depends_on[0]",
       "unknown service 'chatt'", "'chat'"},
      {R"(["chat"])", R"(["tool"])", 12, "services[1].depends_on",
       "tool -> tool", "remove"},
      {R"("domain": "south")", R"("domain": "sout")", 14,
       "services[1].endpoints[0].domain", "unknown domain", "'south'"},
      {R"("name": "t",)", R"("name": "e-1",)", 14,
       "services[1].endpoints[0].name", "stands twice", "line 10"},
      {"127.0.0.1:9100", "127.0.0.2:9000", 14,
       "services[1].endpoints[0].address", "stands twice", "line 10"},
      {"127.0.0.1:9100", "localhost:9100", 14,
       "services[1].endpoints[0].address", "no IPv4 address", "10.1.0.11"},
      {R"("name": "tool", "kind": "plain", "depends_on": ["chat"])",
       R"("name": "chat", "kind": "plain")", 12, "services[1].name",
       "the service 'chat' stands twice", "line 6"},
      {R"("default_class": "short")", R"("default_class": "shrt")", 4,
       "default_class", "unknown class", "'short'"},
      {R"(, "budget": "1.5 DKK")", "", 17, "classes[0].budget",
       "key is missing", "budget"},
      {R"("desk": "test",)", R"("desk": "a", "desk": "b",)", 2, "desk",
       "the key stands twice", "keep one"},
      {R"("kind": "plain")", R"("kind": "plane")", 12, "services[1].kind",
       "unknown value 'plane'", "\"model\" or \"plain\""},
      {R"([ { "name": "m", "version": "1" } ])", "[]", 8, "services[0].models",
       "without models", "add"},
      {R"("accounts": [ { "name": "a" } ])", R"("accounts": {})", 18,
       "accounts", "is a map", "a list of maps"},
  };
  for (const auto& test : cases) {
    CAPTURE(test.m_from, test.m_to);
    const auto problem = OnlyProblem(test.m_from, test.m_to);
    CHECK(problem.m_line == test.m_line);
    CHECK(problem.m_path == test.m_path);
    CHECK_THAT(problem.m_message, Catch::Contains(test.m_words));
    CHECK_THAT(problem.m_remedy, Catch::Contains(test.m_remedy));
  }
}

auto ReadExample(const std::string& name) -> std::string {
  std::ifstream file(std::string(DOTTERELSHED_EXAMPLES_DIR) + "/" + name);
  REQUIRE(file);
  std::stringstream text;
  text << file.rdbuf();
  return text.str();
}

auto CountEndpoints(const DeskConfig& config, ServiceKind kind) -> std::size_t {
  auto count = std::size_t{0};
  for (const auto& entry : config.m_services) {
    count += entry.second.m_kind == kind ? entry.second.m_endpoints.size() : 0;
  }
  return count;
}

TEST_CASE("the examples are sound and have their deployments' sizes") {
  const auto vandstand =
      CheckConfigText(ReadExample("vandstand.jsonc"), Generation(1));
  REQUIRE(vandstand.ok());
  CHECK(CountEndpoints(vandstand.m_config, ServiceKind::kModel) == 15);
  CHECK(CountEndpoints(vandstand.m_config, ServiceKind::kPlain) == 35);
  const auto lagos = CheckConfigText(ReadExample("lagos.jsonc"), Generation(1));
  REQUIRE(lagos.ok());
  CHECK(CountEndpoints(lagos.m_config, ServiceKind::kModel) == 10);
  CHECK(CountEndpoints(lagos.m_config, ServiceKind::kPlain) == 25);
}

}  // namespace
}  // namespace dotterelshed
