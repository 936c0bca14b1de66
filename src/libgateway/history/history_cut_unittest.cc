#include <algorithm>
#include <catch2/catch.hpp>
#include <filesystem>
#include <map>
#include <string>

#include "dotterelshed/copy_rule.h"
#include "history/replica_messages.h"
#include "history/test_history.h"

/// @file
/// Conversations while a failure domain is cut off: three domains with three
/// disk hosts each, of which any two may be lost, or any one domain.

namespace dotterelshed {
namespace {

/// Time in which the copies of a host that lost its disk must be made good.
constexpr Duration kCatchUp = std::chrono::seconds(6);
/// No caller waits for a domain that is known to be cut off.
constexpr Duration kNoWait = std::chrono::milliseconds(250);

/// A host h1 in domain z; disk hosts z1 to z3, y1 to y3 and x1 to x3.
struct CutEnvironment : public HistoryEnvironment {
  CutEnvironment()
      : m_silent(m_loop, [](const ScriptedEndpoint::Request& /*request*/) {}) {
    m_tolerated_losses = 2;
    m_tolerated_domains = 1;
    AddRecorder();
    for (const auto* domain : {"x", "y", "z"}) {
      for (const auto* number : {"1", "2", "3"}) {
        AddDisk(std::string(domain) + number, domain);
      }
    }
    Start();
  }

  auto Disk(const std::string& name) -> ReplicaHost {
    return *DecodeReplicaHost(m_store.Find("disk-hosts", name).at("spec"));
  }

  auto Disks() -> std::vector<ReplicaHost> {
    std::vector<ReplicaHost> hosts;
    for (const auto* domain : {"x", "y", "z"}) {
      for (const auto* number : {"1", "2", "3"}) {
        hosts.push_back(Disk(std::string(domain) + number));
      }
    }
    return hosts;
  }

  /// The other hosts' calls to a domain's disk hosts get no answer any more.
  auto Cut(const std::string& domain) -> void {
    for (auto host : Disks()) {
      if (host.m_domain == DomainId(domain)) {
        m_addresses[host.m_host] = host.m_address;
        host.m_address = FormatTcpAddress(m_silent.address());
        m_store.Put("disk-hosts", host.m_host.value(), EncodeReplicaHost(host));
      }
    }
    // Hosts collect changes of the list for a while.
    RunFor(std::chrono::milliseconds(800));
  }

  auto Heal() -> void {
    for (const auto& [name, address] : m_addresses) {
      auto host = Disk(name.value());
      host.m_address = address;
      m_store.Put("disk-hosts", name.value(), EncodeReplicaHost(host));
    }
    m_addresses.clear();
  }

  auto StopDisk(const HostId& host) -> void {
    const auto disks = Disks();
    const auto found = std::find_if(
        disks.begin(), disks.end(),
        [&host](const ReplicaHost& one) { return one.m_host == host; });
    m_disk_hosts.at(static_cast<std::size_t>(found - disks.begin()))->Stop();
  }

  /// A host loses its disk and starts again, at another port.
  auto EmptyDisk(const HostId& host) -> void {
    const auto domain = Disk(host.value()).m_domain.value();
    StopDisk(host);
    fs::remove_all(m_folder + "/" + host.value());
    AddDisk(host.value(), domain, false);
  }

  /// Runs a turn to the end of its response; returns the time that it takes.
  auto TimeTurn(const std::string& id, const std::string& previous)
      -> Duration {
    const auto began_at = SteadyTime();
    const auto caller = Finish(MakeKeptTurn(id, previous, "in,"));
    CHECK(caller->Status() == 200);
    CHECK(caller->Body());
    return SteadyTime() - began_at;
  }

  /// Runs a turn through a new host, once its domain's lead answers it.
  auto RunIn(const std::string& domain, const std::string& previous) -> void {
    auto& host = AddHost("far", domain);
    RunUntil([this, &host, &previous] {
      const auto id = "far" + std::to_string(++m_far_turns);
      return FinishAt(host, MakeKeptTurn(id, previous, "in"))->Status() == 200;
    });
  }

  ScriptedEndpoint m_silent;
  std::map<HostId, std::string> m_addresses;
  int m_far_turns = 0;
};

TEST_CASE("turns go on in two domains while the third one is cut off") {
  CutEnvironment environment;
  environment.TimeTurn("t1", "");
  environment.Cut(GENERATE("x", "y"));
  // The first one notices it.
  environment.TimeTurn("t2", "t1");
  CHECK(environment.TimeTurn("t3", "t2") < kNoWait);
  CHECK(environment.TimeTurn("t4", "t3") < kNoWait);
  CHECK(environment.m_host->ready());
}

TEST_CASE(
    "a domain that is cut off goes on, and its turns are found after the cut") {
  CutEnvironment environment;
  environment.TimeTurn("t1", "");
  environment.Cut("x");
  environment.Cut("y");
  environment.TimeTurn("t2", "t1");
  environment.RunFor(std::chrono::seconds(1));
  CHECK(environment.m_host->ready());
  CHECK(environment.TimeTurn("t3", "t2") < kNoWait);

  environment.Heal();
  environment.RunFor(kCatchUp);
  for (const auto* disk : {"z1", "z2", "z3"}) {
    environment.StopDisk(HostId(disk));
  }
  environment.RunIn("y", "t3");
}

TEST_CASE("a host that stands in for another one copies its turns again") {
  CutEnvironment environment;
  environment.Cut("y");
  environment.TimeTurn("t1", "");
  environment.TimeTurn("t2", "t1");
  // All that store them have been told who does.
  environment.RunFor(std::chrono::seconds(2));
  const auto disks = environment.Disks();
  ReplicaView view{.m_hosts = disks, .m_domain = DomainId("z")};
  for (const auto& host : disks) {
    if (host.m_domain == DomainId("y")) {
      view.m_failing.insert(host.m_host);
    }
  }
  const CopyRule rule{.m_lost_hosts = 2, .m_lost_domains = 1};
  const auto targets = ChooseTargets(rule, view, ProgramId("p"));
  REQUIRE(targets.m_substitutes.size() == 1);
  const auto substitute = *targets.m_substitutes.begin();
  environment.EmptyDisk(substitute);
  environment.RunFor(kCatchUp);
  for (const auto& host : targets.m_hosts) {
    const auto holds =
        host.m_domain != DomainId("y") && host.m_host != substitute;
    if (holds) {
      environment.EmptyDisk(host.m_host);
    }
  }
  environment.RunIn("x", "t2");
}

TEST_CASE("a turn is found after two disks were lost and a domain is cut off") {
  CutEnvironment environment;
  environment.TimeTurn("t1", "");
  const auto replicas = ChooseReplicas(environment.Disks(), ProgramId("p"), {});
  REQUIRE(replicas.size() == 3);
  environment.EmptyDisk(replicas[0].m_host);
  environment.EmptyDisk(replicas[1].m_host);
  environment.RunFor(kCatchUp);
  // The only disk that has had it all the time is away.
  environment.Cut(replicas[2].m_domain.value());
  const auto near = replicas[0].m_domain.value();
  environment.RunIn(near, "t1");
}

}  // namespace
}  // namespace dotterelshed
