#include <catch2/catch.hpp>

#include "dotterelshed/ownership.h"
#include "ownership/fake_domain.h"

/// @file
/// How quarantined content is told from host to host, and when it is forgotten.

namespace dotterelshed {
namespace {

using std::chrono::minutes;
using std::chrono::seconds;
using testing::FakeDomain;

TEST_CASE("quarantined content reaches every host despite message loss") {
  FakeDomain sim({.m_hosts = 5});
  sim.Run(seconds(5));
  sim.m_lose_percent = 40;
  for (const auto& [id, host] : sim.m_hosts) {
    AnnounceQuarantine(*host.m_ownership, Digest("bad " + id.value()));
  }
  sim.Run(seconds(20));
  for (const auto& [id, host] : sim.m_hosts) {
    const auto dump = DumpOwnership(*host.m_ownership, sim.m_now);
    for (const auto& [from, other] : sim.m_hosts) {
      CHECK(dump.find("bad " + from.value()) != std::string::npos);
    }
  }
}

TEST_CASE("the oldest content under quarantine is evicted at the limit") {
  FakeDomain sim({.m_hosts = 1});
  sim.Run(seconds(5));
  auto& lead = sim.OwnershipOf(sim.Lead());
  for (auto i = 0; i < 1100; ++i) {
    AnnounceQuarantine(lead, Digest("bad " + std::to_string(i) + "."));
  }
  const auto dump = DumpOwnership(lead, sim.m_now);
  CHECK(dump.find("bad 1099.") != std::string::npos);
  CHECK(dump.find("bad 76.") != std::string::npos);
  CHECK(dump.find("bad 75.") == std::string::npos);
}

TEST_CASE(
    "tables of other domains reach every host through its lead's digests") {
  FakeDomain sim({.m_domains = 3, .m_hosts = 3});
  sim.Run(seconds(8));
  for (const auto& [id, host] : sim.m_hosts) {
    for (auto d = 0; d < 3; ++d) {
      CHECK_FALSE(PoolsOf(*host.m_ownership, FakeDomain::Domain(d)).empty());
    }
  }
}

TEST_CASE(
    "idle platform requests grow with the domains and not with the hosts") {
  const auto calls = [](int domains, int hosts) {
    FakeDomain sim({.m_domains = domains, .m_hosts = hosts});
    sim.Run(minutes(2));
    const auto before = sim.m_reads + sim.m_puts;
    sim.Run(minutes(10));
    return sim.m_reads + sim.m_puts - before;
  };
  const auto four = calls(1, 4);
  CAPTURE(four, calls(1, 8), calls(1, 16), calls(2, 8), calls(4, 4));
  CHECK(four > 0);
  CHECK(four <= 60);
  CHECK(std::abs(calls(1, 8) - four) <= 1);
  CHECK(std::abs(calls(1, 16) - four) <= 1);
  CHECK(std::abs(calls(2, 8) - 2 * four) <= 2);
  CHECK(std::abs(calls(4, 4) - 4 * four) <= 4);
}

}  // namespace
}  // namespace dotterelshed
