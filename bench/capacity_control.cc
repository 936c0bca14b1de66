// Cost of heartbeats and digests at rest, over the number of hosts in a failure
// domain.
#include "capacity_desk.h"
#include "capacity_report.h"
#include "dotterelshed/platform_codec.h"

namespace dotterelshed::bench {
namespace {

constexpr auto kTick = std::chrono::milliseconds(20);
constexpr auto kSpan = std::chrono::seconds(30);
constexpr auto kWarmUp = std::chrono::seconds(10);

/// One host's cost per second as cells of a row.
auto Cells(const HostCost& cost) -> std::vector<std::string> {
  const auto seconds = static_cast<double>(kSpan.count());
  const auto cpu = static_cast<double>(cost.m_step_time.count()) / 1e9;
  return {Fixed(100 * cpu / seconds, 3),
          Fixed(static_cast<double>(cost.m_messages_sent) / seconds, 1),
          Fixed(static_cast<double>(cost.m_bytes_sent) / seconds, 0),
          Fixed(static_cast<double>(cost.m_bytes_received) / seconds, 0)};
}

auto Measure(int hosts) -> std::vector<std::string> {
  const auto before = BytesInUse();
  auto desk = StartDesk({.m_hosts = hosts, .m_endpoints = hosts * 37});
  Pass(desk, kWarmUp, kTick);
  ResetCosts(desk);
  Pass(desk, kSpan, kTick);
  const auto lead = LeadOf(desk);
  const auto member = lead == 0 ? std::size_t{1} : std::size_t{0};
  std::vector<std::string> row{std::to_string(hosts),
                               std::to_string(desk.m_table.m_pools.size())};
  for (const auto host : {lead, member}) {
    const auto cells = Cells(desk.m_hosts[host].m_cost);
    row.insert(row.end(), cells.begin(), cells.end());
  }
  auto platform = std::int64_t{0};
  for (const auto& host : desk.m_hosts) {
    platform += host.m_cost.m_table_reads + host.m_cost.m_table_writes;
  }
  row.push_back(Fixed(
      static_cast<double>(platform) / static_cast<double>(kSpan.count()), 2));
  row.push_back(
      Fixed(static_cast<double>(BytesInUse() - before) / hosts / 1024, 0));
  row.push_back(Fixed(
      static_cast<double>(EncodeDomainTable(desk.m_table).size()) / 1024, 1));
  return row;
}

auto Run() -> void {
  std::vector<std::vector<std::string>> rows;
  for (const auto hosts : {4, 9, 18, 36}) {
    rows.push_back(Measure(hosts));
  }
  PrintMarkdown(
      "At rest: tick 20 ms, heartbeat 500 ms, 37 endpoints a host",
      {"hosts", "pools", "lead % core", "lead msg/s", "lead B/s out",
       "lead B/s in", "member % core", "member msg/s", "member B/s out",
       "member B/s in", "table calls/s of all", "KiB/host", "table KiB"},
      rows);
}

}  // namespace
}  // namespace dotterelshed::bench

auto main() -> int {
  dotterelshed::bench::Run();
  return 0;
}
