#ifndef DOTTERELSHED_CHART_H_
#define DOTTERELSHED_CHART_H_

#include <array>
#include <cstddef>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "dotterelshed/error.h"

/// @file
/// State charts. A chart is read from a file in src/charts (load_chart.h) and
/// bound to the enums of the code that it drives: a transition that the file
/// does not have does not happen.

namespace dotterelshed {

/// One transition as the file writes it.
struct ChartTransition {
  std::string m_from;
  std::string m_event;
  std::string m_to;
  std::vector<std::string> m_actions;
};

/// A chart as the file writes it.
struct ChartSpec {
  std::string m_name;
  std::string m_initial;
  std::vector<std::string> m_states;
  std::vector<ChartTransition> m_transitions;
};

/// Names that the code knows, in the order of its enums.
struct ChartVocabulary {
  std::span<const std::string_view> m_states;
  std::span<const std::string_view> m_events;
  std::span<const std::string_view> m_actions;
};

/// Checks a chart against the code: every state, event and action is known on
/// both sides, every state can be reached, no two transitions compete. The
/// error names the chart and everything wrong with it.
auto CheckChart(const ChartSpec& spec, const ChartVocabulary& vocabulary)
    -> Status;

namespace pvt {

/// Place of @p name in @p names. CheckChart has made sure that it is there.
auto IndexOf(std::span<const std::string_view> names, std::string_view name)
    -> std::size_t;

}  // namespace pvt

/// A checked chart over three enums whose values count from 0.
template <typename State, typename Event, typename Action>
class Chart {
 public:
  struct Step {
    State m_to{};
    std::vector<Action> m_actions;
  };

  /// Checks @p spec and binds it.
  static auto Bind(const ChartSpec& spec, const ChartVocabulary& vocabulary)
      -> Result<Chart> {
    auto status = CheckChart(spec, vocabulary);
    if (!status) {
      return tl::unexpected<Error>(status.error());
    }
    Chart chart;
    chart.m_event_count = vocabulary.m_events.size();
    chart.m_steps.resize(vocabulary.m_states.size() * chart.m_event_count);
    chart.m_initial =
        static_cast<State>(pvt::IndexOf(vocabulary.m_states, spec.m_initial));
    for (const auto& transition : spec.m_transitions) {
      chart.Add(transition, vocabulary);
    }
    return chart;
  }

  auto initial() const -> State { return m_initial; }

  /// The transition for @p event in @p state, or nothing if there is none.
  auto Find(State state, Event event) const -> const Step* {
    const auto& step = m_steps[Slot(state, event)];
    return step ? &*step : nullptr;
  }

 private:
  auto Slot(State state, Event event) const -> std::size_t {
    return static_cast<std::size_t>(state) * m_event_count +
           static_cast<std::size_t>(event);
  }

  auto Add(const ChartTransition& transition, const ChartVocabulary& vocabulary)
      -> void {
    const auto from = pvt::IndexOf(vocabulary.m_states, transition.m_from);
    const auto event = pvt::IndexOf(vocabulary.m_events, transition.m_event);
    Step step;
    step.m_to =
        static_cast<State>(pvt::IndexOf(vocabulary.m_states, transition.m_to));
    for (const auto& action : transition.m_actions) {
      step.m_actions.push_back(
          static_cast<Action>(pvt::IndexOf(vocabulary.m_actions, action)));
    }
    m_steps[from * m_event_count + event] = std::move(step);
  }

  State m_initial{};
  std::size_t m_event_count = 0;
  std::vector<std::optional<Step>> m_steps;
};

}  // namespace dotterelshed

#endif  // DOTTERELSHED_CHART_H_
