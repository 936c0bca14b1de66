#include "core_randomized.h"

#include <array>
#include <catch2/catch.hpp>
#include <cstdlib>
#include <string_view>

namespace dotterelshed::randomized {
namespace {

/// DOTTERELSHED_WALKS sets the number of walks, DOTTERELSHED_SEED the
/// first seed.
auto NumberFromEnvironment(const char* name, int fallback) -> int {
  const auto* text = std::getenv(name);
  return text == nullptr ? fallback : std::atoi(text);
}

auto Add(RandomizedTestResult& sum, const RandomizedTestResult& result)
    -> void {
  sum.m_answers += result.m_answers;
  sum.m_provisional += result.m_provisional;
  sum.m_runs += result.m_runs;
  sum.m_crashes += result.m_crashes;
  sum.m_outages += result.m_outages;
  sum.m_pauses += result.m_pauses;
  sum.m_drains += result.m_drains;
}

enum class AllowedViolations { kNone, kCopiesLost };

/// Runs walks of the seeds that the environment asks for and checks that none
/// breaks.
auto CheckSeeds(RandomizedTestOptions options,
                AllowedViolations allowed = AllowedViolations::kNone) -> void {
  const auto walks = NumberFromEnvironment("DOTTERELSHED_WALKS", 500);
  const auto first = NumberFromEnvironment("DOTTERELSHED_SEED", 1);
  RandomizedTestResult sum;
  auto broken = 0;
  auto copies_lost = 0;
  for (auto seed = first; seed < first + walks; ++seed) {
    options.m_seed = static_cast<std::uint64_t>(seed);
    const auto result = RunRandomizedTest(options);
    Add(sum, result);
    if (allowed == AllowedViolations::kCopiesLost && result.m_copies_lost) {
      ++copies_lost;
    } else if (!result.m_violation.empty()) {
      ++broken;
      UNSCOPED_INFO("seed " << seed << ": " << result.m_violation);
    }
  }
  CAPTURE(walks, sum.m_answers, sum.m_provisional, sum.m_runs, sum.m_crashes,
          sum.m_outages, sum.m_pauses, sum.m_drains, copies_lost);
  CHECK(broken == 0);
}

TEST_CASE("random walks keep every promise") {
  CheckSeeds({});
}

TEST_CASE("walks whose owners fail at any moment keep every promise", "[.]") {
  CheckSeeds({.m_preserve_last_copy = false});
}

// Two crashes can destroy both copies. Whatever else breaks is a fault.
TEST_CASE("walks whose owners fail at any moment break only by lost copies") {
  CheckSeeds({.m_preserve_last_copy = false}, AllowedViolations::kCopiesLost);
}

TEST_CASE("walks that lose messages in planned stops keep every promise",
          "[.]") {
  CheckSeeds({.m_lossless_drains = false});
}

/// A mechanism that is off, and the first seed to try: the search goes on from
/// there, so that the test stays quick until the walks change.
struct DisabledMechanism {
  std::string_view m_name;
  bool CoreMechanisms::*m_mechanism;
  std::uint64_t m_first_seed;
};

constexpr auto kDisabledMechanisms = std::to_array<DisabledMechanism>({
    {"append_before_release", &CoreMechanisms::m_append_before_release, 1},
    {"keep_longer_chain", &CoreMechanisms::m_keep_longer_chain, 150},
    {"collect_on_takeover", &CoreMechanisms::m_collect_on_takeover, 80},
    {"copy_before_serving", &CoreMechanisms::m_copy_before_serving, 2},
    {"settle_inherited", &CoreMechanisms::m_settle_inherited, 270},
    {"escrow", &CoreMechanisms::m_escrow, 1},
    {"claim_before_send", &CoreMechanisms::m_claim_before_send, 55},
    {"sweep_holds", &CoreMechanisms::m_sweep_holds, 1},
});

// Mechanisms that are not here have a test of their own with the mechanism
// off: the walk meets what they prevent too seldom.
TEST_CASE("walks break a promise when a mechanism is off") {
  constexpr auto kMostWalks = std::uint64_t{3000};
  for (const auto& off : kDisabledMechanisms) {
    RandomizedTestOptions options{.m_seed = off.m_first_seed};
    options.m_mechanisms.*off.m_mechanism = false;
    auto result = RunRandomizedTest(options);
    while (result.m_violation.empty() &&
           options.m_seed < off.m_first_seed + kMostWalks) {
      ++options.m_seed;
      result = RunRandomizedTest(options);
    }
    CAPTURE(off.m_name, options.m_seed);
    CHECK_FALSE(result.m_violation.empty());
    if (std::getenv("DOTTERELSHED_WALK_SHOW") != nullptr) {
      WARN(off.m_name << " off: seed " << options.m_seed << ": "
                      << result.m_violation);
    }
  }
}

}  // namespace
}  // namespace dotterelshed::randomized
