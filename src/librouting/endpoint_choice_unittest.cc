#include "dotterelshed/endpoint_choice.h"

#include <catch2/catch.hpp>

#include "dotterelshed/endpoint_subset.h"

namespace dotterelshed {
namespace {

const TimePoint kNow{std::chrono::seconds(50)};
const DomainId kHome("home");

auto MakeDirectory() -> EndpointDirectory {
  EndpointDirectory directory;
  for (const auto& [id, domain] :
       {std::pair("a", "home"), std::pair("b", "home"),
        std::pair("c", "away")}) {
    PutEndpoint(directory, {.m_id = EndpointId(id),
                            .m_service = ServiceId("s"),
                            .m_domain = DomainId(domain),
                            .m_slots = 10});
  }
  return directory;
}

auto Choose(const EndpointDirectory& directory,
            const EndpointLoads& loads,
            ChoiceQuery query = {}) -> std::string {
  query.m_service = ServiceId("s");
  query.m_domain = kHome;
  const auto chosen = ChooseEndpoint(directory, loads, query, kNow);
  return chosen ? chosen->value() : "none";
}

TEST_CASE("the least busy endpoint of the same domain is chosen") {
  EndpointLoads loads;
  loads[EndpointId("a")].m_outstanding = 2;
  CHECK(Choose(MakeDirectory(), loads) == "b");
}

TEST_CASE(
    "another domain's endpoint is chosen if the own domain is clearly busier") {
  EndpointLoads loads;
  loads[EndpointId("a")].m_outstanding = 6;
  loads[EndpointId("b")].m_outstanding = 6;
  CHECK(Choose(MakeDirectory(), loads) == "c");
}

TEST_CASE("an endpoint with a cached prompt is preferred up to a higher load") {
  EndpointLoads loads;
  loads[EndpointId("a")].m_outstanding = 2;
  CHECK(Choose(MakeDirectory(), loads, {.m_warm = EndpointId("a")}) == "a");
  loads[EndpointId("a")].m_outstanding = 5;
  CHECK(Choose(MakeDirectory(), loads, {.m_warm = EndpointId("a")}) == "b");
}

TEST_CASE("leaving and excluded endpoints are never chosen") {
  auto directory = MakeDirectory();
  PutEndpoint(directory, {.m_id = EndpointId("a"),
                          .m_service = ServiceId("s"),
                          .m_domain = kHome,
                          .m_leaving = true,
                          .m_version = ResourceVersion(1)});
  ChoiceQuery query{.m_excluded = {EndpointId("b"), EndpointId("c")}};
  CHECK(Choose(directory, {}, query) == "none");
}

TEST_CASE("a failing endpoint is chosen only if there is no other") {
  EndpointLoads loads;
  NoteFailure(loads[EndpointId("a")], kNow);
  NoteFailure(loads[EndpointId("a")], kNow);
  loads[EndpointId("b")].m_outstanding = 9;
  CHECK(Choose(MakeDirectory(), loads) == "c");
  ChoiceQuery query{.m_excluded = {EndpointId("b"), EndpointId("c")}};
  CHECK(Choose(MakeDirectory(), loads, query) == "a");
  NoteAnswer(loads[EndpointId("a")], std::chrono::milliseconds(5));
  CHECK(Choose(MakeDirectory(), loads) == "a");
}

TEST_CASE("ties are broken by the random number") {
  CHECK(Choose(MakeDirectory(), {}, {.m_draw = 0.1}) == "a");
  CHECK(Choose(MakeDirectory(), {}, {.m_draw = 0.9}) == "b");
}

TEST_CASE("an endpoint gets its share of requests, and none while it is out") {
  EndpointLoads loads;
  loads[EndpointId("b")].m_outstanding = 8;
  loads[EndpointId("c")].m_outstanding = 8;
  EndpointShares shares{{EndpointId("a"), 0.25}};
  CHECK(Choose(MakeDirectory(), loads,
               {.m_shares = &shares, .m_share_draw = 0.2}) == "a");
  CHECK(Choose(MakeDirectory(), loads,
               {.m_shares = &shares, .m_share_draw = 0.3}) == "b");
  shares[EndpointId("a")] = 0;
  CHECK(Choose(MakeDirectory(), loads, {.m_shares = &shares}) == "b");
  const ChoiceQuery only{.m_excluded = {EndpointId("b"), EndpointId("c")},
                         .m_shares = &shares};
  CHECK(Choose(MakeDirectory(), loads, only) == "a");
}

TEST_CASE("a fast endpoint is chosen before an emptier slow one") {
  EndpointLoads loads;
  loads[EndpointId("a")].m_outstanding = 2;
  const EndpointSlowness slowness{
      {EndpointId("a"), 0.6}, {EndpointId("b"), 2.5}, {EndpointId("c"), 2.5}};
  CHECK(Choose(MakeDirectory(), loads,
               {.m_slowness = &slowness, .m_sees_all_load = true}) == "a");
  CHECK(Choose(MakeDirectory(), loads) == "b");
}

TEST_CASE("a kept prompt at an endpoint that turned slow is read again") {
  const EndpointSlowness slowness{{EndpointId("a"), 2.5}};
  CHECK(Choose(MakeDirectory(), {},
               {.m_warm = EndpointId("a"),
                .m_slowness = &slowness,
                .m_sees_all_load = true}) == "b");
}

TEST_CASE("a host that sees only its own load spreads equals by their speed") {
  const EndpointSlowness slowness{{EndpointId("a"), 0.5}};
  std::map<std::string, int> chosen;
  for (int i = 0; i < 300; ++i) {
    ++chosen[Choose(MakeDirectory(), {},
                    {.m_slowness = &slowness, .m_draw = i / 300.0})];
  }
  CHECK(chosen["a"] == 200);
  CHECK(chosen["b"] == 100);
}

TEST_CASE("a host keeps to its subset until the rest is clearly emptier") {
  EndpointDirectory directory;
  for (int i = 0; i < 40; ++i) {
    PutEndpoint(directory, {.m_id = EndpointId("e" + std::to_string(i)),
                            .m_service = ServiceId("s"),
                            .m_domain = kHome,
                            .m_slots = 10});
  }
  const HostId host("h");
  const auto share = SubsetShare(40, 20);
  EndpointLoads loads;
  ChoiceQuery query{.m_host = host, .m_hosts = 20};
  for (int i = 0; i < 100; ++i) {
    query.m_draw = i / 100.0;
    CHECK(IsInSubset(host, EndpointId(Choose(directory, loads, query)), share));
  }
  for (const auto& [id, entry] : directory.m_entries) {
    loads[id].m_outstanding = IsInSubset(host, id, share) ? 2 : 0;
  }
  CHECK_FALSE(
      IsInSubset(host, EndpointId(Choose(directory, loads, query)), share));
}

}  // namespace
}  // namespace dotterelshed
