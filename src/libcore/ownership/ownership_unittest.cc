#include "dotterelshed/ownership.h"

#include <catch2/catch.hpp>

#include "ownership/fake_domain.h"

namespace dotterelshed {
namespace {

using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;
using testing::FakeDomain;

/// Returns true if every pool has a running primary and another running copy
/// holder, in the incarnations that the table names.
auto AllServed(FakeDomain& sim, int domain = 0) -> bool {
  const auto up = [&sim](const HostRef& ref) {
    const auto found = sim.m_hosts.find(ref.m_host);
    return found != sim.m_hosts.end() && found->second.m_running &&
           found->second.m_self == ref;
  };
  for (const auto& [id, pool] : sim.Table(domain).m_pools) {
    if (!up(pool.m_primary) || !up(pool.m_holder) ||
        pool.m_primary == pool.m_holder) {
      return false;
    }
  }
  return !sim.Table(domain).m_pools.empty();
}

auto AnyMember(FakeDomain& sim) -> HostId {
  for (const auto& [id, host] : sim.m_hosts) {
    if (id != sim.Lead() && host.m_running) {
      return id;
    }
  }
  return {};
}

TEST_CASE("a new domain elects one lead and spreads its pools over the hosts") {
  FakeDomain sim({.m_hosts = 4, .m_endpoints = 64 * 4});
  sim.Run(seconds(5));
  CHECK(AllServed(sim));
  CHECK(sim.Table().m_members.size() == 4);
  std::map<HostId, int> primaries;
  for (const auto& [id, pool] : sim.Table().m_pools) {
    ++primaries[pool.m_primary.m_host];
  }
  CHECK(primaries.size() == 4);
  for (const auto& [id, host] : sim.m_hosts) {
    CHECK(IsLead(*host.m_ownership) == (id == sim.Lead()));
    CHECK(LiveMembers(*host.m_ownership, sim.m_now).size() == 4);
    CHECK(PoolsOf(*host.m_ownership, FakeDomain::Domain(0)).size() == 4);
    CHECK(
        FindAddresses(*host.m_ownership, FakeDomain::HostName(0, 1))->m_peer ==
        "peer of d0h1");
  }
}

TEST_CASE("pools of a failed primary move to their holders at higher terms") {
  FakeDomain sim({.m_hosts = 4, .m_endpoints = 64 * 4});
  sim.Run(seconds(5));
  const auto before = sim.Table();
  const auto dead = AnyMember(sim);
  sim.Stop(dead);
  sim.Run(seconds(4));
  CHECK(AllServed(sim));
  for (const auto& [id, pool] : before.m_pools) {
    const auto& after = sim.Table().m_pools.at(id);
    if (pool.m_primary.m_host == dead) {
      CHECK(after.m_primary == pool.m_holder);
      CHECK(after.m_term > pool.m_term);
    }
  }
}

TEST_CASE(
    "all hosts and the next lead learn that an endpoint is listed as leaving") {
  FakeDomain sim({.m_hosts = 3, .m_endpoints = 8});
  sim.Run(seconds(5));
  const EndpointId endpoint("e1");
  auto& lead = *sim.m_hosts.at(sim.Lead()).m_ownership;
  CHECK(OnEndpointListingChanged(lead, {endpoint, false}).m_endpoints.empty());
  CHECK(OnEndpointListingChanged(lead, {endpoint, true}).m_endpoints.size() ==
        1);
  sim.Run(seconds(2));
  for (const auto& [id, host] : sim.m_hosts) {
    CHECK(ListedLeaving(*host.m_ownership) == std::vector{endpoint});
  }
  sim.Stop(sim.Lead());
  sim.Run(seconds(5));
  auto& next = *sim.m_hosts.at(sim.Lead()).m_ownership;
  CHECK(ListedLeaving(next) == std::vector{endpoint});
  OnEndpointListingChanged(next, {endpoint, false});
  sim.Run(seconds(2));
  for (const auto& [id, host] : sim.m_hosts) {
    CHECK((!host.m_running || ListedLeaving(*host.m_ownership).empty()));
  }
}

TEST_CASE("a failed lead is replaced by one host without competing updates") {
  FakeDomain sim({.m_hosts = 9, .m_endpoints = 64 * 4});
  sim.Run(seconds(5));
  const auto dead = sim.Lead();
  const auto puts = sim.m_puts;
  sim.Stop(dead);
  sim.Run(seconds(6));
  CHECK(sim.Lead() != dead);
  CHECK(AllServed(sim));
  // The takeover, the failed lead's pools, and at most one more.
  CHECK(sim.m_puts - puts <= 3);
}

TEST_CASE("a restarted host loses the roles of its earlier incarnation") {
  FakeDomain sim({.m_hosts = 3, .m_endpoints = 64 * 3});
  sim.Run(seconds(5));
  const auto again = AnyMember(sim);
  const auto before = sim.Table();
  sim.Start(again, FakeDomain::Domain(0));
  sim.Run(seconds(2));
  CHECK(AllServed(sim));
  for (const auto& [id, pool] : before.m_pools) {
    if (pool.m_primary.m_host == again) {
      CHECK(sim.Table().m_pools.at(id).m_primary == pool.m_holder);
    }
  }
}

TEST_CASE("a restarted lead becomes the lead again within 800 ms") {
  FakeDomain sim({.m_hosts = 3});
  sim.Run(seconds(5));
  const auto lead = sim.Lead();
  sim.Start(lead, FakeDomain::Domain(0));
  sim.Run(milliseconds(800));
  CHECK(sim.Table().m_lead == sim.Host(lead).m_self);
}

TEST_CASE("a paused lead steps down when it resumes and stays a member") {
  FakeDomain sim({.m_hosts = 4, .m_endpoints = 64 * 4});
  sim.Run(seconds(5));
  const auto lead = sim.Lead();
  sim.Pause(lead, seconds(20));
  sim.Run(seconds(19));
  CHECK(sim.Lead() != lead);
  CHECK(AllServed(sim));
  const auto term = sim.Table().m_lead_term;
  sim.Run(seconds(10));
  CHECK_FALSE(IsLead(sim.OwnershipOf(lead)));
  CHECK(sim.Table().m_lead_term == term);
  CHECK(sim.Table().m_members.contains(lead));
}

TEST_CASE("a simultaneous pause of all hosts changes no assignment") {
  FakeDomain sim({.m_hosts = 4, .m_endpoints = 64 * 4});
  sim.Run(seconds(8));
  const auto version = sim.Table().m_version;
  for (auto i = 0; i < 8; ++i) {
    // Drops all messages, so that none is delivered when the hosts resume.
    sim.m_lose_percent = 100;
    sim.Run(milliseconds(600));
    for (const auto& [id, host] : sim.m_hosts) {
      sim.Pause(id, seconds(4));
    }
    sim.Run(milliseconds(3900));
    sim.m_lose_percent = 0;
    sim.Run(seconds(3));
  }
  CHECK(sim.Table().m_version == version);
}

TEST_CASE(
    "a replaced primary sends a lower fencing number than its successor") {
  FakeDomain sim({.m_hosts = 4, .m_endpoints = 64 * 4});
  sim.Run(seconds(5));
  const auto host = AnyMember(sim);
  // All hosts send the same number, since their pools may share endpoints.
  for (const auto& [id, other] : sim.m_hosts) {
    CHECK(FencingNumber(*other.m_ownership) ==
          FencingNumber(sim.OwnershipOf(host)));
  }
  sim.Pause(host, seconds(20));
  sim.Run(seconds(10));
  for (const auto& [id, pool] : sim.Table().m_pools) {
    const auto number = FencingNumber(sim.OwnershipOf(pool.m_primary.m_host));
    CHECK(number > FencingNumber(sim.OwnershipOf(host)));
    CHECK(number >= pool.m_term);
  }
}

TEST_CASE("no assignment changes while the platform is down") {
  FakeDomain sim({.m_hosts = 4, .m_endpoints = 64 * 4});
  sim.Run(seconds(5));
  const auto version = sim.Table().m_version;
  sim.m_outage = true;
  sim.Run(seconds(12));
  for (const auto& [id, host] : sim.m_hosts) {
    CHECK_FALSE(PlatformReachable(*host.m_ownership));
  }
  const auto dead = AnyMember(sim);
  sim.Stop(dead);
  const auto calls = sim.m_reads + sim.m_puts;
  sim.Run(minutes(1));
  CHECK(sim.Table().m_version == version);
  // The lead reads about once a second, one other host every five seconds.
  CHECK(sim.m_reads + sim.m_puts - calls <= 80);
  sim.m_outage = false;
  sim.Run(seconds(5));
  CHECK(AllServed(sim));
  CHECK(PlatformReachable(sim.OwnershipOf(sim.Lead())));
}

TEST_CASE("a lead that alone cannot reach the platform is replaced") {
  FakeDomain sim({.m_hosts = 4});
  sim.Run(seconds(5));
  const auto lead = sim.Lead();
  sim.Host(lead).m_cut_from_platform = true;
  sim.Run(minutes(1));
  CHECK(sim.Lead() != lead);
  CHECK_FALSE(IsLead(sim.OwnershipOf(lead)));
  CHECK(AllServed(sim));
}

TEST_CASE(
    "a host that becomes lead by its own update reports the platform "
    "reachable") {
  FakeDomain sim({.m_hosts = 4});
  sim.Run(seconds(5));
  const auto lead = sim.Lead();
  sim.Host(lead).m_cut_from_platform = true;
  auto seen = 0;
  auto wrong = 0;
  sim.m_check = [&](const testing::FakeHost& host) {
    if (host.m_self.m_host != lead && IsLead(*host.m_ownership)) {
      ++seen;
      wrong += PlatformReachable(*host.m_ownership) ? 0 : 1;
    }
  };
  sim.Run(minutes(1));
  CHECK(seen > 0);
  CHECK(wrong == 0);
}

TEST_CASE(
    "a failed link between one host and the lead does not replace the lead") {
  FakeDomain sim({.m_hosts = 5});
  sim.Run(seconds(5));
  const auto lead = sim.Lead();
  const auto term = sim.Table().m_lead_term;
  sim.m_cut.insert({lead, AnyMember(sim)});
  sim.Run(minutes(2));
  CHECK(sim.Table().m_lead_term == term);
}

TEST_CASE(
    "a host that restarts during a platform outage gets the table from peers") {
  FakeDomain sim({.m_hosts = 4});
  sim.Run(seconds(5));
  sim.m_outage = true;
  const auto again = AnyMember(sim);
  sim.Start(again, FakeDomain::Domain(0));
  sim.Run(seconds(20));
  CHECK(FindPool(sim.OwnershipOf(again), PoolId("d0/0")) != nullptr);
}

TEST_CASE("a draining lead transfers the lead and its pools, then is drained") {
  FakeDomain sim({.m_hosts = 4, .m_endpoints = 64 * 8});
  sim.Run(seconds(5));
  const auto lead = sim.Lead();
  sim.Drain(lead);
  sim.Run(seconds(5));
  CHECK(sim.Lead() != lead);
  CHECK(IsDrained(sim.OwnershipOf(lead)));
  for (const auto& [id, pool] : sim.Table().m_pools) {
    CHECK(pool.m_primary.m_host != lead);
    CHECK(pool.m_holder.m_host != lead);
  }
  sim.Stop(lead);
  sim.Run(seconds(10));
  CHECK(AllServed(sim));
}

TEST_CASE("in a domain of two hosts a drained host remains copy holder") {
  FakeDomain sim({.m_hosts = 2, .m_endpoints = 8});
  sim.Run(seconds(5));
  const auto host = sim.Table().m_pools.begin()->second.m_primary.m_host;
  sim.Drain(host);
  sim.Run(seconds(5));
  CHECK(sim.Table().m_pools.begin()->second.m_primary.m_host != host);
  CHECK(IsDrained(sim.OwnershipOf(host)));
  sim.Stop(host);
  sim.Run(seconds(10));
  const auto& pool = sim.Table().m_pools.begin()->second;
  CHECK(pool.m_primary.m_host != host);
  CHECK(pool.m_holder.m_host.empty());
}

TEST_CASE("in a domain of two hosts either can drain, whatever its roles") {
  for (auto i = 0; i < 2; ++i) {
    FakeDomain sim({.m_hosts = 2, .m_endpoints = 1});
    sim.Run(seconds(5));
    const auto host = FakeDomain::HostName(0, i);
    const auto other = FakeDomain::HostName(0, 1 - i);
    sim.Drain(host);
    sim.Run(milliseconds(1900));
    CHECK(IsDrained(sim.OwnershipOf(host)));
    // It keeps its copy until it stops, since no other host can be the holder.
    const auto& pool = sim.Table().m_pools.begin()->second;
    CHECK(pool.m_primary.m_host == other);
    CHECK(pool.m_holder.m_host == host);
    CHECK(sim.Lead() == other);
    sim.Stop(host);
    sim.Run(seconds(4));
    sim.Start(host, FakeDomain::Domain(0));
    sim.Run(seconds(4));
    CHECK(AllServed(sim));
    CHECK(sim.Lead() == other);
  }
}

TEST_CASE("a drain waits for pinned pools and for confirmed copies") {
  FakeDomain sim({.m_hosts = 4, .m_endpoints = 64 * 4});
  sim.Run(seconds(5));
  const auto& pool = sim.Table().m_pools.begin()->second;
  const auto id = pool.m_pool;
  const auto host = pool.m_primary.m_host;
  const auto holder = pool.m_holder.m_host;
  AnnouncePinned(sim.OwnershipOf(host), {id});
  sim.Drain(host);
  sim.Run(seconds(5));
  CHECK(sim.Table().m_pools.at(id).m_primary.m_host == host);
  CHECK_FALSE(IsDrained(sim.OwnershipOf(host)));
  AnnouncePinned(sim.OwnershipOf(host), {});
  AnnounceUnconfirmed(sim.OwnershipOf(holder), {id});
  sim.Run(seconds(5));
  CHECK(sim.Table().m_pools.at(id).m_primary.m_host == holder);
  CHECK_FALSE(IsDrained(sim.OwnershipOf(host)));
  AnnounceUnconfirmed(sim.OwnershipOf(holder), {});
  sim.Run(seconds(3));
  CHECK(IsDrained(sim.OwnershipOf(host)));
}

TEST_CASE("a host that the platform lists as leaving gets no roles") {
  FakeDomain sim({.m_hosts = 4, .m_endpoints = 64 * 4});
  sim.Run(seconds(5));
  const auto host = AnyMember(sim);
  OnHostListingChanged(sim.OwnershipOf(sim.Lead()), {host, true}, sim.m_now);
  sim.Run(seconds(3));
  for (const auto& [id, pool] : sim.Table().m_pools) {
    CHECK(pool.m_primary.m_host != host);
    CHECK(pool.m_holder.m_host != host);
  }
}

TEST_CASE("hosts with a disk are preferred as copy holders") {
  FakeDomain sim({.m_hosts = 6, .m_endpoints = 64 * 3});
  const HostId disk = FakeDomain::HostName(0, 5);
  sim.Start(disk, FakeDomain::Domain(0), true);
  sim.Run(seconds(5));
  auto held = 0;
  auto roles = 0;
  for (const auto& [id, pool] : sim.Table().m_pools) {
    held += pool.m_holder.m_host == disk ? 1 : 0;
    roles += pool.m_primary.m_host == disk ? 1 : 0;
  }
  CHECK(held >= 1);
  // The other five share the remaining four.
  CHECK(held + roles >= 2);
}

TEST_CASE(
    "joining hosts get pools gradually and then the table stays unchanged") {
  FakeDomain sim({.m_hosts = 2, .m_endpoints = 64 * 16});
  sim.Run(seconds(20));
  sim.Start(FakeDomain::HostName(0, 2), FakeDomain::Domain(0));
  sim.Start(FakeDomain::HostName(0, 3), FakeDomain::Domain(0));
  sim.Run(seconds(4));
  for (auto i = 0; i < 30; ++i) {
    const auto puts = sim.m_puts;
    sim.Run(seconds(10));
    CHECK(sim.m_puts - puts <= 1);
  }
  std::map<HostId, int> primaries;
  for (const auto& [id, pool] : sim.Table().m_pools) {
    ++primaries[pool.m_primary.m_host];
  }
  CHECK(primaries.size() == 4);
  for (const auto& [id, count] : primaries) {
    CHECK(count <= 5);
  }
  const auto settled = sim.m_puts;
  sim.Run(minutes(5));
  CHECK(sim.m_puts == settled);
}

TEST_CASE(
    "a simultaneous loss of nine hosts is repaired in at most eight updates") {
  FakeDomain sim({.m_hosts = 36, .m_endpoints = 64 * 36});
  sim.Run(seconds(20));
  const auto puts = sim.m_puts;
  for (auto i = 0; i < 9; ++i) {
    sim.Stop(FakeDomain::HostName(0, i * 4));
  }
  sim.Run(seconds(8));
  CHECK(AllServed(sim));
  CHECK(sim.m_puts - puts <= 8);
}

TEST_CASE("a lead with an older configuration removes no pools") {
  FakeDomain sim({.m_hosts = 3, .m_endpoints = 64 * 4});
  sim.Run(seconds(5));
  sim.MakeConfig(2, 64 * 6);
  sim.Configure(sim.Lead());
  sim.Run(seconds(3));
  CHECK(sim.Table().m_pools.size() == 6);
  // The next lead still has generation 1.
  sim.Stop(sim.Lead());
  sim.Run(seconds(10));
  CHECK(sim.Table().m_pools.size() == 6);
  CHECK(AllServed(sim));
}

TEST_CASE(
    "a configuration with the same pools is announced at once without an "
    "update") {
  FakeDomain sim({.m_hosts = 4});
  sim.Run(seconds(5));
  const auto version = sim.Table().m_version;
  std::map<HostId, Generation> announced;
  sim.m_on_digest = [&announced](const HostId& to, const DomainDigest& digest) {
    announced[to] = digest.m_generation;
  };
  sim.MakeConfig(2, sim.m_options.m_endpoints);
  sim.Configure(sim.Lead());
  AnnounceGeneration(sim.OwnershipOf(sim.Lead()), Generation(2));
  sim.Run(milliseconds(70));
  CHECK(announced.size() == 3);
  for (const auto& [host, generation] : announced) {
    CHECK(generation == Generation(2));
  }
  sim.Run(seconds(5));
  CHECK(sim.Table().m_version == version);
}

}  // namespace
}  // namespace dotterelshed
