#include <algorithm>
#include <catch2/catch.hpp>

#include "core_test_harness.h"

namespace dotterelshed::core_test {
namespace {

using std::chrono::milliseconds;

const ProgramId kProgram("d.1");
const HoldRecord kHold{HoldId("k1"), EndpointId("e1"), kProgram, false};

/// A primary whose program d.1 has one turn and one hold.
auto MakePrimaryWithHold(const CoreMechanisms& mechanisms) -> CoreTestHarness {
  CoreTestHarnessOptions options;
  options.m_core.m_mechanisms = mechanisms;
  CoreTestHarness harness(options);
  harness.RunTurn(0, 1);
  auto& record = harness.pool(0).m_store.m_programs.at(kProgram).m_record;
  record.m_holds = {kHold};
  return harness;
}

/// Number of release requests sent for @p hold.
auto ReleaseCount(const CoreTestHarness& harness, const HoldId& hold) -> int {
  return static_cast<int>(std::count_if(
      harness.m_releases.begin(), harness.m_releases.end(),
      [&hold](const ReleaseHold& sent) { return sent.m_hold == hold; }));
}

TEST_CASE("a release is repeated until the endpoint confirms it") {
  for (const auto on : {true, false}) {
    CoreMechanisms mechanisms;
    mechanisms.m_retry_release = on;
    auto harness = MakePrimaryWithHold(mechanisms);
    harness.HandleEvent(0, ProgramEndRequested{kProgram});
    CHECK(ReleaseCount(harness, kHold.m_id) == 1);
    harness.HandleEvent(0, HoldReleased{kHold.m_id, kHold.m_endpoint, false});
    harness.Advance(milliseconds(1100));
    CHECK(ReleaseCount(harness, kHold.m_id) == (on ? 2 : 1));
    harness.HandleEvent(0, HoldReleased{kHold.m_id, kHold.m_endpoint, true});
    harness.Advance(milliseconds(1100));
    CHECK(ReleaseCount(harness, kHold.m_id) == (on ? 2 : 1));
    CHECK_FALSE(harness.m_cores[0]->m_releases.contains(kHold.m_id));
  }
}

TEST_CASE("the sweep releases only holds that no live program owns") {
  auto harness = MakePrimaryWithHold({});
  const HoldRecord stray{HoldId("k2"), EndpointId("e1"), ProgramId("d.9"),
                         false};
  harness.HandleEvent(0, HoldsListed{EndpointId("e1"), {kHold, stray}});
  REQUIRE(harness.m_releases.size() == 1);
  CHECK(harness.m_releases[0].m_hold == stray.m_id);
}

TEST_CASE("a new primary releases holds of programs that ended earlier") {
  auto harness = MakePrimaryWithHold({});
  harness.HandleEvent(0, ProgramEndRequested{kProgram});
  harness.DeliverAll();
  harness.m_releases.clear();
  harness.ReassignPool(1, -1);
  harness.DeliverAll();
  CHECK(ReleaseCount(harness, kHold.m_id) == 1);
}

TEST_CASE("the number of tracked unconfirmed releases is bounded") {
  CoreTestHarnessOptions options;
  options.m_core.m_max_releases = 1;
  CoreTestHarness harness(options);
  harness.HandleEvent(
      0, HoldsListed{EndpointId("e1"),
                     {{HoldId("a"), EndpointId("e1"), ProgramId("d.8")},
                      {HoldId("b"), EndpointId("e1"), ProgramId("d.9")}}});
  CHECK(harness.m_releases.size() == 2);
  CHECK(harness.m_cores[0]->m_releases.size() == 1);
}

}  // namespace
}  // namespace dotterelshed::core_test
