#include "policy/policy_retention.h"

#include <catch2/catch.hpp>

#include "policy/policy_test_pool.h"

namespace dotterelshed {
namespace {

auto CallWithPause(const TestPool& pool,
                   const std::string& program,
                   int pause_s) -> PolicyCall {
  auto call = pool.Call(program);
  call.m_prompt_tokens = Tokens(1000);
  call.m_expected_pause = std::chrono::seconds(pause_s);
  return call;
}

TEST_CASE("a hold is requested and released when the program ends") {
  TestPool pool({.m_endpoints = 1});
  pool.Add(pool.Call("p"));
  const auto started = pool.Start().at(0);
  CHECK_FALSE(started.m_hold.empty());
  pool.End(started, AttemptEnd::kCompleted);
  const auto freed = EndProgram(*pool.m_policy, ProgramId("p"));
  REQUIRE(freed.size() == 1);
  CHECK(freed[0].m_id == started.m_hold);
  CHECK(pool.Endpoint(0).m_held_memory == 0);
  CHECK(EndProgram(*pool.m_policy, ProgramId("p")).empty());
}

TEST_CASE("the last call, or any with retention disabled, requests no hold") {
  TestPool pool({.m_endpoints = 1});
  auto last = pool.Call("p");
  last.m_last = true;
  pool.Add(last);
  CHECK(pool.Start().at(0).m_hold.empty());
  TestPool off({.m_policy = {.m_retention = false}, .m_endpoints = 1});
  off.Add(off.Call("p"));
  CHECK(off.Start().at(0).m_hold.empty());
}

TEST_CASE("if memory is short, the prefix needed last is released first") {
  TestPool pool({.m_endpoints = 1, .m_kv_capacity = Tokens(3600)});
  pool.RunToCompletion(CallWithPause(pool, "soon", 1));
  pool.RunToCompletion(CallWithPause(pool, "late", 60));
  pool.RunToCompletion(CallWithPause(pool, "middle", 20));
  pool.Add(CallWithPause(pool, "new", 1));
  const auto started = pool.Start().at(0);
  REQUIRE(started.m_release.size() == 1);
  CHECK(started.m_release[0].m_program == ProgramId("late"));
}

TEST_CASE("an evicted prefix is removed from the accounts") {
  TestPool pool({.m_endpoints = 1});
  pool.Add(pool.Call("p"));
  const auto started = pool.Start().at(0);
  pool.End(started, AttemptEnd::kCompleted);
  CHECK(pool.Endpoint(0).m_held_memory > 0);
  ApplyCacheReport(
      *pool.m_policy,
      {.m_endpoint = EndpointId("e0"), .m_evicted = {started.m_hold}},
      pool.m_now);
  CHECK(pool.Endpoint(0).m_held_memory == 0);
}

}  // namespace
}  // namespace dotterelshed
