#include <ostream>

#include "command.h"
#include "status_print.h"
#include "status_sources.h"

namespace dotterelshed::ctl {

namespace {

auto ReadPlatformIfNamed(const CommandOptions& options) -> PlatformView {
  if (!options.m_platform.empty()) {
    return ReadPlatformView(options.m_platform);
  }
  PlatformView view;
  view.m_error = "no --platform given";
  return view;
}

}  // namespace

auto RunStatus(const CommandOptions& options, const CommandOutput& output)
    -> ExitCode {
  auto platform = ReadPlatformIfNamed(options);
  const auto addresses = options.m_hosts.empty()
                             ? HostAddressesOf(platform.m_tables)
                             : options.m_hosts;
  const auto report = BuildStatusReport(
      std::move(platform), ReadHostViews(addresses), WallClockSeconds());
  if (options.m_json) {
    output.m_out << StatusJson(report) << "\n";
  } else {
    PrintStatus(report, output.m_out);
  }
  return report.m_problems.empty() ? ExitCode::kOk : ExitCode::kProblems;
}

}  // namespace dotterelshed::ctl
