#include "log_story.h"

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <istream>
#include <map>
#include <tuple>

#include "dotterelshed/log_events.h"

namespace dotterelshed::ctl {

namespace {

/// Events that change what a host believes, and the field that names of what;
/// the last one of each kind before a decision is what it was based on.
struct Belief {
  LogEventId m_event;
  std::string_view m_subject;
  /// Events with the same key replace each other.
  std::string_view m_key;
};

constexpr auto kBeliefs = std::to_array<Belief>({
    {LogEventId::kHostStarted, "", "host"},
    {LogEventId::kHostDraining, "", "host"},
    {LogEventId::kLeadChanged, "domain", "lead"},
    {LogEventId::kLeadClaimFailed, "", "claim"},
    {LogEventId::kLeadLost, "domain", "lead"},
    {LogEventId::kLeadYielded, "domain", "lead"},
    {LogEventId::kLedgerFenced, "domain", "fence"},
    {LogEventId::kLedgerWriteFailed, "", "write"},
    {LogEventId::kLedgerReadFailed, "domain", "read"},
    {LogEventId::kJournalUsed, "", "journal"},
    {LogEventId::kJournalFailed, "", "journal"},
    {LogEventId::kEndpointChanged, "endpoint", "endpoint"},
    {LogEventId::kEndpointRejected, "endpoint", "endpoint"},
    {LogEventId::kConfigInForce, "", "config"},
    {LogEventId::kConfigRejected, "", "rejected"},
    {LogEventId::kPlatformLost, "kind", "platform"},
    {LogEventId::kPlatformBack, "kind", "platform"},
});

auto FindBelief(const LogLine& line) -> const Belief* {
  const auto* found = std::find_if(
      kBeliefs.begin(), kBeliefs.end(), [&line](const Belief& belief) {
        return static_cast<int>(belief.m_event) == line.m_number;
      });
  return found == kBeliefs.end() ? nullptr : found;
}

auto FieldNameOf(StoryOf of) -> std::string_view {
  switch (of) {
    case StoryOf::kRequest:
      return "request";
    case StoryOf::kProgram:
      return "program";
    case StoryOf::kEndpoint:
      return "endpoint";
  }
  return "request";
}

/// What the lines of a story name.
struct Named {
  std::set<std::string> m_requests;
  std::set<std::string> m_endpoints;
  std::set<std::string> m_hosts;
  Duration m_first{0};
  Duration m_last{0};
};

auto Insert(std::set<std::string>& names, const std::string& name) -> void {
  if (!name.empty()) {
    names.insert(name);
  }
}

auto FindNamed(const LogText& log,
               std::string_view field,
               const std::string& id) -> std::set<std::string> {
  std::set<std::string> requests;
  for (const auto& line : log.m_lines) {
    if (FieldOf(line, field) == id) {
      Insert(requests, FieldOf(line, "request"));
    }
  }
  return requests;
}

auto SelectLines(const LogText& log,
                 std::string_view field,
                 const std::string& id,
                 Named& named) -> std::vector<StoryLine> {
  named.m_requests = FindNamed(log, field, id);
  std::vector<StoryLine> lines;
  for (const auto& line : log.m_lines) {
    const auto own = FieldOf(line, field) == id;
    if (!own && !named.m_requests.contains(FieldOf(line, "request"))) {
      continue;
    }
    lines.push_back({line, FindBelief(line) != nullptr});
    Insert(named.m_hosts, line.m_host);
    Insert(named.m_endpoints, FieldOf(line, "endpoint"));
    named.m_first =
        lines.size() == 1 ? line.m_time : std::min(named.m_first, line.m_time);
    named.m_last = std::max(named.m_last, line.m_time);
  }
  return lines;
}

/// Whether the belief bears on a story that names these.
auto Matters(const LogLine& line, const Belief& belief, const Named& named)
    -> bool {
  return named.m_hosts.contains(line.m_host) && line.m_time <= named.m_last &&
         (belief.m_subject != "endpoint" ||
          named.m_endpoints.contains(FieldOf(line, "endpoint")));
}

auto SelectBeliefs(const LogText& log, const Named& named)
    -> std::vector<StoryLine> {
  using Key = std::tuple<std::string, std::string, std::string>;
  std::map<Key, LogLine> before;
  std::vector<StoryLine> beliefs;
  for (const auto& line : log.m_lines) {
    const auto* belief = FindBelief(line);
    if (belief == nullptr || !Matters(line, *belief, named)) {
      continue;
    }
    if (line.m_time > named.m_first) {
      beliefs.push_back({line, true});
      continue;
    }
    const Key key(line.m_host, belief->m_key, FieldOf(line, belief->m_subject));
    auto& last = before[key];
    if (last.m_number == 0 || last.m_time <= line.m_time) {
      last = line;
    }
  }
  for (const auto& [key, line] : before) {
    beliefs.push_back({line, true});
  }
  return beliefs;
}

auto FormatFields(const LogLine& line) -> std::string {
  std::string text;
  for (const auto& [name, value] : line.m_fields) {
    text += " " + name + "=" + value;
  }
  return text;
}

}  // namespace

auto AddLog(LogText& log, std::istream& text) -> void {
  std::string raw;
  while (std::getline(text, raw)) {
    if (auto line = ParseLogLine(raw)) {
      log.m_lines.push_back(std::move(*line));
    } else if (!raw.empty()) {
      ++log.m_unread;
    }
  }
}

auto TellStory(const LogText& log, StoryOf of, const std::string& id) -> Story {
  Story story;
  Named named;
  auto own = SelectLines(log, FieldNameOf(of), id, named);
  if (own.empty()) {
    return story;
  }
  story.m_lines = SelectBeliefs(log, named);
  for (auto& line : own) {
    // Beliefs that name the endpoint itself are there already.
    if (!line.m_belief) {
      story.m_lines.push_back(std::move(line));
    }
  }
  std::stable_sort(story.m_lines.begin(), story.m_lines.end(),
                   [](const StoryLine& left, const StoryLine& right) {
                     return left.m_line.m_time < right.m_line.m_time;
                   });
  for (const auto& line : log.m_lines) {
    const auto dropped =
        line.m_number == static_cast<int>(LogEventId::kLogLinesDropped);
    if (dropped && named.m_hosts.contains(line.m_host) &&
        line.m_time >= named.m_first) {
      story.m_incomplete.insert(line.m_host);
    }
  }
  return story;
}

auto FormatStory(const Story& story) -> std::string {
  const auto first =
      std::find_if(story.m_lines.begin(), story.m_lines.end(),
                   [](const StoryLine& line) { return !line.m_belief; });
  const auto begin = first == story.m_lines.end()
                         ? story.m_lines.front().m_line.m_time
                         : first->m_line.m_time;
  std::string text;
  for (const auto& [line, belief] : story.m_lines) {
    text += fmt::format("{:+10.3f} s  {}  {} {}{}{}\n",
                        ToSeconds(line.m_time - begin), line.m_host,
                        line.m_number, line.m_name, FormatFields(line),
                        belief ? "  (belief)" : "");
  }
  for (const auto& host : story.m_incomplete) {
    text += host + " left lines out of its log (event 105)\n";
  }
  return text;
}

}  // namespace dotterelshed::ctl
