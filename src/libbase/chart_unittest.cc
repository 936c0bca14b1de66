#include "dotterelshed/chart.h"

#include <array>
#include <catch2/catch.hpp>

namespace dotterelshed {
namespace {

enum class DoorState { kShut, kOpen };
enum class DoorEvent { kPush, kPull };
enum class DoorAction { kRing };

using DoorChart = Chart<DoorState, DoorEvent, DoorAction>;

constexpr std::array<std::string_view, 2> kStates{"shut", "open"};
constexpr std::array<std::string_view, 2> kEvents{"push", "pull"};
constexpr std::array<std::string_view, 1> kActions{"ring"};
const ChartVocabulary kVocabulary{kStates, kEvents, kActions};

auto DoorSpec() -> ChartSpec {
  return {.m_name = "door",
          .m_initial = "shut",
          .m_states = {"shut", "open"},
          .m_transitions = {{"shut", "push", "open", {"ring"}},
                            {"open", "pull", "shut", {}}}};
}

TEST_CASE("a bound chart has the file's transitions and no others") {
  const auto chart = DoorChart::Bind(DoorSpec(), kVocabulary);
  REQUIRE(chart);
  const auto* step = chart->Find(DoorState::kShut, DoorEvent::kPush);
  REQUIRE(step != nullptr);
  CHECK(step->m_to == DoorState::kOpen);
  CHECK(step->m_actions == std::vector{DoorAction::kRing});
  CHECK(chart->Find(DoorState::kShut, DoorEvent::kPull) == nullptr);
}

TEST_CASE("an unsound chart is refused with every fault named") {
  auto spec = DoorSpec();
  spec.m_transitions = {{"shut", "kick", "shut", {"sing"}}};
  const auto chart = DoorChart::Bind(spec, kVocabulary);
  REQUIRE_FALSE(chart);
  const auto& message = chart.error().m_message;
  CHECK(message.find("unknown event") != std::string::npos);
  CHECK(message.find("'sing'") != std::string::npos);
  CHECK(message.find("'open' can't be reached") != std::string::npos);
  CHECK(message.find("'pull' is never handled") != std::string::npos);
}

}  // namespace
}  // namespace dotterelshed
