#include <catch2/catch.hpp>
#include <fstream>
#include <pcg_random.hpp>
#include <sstream>

#include "dotterelshed/config_text.h"

namespace dotterelshed {
namespace {

auto ReadFile(const std::string& path) -> std::string {
  std::ifstream file(path);
  REQUIRE(file);
  std::stringstream text;
  text << file.rdbuf();
  return text.str();
}

auto Below(pcg32& random, std::size_t bound) -> std::size_t {
  return bound == 0 ? 0 : random(static_cast<std::uint32_t>(bound));
}

/// Changes, removes, doubles or moves a piece of @p text.
auto Mutate(pcg32& random, std::string& text) -> void {
  constexpr std::size_t kMaxPiece = 40;
  constexpr std::uint32_t kKinds = 5;
  const auto at = Below(random, text.size());
  const auto length = Below(random, kMaxPiece);
  switch (random(kKinds)) {
    case 0:
      text.erase(at, length);
      break;
    case 1:
      text.insert(at, text.substr(Below(random, text.size()), length));
      break;
    case 2:
      text.insert(at, 1, static_cast<char>(random()));
      break;
    case 3:
      text.insert(at, std::string(1, "{}[]\",:/9"[Below(random, 9)]));
      break;
    default:
      text.resize(at);
  }
}

TEST_CASE("a mutated text never crashes the check and always names a place") {
  constexpr std::uint64_t kSeed = 20261204;
  constexpr auto kRounds = 3000;
  constexpr std::size_t kMaxMutations = 4;
  const auto original =
      ReadFile(std::string(DOTTERELSHED_EXAMPLES_DIR) + "/vandstand.jsonc");
  const auto lines =
      1 + static_cast<int>(std::count(original.begin(), original.end(), '\n'));
  pcg32 random(kSeed);
  for (auto round = 0; round < kRounds; ++round) {
    auto text = original;
    for (auto i = Below(random, kMaxMutations) + 1; i > 0; --i) {
      Mutate(random, text);
    }
    CAPTURE(kSeed, round, text);
    const auto check = CheckConfigText(text, Generation(1));
    for (const auto& problem : check.m_problems) {
      REQUIRE(problem.m_line >= 1);
      REQUIRE(problem.m_line <= 2 * lines);
      REQUIRE_FALSE(problem.m_message.empty());
      REQUIRE_FALSE(problem.m_remedy.empty());
    }
    REQUIRE((check.ok() || check.m_config.m_services.empty()));
  }
}

TEST_CASE("nesting without end is a problem, not a crash") {
  constexpr auto kDepth = 100000;
  const auto check =
      CheckConfigText("{\"desk\":" + std::string(kDepth, '['), Generation(1));
  REQUIRE_FALSE(check.ok());
  CHECK_THAT(check.m_problems.front().m_message,
             Catch::Contains("nested too deep"));
}

TEST_CASE("a text above the platform's limit is refused") {
  const auto check = CheckConfigText(
      "{ // " + std::string(kMaxConfigTextBytes, 'x') + "\n}", Generation(1));
  REQUIRE_FALSE(check.ok());
  CHECK_THAT(check.m_problems.front().m_message,
             Catch::Contains("above its limit"));
}

}  // namespace
}  // namespace dotterelshed
