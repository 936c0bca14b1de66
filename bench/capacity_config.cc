// Cost of one configuration change on one host, over the numbers of endpoints
// and accounts: check, compiled size, difference to the text before.
#include <string>
#include <vector>

#include "capacity_report.h"
#include "dotterelshed/config_text.h"
#include "dotterelshed/core.h"
#include "dotterelshed/error.h"
#include "rollout/rollout_diff.h"

namespace dotterelshed::bench {
namespace {

struct ConfigSize {
  int m_endpoints = 0;
  int m_accounts = 0;
  /// Endpoints that one entry of the text stands for.
  int m_per_entry = 1;
};

auto MakeEndpoints(const ConfigSize& size) -> std::string {
  std::string text;
  for (auto i = 0; i < size.m_endpoints; i += size.m_per_entry) {
    const auto block = std::to_string(i / 16384) + "." +
                       std::to_string(i / 128 % 128) + "." +
                       std::to_string(i % 128 + 1);
    text += std::string(text.empty() ? "" : ",\n") + "{\"name\": \"engine-" +
            std::to_string(i) + "\", \"domain\": \"d" + std::to_string(i % 9) +
            "\", \"address\": \"10." + block +
            ":8000\", \"count\": " + std::to_string(size.m_per_entry) + "}";
  }
  return text;
}

auto MakeText(const ConfigSize& size, int timeout_s) -> std::string {
  std::string text = "{\"desk\": \"c\", \"domains\": [";
  for (auto i = 0; i < 9; ++i) {
    text += (i == 0 ? "\"d" : ", \"d") + std::to_string(i) + "\"";
  }
  text +=
      "], \"default_class\": \"k\",\n\"services\": [ {\"name\": \"s\","
      "\"kind\": \"model\", \"timeout\": \"" +
      std::to_string(timeout_s) + "s\",\n\"models\": [";
  for (auto i = 0; i < 24; ++i) {
    text += std::string(i == 0 ? "" : ", ") + "{\"name\": \"m" +
            std::to_string(i) + "\", \"version\": \"1\"}";
  }
  text += "],\n\"endpoints\": [\n" + MakeEndpoints(size) +
          "] } ],\n\"classes\": [ {\"name\": \"k\", \"budget\": \"1 EUR\"} "
          "],\n\"accounts\": [\n";
  for (auto i = 0; i < size.m_accounts; ++i) {
    text += std::string(i == 0 ? "" : ",\n") + "{\"name\": \"account-" +
            std::to_string(i) + "\", \"classes\": [\"k\"]}";
  }
  return text + "] }";
}

/// Processor time of a host's core to take the next configuration.
auto MeasureAdoption(const std::string& text, const std::string& next)
    -> Duration {
  const HostRef self{HostId("h"), Incarnation(1)};
  const auto core = MakeCore({.m_self = self,
                              .m_domain = DomainId("d0"),
                              .m_charts_dir = DOTTERELSHED_CHARTS_DIR});
  DOTTERELSHED_CHECK(core);
  const TimePoint now{std::chrono::hours(1)};
  const auto take = [&](const std::string& given, Generation generation) {
    auto check = CheckConfigText(given, generation);
    const auto config =
        std::make_shared<const DeskConfig>(std::move(check.m_config));
    const auto begin = ProcessorTime();
    Step(**core, ConfigArrived{config, given}, now);
    return ProcessorTime() - begin;
  };
  take(text, Generation(1));
  return take(next, Generation(2));
}

auto Measure(const ConfigSize& size) -> std::vector<std::string> {
  constexpr auto kRounds = 10;
  const auto text = MakeText(size, 60);
  const auto next = MakeText(size, 61);
  const auto before = BytesInUse();
  auto check = CheckConfigText(text, Generation(1));
  const auto bytes = BytesInUse() - before;
  const auto begin = ProcessorTime();
  for (auto i = 0; i < kRounds; ++i) {
    CheckConfigText(text, Generation(1));
  }
  const auto check_time = (ProcessorTime() - begin) / kRounds;
  const auto diff_begin = ProcessorTime();
  std::string difference;
  for (auto i = 0; i < kRounds; ++i) {
    difference = pvt::MakeDifference(text, next);
    DOTTERELSHED_CHECK(pvt::ApplyDifference(text, difference));
  }
  const auto diff_time = (ProcessorTime() - diff_begin) / kRounds;
  return {std::to_string(size.m_endpoints),
          std::to_string(size.m_accounts),
          std::to_string(size.m_per_entry),
          Fixed(static_cast<double>(text.size()) / 1024, 0),
          check.ok() ? "yes" : "no: " + check.m_problems.front().m_message,
          Fixed(ToSeconds(check_time) * 1000, 2),
          check.ok() ? Fixed(ToSeconds(MeasureAdoption(text, next)) * 1000, 2)
                     : "-",
          Fixed(static_cast<double>(bytes) / 1024, 0),
          std::to_string(difference.size()),
          Fixed(ToSeconds(diff_time) * 1000, 2)};
}

auto Run() -> void {
  const std::vector<ConfigSize> sizes{
      {50, 6, 1},      {1200, 580, 1},   {4000, 1900, 1},  {12000, 5800, 1},
      {1280, 580, 64}, {3840, 1900, 64}, {12032, 5800, 64}};
  std::vector<std::vector<std::string>> rows;
  rows.reserve(sizes.size());
  for (const auto& size : sizes) {
    rows.push_back(Measure(size));
  }
  PrintMarkdown(
      "One change of the text",
      {"endpoints", "accounts", "endpoints/entry", "text KiB", "accepted",
       "check ms", "adopt ms", "compiled KiB", "difference B", "difference ms"},
      rows);
}

}  // namespace
}  // namespace dotterelshed::bench

auto main() -> int {
  dotterelshed::bench::Run();
  return 0;
}
