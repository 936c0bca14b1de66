#include "text_file.h"

#include <fstream>
#include <iostream>
#include <iterator>
#include <nlohmann/json.hpp>
#include <ostream>

namespace dotterelshed::ctl {

namespace {

using Json = nlohmann::ordered_json;

auto ReadAll(std::istream& stream) -> std::string {
  return {std::istreambuf_iterator<char>(stream),
          std::istreambuf_iterator<char>()};
}

}  // namespace

auto ReadTextFile(const std::string& path) -> Result<std::string> {
  if (path == "-") {
    return ReadAll(std::cin);
  }
  std::ifstream file(path, std::ios::binary);
  if (!file || file.peek() == std::ifstream::traits_type::eof()) {
    return Fail(ErrorCode::kNotFound, "the file can't be read or is empty",
                path);
  }
  return ReadAll(file);
}

auto PrintProblems(const ConfigCheck& check,
                   const std::string& file,
                   const CommandOptions& options,
                   const CommandOutput& output) -> void {
  if (!options.m_json) {
    for (const auto& problem : check.m_problems) {
      output.m_out << FormatProblem(problem, file) << "\n";
    }
    return;
  }
  auto problems = Json::array();
  for (const auto& problem : check.m_problems) {
    problems.push_back({{"line", problem.m_line},
                        {"path", problem.m_path},
                        {"message", problem.m_message},
                        {"remedy", problem.m_remedy}});
  }
  const Json json{{"file", file}, {"ok", check.ok()}, {"problems", problems}};
  output.m_out << json.dump(-1, ' ', false, Json::error_handler_t::replace)
               << "\n";
}

auto LoadCheckedText(const CommandOptions& options,
                     const CommandOutput& output,
                     ExitCode& code) -> std::optional<CheckedText> {
  const auto& file = options.m_words.front();
  auto text = ReadTextFile(file);
  if (!text) {
    code = ReportError(text.error(), options, output);
    return std::nullopt;
  }
  auto check = CheckConfigText(*text, Generation(0));
  if (!check.ok()) {
    PrintProblems(check, file, options, output);
    code = ExitCode::kProblems;
    return std::nullopt;
  }
  return CheckedText{.m_text = std::move(*text),
                     .m_config = std::move(check.m_config)};
}

}  // namespace dotterelshed::ctl
