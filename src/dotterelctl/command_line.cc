#include "command_line.h"

#include <algorithm>
#include <array>
#include <boost/program_options.hpp>
#include <chrono>
#include <exception>
#include <nlohmann/json.hpp>
#include <ostream>
#include <sstream>

namespace dotterelshed::ctl {

namespace {

namespace po = boost::program_options;

constexpr auto kCommands = std::to_array<Command>({
    {"check", "FILE", "json", "name every mistake in a text", RunCheck},
    {"diff", "FILE", "platform json",
     "compare a text with the one that was accepted last", RunDiff},
    {"apply", "FILE", "platform base wait json",
     "put a text into force and wait until it is", RunApply},
    {"get", "", "platform json", "print the text that was accepted last",
     RunGet},
    {"status", "", "platform host json", "show what holds and what does not",
     RunStatus},
    {"dump", "HOST", "platform", "print the whole state of one host", RunDump},
    {"drain", "HOST", "platform wait json",
     "finish a host's open requests, then stop it", RunDrain},
    {"actions", "", "platform all json",
     "list non-idempotent calls without a result", RunActions},
    {"resolve", "KEY", "platform outcome json",
     "record what became of a call whose outcome is unknown", RunResolve},
    {"explain", "ID [FILE]...", "program server",
     "tell from hosts' logs what became of a request", RunExplain},
    {"reference", "PAGE", "",
     "print the reference of the text or of the settings", RunReference},
    {"events", "", "metrics markdown json",
     "list all log events, or all metrics", RunEvents},
});

auto DescribeOptions() -> po::options_description {
  po::options_description all("options");
  all.add_options()("help", "print this text")(
      "platform", po::value<std::string>(),
      "IP:port of the platform's object API")(
      "host", po::value<std::vector<std::string>>(),
      "IP:port of a host's HTTP side; may be given more than once")(
      "base", po::value<std::int64_t>(),
      "generation that the text was edited from")(
      "wait", po::value<double>(),
      "longest wait in seconds (default: apply 10, drain 60)")(
      "outcome", po::value<std::string>(),
      "what became of the call: done, failed or not_run")("json", "print JSON")(
      "all", "list also calls with a result")("markdown",
                                              "print the page of the docs")(
      "metrics", "metrics instead of log events")(
      "program", "the id is a program's")("server", "the id is an endpoint's");
  return all;
}

auto ReadOptions(const po::variables_map& values) -> CommandOptions {
  CommandOptions options;
  if (values.contains("words")) {
    options.m_words = values["words"].as<std::vector<std::string>>();
  }
  if (values.contains("platform")) {
    options.m_platform = values["platform"].as<std::string>();
  }
  if (values.contains("host")) {
    options.m_hosts = values["host"].as<std::vector<std::string>>();
  }
  if (values.contains("base")) {
    options.m_base = values["base"].as<std::int64_t>();
  }
  if (values.contains("wait")) {
    options.m_wait = FromSeconds(values["wait"].as<double>());
  }
  if (values.contains("outcome")) {
    options.m_outcome = values["outcome"].as<std::string>();
  }
  options.m_json = values.contains("json");
  options.m_all = values.contains("all");
  options.m_markdown = values.contains("markdown");
  options.m_metrics = values.contains("metrics");
  options.m_program = values.contains("program");
  options.m_server = values.contains("server");
  return options;
}

auto UsageError(const std::string& message, const CommandOutput& output)
    -> ExitCode {
  output.m_error << "dotterelctl: " << message << "; see dotterelctl --help\n";
  return ExitCode::kUsage;
}

/// Whether @p name is one of the blank-separated words of @p list.
auto ContainsWord(std::string_view list, std::string_view name) -> bool {
  std::istringstream words{std::string(list)};
  std::string word;
  while (words >> word) {
    if (word == name) {
      return true;
    }
  }
  return false;
}

/// What is wrong with the options of a command, or an empty text.
auto FindUsageError(const Command& command,
                    const po::variables_map& values,
                    const CommandOptions& options) -> std::string {
  for (const auto& [name, value] : values) {
    const auto own = name == "command" || name == "words";
    if (!own && !value.defaulted() && !ContainsWord(command.m_options, name)) {
      return std::string(command.m_name) + " takes no --" + name;
    }
  }
  const auto wanted = command.m_words.empty() ? 0U : 1U;
  if (options.m_words.size() < wanted) {
    return std::string(command.m_name) + " needs " +
           std::string(command.m_words);
  }
  if (options.m_words.size() > wanted && !command.m_words.ends_with("...")) {
    return "unexpected word '" + options.m_words.back() + "'";
  }
  const auto lacks_platform = ContainsWord(command.m_options, "platform") &&
                              options.m_platform.empty() &&
                              options.m_hosts.empty() &&
                              command.m_words != "HOST";
  if (lacks_platform) {
    return std::string(command.m_name) + " needs --platform IP:port";
  }
  return "";
}

auto Parse(const std::vector<std::string>& arguments) -> po::variables_map {
  po::options_description hidden;
  hidden.add_options()("command", po::value<std::string>())(
      "words", po::value<std::vector<std::string>>());
  hidden.add(DescribeOptions());
  po::positional_options_description places;
  places.add("command", 1).add("words", -1);
  po::variables_map values;
  po::store(po::command_line_parser(arguments)
                .options(hidden)
                .positional(places)
                .run(),
            values);
  po::notify(values);
  return values;
}

auto RunParsed(const po::variables_map& values, const CommandOutput& output)
    -> ExitCode {
  if (values.contains("help")) {
    output.m_out << FormatHelp();
    return ExitCode::kOk;
  }
  if (!values.contains("command")) {
    return UsageError("no command given", output);
  }
  const auto name = values["command"].as<std::string>();
  const auto* command = std::find_if(
      kCommands.begin(), kCommands.end(),
      [&name](const Command& entry) { return entry.m_name == name; });
  if (command == kCommands.end()) {
    return UsageError("unknown command '" + name + "'", output);
  }
  const auto options = ReadOptions(values);
  const auto error = FindUsageError(*command, values, options);
  if (!error.empty()) {
    return UsageError(error, output);
  }
  return command->m_run(options, output);
}

}  // namespace

auto Commands() -> std::span<const Command> {
  return kCommands;
}

auto RunCommandLine(const std::vector<std::string>& arguments,
                    const CommandOutput& output) -> ExitCode {
  try {
    return RunParsed(Parse(arguments), output);
  } catch (const po::error& error) {
    return UsageError(error.what(), output);
  } catch (const std::exception& error) {
    output.m_error << "dotterelctl: " << error.what() << "\n";
    return ExitCode::kInternal;
  }
}

auto FormatHelp() -> std::string {
  std::ostringstream text;
  text << "usage: dotterelctl COMMAND [WORD] [OPTIONS]\n\ncommands:\n";
  for (const auto& command : kCommands) {
    auto call = std::string(command.m_name);
    if (!command.m_words.empty()) {
      call += " " + std::string(command.m_words);
    }
    constexpr std::size_t kColumn = 16;
    call.resize(std::max(call.size(), kColumn), ' ');
    text << "  " << call << " " << command.m_summary << "\n";
  }
  text << "\n" << DescribeOptions();
  text
      << "\nexit codes:\n"
         "  0 done                4 platform, host or file not reachable\n"
         "  1 mistakes found      5 accepted, but not in force everywhere yet\n"
         "  2 wrong command line  6 differences found\n"
         "  3 conflict            7 anything else\n";
  return text.str();
}

auto WallClockSeconds() -> std::int64_t {
  const auto now = std::chrono::system_clock::now().time_since_epoch();
  return std::chrono::duration_cast<std::chrono::seconds>(now).count();
}

auto ReportError(const Error& error,
                 const CommandOptions& options,
                 const CommandOutput& output) -> ExitCode {
  if (options.m_json) {
    const nlohmann::ordered_json json{{"error", ToString(error.m_code)},
                                      {"message", error.m_message},
                                      {"place", error.m_place}};
    output.m_out << json.dump() << "\n";
  }
  output.m_error << "dotterelctl: " << error.m_message;
  if (!error.m_place.empty()) {
    output.m_error << " (" << error.m_place << ")";
  }
  output.m_error << "\n";
  return ToExitCode(error);
}

}  // namespace dotterelshed::ctl
