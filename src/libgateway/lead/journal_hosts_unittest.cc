#include <catch2/catch.hpp>
#include <set>
#include <string>
#include <vector>

#include "lead/journal_hosts.h"

/// @file
/// Which disk hosts a lead's journal is written to, and which a successor waits
/// for.

namespace dotterelshed {
namespace {

const TimePoint kStart{std::chrono::hours(1)};
constexpr Duration kLong = std::chrono::seconds(3);
constexpr int kCopies = 2;

auto Named(const std::vector<std::string>& names) -> std::set<HostId> {
  std::set<HostId> hosts;
  for (const auto& name : names) {
    hosts.insert(HostId(name));
  }
  return hosts;
}

auto MakeHosts(const std::vector<std::string>& names) -> JournalHosts {
  std::vector<ReplicaHost> listed;
  listed.reserve(names.size());
  for (const auto& name : names) {
    listed.push_back({.m_host = HostId(name), .m_address = name + ":1"});
  }
  JournalHosts hosts;
  TakeListedHosts(hosts, listed);
  return hosts;
}

TEST_CASE("a disk host is left out once it has failed for a while") {
  auto hosts = MakeHosts({"a", "b", "c"});
  NoteJournalCall(hosts, HostId("a"), false, kStart);
  CHECK(ChooseJournalHosts(hosts, kCopies, kStart).size() == 3);
  NoteJournalCall(hosts, HostId("a"), false, kStart + kLong);
  CHECK(ChooseJournalHosts(hosts, kCopies, kStart + kLong) ==
        Named({"b", "c"}));
  SECTION("until it answers") {
    NoteJournalCall(hosts, HostId("a"), true, kStart + kLong);
    CHECK(ChooseJournalHosts(hosts, kCopies, kStart + kLong).size() == 3);
  }
  SECTION("or is listed at another address") {
    TakeListedHosts(hosts, {{.m_host = HostId("a"), .m_address = "a:2"}});
    CHECK(ChooseJournalHosts(hosts, kCopies, kStart + kLong) == Named({"a"}));
  }
  SECTION("and the last to fail stays if too few are left") {
    NoteJournalCall(hosts, HostId("b"), false, kStart + kLong);
    CHECK(ChooseJournalHosts(hosts, kCopies, kStart + 2 * kLong) ==
          Named({"b", "c"}));
  }
}

TEST_CASE("a drained disk host is neither written to nor waited for") {
  auto hosts = MakeHosts({"a", "b"});
  hosts.at(HostId("a")).m_drained = true;
  CHECK(ChooseJournalHosts(hosts, kCopies, kStart) == Named({"b"}));
  CHECK(IsReadComplete(hosts, {}, Named({"b"}), kCopies));
  CHECK(IsReadComplete(hosts, Named({"a", "b"}), Named({"b"}), kCopies));
}

TEST_CASE("a journal goes only to hosts that each ledger in the store names") {
  JournalTarget target;
  NoteNamesSent(target, Named({"a", "b", "c"}), kCopies);
  CHECK(target.m_hosts.empty());
  NoteNamesStored(target, kCopies);
  CHECK(target.m_hosts == Named({"a", "b", "c"}));
  NoteNamesSent(target, Named({"b", "c", "d"}), kCopies);
  CHECK(target.m_hosts == Named({"b", "c"}));
  NoteNamesSent(target, Named({"c"}), kCopies);
  CHECK(target.m_hosts == Named({"c"}));
  CHECK(target.m_copies == kCopies);
  NoteNamesStored(target, kCopies);
  CHECK(target.m_hosts == Named({"c"}));
  CHECK(target.m_copies == 1);
}

TEST_CASE("a read waits only for hosts that the ledger in the store names") {
  const auto hosts = MakeHosts({"a", "b", "c", "d"});
  CHECK_FALSE(IsReadComplete(hosts, {}, Named({"c", "d"}), kCopies));
  CHECK(IsReadComplete(hosts, Named({"c", "d"}), Named({"c", "d"}), kCopies));
  CHECK(IsReadComplete(hosts, Named({"b", "c", "d"}), Named({"c", "d"}),
                       kCopies));
  CHECK_FALSE(IsReadComplete(hosts, Named({"a", "b", "c"}), Named({"c", "d"}),
                             kCopies));
  // One that isn't listed may still hold a ledger.
  CHECK_FALSE(IsReadComplete(hosts, Named({"x", "y", "c"}),
                             Named({"a", "b", "c", "d"}), kCopies));
  CHECK(IsReadComplete(hosts, Named({}), Named({}), kCopies));
}

}  // namespace
}  // namespace dotterelshed
