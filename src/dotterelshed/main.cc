#include <boost/program_options.hpp>
#include <cstdio>
#include <exception>
#include <iostream>
#include <sstream>
#include <string>

#include "dotterelshed/file_text.h"
#include "dotterelshed/host.h"
#include "dotterelshed/log_events.h"
#include "dotterelshed/settings.h"

namespace dotterelshed {
namespace {

namespace options = boost::program_options;

constexpr int kUsageError = 2;

auto MakeOptions() -> options::options_description {
  options::options_description description(
      "dotterelshed: one entry host. Usage: dotterelshed --settings FILE");
  description.add_options()("help", "show this text")(
      "settings", options::value<std::string>(),
      "settings file, JSON with comments")("check",
                                           "check the settings and exit")(
      "print-settings", "print the settings in force and exit");
  return description;
}

auto Run(const options::variables_map& given, const std::string& usage) -> int {
  if (given.count("help") > 0) {
    std::cout << usage;
    return 0;
  }
  if (given.count("settings") == 0) {
    std::cerr << usage;
    return kUsageError;
  }
  const auto file = given["settings"].as<std::string>();
  const auto settings = ReadFileText(file).and_then(
      [&file](const std::string& text) { return ParseSettings(text, file); });
  if (!settings) {
    std::cerr << settings.error().m_place << ": " << settings.error().m_message
              << "\n";
    return kUsageError;
  }
  if (given.count("print-settings") > 0) {
    std::cout << FormatSettings(*settings);
    return 0;
  }
  if (given.count("check") > 0) {
    return 0;
  }
  const auto level = ParseLogLevel(settings->m_log_level);
  const auto logging = StartLogging({.m_level = level.value_or(LogLevel::kInfo),
                                     .m_host = settings->m_host.value()});
  if (!logging) {
    std::cerr << logging.error().m_message << "\n";
    return kUsageError;
  }
  return static_cast<int>(RunHost(*settings));
}

}  // namespace
}  // namespace dotterelshed

auto main(int argc, char** argv) -> int {
  try {
    const auto description = dotterelshed::MakeOptions();
    std::ostringstream usage;
    usage << description;
    boost::program_options::variables_map given;
    boost::program_options::store(
        boost::program_options::parse_command_line(argc, argv, description),
        given);
    return dotterelshed::Run(given, usage.str());
  } catch (const std::exception& error) {
    std::fprintf(stderr, "dotterelshed: %s\n", error.what());
    return dotterelshed::kUsageError;
  }
}
