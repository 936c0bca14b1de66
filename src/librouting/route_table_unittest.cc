#include "dotterelshed/route_table.h"

#include <catch2/catch.hpp>

namespace dotterelshed {
namespace {

auto MakeTable() -> RouteTable {
  RouteTable table;
  for (const auto* prefix : {"/a/", "/a/b/", "/c/"}) {
    Route route;
    route.m_name = prefix;
    route.m_host = "Desk.example";
    route.m_path_prefix = prefix;
    route.m_services = {{ServiceId("s"), 1}};
    table.m_routes.push_back(route);
  }
  IndexRoutes(table);
  return table;
}

auto RouteName(const Route* route) -> std::string {
  return route == nullptr ? "none" : route->m_name;
}

TEST_CASE("the longest matching prefix of the host is chosen") {
  const auto table = MakeTable();
  CHECK(RouteName(FindRoute(table, "desk.example", "/a/x")) == "/a/");
  CHECK(RouteName(FindRoute(table, "desk.example", "/a/b/x")) == "/a/b/");
  CHECK(RouteName(FindRoute(table, "desk.example:80", "/c/?q=/a/")) == "/c/");
  CHECK(RouteName(FindRoute(table, "desk.example", "/a")) == "none");
  CHECK(RouteName(FindRoute(table, "desk.example", "/d/?q=/a/")) == "none");
  CHECK(RouteName(FindRoute(table, "other.example", "/a/x")) == "none");
}

TEST_CASE("the longest retention of all routes is found") {
  auto table = MakeTable();
  table.m_routes.front().m_retention = std::chrono::seconds(120);
  CHECK(LongestRetention(table) == std::chrono::seconds(120));
  CHECK(LongestRetention(RouteTable()) == Duration{0});
}

TEST_CASE("services are chosen by weight") {
  Route route;
  route.m_services = {{ServiceId("a"), 90}, {ServiceId("b"), 10}};
  CHECK(PickService(route, 0.0) == ServiceId("a"));
  CHECK(PickService(route, 0.899) == ServiceId("a"));
  CHECK(PickService(route, 0.901) == ServiceId("b"));
  CHECK(PickService(route, 0.9999999) == ServiceId("b"));
}

}  // namespace
}  // namespace dotterelshed
