#include "status_report.h"

#include <algorithm>
#include <catch2/catch.hpp>

#include "status_print.h"

namespace dotterelshed::ctl {
namespace {

using Catch::Contains;

constexpr auto kText = R"({
  "desk": "t", "domains": ["n", "s"], "default_class": "c",
  "services": [
    { "name": "x", "kind": "plain", "timeout": "60s", "endpoints": [
      { "name": "xn", "domain": "n", "address": "127.0.0.1:1" },
      { "name": "xs", "domain": "s", "address": "127.0.0.1:2" } ] } ],
  "classes": [ { "name": "c", "budget": "1 EUR" } ],
  "accounts": []
})";

constexpr auto kHostStatus = R"({
  "host": "n1", "domain": "n", "draining": false, "requests": {"open": 3},
  "core": { "generation": 4, "platform_reachable": true,
    "pools": { "n/0": { "role": "primary", "programs": 2, "open_calls": 1,
      "copies": {"mode": "holder", "complete": false},
      "scheduling": { "x": { "endpoints": {
        "xn": {"state": "serving", "leaving": false, "running": 1}
      } } } } },
    "ownership": { "quarantined": [] } }
})";

auto GoodPlatform() -> PlatformView {
  const HostRef host{HostId("n1"), Incarnation(1)};
  const HostRef other{HostId("n2"), Incarnation(1)};
  PlatformView view;
  view.m_desk.m_config = {Generation(4), kText};
  view.m_statuses = {{.m_domain = DomainId("n"), .m_in_force = Generation(4)},
                     {.m_domain = DomainId("s"), .m_in_force = Generation(4)}};
  DomainTable table{.m_domain = DomainId("n"), .m_lead = host};
  table.m_pools[PoolId("n/0")] = {
      .m_pool = PoolId("n/0"), .m_primary = host, .m_holder = other};
  DomainTable south{.m_domain = DomainId("s"), .m_lead = host};
  south.m_pools[PoolId("s/0")] = {
      .m_pool = PoolId("s/0"), .m_primary = host, .m_holder = other};
  view.m_tables = {table, south};
  return view;
}

auto GoodHost() -> HostView {
  return ParseHostView("127.0.0.1:9", kHostStatus);
}

auto ProblemsOf(const PlatformView& platform, const HostView& host)
    -> std::vector<std::string> {
  return BuildStatusReport(platform, {host}, 1000).m_problems;
}

TEST_CASE("a desk where everything holds has no problems") {
  const auto report = BuildStatusReport(GoodPlatform(), {GoodHost()}, 1000);
  CHECK(report.m_problems.empty());
  CHECK(report.m_hosts.front().m_open_requests == 3);
  CHECK_THAT(StatusJson(report), Contains("\"holds\": true"));
}

TEST_CASE("each thing that does not hold is named") {
  auto platform = GoodPlatform();
  auto host = GoodHost();
  std::string expected;
  SECTION("a domain is behind") {
    platform.m_statuses[1].m_in_force = Generation(3);
    platform.m_statuses[1].m_behind = {HostId("s1")};
    expected = "s: generation 3 in force; behind: s1";
  }
  SECTION("a pool has no copy holder") {
    platform.m_tables[0].m_pools[PoolId("n/0")].m_holder = {};
    expected = "pool n/0 has no copy holder";
  }
  SECTION("a domain has not given out its pools yet") {
    platform.m_tables[1].m_pools.clear();
    expected = "domain s has no pool with an owner";
  }
  SECTION("copies are not confirmed") {
    host.m_pools["n/0"].m_copied = false;
    expected = "pool n/0 has unconfirmed copies on host n1";
  }
  SECTION("an endpoint is ejected") {
    host.m_endpoints["xn"].m_state = "ejected";
    expected = "endpoint xn is ejected";
  }
  SECTION("an endpoint is leaving") {
    host.m_endpoints["xn"].m_leaving = true;
    expected = "endpoint xn is leaving";
  }
  SECTION("content is under quarantine") {
    host.m_quarantined = {"abc"};
    expected = "requests with content abc crashed endpoints and are refused";
  }
  SECTION("a host does not answer") {
    host = {.m_address = "127.0.0.1:9", .m_error = "refused"};
    expected = "host 127.0.0.1:9: refused";
  }
  SECTION("a host's status is no JSON") {
    host = ParseHostView("127.0.0.1:9", "<html>");
    expected = "host 127.0.0.1:9: its status can't be read";
  }
  SECTION("an action can't be running any more") {
    platform.m_open_claims = {
        {.m_key = IdempotencyKey("gate-7"), .m_claimed_at_s = 900}};
    expected = "action gate-7 has an unknown outcome; look whether it ran";
  }
  SECTION("the platform is away") {
    platform.m_error = "refused";
    expected = "the platform can't be read: refused";
  }
  CHECK(ProblemsOf(platform, host) == std::vector{expected});
}

TEST_CASE("a claim whose call may still run is no problem") {
  auto platform = GoodPlatform();
  platform.m_open_claims = {
      {.m_key = IdempotencyKey("gate-7"), .m_claimed_at_s = 950}};
  CHECK(ProblemsOf(platform, GoodHost()).empty());
}

}  // namespace
}  // namespace dotterelshed::ctl
