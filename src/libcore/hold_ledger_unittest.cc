#include <algorithm>
#include <catch2/catch.hpp>

#include "core_bench.h"

namespace dotterelshed::bench {
namespace {

using std::chrono::milliseconds;

const ProgramId kProgram("d.1");
const HoldRecord kHold{HoldId("k1"), EndpointId("e1"), kProgram, false};

/// A primary whose program d.1 has one turn and one hold.
auto KeepOne(const CoreMechanisms& mechanisms) -> Bench {
  BenchOptions options;
  options.m_core.m_mechanisms = mechanisms;
  Bench bench(options);
  bench.RunTurn(0, 1);
  auto& record = bench.pool(0).m_store.m_programs.at(kProgram).m_record;
  record.m_holds = {kHold};
  return bench;
}

/// How often the release of @p hold was asked for.
auto Asked(const Bench& bench, const HoldId& hold) -> int {
  return static_cast<int>(std::count_if(
      bench.m_releases.begin(), bench.m_releases.end(),
      [&hold](const ReleaseHold& ask) { return ask.m_hold == hold; }));
}

TEST_CASE("a release is asked for until the endpoint confirms it") {
  for (const auto on : {true, false}) {
    CoreMechanisms mechanisms;
    mechanisms.m_retry_release = on;
    auto bench = KeepOne(mechanisms);
    bench.Give(0, ProgramEndRequested{kProgram});
    CHECK(Asked(bench, kHold.m_id) == 1);
    bench.Give(0, HoldReleased{kHold.m_id, kHold.m_endpoint, false});
    bench.Advance(milliseconds(1100));
    CHECK(Asked(bench, kHold.m_id) == (on ? 2 : 1));
    bench.Give(0, HoldReleased{kHold.m_id, kHold.m_endpoint, true});
    bench.Advance(milliseconds(1100));
    CHECK(Asked(bench, kHold.m_id) == (on ? 2 : 1));
    CHECK_FALSE(bench.m_cores[0]->m_releases.contains(kHold.m_id));
  }
}

TEST_CASE("the sweep frees what no live program owns, and only that") {
  auto bench = KeepOne({});
  const HoldRecord stray{HoldId("k2"), EndpointId("e1"), ProgramId("d.9"),
                         false};
  bench.Give(0, HoldsListed{EndpointId("e1"), {kHold, stray}});
  REQUIRE(bench.m_releases.size() == 1);
  CHECK(bench.m_releases[0].m_hold == stray.m_id);
}

TEST_CASE("a new primary frees the holds of programs that ended before") {
  auto bench = KeepOne({});
  bench.Give(0, ProgramEndRequested{kProgram});
  bench.DeliverAll();
  bench.m_releases.clear();
  bench.MovePool(1, -1);
  bench.DeliverAll();
  CHECK(Asked(bench, kHold.m_id) == 1);
}

TEST_CASE("unconfirmed releases are bounded") {
  BenchOptions options;
  options.m_core.m_max_releases = 1;
  Bench bench(options);
  bench.Give(0,
             HoldsListed{EndpointId("e1"),
                         {{HoldId("a"), EndpointId("e1"), ProgramId("d.8")},
                          {HoldId("b"), EndpointId("e1"), ProgramId("d.9")}}});
  CHECK(bench.m_releases.size() == 2);
  CHECK(bench.m_cores[0]->m_releases.size() == 1);
}

}  // namespace
}  // namespace dotterelshed::bench
