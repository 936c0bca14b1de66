#include "core_walk.h"

#include <array>
#include <catch2/catch.hpp>
#include <cstdlib>
#include <string_view>

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

struct SwitchedOff {
  std::string_view m_name;
  bool CoreMechanisms::*m_mechanism;
};

constexpr auto kSwitches = std::to_array<SwitchedOff>({
    {"reserve_before_run", &CoreMechanisms::m_reserve_before_run},
    {"append_before_release", &CoreMechanisms::m_append_before_release},
    {"holder_withholds_repeats", &CoreMechanisms::m_holder_withholds_repeats},
    {"keep_longer_chain", &CoreMechanisms::m_keep_longer_chain},
    {"refuse_old_terms", &CoreMechanisms::m_refuse_old_terms},
    {"collect_on_takeover", &CoreMechanisms::m_collect_on_takeover},
    {"copy_before_serving", &CoreMechanisms::m_copy_before_serving},
    {"settle_inherited", &CoreMechanisms::m_settle_inherited},
    {"escrow", &CoreMechanisms::m_escrow},
    {"check_token", &CoreMechanisms::m_check_token},
    {"claim_before_send", &CoreMechanisms::m_claim_before_send},
    {"retry_release", &CoreMechanisms::m_retry_release},
    {"sweep_holds", &CoreMechanisms::m_sweep_holds},
});

TEST_CASE("walks break a promise when a mechanism is off") {
  constexpr auto kMostWalks = 3000;
  for (const auto& off : kSwitches) {
    WalkOptions options;
    options.m_mechanisms.*off.m_mechanism = false;
    WalkResult result;
    for (auto seed = 1; seed <= kMostWalks; ++seed) {
      options.m_seed = static_cast<std::uint64_t>(seed);
      result = RunWalk(options);
      if (!result.m_violation.empty()) {
        break;
      }
    }
    CAPTURE(off.m_name, options.m_seed, result.m_violation);
    CHECK_FALSE(result.m_violation.empty());
    if (std::getenv("DOTTERELSHED_WALK_SHOW") != nullptr) {
      WARN(off.m_name << " off: seed " << options.m_seed << ": "
                      << result.m_violation);
    }
  }
}

}  // namespace
}  // namespace dotterelshed::walk
