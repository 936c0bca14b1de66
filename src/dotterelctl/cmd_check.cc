#include <ostream>

#include "command.h"
#include "text_file.h"

namespace dotterelshed::ctl {

auto RunCheck(const CommandOptions& options, const CommandOutput& output)
    -> ExitCode {
  const auto& file = options.m_words.front();
  const auto text = ReadTextFile(file);
  if (!text) {
    return ReportError(text.error(), options, output);
  }
  const auto check = CheckConfigText(*text, Generation(0));
  if (options.m_json || !check.ok()) {
    PrintProblems(check, file, options, output);
  } else {
    output.m_out << file << ": no mistakes\n";
  }
  return check.ok() ? ExitCode::kOk : ExitCode::kProblems;
}

}  // namespace dotterelshed::ctl
