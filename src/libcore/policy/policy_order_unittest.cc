#include "policy/policy_order.h"

#include <catch2/catch.hpp>

#include "policy/policy_test_pool.h"

namespace dotterelshed {
namespace {

using std::chrono::seconds;

/// A pool with a program of high attained service and a queued call that takes
/// the only slot.
auto BusyPool(const PolicyOptions& options) -> TestPool {
  TestPool pool({.m_policy = options, .m_endpoints = 1, .m_concurrency = 1});
  pool.RunToCompletion(pool.Call("long"), 5000);
  pool.Add(pool.Call("blocker"));
  return pool;
}

/// Ends the blocker and returns the program whose call starts next.
auto FirstAfterBlocker(TestPool& pool, const Dispatched& blocker) -> ProgramId {
  pool.End(blocker, AttemptEnd::kCompleted);
  const auto request = pool.Start().at(0).m_request;
  return pool.m_policy->m_calls.at(request).m_call.m_program;
}

TEST_CASE("levels grow with attained service") {
  CHECK(pvt::LevelOf(0) == 0);
  CHECK(pvt::LevelOf(512) == 1);
  CHECK(pvt::LevelOf(1000000) == pvt::kLevelCount - 1);
}

TEST_CASE("a new program runs before one with high attained service") {
  auto pool = BusyPool({});
  const auto blocker = pool.Start().at(0);
  pool.Add(pool.Call("long", 2));
  pool.m_now += seconds(1);
  pool.Add(pool.Call("fresh"));
  CHECK(FirstAfterBlocker(pool, blocker) == ProgramId("fresh"));
}

TEST_CASE("without attained-service order calls run in order of arrival") {
  auto pool = BusyPool({.m_attained_service_order = false});
  const auto blocker = pool.Start().at(0);
  pool.Add(pool.Call("long", 2));
  pool.m_now += seconds(1);
  pool.Add(pool.Call("fresh"));
  CHECK(FirstAfterBlocker(pool, blocker) == ProgramId("long"));
}

TEST_CASE("a long program that has waited long enough runs before new ones") {
  auto pool = BusyPool({});
  const auto blocker = pool.Start().at(0);
  pool.Add(pool.Call("long", 2));
  pool.m_now += seconds(60);
  pool.Add(pool.Call("fresh"));
  CHECK(FirstAfterBlocker(pool, blocker) == ProgramId("long"));
}

TEST_CASE("a class with a higher weight runs first") {
  auto pool = BusyPool({});
  const auto blocker = pool.Start().at(0);
  pool.Add(pool.Call("light"));
  pool.m_now += std::chrono::milliseconds(100);
  auto heavy = pool.Call("heavy");
  heavy.m_class = ClassId("heavy");
  pool.Add(heavy);
  CHECK(FirstAfterBlocker(pool, blocker) == ProgramId("heavy"));
}

TEST_CASE("long calls do not use the slots reserved for short calls") {
  for (const auto share : {true, false}) {
    TestPool pool({.m_policy = {.m_short_share = share}, .m_endpoints = 1});
    for (const auto* name : {"a", "b", "c", "d"}) {
      pool.RunToCompletion(pool.Call(name), 5000);
    }
    for (const auto* name : {"a", "b", "c", "d"}) {
      pool.Add(pool.Call(name, 2));
    }
    CHECK(pool.Start().size() == (share ? 3U : 4U));
    pool.Add(pool.Call("short"));
    CHECK(pool.Start().size() == (share ? 1U : 0U));
  }
}

}  // namespace
}  // namespace dotterelshed
