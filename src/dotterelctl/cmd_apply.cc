#include <chrono>
#include <nlohmann/json.hpp>
#include <ostream>
#include <thread>

#include "command.h"
#include "desk_store.h"
#include "dotterelshed/config_diff.h"
#include "text_file.h"

namespace dotterelshed::ctl {

namespace {

using Json = nlohmann::ordered_json;
using Clock = std::chrono::steady_clock;

constexpr auto kDefaultWait = std::chrono::seconds(10);
constexpr auto kPollInterval = std::chrono::milliseconds(100);

auto LaggingJson(const std::vector<LaggingDomain>& lagging) -> Json {
  auto list = Json::array();
  for (const auto& domain : lagging) {
    auto behind = Json::array();
    for (const auto& host : domain.m_behind) {
      behind.push_back(host.value());
    }
    list.push_back({{"domain", domain.m_domain.value()},
                    {"in_force", domain.m_in_force.value()},
                    {"reported", domain.m_known},
                    {"behind", behind}});
  }
  return list;
}

/// Somebody else's text was accepted since ours was edited: shows what differs
/// and changes nothing.
auto ReportConflict(const StoredDesk& stored,
                    const std::string& text,
                    const CommandOptions& options,
                    const CommandOutput& output) -> ExitCode {
  const auto changes = DiffConfigTexts(stored.m_config.m_text, text);
  const auto generation = stored.m_config.m_generation.value();
  if (options.m_json) {
    auto list = Json::array();
    for (const auto& change : changes) {
      list.push_back({{"path", change.m_path},
                      {"kind", ToString(change.m_kind)},
                      {"accepted", change.m_before},
                      {"yours", change.m_after}});
    }
    const Json json{
        {"error", "conflict"}, {"generation", generation}, {"changes", list}};
    output.m_out << json.dump(-1, ' ', false, Json::error_handler_t::replace)
                 << "\n";
    return ExitCode::kConflict;
  }
  output.m_error << "conflict: generation " << generation
                 << " was accepted meanwhile; nothing was changed. From the "
                    "accepted text to yours:\n"
                 << FormatChanges(changes)
                 << "Take the accepted text (dotterelctl get), merge, and "
                    "apply with --base "
                 << generation << ".\n";
  return ExitCode::kConflict;
}

/// Waits until the generation is in force in all domains; returns those where
/// it is not when time is up.
auto WaitInForce(const PlatformOptions& platform,
                 const std::set<DomainId>& domains,
                 Generation generation,
                 Duration wait) -> Result<std::vector<LaggingDomain>> {
  const auto end = Clock::now() + wait;
  while (true) {
    const auto statuses = ReadStatuses(platform);
    const auto last = Clock::now() >= end;
    if (statuses) {
      auto lagging = FindLagging(domains, *statuses, generation);
      if (lagging.empty() || last) {
        return lagging;
      }
    } else if (last) {
      return tl::unexpected<Error>(statuses.error());
    }
    std::this_thread::sleep_for(kPollInterval);
  }
}

auto ReportInForce(Generation generation,
                   bool changed,
                   const std::vector<LaggingDomain>& lagging,
                   const CommandOptions& options,
                   const CommandOutput& output) -> ExitCode {
  if (options.m_json) {
    const Json json{{"generation", generation.value()},
                    {"changed", changed},
                    {"in_force", lagging.empty()},
                    {"not_in_force", LaggingJson(lagging)}};
    output.m_out << json.dump() << "\n";
  } else if (lagging.empty()) {
    output.m_out << "generation " << generation << " is in force in every "
                 << "domain\n";
  } else {
    output.m_out << "generation " << generation
                 << " is accepted, but not in force yet in:\n";
    for (const auto& domain : lagging) {
      output.m_out << "  " << Describe(domain) << "\n";
    }
  }
  return lagging.empty() ? ExitCode::kOk : ExitCode::kNotInForce;
}

/// The new generation, or the present one if the text is in force already.
struct Accepted {
  Generation m_generation;
  bool m_changed = false;
};

/// Writes the text, or says why not in @p code.
auto Accept(const PlatformOptions& platform,
            const CheckedText& checked,
            const CommandOptions& options,
            const CommandOutput& output,
            ExitCode& code) -> std::optional<Accepted> {
  const auto stored = ReadDesk(platform);
  if (!stored) {
    code = ReportError(stored.error(), options, output);
    return std::nullopt;
  }
  const auto present = stored->m_config.m_generation;
  if (stored->m_config.m_text == checked.m_text) {
    return Accepted{.m_generation = present};
  }
  if (options.m_base != 0 && Generation(options.m_base) != present) {
    code = ReportConflict(*stored, checked.m_text, options, output);
    return std::nullopt;
  }
  const auto written = WriteDesk(platform, *stored, checked.m_text);
  if (written) {
    return Accepted{.m_generation = *written, .m_changed = true};
  }
  if (written.error().m_code == ErrorCode::kConflict) {
    const auto newer = ReadDesk(platform);
    code = newer ? ReportConflict(*newer, checked.m_text, options, output)
                 : ReportError(written.error(), options, output);
    return std::nullopt;
  }
  code = ReportError(written.error(), options, output);
  output.m_error << "It is safe to run the same command again: a text that was "
                    "accepted is not accepted twice.\n";
  return std::nullopt;
}

}  // namespace

auto RunApply(const CommandOptions& options, const CommandOutput& output)
    -> ExitCode {
  auto code = ExitCode::kOk;
  const auto checked = LoadCheckedText(options, output, code);
  if (!checked) {
    return code;
  }
  const auto platform = MakePlatformOptions(options.m_platform);
  const auto accepted = Accept(platform, *checked, options, output, code);
  if (!accepted) {
    return code;
  }
  if (!options.m_json) {
    output.m_out << "generation " << accepted->m_generation
                 << (accepted->m_changed ? " is accepted"
                                         : " already has this text")
                 << std::endl;
  }
  const auto lagging = WaitInForce(platform, DomainsOf(checked->m_config),
                                   accepted->m_generation,
                                   options.m_wait.value_or(kDefaultWait));
  if (!lagging) {
    return ReportError(lagging.error(), options, output);
  }
  return ReportInForce(accepted->m_generation, accepted->m_changed, *lagging,
                       options, output);
}

}  // namespace dotterelshed::ctl
