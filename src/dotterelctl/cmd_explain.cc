#include <fstream>
#include <iostream>
#include <ostream>

#include "command.h"
#include "log_story.h"

namespace dotterelshed::ctl {

namespace {

auto KindOf(const CommandOptions& options) -> StoryOf {
  if (options.m_program) {
    return StoryOf::kProgram;
  }
  return options.m_server ? StoryOf::kEndpoint : StoryOf::kRequest;
}

/// Reads the logs that the words after the id name, or standard input.
auto ReadLogs(const CommandOptions& options) -> Result<LogText> {
  LogText log;
  if (options.m_words.size() == 1) {
    AddLog(log, std::cin);
  }
  for (std::size_t at = 1; at < options.m_words.size(); ++at) {
    std::ifstream file(options.m_words[at]);
    if (!file) {
      return Fail(ErrorCode::kNotFound, "can't be read", options.m_words[at]);
    }
    AddLog(log, file);
  }
  return log;
}

}  // namespace

auto RunExplain(const CommandOptions& options, const CommandOutput& output)
    -> ExitCode {
  if (options.m_program && options.m_server) {
    output.m_error
        << "dotterelctl: --program and --server exclude each other\n";
    return ExitCode::kUsage;
  }
  const auto log = ReadLogs(options);
  if (!log) {
    return ReportError(log.error(), options, output);
  }
  const auto& id = options.m_words.front();
  const auto story = TellStory(*log, KindOf(options), id);
  if (log->m_unread > 0) {
    output.m_error << log->m_unread << " lines aren't a host's log lines\n";
  }
  if (story.m_lines.empty()) {
    output.m_error << "dotterelctl: none of " << log->m_lines.size()
                   << " log lines names " << id << "\n";
    return ExitCode::kProblems;
  }
  output.m_out << FormatStory(story);
  return ExitCode::kOk;
}

}  // namespace dotterelshed::ctl
