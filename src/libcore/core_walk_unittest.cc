#include "core_walk.h"

#include <catch2/catch.hpp>
#include <cstdlib>

namespace dotterelshed::walk {
namespace {

/// DOTTERELSHED_WALKS sets the number of walks, DOTTERELSHED_WALK_SEED the
/// first seed.
auto NumberFromEnvironment(const char* name, int fallback) -> int {
  const auto* text = std::getenv(name);
  return text == nullptr ? fallback : std::atoi(text);
}

TEST_CASE("random walks keep every promise") {
  const auto walks = NumberFromEnvironment("DOTTERELSHED_WALKS", 800);
  const auto first = NumberFromEnvironment("DOTTERELSHED_WALK_SEED", 1);
  WalkResult sum;
  auto broken = 0;
  for (auto seed = first; seed < first + walks; ++seed) {
    const auto result = RunWalk({.m_seed = static_cast<std::uint64_t>(seed)});
    sum.m_answers += result.m_answers;
    sum.m_provisional += result.m_provisional;
    sum.m_runs += result.m_runs;
    sum.m_crashes += result.m_crashes;
    sum.m_outages += result.m_outages;
    sum.m_pauses += result.m_pauses;
    if (!result.m_violation.empty()) {
      ++broken;
      UNSCOPED_INFO("seed " << seed << ": " << result.m_violation);
    }
  }
  CAPTURE(walks, sum.m_answers, sum.m_provisional, sum.m_runs, sum.m_crashes,
          sum.m_outages, sum.m_pauses);
  CHECK(broken == 0);
}

}  // namespace
}  // namespace dotterelshed::walk
