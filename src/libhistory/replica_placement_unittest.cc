#include "dotterelshed/replica_placement.h"

#include <catch2/catch.hpp>
#include <set>
#include <string>
#include <vector>

/// @file
/// Which hosts store the turns of a program.

namespace dotterelshed {
namespace {

auto MakeHost(const std::string& host, const std::string& domain)
    -> ReplicaHost {
  return {.m_host = HostId(host),
          .m_domain = DomainId(domain),
          .m_address = host + ":1"};
}

auto MakeHosts() -> std::vector<ReplicaHost> {
  return {MakeHost("a1", "a"), MakeHost("a2", "a"), MakeHost("b1", "b"),
          MakeHost("b2", "b"), MakeHost("c1", "c"), MakeHost("d1", "d"),
          MakeHost("e1", "e")};
}

auto HostOf(const std::vector<ReplicaHost>& replicas, const std::string& domain)
    -> std::string {
  for (const auto& host : replicas) {
    if (host.m_domain == DomainId(domain)) {
      return host.m_host.value();
    }
  }
  return "";
}

TEST_CASE("replicas are one host of each of four domains") {
  std::set<std::string> left_out;
  for (int program = 0; program < 200; ++program) {
    const auto replicas =
        ChooseReplicas(MakeHosts(), ProgramId(std::to_string(program)), {});
    REQUIRE(replicas.size() == kMaxReplicas);
    std::set<DomainId> domains;
    for (const auto& host : replicas) {
      domains.insert(host.m_domain);
    }
    CHECK(domains.size() == kMaxReplicas);
    for (const auto* domain : {"a", "b", "c", "d", "e"}) {
      if (!domains.contains(DomainId(domain))) {
        left_out.insert(domain);
      }
    }
  }
  CHECK(left_out.size() == 5);
}

TEST_CASE("a host that leaves moves only its own programs") {
  auto hosts = MakeHosts();
  auto without = hosts;
  without[0].m_leaving = true;
  for (int program = 0; program < 200; ++program) {
    const ProgramId id(std::to_string(program));
    const auto before = ChooseReplicas(hosts, id, {});
    const auto after = ChooseReplicas(without, id, {});
    for (const auto& host : before) {
      const auto domain = host.m_domain.value();
      if (host.m_host == HostId("a1")) {
        CHECK(HostOf(after, "a") == "a2");
      } else {
        CHECK(HostOf(after, domain) == host.m_host.value());
      }
    }
  }
}

TEST_CASE("a host that failed is passed over where its domain has another") {
  const auto hosts = MakeHosts();
  const std::set<HostId> avoided = {HostId("a1"), HostId("c1")};
  for (int program = 0; program < 50; ++program) {
    const auto replicas =
        ChooseReplicas(hosts, ProgramId(std::to_string(program)), avoided);
    CHECK(HostOf(replicas, "a") != "a1");
    const auto c = HostOf(replicas, "c");
    CHECK((c.empty() || c == "c1"));
  }
}

TEST_CASE("all hosts that may have turns are read, the nearest first") {
  auto hosts = MakeHosts();
  hosts[2].m_leaving = true;
  hosts[3].m_drained = true;
  const auto order = OrderForReading(hosts, ProgramId("p"), DomainId("a"), {});
  CHECK(order.size() == hosts.size() - 1);
  CHECK(order.front().m_domain == DomainId("a"));
}

}  // namespace
}  // namespace dotterelshed
