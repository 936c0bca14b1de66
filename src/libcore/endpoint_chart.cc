#include "dotterelshed/endpoint_chart.h"

#include <array>

#include "dotterelshed/load_chart.h"

namespace dotterelshed {

namespace {

constexpr auto kStates =
    std::to_array<std::string_view>({"serving", "ejected", "probing"});
constexpr auto kEvents = std::to_array<std::string_view>(
    {"slow", "failed", "recovered", "probe_due", "unreachable"});
constexpr auto kActions = std::to_array<std::string_view>(
    {"move_waiting", "hedge_running", "schedule_probe", "reset_probes"});

}  // namespace

auto ToString(EndpointState state) -> std::string_view {
  return kStates.at(static_cast<std::size_t>(state));
}

auto LoadEndpointChart(const std::string& directory)
    -> Result<std::shared_ptr<const EndpointChart>> {
  auto state_machine = LoadBoundChart<EndpointChart>(
      directory, "endpoint", {kStates, kEvents, kActions});
  if (!state_machine) {
    return tl::unexpected<Error>(state_machine.error());
  }
  return std::make_shared<const EndpointChart>(std::move(*state_machine));
}

}  // namespace dotterelshed
