#ifndef DOTTERELSHED_TEST_LOSSES_H_
#define DOTTERELSHED_TEST_LOSSES_H_

#include <algorithm>
#include <catch2/catch.hpp>
#include <functional>
#include <memory>
#include <random>
#include <string>
#include <thread>
#include <vector>

#include "dotterelshed/replica_placement.h"
#include "history/replica_messages.h"
#include "history/test_history.h"
#include "history/test_process.h"

/// @file
/// Hosts that are stopped, killed, wiped, retired and replaced at random, for
/// tests.

namespace dotterelshed {

using Random = std::mt19937;

constexpr int kTolerated = 2;
/// A host counts as lost until this time after its start.
constexpr Duration kCatchUp = std::chrono::seconds(6);
constexpr Duration kLimit = std::chrono::seconds(20);
constexpr Duration kStopGrace = std::chrono::milliseconds(1200);

inline auto DrawMs(Random& random, int least, int most) -> Duration {
  return std::chrono::milliseconds(
      std::uniform_int_distribution(least, most)(random));
}

struct Process : public HostProcess {
  /// When it starts again, while it doesn't run.
  TimePoint m_start_at;
  /// Until when a host with a disk counts as lost, once it runs.
  TimePoint m_lost_until;
};

/// A turn that was sent.
struct SentTurn {
  std::string m_id;
  std::string m_program;
  /// Prompt that an endpoint must get.
  std::string m_prompt;
  /// Host that it was sent to.
  HostId m_host;
  std::shared_ptr<TestCaller> m_caller;
};

/// Entry hosts h1 and h2; three failure domains with two or three disk
/// hosts each.
struct HostLosses : public HistoryEnvironment {
  explicit HostLosses(unsigned int seed) : m_random(seed) {}

  auto StartHosts() -> void {
    for (const auto* domain : {"x", "y", "z"}) {
      for (auto count = Chance(2) ? 2 : 3; count > 0; --count) {
        NewDisk(domain, true);
      }
    }
    m_first_disks = m_disks.size();
    AddEntry("h1", "z");
    AddEntry("h2", Chance(2) ? "z" : "y");
    WaitUntil([this] { return AllReady(); });
  }

  auto Chance(int of) -> bool {
    return std::uniform_int_distribution(1, of)(m_random) == 1;
  }

  template <typename T>
  auto Draw(std::vector<T>& from) -> T& {
    REQUIRE_FALSE(from.empty());
    return from[std::uniform_int_distribution<std::size_t>(
        0, from.size() - 1)(m_random)];
  }

  // Processes.

  auto MakeSettings(const std::string& name, const std::string& domain)
      -> EntrySettings {
    EntrySettings settings;
    settings.m_host = HostId(name);
    settings.m_domain = DomainId(domain);
    settings.m_tolerated_losses = kTolerated;
    settings.m_tolerated_domains = 1;
    settings.m_stop_grace = kStopGrace;
    settings.m_peer_address = "127.0.0.1:0";
    settings.m_platform_address = FormatTcpAddress(m_store.address());
    return settings;
  }

  auto NewDisk(const std::string& domain, bool first_start) -> void {
    const auto name = "d" + std::to_string(++m_last_disk);
    auto process = std::make_unique<Process>();
    process->m_settings = MakeSettings(name, domain);
    process->m_settings.m_role = HostRole::kDisk;
    process->m_settings.m_first_start = first_start;
    process->m_settings.m_data_dir = m_folder + "/" + name;
    process->Start();
    if (!first_start) {
      process->m_lost_until = SteadyTime() + kCatchUp;
    }
    m_disks.push_back(std::move(process));
  }

  auto AddEntry(const std::string& name, const std::string& domain) -> void {
    auto process = std::make_unique<Process>();
    process->m_settings = MakeSettings(name, domain);
    process->m_settings.m_caller_address = "127.0.0.1:0";
    process->m_settings.m_ready_address = "127.0.0.1:0";
    process->Start();
    m_entries.push_back(std::move(process));
  }

  auto AllReady() const -> bool {
    return std::all_of(m_entries.begin(), m_entries.end(),
                       [](const auto& process) {
                         return process->running() && process->m_entry->ready();
                       });
  }

  auto RunProcess(Process& process) -> void {
    if (!process.running()) {
      if (SteadyTime() >= process.m_start_at) {
        process.m_settings.m_first_start = false;
        process.Start();
        process.m_lost_until = SteadyTime() + kCatchUp;
      }
      return;
    }
    process.Run();
    if (!process.running()) {
      End(process);
    }
  }

  /// The process ends now, and starts again after a while.
  auto End(Process& process) -> void {
    const auto killed = process.running();
    process.Kill();
    process.m_start_at = SteadyTime() + DrawMs(m_random, 0, 1000);
    if (!killed) {
      CheckAnswered(process.m_settings.m_host);
    }
    // What the host's process held was closed with it.
    for (const auto& turn : m_open) {
      if (turn.m_host == process.m_settings.m_host) {
        turn.m_caller->m_stream->Close();
        turn.m_caller->m_ended = true;
      }
    }
  }

  /// A host that stopped has answered or refused all turns.
  auto CheckAnswered(const HostId& host) -> void {
    // What it has sent is still on its way.
    m_loop.run_for(std::chrono::milliseconds(10));
    for (const auto& turn : m_open) {
      if (turn.m_host == host) {
        INFO(m_notes << Ms() << " " << turn.m_id << " at " << host.value());
        CHECK((IsOver(turn) || turn.m_caller->Status() != 0));
      }
    }
  }

  auto RunAll() -> void {
    m_loop.poll();
    m_store.Tick(SteadyTime());
    for (const auto& process : m_disks) {
      RunProcess(*process);
    }
    for (const auto& process : m_entries) {
      RunProcess(*process);
    }
    std::this_thread::sleep_for(std::chrono::microseconds(300));
  }

  auto WaitUntil(const std::function<bool()>& done) -> void {
    const auto begun_at = SteadyTime();
    INFO(m_notes << Ms() << " waiting");
    while (!done()) {
      REQUIRE(SteadyTime() - begun_at < kLimit);
      RunAll();
    }
  }

  auto WaitFor(Duration time) -> void {
    const auto end = SteadyTime() + time;
    WaitUntil([end] { return SteadyTime() >= end; });
  }

  // Losses.

  static auto IsLost(const Process& process) -> bool {
    return !process.running() || process.m_stopping ||
           SteadyTime() < process.m_lost_until;
  }

  auto LostDisks() const -> int {
    return static_cast<int>(
        std::count_if(m_disks.begin(), m_disks.end(),
                      [](const auto& process) { return IsLost(*process); }));
  }

  /// Returns a disk host, mostly one that is to have the last turn.
  auto DrawDisk() -> Process& {
    if (m_accepted.empty() || Chance(4)) {
      return *Draw(m_disks);
    }
    std::vector<ReplicaHost> hosts;
    for (const auto& process : m_disks) {
      const auto object =
          m_store.Find("disk-hosts", process->m_settings.m_host.value());
      if (!object.is_null()) {
        hosts.push_back(*DecodeReplicaHost(object.at("spec")));
      }
    }
    auto replicas =
        ChooseReplicas(hosts, ProgramId(m_accepted.back().m_program), {});
    const auto name = Draw(replicas).m_host;
    return **std::find_if(m_disks.begin(), m_disks.end(),
                          [&name](const auto& process) {
                            return process->m_settings.m_host == name;
                          });
  }

  auto LoseDisk(Process& process) -> void {
    if (Chance(3)) {
      Note("stop", process);
      process.Stop();
      return;
    }
    const auto wiped = !Chance(3);
    Note(wiped ? "wipe" : "kill", process);
    End(process);
    if (wiped) {
      fs::remove_all(process.m_settings.m_data_dir);
    }
  }

  /// Loses disk hosts, as many as may be lost if @p most.
  auto LoseDisks(bool most) -> void {
    constexpr auto kDraws = 20;
    for (int draw = 0; draw < (most ? kDraws : 1); ++draw) {
      auto& process = DrawDisk();
      const auto lost = LostDisks() + (IsLost(process) ? 0 : 1);
      if (process.running() && !process.m_stopping && lost <= kTolerated) {
        LoseDisk(process);
      }
    }
  }

  /// A retired host is removed with its disk as soon as it says that it may be.
  auto EndRetirement() -> void {
    const auto found = std::find_if(
        m_disks.begin(), m_disks.end(), [this](const auto& process) {
          return process->m_settings.m_host.value() == m_retired;
        });
    const auto state = m_store.Find("retirements", m_retired)
                           .value("status", nlohmann::json::object());
    if (state.value("state", "") != "completed") {
      return;
    }
    Note("removed", **found);
    (*found)->Kill();
    fs::remove_all((*found)->m_settings.m_data_dir);
    const auto domain = (*found)->m_settings.m_domain.value();
    m_disks.erase(found);
    m_retired.clear();
    if (m_disks.size() < m_first_disks) {
      NewDisk(domain, false);
      Note("new", *m_disks.back());
    }
  }

  auto Retire() -> void {
    if (!m_retired.empty()) {
      EndRetirement();
      return;
    }
    if (LostDisks() >= kTolerated) {
      return;
    }
    auto& process = *Draw(m_disks);
    m_retired = process.m_settings.m_host.value();
    Note("retire", process);
    m_store.Put("retirements", m_retired, {{"withinS", 8}});
    if (Chance(2)) {
      NewDisk(process.m_settings.m_domain.value(), false);
      Note("new", *m_disks.back());
    }
  }

  auto LoseEntry() -> void {
    auto& process = *Draw(m_entries);
    if (!AllReady() || process.m_stopping) {
      return;
    }
    if (Chance(3)) {
      Note("kill", process);
      End(process);
    } else {
      Note("stop", process);
      process.Stop();
    }
  }

  auto Act() -> void {
    switch (std::uniform_int_distribution(0, 5)(m_random)) {
      case 0:
        Retire();
        break;
      case 1:
        LoseEntry();
        break;
      case 2:
      case 3:
        LoseDisks(Chance(2));
        break;
      default:
        break;
    }
    if (!m_retired.empty()) {
      EndRetirement();
    }
  }

  /// Milliseconds since the begin of the walk.
  auto Ms() const -> std::string {
    return std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(
                              SteadyTime() - m_begun_at)
                              .count());
  }

  auto Note(const std::string& what, const Process& process) -> void {
    m_notes +=
        Ms() + " " + what + " " + process.m_settings.m_host.value() + "\n";
  }

  static auto IsOver(const SentTurn& turn) -> bool {
    return turn.m_caller->m_ended || turn.m_caller->Body();
  }

  Random m_random;
  TimePoint m_begun_at = SteadyTime();
  /// What was done to the hosts, with times.
  std::string m_notes;
  std::vector<std::unique_ptr<Process>> m_disks;
  std::vector<std::unique_ptr<Process>> m_entries;
  std::size_t m_first_disks = 0;
  int m_last_disk = 0;
  /// Name of the host that is being retired.
  std::string m_retired;
  std::vector<SentTurn> m_open;
  std::vector<SentTurn> m_accepted;
};

}  // namespace dotterelshed

#endif  // DOTTERELSHED_TEST_LOSSES_H_
