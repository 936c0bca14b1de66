#include "dotterelshed/config_text.h"

#include <algorithm>

#include "desk_compiler.h"
#include "key_schema.h"
#include "node_reader.h"
#include "text_tree.h"

namespace dotterelshed {

namespace {

/// Characters that JSON writes as two; controls other than these are rare
/// enough in a text to count like the rest.
auto EscapedSize(std::string_view text) -> std::size_t {
  const auto escaped = std::count_if(text.begin(), text.end(), [](char letter) {
    return letter == '"' || letter == '\\' || letter == '\n' ||
           letter == '\t' || letter == '\r';
  });
  return text.size() + static_cast<std::size_t>(escaped);
}

auto CheckSize(std::string_view text, std::vector<ConfigProblem>& problems)
    -> void {
  const auto size = EscapedSize(text);
  if (size <= kMaxConfigTextBytes) {
    return;
  }
  problems.push_back(
      {.m_line = 1,
       .m_path = "",
       .m_message = "the text takes " + std::to_string(size) +
                    " bytes in the platform, above its limit of " +
                    std::to_string(kMaxConfigTextBytes),
       .m_remedy = "shorten it; \"count\" writes a row of endpoints once"});
}

auto Append(std::vector<ConfigProblem>& all, std::vector<ConfigProblem> more)
    -> void {
  all.insert(all.end(), std::make_move_iterator(more.begin()),
             std::make_move_iterator(more.end()));
}

}  // namespace

auto CheckConfigText(std::string_view text, Generation generation)
    -> ConfigCheck {
  ConfigCheck check;
  CheckSize(text, check.m_problems);
  auto parsed = pvt::ParseTextTree(text);
  const auto& root = parsed.m_root;
  const auto is_map = root.m_kind == pvt::NodeKind::kMap;
  const auto broken = !parsed.m_problems.empty() && !is_map;
  Append(check.m_problems, std::move(parsed.m_problems));
  if (broken) {
    return check;
  }
  const pvt::CheckContext context{
      .m_keys = pvt::DeskKeys(),
      .m_currency = pvt::ReadText(root, "currency", pvt::kDefaultCurrency)};
  Append(check.m_problems, pvt::CheckKeys(root, context));
  Append(check.m_problems, pvt::CheckReferences(root));
  std::stable_sort(check.m_problems.begin(), check.m_problems.end(),
                   [](const ConfigProblem& left, const ConfigProblem& right) {
                     return left.m_line < right.m_line;
                   });
  if (check.ok()) {
    check.m_config = pvt::CompileDesk(root);
    check.m_config.m_generation = generation;
  }
  return check;
}

auto FormatProblem(const ConfigProblem& problem, std::string_view file)
    -> std::string {
  auto line = std::string(file) + ":" + std::to_string(problem.m_line) + ": ";
  if (!problem.m_path.empty()) {
    line += problem.m_path + ": ";
  }
  return line + problem.m_message + "; " + problem.m_remedy;
}

}  // namespace dotterelshed
