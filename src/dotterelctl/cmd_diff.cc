#include <nlohmann/json.hpp>
#include <ostream>

#include "command.h"
#include "desk_store.h"
#include "dotterelshed/config_diff.h"
#include "text_file.h"

namespace dotterelshed::ctl {

namespace {

using Json = nlohmann::ordered_json;

auto ChangesJson(Generation generation,
                 const std::vector<ConfigChange>& changes) -> Json {
  auto list = Json::array();
  for (const auto& change : changes) {
    list.push_back({{"section", change.m_section},
                    {"path", change.m_path},
                    {"kind", ToString(change.m_kind)},
                    {"before", change.m_before},
                    {"after", change.m_after}});
  }
  return {{"generation", generation.value()}, {"changes", list}};
}

}  // namespace

auto RunDiff(const CommandOptions& options, const CommandOutput& output)
    -> ExitCode {
  auto code = ExitCode::kOk;
  const auto checked = LoadCheckedText(options, output, code);
  if (!checked) {
    return code;
  }
  const auto stored = ReadDesk(MakePlatformOptions(options.m_platform));
  if (!stored) {
    return ReportError(stored.error(), options, output);
  }
  const auto changes =
      DiffConfigTexts(stored->m_config.m_text, checked->m_text);
  const auto generation = stored->m_config.m_generation;
  if (options.m_json) {
    output.m_out << ChangesJson(generation, changes)
                        .dump(-1, ' ', false, Json::error_handler_t::replace)
                 << "\n";
  } else {
    output.m_out << "against generation " << generation << ":\n"
                 << (changes.empty() ? "  no differences\n"
                                     : FormatChanges(changes));
  }
  return changes.empty() ? ExitCode::kOk : ExitCode::kDifferent;
}

auto RunGet(const CommandOptions& options, const CommandOutput& output)
    -> ExitCode {
  const auto stored = ReadDesk(MakePlatformOptions(options.m_platform));
  if (!stored) {
    return ReportError(stored.error(), options, output);
  }
  const auto& config = stored->m_config;
  if (options.m_json) {
    const Json json{{"generation", config.m_generation.value()},
                    {"text", config.m_text}};
    output.m_out << json.dump(-1, ' ', false, Json::error_handler_t::replace)
                 << "\n";
    return ExitCode::kOk;
  }
  output.m_out << config.m_text;
  output.m_error << "generation " << config.m_generation << "\n";
  return ExitCode::kOk;
}

}  // namespace dotterelshed::ctl
