#include <catch2/catch.hpp>

#include "ownership/fake_domain.h"

namespace dotterelshed {
namespace {

using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;
using testing::FakeDomain;
using testing::FakeHost;

constexpr auto kHosts = 5;

/// REQUIRE for conditions that are checked very often.
auto Expect(bool condition) -> void {
  if (!condition) {
    REQUIRE(condition);
  }
}

/// Checks invariants of the assignments in every domain table of every host.
class TermCheck {
 public:
  auto operator()(const FakeHost& host) -> void {
    const auto& own = *host.m_ownership;
    for (const auto& id : PoolsOf(own, host.m_domain)) {
      const auto& pool = *FindPool(own, id);
      CheckOwner(pool);
      CheckOrder(host.m_self, pool);
    }
  }

 private:
  /// A pool has one primary and one copy holder in each term.
  auto CheckOwner(const PoolAssignment& pool) -> void {
    const auto key = std::pair(pool.m_pool, pool.m_term);
    const auto [known, added] = m_owners.try_emplace(key, pool);
    if (!added) {
      Expect(known->second.m_primary == pool.m_primary);
      Expect(known->second.m_holder == pool.m_holder);
    }
  }

  /// The term that a host knows of a pool never decreases.
  auto CheckOrder(const HostRef& host, const PoolAssignment& pool) -> void {
    auto& highest = m_highest[{host, pool.m_pool}];
    Expect(pool.m_term >= highest);
    highest = pool.m_term;
  }

  std::map<std::pair<PoolId, Term>, PoolAssignment> m_owners;
  std::map<std::pair<HostRef, PoolId>, Term> m_highest;
};

/// Hosts that stop, start, pause, drain and lose links, messages and the
/// platform at random. Finally all faults are repaired and every pool must be
/// served.
class RandomizedOwnershipTest {
 public:
  explicit RandomizedOwnershipTest(std::uint64_t seed)
      : m_random(seed),
        m_sim({.m_seed = seed, .m_hosts = kHosts, .m_endpoints = 64 * 4}) {
    m_sim.m_check = [this](const FakeHost& host) { m_check(host); };
  }

  auto Run() -> void {
    constexpr auto kRounds = 25;
    for (auto i = 0; i < kRounds; ++i) {
      InjectFault();
      m_sim.Run(m_random.Between(milliseconds(50), seconds(4)));
    }
    RepairFaults();
    m_sim.Run(minutes(1));
    CheckServed();
    CheckStable();
  }

 private:
  auto AnyHost() -> HostId {
    return FakeDomain::HostName(0, static_cast<int>(m_random.Below(kHosts)));
  }

  auto InjectFault() -> void {
    const auto host = AnyHost();
    switch (m_random.Below(10)) {
      case 0:
        m_sim.Stop(host);
        break;
      case 1:
      case 2:
        m_sim.Start(host, FakeDomain::Domain(0), m_random.Chance(30));
        break;
      case 3:
        m_sim.Pause(host, m_random.Between(milliseconds(500), seconds(15)));
        break;
      case 4:
        m_sim.m_outage = !m_sim.m_outage;
        break;
      case 5:
        ToggleLink(host, AnyHost());
        break;
      case 6:
        m_sim.Host(host).m_cut_from_platform ^= true;
        break;
      case 7:
        m_sim.m_lose_percent = m_random.Chance(50) ? 0 : 30;
        m_sim.m_duplicate_percent = m_random.Chance(50) ? 0 : 30;
        m_sim.m_lost_answer_percent = m_random.Chance(50) ? 0 : 30;
        break;
      case 8:
        m_sim.m_max_delay = m_random.Chance(50) ? milliseconds(5) : seconds(2);
        break;
      default:
        m_sim.Drain(host);
        break;
    }
  }

  auto ToggleLink(const HostId& one, const HostId& two) -> void {
    if (!m_sim.m_cut.erase({one, two})) {
      m_sim.m_cut.insert({one, two});
    }
  }

  auto RepairFaults() -> void {
    m_sim.m_outage = false;
    m_sim.m_lose_percent = 0;
    m_sim.m_duplicate_percent = 0;
    m_sim.m_lost_answer_percent = 0;
    m_sim.m_max_delay = milliseconds(5);
    m_sim.m_cut.clear();
    for (auto i = 0; i < kHosts; ++i) {
      const auto id = FakeDomain::HostName(0, i);
      auto& host = m_sim.Host(id);
      host.m_cut_from_platform = false;
      host.m_paused_until = m_sim.m_now;
      // Restarts drained hosts too, as an operator does.
      const auto state = DumpOwnership(*host.m_ownership, m_sim.m_now);
      if (!host.m_running || state.find("drain") != std::string::npos) {
        m_sim.Start(id, FakeDomain::Domain(0));
      }
    }
  }

  auto CheckServed() -> void {
    const auto& table = m_sim.Table();
    REQUIRE(table.m_lead == m_sim.Host(table.m_lead.m_host).m_self);
    REQUIRE(table.m_pools.size() == 4);
    for (const auto& [id, pool] : table.m_pools) {
      REQUIRE(pool.m_primary == m_sim.Host(pool.m_primary.m_host).m_self);
      REQUIRE(pool.m_holder == m_sim.Host(pool.m_holder.m_host).m_self);
      REQUIRE(pool.m_primary != pool.m_holder);
    }
    for (const auto& [id, host] : m_sim.m_hosts) {
      REQUIRE(IsLead(*host.m_ownership) == (id == table.m_lead.m_host));
      REQUIRE(host.m_lead_duty == (id == table.m_lead.m_host ? 1 : 0));
      REQUIRE(PlatformReachable(*host.m_ownership));
      for (const auto& [pool, assignment] : table.m_pools) {
        REQUIRE(FindPool(*host.m_ownership, pool)->m_term == assignment.m_term);
      }
    }
  }

  /// Without faults the table no longer changes.
  auto CheckStable() -> void {
    const auto version = m_sim.Table().m_version;
    m_sim.Run(minutes(1));
    REQUIRE(m_sim.Table().m_version == version);
  }

  testing::RandomSource m_random;
  FakeDomain m_sim;
  TermCheck m_check;
};

TEST_CASE(
    "randomized test: one primary per term, growing terms, full recovery") {
  const auto first = testing::FirstSeed();
  const auto runs = testing::RandomizedTestCount(300);
  for (auto i = 0; i < runs; ++i) {
    const auto seed = first + static_cast<std::uint64_t>(i);
    INFO("DOTTERELSHED_SEED=" << seed << " DOTTERELSHED_WALKS=1");
    RandomizedOwnershipTest(seed).Run();
  }
}

TEST_CASE("randomized ownership seeds of earlier failures") {
  // Seed 32: a new lead reported the platform as unreachable, as the previous
  // lead had found.
  RandomizedOwnershipTest(32).Run();
}

/// Hosts drain and restart but do not crash. Primaries copy their pools to new
/// holders, which takes between 100 ms and 3 s.
class RandomizedMoveTest {
 public:
  explicit RandomizedMoveTest(std::uint64_t seed)
      : m_random(seed),
        m_sim({.m_seed = seed, .m_hosts = kHosts, .m_endpoints = 64 * 6}) {
    m_sim.m_check = [this](const FakeHost& host) { Copy(host); };
  }

  auto Run() -> void {
    constexpr auto kRounds = 20;
    for (auto i = 0; i < kRounds; ++i) {
      const auto id =
          FakeDomain::HostName(0, static_cast<int>(m_random.Below(kHosts)));
      // At most two hosts drain at a time, so that others can take their pools.
      if (m_draining.size() < 2 && m_random.Chance(40)) {
        m_draining.insert(id);
        m_sim.Drain(id);
      }
      m_sim.Run(m_random.Between(milliseconds(50), seconds(12)));
      ReplaceDrained();
    }
    REQUIRE(m_moves > 0);
  }

 private:
  struct Copies {
    /// Host incarnations that have the whole state of the pool.
    std::set<HostRef> m_complete;
    HostRef m_to;
    TimePoint m_done_at;
    Term m_term;
  };

  auto Copy(const FakeHost& host) -> void {
    std::vector<PoolId> unconfirmed;
    for (const auto& id : PoolsOf(*host.m_ownership, host.m_domain)) {
      const auto& pool = *FindPool(*host.m_ownership, id);
      if (pool.m_primary == host.m_self && !CopyPool(pool)) {
        unconfirmed.push_back(id);
      }
    }
    AnnounceUnconfirmed(*host.m_ownership, std::move(unconfirmed));
  }

  /// @return true when the copy holder has the whole state of the pool
  auto CopyPool(const PoolAssignment& pool) -> bool {
    auto& copies = m_copies[pool.m_pool];
    if (copies.m_term > pool.m_term) {
      return true;
    }
    if (copies.m_complete.empty()) {
      copies.m_complete.insert(pool.m_primary);
    }
    Expect(copies.m_complete.contains(pool.m_primary));
    if (copies.m_term < pool.m_term) {
      ++m_moves;
      copies.m_term = pool.m_term;
      copies.m_to = pool.m_holder;
      copies.m_done_at =
          m_sim.m_now + m_random.Between(milliseconds(100), seconds(3));
      std::erase_if(copies.m_complete, [&pool](const HostRef& host) {
        return host != pool.m_primary && host != pool.m_holder;
      });
    }
    if (!pool.m_holder.m_host.empty() && m_sim.m_now >= copies.m_done_at) {
      copies.m_complete.insert(pool.m_holder);
    }
    return copies.m_complete.contains(pool.m_holder);
  }

  auto ReplaceDrained() -> void {
    for (auto i = 0; i < kHosts; ++i) {
      const auto id = FakeDomain::HostName(0, i);
      if (IsDrained(m_sim.OwnershipOf(id))) {
        m_sim.Start(id, FakeDomain::Domain(0));
        m_draining.erase(id);
      }
    }
  }

  testing::RandomSource m_random;
  FakeDomain m_sim;
  std::set<HostId> m_draining;
  std::map<PoolId, Copies> m_copies;
  int m_moves = 0;
};

TEST_CASE(
    "randomized test: planned moves choose only primaries with the pool's "
    "state") {
  const auto first = testing::FirstSeed();
  const auto runs = testing::RandomizedTestCount(150);
  for (auto i = 0; i < runs; ++i) {
    const auto seed = first + static_cast<std::uint64_t>(i);
    INFO("DOTTERELSHED_SEED=" << seed << " DOTTERELSHED_WALKS=1");
    RandomizedMoveTest(seed).Run();
  }
}

TEST_CASE("randomized planned move seeds of earlier failures") {
  // Seed 109: a new copy holder was made primary in the plan that chose it.
  RandomizedMoveTest(109).Run();
  // Seed 618: a new lead used an earlier incarnation of a host than the table
  // records.
  RandomizedMoveTest(618).Run();
}

}  // namespace
}  // namespace dotterelshed
