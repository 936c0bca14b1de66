#include "dotterelshed/copy_rule.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <map>
#include <random>
#include <string>

/// @file
/// When a turn has enough copies, where they are put, and that no turn is lost
/// by disks that are lost, however the domains are cut off meanwhile.

namespace dotterelshed {
namespace {

using Random = std::mt19937_64;

/// Hosts a1, a2, ... of domain a, b1, ... of domain b, and so on.
auto MakeHosts(int domains, int hosts_each) -> std::vector<ReplicaHost> {
  std::vector<ReplicaHost> hosts;
  for (int domain = 0; domain < domains; ++domain) {
    const std::string name(1, static_cast<char>('a' + domain));
    for (int host = 1; host <= hosts_each; ++host) {
      hosts.push_back({.m_host = HostId(name + std::to_string(host)),
                       .m_domain = DomainId(name)});
    }
  }
  return hosts;
}

auto MakeIds(const std::vector<std::string>& names) -> std::set<HostId> {
  std::set<HostId> ids;
  for (const auto& name : names) {
    ids.insert(HostId(name));
  }
  return ids;
}

constexpr CopyRule kTwoOrOne{.m_lost_hosts = 2, .m_lost_domains = 1};
constexpr CopyRule kOneOrOne{.m_lost_hosts = 1, .m_lost_domains = 1};
constexpr CopyRule kTwo{.m_lost_hosts = 2};

TEST_CASE("copies are enough for the losses that are tolerated") {
  struct Case {
    std::string m_name;
    CopyRule m_rule;
    int m_domains;
    int m_hosts_each;
    std::vector<std::string> m_failing;
    std::vector<std::string> m_copies;
    bool m_stored;
  };
  const auto one = GENERATE(values<Case>({
      {"a host of each domain", kTwoOrOne, 3, 3, {}, {"a1", "b1", "c1"}, true},
      {"three hosts of two domains",
       kTwoOrOne,
       3,
       3,
       {},
       {"a1", "a2", "b1"},
       true},
      {"two hosts", kTwoOrOne, 3, 3, {}, {"a1", "b1"}, false},
      {"one domain", kTwoOrOne, 3, 3, {}, {"a1", "a2", "a3"}, false},
      {"the own domain, cut off",
       kTwoOrOne,
       2,
       3,
       {"b1", "b2", "b3"},
       {"a1", "a2", "a3"},
       true},
      {"the own domain, cut off, too few hosts",
       kTwoOrOne,
       2,
       3,
       {"b1", "b2", "b3"},
       {"a1", "a2"},
       false},
      {"the own domain, all but one host away",
       kTwoOrOne,
       2,
       3,
       {"b1", "b2"},
       {"a1", "a2", "a3"},
       false},
      {"one loss, two domains", kOneOrOne, 4, 1, {}, {"a1", "d1"}, true},
      {"one loss, one host", kOneOrOne, 4, 1, {}, {"a1"}, false},
      {"one loss, cut off, one host",
       kOneOrOne,
       4,
       1,
       {"b1", "c1", "d1"},
       {"a1"},
       false},
      {"all hosts that there are", kTwoOrOne, 2, 1, {}, {"a1", "b1"}, true},
      {"no bound for domains, two of them",
       kTwo,
       3,
       3,
       {},
       {"a1", "a2", "b1"},
       false},
      {"no bound for domains, cut off",
       kTwo,
       2,
       3,
       {"b1", "b2", "b3"},
       {"a1", "a2", "a3"},
       false},
      {"no bound for domains, three", kTwo, 3, 3, {}, {"a1", "b1", "c1"}, true},
  }));
  CAPTURE(one.m_name);
  const ReplicaView view{.m_hosts = MakeHosts(one.m_domains, one.m_hosts_each),
                         .m_failing = MakeIds(one.m_failing),
                         .m_domain = DomainId("a")};
  CHECK(IsStored(one.m_rule, view, MakeIds(one.m_copies)) == one.m_stored);
}

TEST_CASE("hosts that answer are chosen in place of those that don't") {
  struct Case {
    std::string m_name;
    int m_domains;
    int m_hosts_each;
    std::vector<std::string> m_failing;
    std::size_t m_hosts;
    std::size_t m_answering;
    std::size_t m_answering_domains;
  };
  const auto one = GENERATE(values<Case>({
      {"all answer", 3, 3, {}, 3, 3, 3},
      {"one host away", 3, 3, {"b2"}, 3, 3, 3},
      {"a domain away", 3, 3, {"c1", "c2", "c3"}, 4, 3, 2},
      {"two domains away", 3, 3, {"b1", "b2", "b3", "c1", "c2", "c3"}, 5, 3, 1},
      {"a domain of four away", 4, 2, {"d1", "d2"}, 4, 3, 3},
      {"two domains of four away", 4, 2, {"c1", "c2", "d1", "d2"}, 5, 3, 2},
      {"two domains of six away", 6, 1, {"a1", "b1"}, 0, 3, 3},
  }));
  CAPTURE(one.m_name);
  const ReplicaView view{.m_hosts = MakeHosts(one.m_domains, one.m_hosts_each),
                         .m_failing = MakeIds(one.m_failing),
                         .m_domain = DomainId("a")};
  for (int program = 0; program < 50; ++program) {
    const auto targets =
        ChooseTargets(kTwoOrOne, view, ProgramId(std::to_string(program)));
    std::set<DomainId> domains;
    std::size_t answering = 0;
    for (const auto& host : targets.m_hosts) {
      if (!view.m_failing.contains(host.m_host)) {
        ++answering;
        domains.insert(host.m_domain);
      }
    }
    CHECK(answering >= one.m_answering);
    CHECK(domains.size() >= one.m_answering_domains);
    CHECK((one.m_hosts == 0 || targets.m_hosts.size() == one.m_hosts));
  }
}

// Random losses.

/// Parts of the rule that a run may leave out, to see that they are needed.
enum class LeftOut { kNothing, kOneHost, kSubstitutes, kRepair };

/// A system of disk hosts that loses disks and links at random.
struct World {
  struct Turn {
    ProgramId m_program;
    std::set<HostId> m_substitutes;
    std::set<HostId> m_copies;
  };
  enum class Network { kWhole, kCut, kSplit };

  CopyRule m_rule;
  LeftOut m_left_out;
  std::vector<ReplicaHost> m_hosts;
  Random m_random;
  Network m_network = Network::kWhole;
  /// One side of a cut or split.
  std::set<HostId> m_side;
  /// Hosts whose disks were lost and that have not caught up.
  std::set<HostId> m_emptied;
  std::vector<Turn> m_turns;
  bool m_lost = false;
  bool m_stored_in_one_domain = false;

  auto Draw(std::size_t count) -> std::size_t { return m_random() % count; }
  auto RandomHost() -> const ReplicaHost& {
    return m_hosts[Draw(m_hosts.size())];
  }
  auto Connected(const HostId& one, const HostId& other) const -> bool {
    return m_network == Network::kWhole ||
           m_side.contains(one) == m_side.contains(other);
  }

  auto ChangeNetwork() -> void {
    m_network = static_cast<Network>(Draw(3));
    m_side.clear();
    const auto cut = RandomHost().m_domain;
    for (const auto& host : m_hosts) {
      const auto inside =
          m_network == Network::kCut ? host.m_domain == cut : Draw(2) == 0;
      if (inside) {
        m_side.insert(host.m_host);
      }
    }
  }

  /// A host of a random domain stores a turn. A split divides the disk hosts
  /// alone; the others reach both sides.
  auto Store() -> void {
    const auto& near = RandomHost();
    ReplicaView view{.m_hosts = m_hosts, .m_domain = near.m_domain};
    for (const auto& host : m_hosts) {
      const auto away =
          m_network == Network::kCut && !Connected(host.m_host, near.m_host);
      if (away || Draw(8) == 0) {
        view.m_failing.insert(host.m_host);
      }
    }
    Turn turn{.m_program = ProgramId(std::to_string(Draw(50)))};
    const auto targets = ChooseTargets(m_rule, view, turn.m_program);
    for (const auto& host : targets.m_hosts) {
      if (!view.m_failing.contains(host.m_host) && Draw(8) != 0) {
        turn.m_copies.insert(host.m_host);
      }
    }
    if (m_left_out != LeftOut::kSubstitutes) {
      turn.m_substitutes = targets.m_substitutes;
    }
    auto rule = m_rule;
    rule.m_lost_hosts -= m_left_out == LeftOut::kOneHost ? 1 : 0;
    if (!IsStored(rule, view, turn.m_copies)) {
      return;
    }
    std::set<DomainId> domains;
    for (const auto& host : m_hosts) {
      if (turn.m_copies.contains(host.m_host)) {
        domains.insert(host.m_domain);
      }
    }
    m_stored_in_one_domain |= domains.size() < 2 && !IsCutOff(view);
    m_turns.push_back(std::move(turn));
  }

  /// No more disks are lost at a time than may be.
  auto LoseDisk() -> void {
    if (m_emptied.size() >= static_cast<std::size_t>(m_rule.m_lost_hosts)) {
      return;
    }
    const auto host = RandomHost().m_host;
    m_emptied.insert(host);
    for (auto& turn : m_turns) {
      turn.m_copies.erase(host);
      m_lost |= turn.m_copies.empty();
    }
  }

  /// Hosts copy what they should have and can reach. One whose disk was lost
  /// counts as lost until it has all that it should have.
  auto Repair() -> void {
    std::set<HostId> behind;
    for (auto& turn : m_turns) {
      const auto sources = turn.m_copies;
      for (const auto& host : m_hosts) {
        if (sources.contains(host.m_host) ||
            !IsResponsible(m_hosts, host.m_host, turn.m_program,
                           turn.m_substitutes)) {
          continue;
        }
        const auto reached = std::any_of(
            sources.begin(), sources.end(), [&](const HostId& source) {
              return Connected(source, host.m_host);
            });
        if (!reached) {
          behind.insert(host.m_host);
        } else if (m_left_out != LeftOut::kRepair) {
          turn.m_copies.insert(host.m_host);
        }
      }
    }
    std::erase_if(m_emptied, [&behind](const HostId& host) {
      return !behind.contains(host);
    });
  }

  auto Run(int steps) -> void {
    for (int step = 0; step < steps && !m_lost; ++step) {
      switch (Draw(8)) {
        case 0:
          ChangeNetwork();
          break;
        case 1:
          Repair();
          break;
        case 2:
        case 3:
          LoseDisk();
          break;
        default:
          Store();
      }
    }
  }
};

/// Returns the number of runs in which a turn was lost.
auto CountLosses(const CopyRule& rule, LeftOut left_out) -> int {
  int losses = 0;
  for (const auto domains : {3, 4, 6}) {
    for (const auto hosts_each : {1, 2, 3, 4}) {
      for (std::uint64_t seed = 0; seed < 20; ++seed) {
        World world{.m_rule = rule,
                    .m_left_out = left_out,
                    .m_hosts = MakeHosts(domains, hosts_each),
                    .m_random = Random(seed)};
        world.Run(150);
        losses += world.m_lost ? 1 : 0;
        CHECK_FALSE(world.m_stored_in_one_domain);
      }
    }
  }
  return losses;
}

TEST_CASE("no turn is lost with as many disks as may be, whatever is cut off") {
  const auto rule = GENERATE(kTwoOrOne, kOneOrOne, kTwo);
  CHECK(CountLosses(rule, LeftOut::kNothing) == 0);
}

TEST_CASE("turns are lost where a part of the rule is left out") {
  const auto left_out =
      GENERATE(LeftOut::kOneHost, LeftOut::kSubstitutes, LeftOut::kRepair);
  CHECK(CountLosses(kTwoOrOne, left_out) > 0);
}

}  // namespace
}  // namespace dotterelshed
