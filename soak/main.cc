#include <boost/program_options.hpp>
#include <csignal>
#include <exception>
#include <filesystem>
#include <iostream>
#include <string>

#include "dotterelshed/log_events.h"
#include "soak_world.h"

namespace {

namespace options = boost::program_options;
using dotterelshed::soak::SoakOptions;
using dotterelshed::soak::SoakWorld;

constexpr int kBroken = 1;
constexpr int kUsageError = 2;

auto MakeOptions() -> options::options_description {
  options::options_description description(
      "soak: runs hosts as processes, disturbs them as a seed says, and checks "
      "what callers and endpoints see");
  description.add_options()("help", "show this text")(
      "seed", options::value<unsigned>()->default_value(1),
      "seed of the faults")("program", options::value<std::string>(),
                            "path of dotterelshed_entry")(
      "folder", options::value<std::string>(),
      "where settings and logs of the hosts go")(
      "seconds", options::value<double>()->default_value(12),
      "time in which faults are drawn")(
      "untimed", "check only promises without a time bound")(
      "planned", "draw planned work only; no request may be cut")(
      "production", options::value<std::string>()->default_value(""),
      "program that the hosts begin with; with --planned they are replaced one "
      "by one")("hosts", options::value<int>()->default_value(2),
                "entry hosts of each of the three domains")(
      "callers", options::value<int>()->default_value(4),
      "callers of each domain");
  return description;
}

auto Run(const options::variables_map& given) -> int {
  SoakOptions soak;
  soak.m_seed = given["seed"].as<unsigned>();
  soak.m_program = given["program"].as<std::string>();
  soak.m_folder = given["folder"].as<std::string>();
  soak.m_fault_time = dotterelshed::FromSeconds(given["seconds"].as<double>());
  soak.m_timed = given.count("untimed") == 0;
  soak.m_planned = given.count("planned") > 0;
  soak.m_production = given["production"].as<std::string>();
  soak.m_hosts_per_domain = given["hosts"].as<int>();
  soak.m_callers_per_domain = given["callers"].as<int>();
  std::filesystem::create_directories(soak.m_folder);
  const auto logging =
      dotterelshed::StartLogging({.m_level = dotterelshed::LogLevel::kError});
  DOTTERELSHED_CHECK(logging.has_value());
  const auto broken = SoakWorld(soak).Run();
  for (const auto& one : broken) {
    std::cout << "BROKEN: " << one << "\n";
  }
  std::cout << "seed " << soak.m_seed << ": " << broken.size() << " broken\n";
  return broken.empty() ? 0 : kBroken;
}

}  // namespace

auto main(int argc, char** argv) -> int {
  std::signal(SIGPIPE, SIG_IGN);
  try {
    const auto description = MakeOptions();
    options::variables_map given;
    options::store(options::parse_command_line(argc, argv, description), given);
    const auto usable = given.count("program") > 0 && given.count("folder") > 0;
    if (given.count("help") > 0 || !usable) {
      std::cout << description << "\n";
      return given.count("help") > 0 ? 0 : kUsageError;
    }
    return Run(given);
  } catch (const std::exception& error) {
    std::cerr << error.what() << "\n";
    return kUsageError;
  }
}
