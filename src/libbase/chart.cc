#include "dotterelshed/chart.h"

#include <algorithm>
#include <set>

namespace dotterelshed {

namespace pvt {

auto IndexOf(std::span<const std::string_view> names, std::string_view name)
    -> std::size_t {
  const auto found = std::find(names.begin(), names.end(), name);
  return static_cast<std::size_t>(found - names.begin());
}

namespace {

auto Knows(std::span<const std::string_view> names, std::string_view name)
    -> bool {
  return IndexOf(names, name) < names.size();
}

/// Gathers everything wrong with a chart into one message.
class ChartChecker {
 public:
  ChartChecker(const ChartSpec& spec, const ChartVocabulary& vocabulary)
      : m_spec(spec), m_vocabulary(vocabulary) {}

  auto Run() -> std::string {
    CheckStates();
    CheckTransitions();
    CheckReachable();
    CheckUsed();
    return m_problems;
  }

 private:
  auto Report(const std::string& problem) -> void {
    m_problems += (m_problems.empty() ? "" : "; ") + problem;
  }

  auto CheckStates() -> void {
    for (const auto& state : m_spec.m_states) {
      if (!Knows(m_vocabulary.m_states, state)) {
        Report("state '" + state + "' is unknown to the code");
      }
    }
    for (const auto& state : m_vocabulary.m_states) {
      if (std::find(m_spec.m_states.begin(), m_spec.m_states.end(), state) ==
          m_spec.m_states.end()) {
        Report("state '" + std::string(state) + "' is missing");
      }
    }
    if (!Knows(m_vocabulary.m_states, m_spec.m_initial)) {
      Report("initial state '" + m_spec.m_initial + "' is unknown");
    }
  }

  auto CheckTransitions() -> void {
    std::set<std::pair<std::string, std::string>> seen;
    for (const auto& transition : m_spec.m_transitions) {
      const auto where =
          "transition " + transition.m_from + "/" + transition.m_event;
      if (!Knows(m_vocabulary.m_states, transition.m_from) ||
          !Knows(m_vocabulary.m_states, transition.m_to)) {
        Report(where + " names an unknown state");
      }
      if (!Knows(m_vocabulary.m_events, transition.m_event)) {
        Report(where + " names an unknown event");
      }
      if (!seen.insert({transition.m_from, transition.m_event}).second) {
        Report(where + " stands twice");
      }
      for (const auto& action : transition.m_actions) {
        if (!Knows(m_vocabulary.m_actions, action)) {
          Report(where + " names the unknown action '" + action + "'");
        }
      }
    }
  }

  auto CheckReachable() -> void {
    std::set<std::string> reached{m_spec.m_initial};
    auto before = std::size_t{0};
    while (before != reached.size()) {
      before = reached.size();
      for (const auto& transition : m_spec.m_transitions) {
        if (reached.contains(transition.m_from)) {
          reached.insert(transition.m_to);
        }
      }
    }
    for (const auto& state : m_spec.m_states) {
      if (!reached.contains(state)) {
        Report("state '" + state + "' can't be reached");
      }
    }
  }

  auto CheckUsed() -> void {
    for (const auto& event : m_vocabulary.m_events) {
      const auto uses = [&event](const ChartTransition& transition) {
        return transition.m_event == event;
      };
      if (std::none_of(m_spec.m_transitions.begin(), m_spec.m_transitions.end(),
                       uses)) {
        Report("event '" + std::string(event) + "' is never handled");
      }
    }
  }

  const ChartSpec& m_spec;
  const ChartVocabulary& m_vocabulary;
  std::string m_problems;
};

}  // namespace

}  // namespace pvt

auto CheckChart(const ChartSpec& spec, const ChartVocabulary& vocabulary)
    -> Status {
  const auto problems = pvt::ChartChecker(spec, vocabulary).Run();
  if (problems.empty()) {
    return {};
  }
  return Fail(ErrorCode::kInvalidArgument, problems, "chart " + spec.m_name);
}

}  // namespace dotterelshed
