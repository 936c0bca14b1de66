#include "dotterelshed/load_chart.h"

#include <fstream>
#include <nlohmann/json.hpp>
#include <sstream>

namespace dotterelshed {

namespace {

using Json = nlohmann::json;

/// Throws the library's exceptions; LoadChart catches them.
auto ReadTransition(const Json& json) -> ChartTransition {
  ChartTransition transition;
  transition.m_from = json.at("from").get<std::string>();
  transition.m_event = json.at("event").get<std::string>();
  transition.m_to = json.at("to").get<std::string>();
  transition.m_actions = json.value("actions", std::vector<std::string>{});
  return transition;
}

auto ReadSpec(const Json& json) -> ChartSpec {
  ChartSpec spec;
  spec.m_name = json.at("name").get<std::string>();
  spec.m_initial = json.at("initial").get<std::string>();
  spec.m_states = json.at("states").get<std::vector<std::string>>();
  for (const auto& transition : json.at("transitions")) {
    spec.m_transitions.push_back(ReadTransition(transition));
  }
  return spec;
}

}  // namespace

auto LoadChart(const std::string& directory, const std::string& name)
    -> Result<ChartSpec> {
  const auto path = directory + "/" + name + ".jsonc";
  std::ifstream file(path);
  if (!file) {
    return Fail(ErrorCode::kNotFound, "can't read the state chart", path);
  }
  std::stringstream text;
  text << file.rdbuf();
  try {
    auto spec = ReadSpec(Json::parse(text.str(), /*cb=*/nullptr,
                                     /*allow_exceptions=*/true,
                                     /*ignore_comments=*/true));
    if (spec.m_name != name) {
      return Fail(ErrorCode::kInvalidArgument,
                  "the chart calls itself '" + spec.m_name + "'", path);
    }
    return spec;
  } catch (const Json::exception& error) {
    return Fail(ErrorCode::kInvalidArgument, error.what(), path);
  }
}

}  // namespace dotterelshed
