#ifndef DOTTERELSHED_DOTTERELCTL_LOG_STORY_H_
#define DOTTERELSHED_DOTTERELCTL_LOG_STORY_H_

#include <iosfwd>
#include <set>
#include <string>
#include <vector>

#include "log_line.h"

/// @file
/// What the logs of all hosts say of one request, program or endpoint, in order
/// of time, with what the hosts that decided held true then and how old it was.

namespace dotterelshed::ctl {

enum class StoryOf { kRequest, kProgram, kEndpoint };

struct StoryLine {
  LogLine m_line;
  /// Says what a host believed, not what it did to the request.
  bool m_belief = false;
};

struct Story {
  /// In order of time; beliefs from before come first.
  std::vector<StoryLine> m_lines;
  /// Hosts whose log left lines out in the time of the story.
  std::set<std::string> m_incomplete;
};

/// All lines of some logs.
struct LogText {
  std::vector<LogLine> m_lines;
  /// Lines that aren't a host's.
  int m_unread = 0;
};

auto AddLog(LogText& log, std::istream& text) -> void;

/// An empty story when no line names @p id.
auto TellStory(const LogText& log, StoryOf of, const std::string& id) -> Story;

/// One line for each event: time since the first one that isn't a belief, host,
/// event, fields; beliefs with their age.
auto FormatStory(const Story& story) -> std::string;

}  // namespace dotterelshed::ctl

#endif  // DOTTERELSHED_DOTTERELCTL_LOG_STORY_H_
