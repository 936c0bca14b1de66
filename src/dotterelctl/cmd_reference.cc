#include <nlohmann/json.hpp>
#include <ostream>

#include "command.h"
#include "dotterelshed/key_reference.h"
#include "dotterelshed/log_events.h"
#include "dotterelshed/metrics.h"

namespace dotterelshed::ctl {

namespace {

using Json = nlohmann::ordered_json;

auto EventsJson() -> Json {
  auto list = Json::array();
  for (const auto& info : LogEventCatalogue()) {
    list.push_back({{"number", static_cast<int>(info.m_id)},
                    {"name", info.m_name},
                    {"level", ToString(info.m_level)},
                    {"meaning", info.m_meaning}});
  }
  return list;
}

auto MetricsJson() -> Json {
  auto list = Json::array();
  for (const auto& info : MetricCatalogue()) {
    list.push_back({{"name", info.m_name},
                    {"label", info.m_label},
                    {"help", info.m_help}});
  }
  return list;
}

}  // namespace

auto RunReference(const CommandOptions& options, const CommandOutput& output)
    -> ExitCode {
  const auto& page = options.m_words.front();
  if (page == "text") {
    output.m_out << FormatTextReference();
    return ExitCode::kOk;
  }
  if (page == "settings") {
    output.m_out << FormatSettingsReference();
    return ExitCode::kOk;
  }
  output.m_error << "dotterelctl: unknown page '" << page
                 << "'; write text or settings\n";
  return ExitCode::kUsage;
}

auto RunEvents(const CommandOptions& options, const CommandOutput& output)
    -> ExitCode {
  if (options.m_json) {
    output.m_out << (options.m_metrics ? MetricsJson() : EventsJson()).dump(2)
                 << "\n";
    return ExitCode::kOk;
  }
  if (options.m_markdown) {
    output.m_out << (options.m_metrics ? FormatMetricsPage()
                                       : FormatEventsPage());
    return ExitCode::kOk;
  }
  if (options.m_metrics) {
    for (const auto& info : MetricCatalogue()) {
      output.m_out << info.m_name << "  " << info.m_help << "\n";
    }
    return ExitCode::kOk;
  }
  for (const auto& info : LogEventCatalogue()) {
    output.m_out << static_cast<int>(info.m_id) << "  " << info.m_name << "  "
                 << info.m_meaning << "\n";
  }
  return ExitCode::kOk;
}

}  // namespace dotterelshed::ctl
