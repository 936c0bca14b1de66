#ifndef SOAK_SOAK_WORLD_H_
#define SOAK_SOAK_WORLD_H_

#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "callers.h"
#include "host_process.h"
#include "loopback_proxy.h"
#include "poison_caller.h"
#include "promises.h"
#include "service_standins.h"
#include "test_store.h"

/// @file
/// One run of the soak: real hosts as processes, a store, endpoints and callers
/// inside this process, proxies between them, and faults that a seed draws.

namespace dotterelshed::soak {

struct SoakOptions {
  unsigned m_seed = 1;
  /// The program of a host.
  std::string m_program;
  /// Settings and logs go there.
  std::string m_folder;
  Duration m_fault_time = std::chrono::seconds(12);
  /// Only planned work is drawn: stops, reloads, changes of the configuration
  /// and endpoints that leave, in series that overlap. No request may be cut.
  bool m_planned = false;
  /// Program that the hosts begin with; they are replaced one by one by
  /// m_program, which alone must keep planned work from cutting requests. Empty
  /// if all run m_program.
  std::string m_production;
  int m_hosts_per_domain = 2;
  int m_callers_per_domain = 4;
  /// Promises that have a time bound are checked too; a machine that is busy
  /// with other things may break them.
  bool m_timed = true;
};

class SoakWorld {
 public:
  explicit SoakWorld(const SoakOptions& options);

  /// Runs the seed. The promises that were broken, if any.
  auto Run() -> std::vector<std::string>;

 private:
  /// Longest time from SIGTERM to a host's end.
  static constexpr Duration kStopTime = std::chrono::seconds(9);

  /// A host and what was done to it.
  struct Host {
    std::string m_name;
    std::string m_domain;
    std::unique_ptr<LoopbackProxy> m_store_link;
    std::unique_ptr<HostProcess> m_process;
    std::unique_ptr<LoopbackProxy> m_caller_link;
    /// Until when the host counts as disturbed.
    TimePoint m_disturbed_until;
    /// Set while it is expected to end by itself.
    bool m_stopping = false;
    bool m_frozen = false;
    /// The process runs SoakOptions::m_production.
    bool m_old = false;
    TimePoint m_started_at;
    /// Newest version of the configuration whose effect was seen.
    int m_seen_version = 0;
    TimePoint m_seen_at;
    int m_seen_incarnation = 0;
  };

  auto AddHost(const std::string& name,
               const std::string& domain,
               const std::string& role) -> void;
  auto ReserveAddress() -> TcpAddress;
  auto AddEndpoint(const std::string& service) -> void;
  auto PutEndpoint(Endpoint& endpoint, bool draining) -> void;
  auto PutConfig() -> void;

  auto RunFor(Duration time) -> void;
  auto Tick() -> void;
  /// Notes if this process, which includes the store, did not run for a while.
  auto DetectStall(TimePoint now) -> void;
  auto WatchProcesses() -> void;

  auto StartHost(Host& host) -> void;

  /// Draws planned work for the given time, or until no host runs the old
  /// program; breaks a promise if hosts take too long to be replaced.
  auto RunPlannedWork() -> void;
  auto DrawPlannedWork() -> void;
  /// True if it has run for a while and its domain has another host in use.
  auto MayStop(const Host& host) const -> bool;
  auto StopInOrder(Host& host) -> void;
  auto StartWhenGone(Host& host) -> void;
  /// Sends SIGHUP, unless the host was started just now and its main function
  /// has not begun.
  auto Reload(const Host& host) const -> void;
  auto ReloadAll() -> void;
  auto ChangeConfigOften() -> void;
  /// Number of hosts that run the old program.
  auto OldHosts() const -> int;
  auto DrawUpgradeOrder() -> void;
  /// Stops the next host that still runs the old program, if none is stopping.
  auto UpgradeNext() -> void;

  auto RunFaults() -> void;
  auto DrawFault() -> void;
  auto DisturbHost(Host& host) -> void;
  auto DisturbLink(LoopbackProxy& link, Duration time) -> void;
  auto DisturbStore() -> void;
  auto DisturbEndpoint() -> void;
  auto DisturbAll(Duration time) -> void;
  auto ReplaceEndpoint() -> void;
  auto Heal() -> void;

  auto OnRun(const ServedRun& run) -> void;
  auto CheckDrain(const ServedRun& run, const Host& host) -> void;
  auto CheckVersion(const ServedRun& run, Host& host) -> void;
  auto OnPoison(const ServedRun& run, const Host& host) -> void;
  auto OnCallEnded(const CallResult& result) -> void;
  auto FindHost(const std::string& name) const -> const Host&;
  auto IsResetByStop(const CallResult& result, const Host& host) const -> bool;
  /// Checks a request whose connection ended before its answer did.
  auto CheckCut(const CallResult& result) -> void;
  auto StopAll() -> void;
  auto Note(const std::string& what) -> void;
  auto RandomHost() -> Host&;
  auto Draw(int below) -> int {
    return static_cast<int>(m_random() % static_cast<unsigned>(below));
  }
  auto DrawTime(int least_ms, int most_ms) -> Duration {
    return std::chrono::milliseconds(least_ms + Draw(most_ms - least_ms));
  }

  SoakOptions m_options;
  std::mt19937 m_random;
  EventLoop m_loop;
  std::vector<TcpSocket> m_reserved;
  TestStore m_store;
  Promises m_promises;
  std::vector<std::unique_ptr<Host>> m_hosts;
  /// Hosts in the order in which an upgrade replaces them.
  std::vector<Host*> m_upgrade_order;
  std::vector<std::unique_ptr<Endpoint>> m_endpoints;
  /// Endpoints that are leaving, and since when the store says so.
  std::map<std::string, TimePoint> m_leaving;
  std::vector<Door> m_doors;
  std::vector<std::shared_ptr<Caller>> m_callers;
  std::shared_ptr<PoisonCaller> m_poison;
  /// Endpoints that ended under the poison, and when the third did.
  int m_poison_ends = 0;
  TimePoint m_third_end_at;
  /// Runs of it that came later than hosts in touch may make.
  int m_late_poison = 0;
  int m_version = 0;
  TimePoint m_version_at;
  TimePoint m_begun;
  TimePoint m_last_tick;
  /// Time until which hosts may be out of touch with the store after a stall.
  TimePoint m_stalled_until;
  int m_named = 0;
  /// Counts entries of endpoints: each is of a start of its own.
  std::int64_t m_starts = 0;
  /// Calls since the faults ended, and those that were answered.
  bool m_recovering = false;
  int m_asked = 0;
  int m_answered = 0;
  /// Stops in order so far, and requests on new connections that they reset.
  int m_stops = 0;
  int m_reset_by_stops = 0;
  /// Requests that hosts of the old program cut.
  int m_cut_by_old = 0;
};

}  // namespace dotterelshed::soak

#endif  // SOAK_SOAK_WORLD_H_
