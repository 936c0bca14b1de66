#include "promises.h"

#include <catch2/catch.hpp>

namespace dotterelshed::soak {
namespace {

auto Sent(CallKind kind) -> Promises {
  Promises promises;
  promises.OnSent({.m_id = "r", .m_kind = kind, .m_program = "p"});
  promises.SetLimit("p", 6);
  return promises;
}

TEST_CASE("each broken promise is seen") {
  auto promises = Sent(CallKind::kUnsafe);
  SECTION("a second run") {
    promises.OnRun("r");
    promises.OnRun("r");
  }
  SECTION("a run that nobody asked for") {
    promises.OnRun("x");
  }
  SECTION("a run after a refusal") {
    promises.OnResult("r", {.m_status = 503}, "");
    promises.OnRun("r");
  }
  SECTION("a refusal after a run") {
    promises.OnRun("r");
    promises.OnResult("r", {.m_status = 503}, "");
  }
  SECTION("a wrong body") {
    promises.OnResult(
        "r",
        {.m_status = 200, .m_whole = true, .m_signed = true, .m_body = "a"},
        "ab");
  }
  SECTION("a success without signature") {
    promises.OnResult("r", {.m_status = 200, .m_whole = true}, "");
  }
  SECTION("a cut answer that isn't a beginning") {
    promises.OnResult("r", {.m_status = 200, .m_signed = true, .m_body = "b"},
                      "ab");
  }
  CHECK(promises.broken().size() == 1);
}

TEST_CASE("what is allowed breaks nothing") {
  auto promises = Sent(CallKind::kSafe);
  promises.OnRun("r");
  promises.OnRun("r");
  promises.OnResult("r", {.m_status = 503}, "");
  promises.OnResult("r", {.m_status = 200, .m_signed = true, .m_body = "a"},
                    "ab");
  CHECK(promises.broken().empty());
}

TEST_CASE("tokens count over all turns of a program, cut ones too") {
  auto promises = Sent(CallKind::kTurn);
  promises.OnResult("r", {.m_status = 0, .m_events = 1}, "");
  promises.OnResult("r", {.m_status = 0, .m_events = 1}, "");
  CHECK(promises.broken().empty());
  promises.OnResult("r", {.m_status = 0, .m_events = 1}, "");
  CHECK(promises.broken().size() == 1);
}

}  // namespace
}  // namespace dotterelshed::soak
