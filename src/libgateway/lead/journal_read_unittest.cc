#include <array>
#include <catch2/catch.hpp>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>

#include "history/replica_messages.h"
#include "lead/lead_messages.h"
#include "peer_call.h"
#include "test_calls.h"

/// @file
/// What a lead grants of accounts that its predecessor kept on disk hosts, some
/// of which don't respond.

namespace dotterelshed {
namespace {

using Request = ScriptedEndpoint::Request;

constexpr int kBudget = 1080;
constexpr int kTurnMax = 135;
constexpr int kStored = 600;
constexpr int kJournaled = 1000;

auto Ledger(std::int64_t write, int bound) -> StoredLedger {
  return {.m_host = HostId("h0"),
          .m_incarnation = Incarnation(5),
          .m_write = write,
          .m_record = {{{ProgramId("p"), Tokens(bound)}}, {}}};
}

auto MakeTurnOf(const std::string& program) -> std::string {
  static int number = 0;
  return "POST /turn/x HTTP/1.1\r\nHost: desk\r\nRequest-Id: t" +
         std::to_string(++number) + "\r\nProgram-Id: " + program +
         "\r\nSession-Id: " + program +
         "\r\nToken-Budget: " + std::to_string(kBudget) +
         "\r\nToken-Counts: 100," + std::to_string(kTurnMax) +
         "\r\nContent-Length: 0\r\n\r\n";
}

/// Answers a turn with as many tokens as it may generate.
auto AnswerWholeTurn(const Request& request) -> void {
  request.m_stream->Write(ChunkedHead(request) + Chunks(1, kTurnMax / 3) +
                          std::string(kLastChunk));
}

/// Two disk hosts, each of which may be away.
class JournalEnvironment : public TestEnvironment {
 public:
  JournalEnvironment() {
    AddEndpoint(AnswerWholeTurn);
    for (auto& disk : m_disks) {
      disk.m_server = std::make_unique<ScriptedEndpoint>(
          m_loop, [&disk](const Request& request) { Answer(disk, request); });
    }
    for (const std::size_t i : {0, 1}) {
      const auto name = "d" + std::to_string(i);
      m_store.Put("disk-hosts", name,
                  EncodeReplicaHost({.m_host = HostId(name),
                                     .m_domain = DomainId("z"),
                                     .m_address = FormatTcpAddress(
                                         m_disks.at(i).m_server->address())}));
    }
  }

  struct Disk {
    std::unique_ptr<ScriptedEndpoint> m_server;
    bool m_away = false;
    std::optional<JournalEntry> m_entry;
  };

  static auto Answer(Disk& disk, const Request& request) -> void {
    if (disk.m_away) {
      return;
    }
    if (request.m_head.m_target == kJournalWritePath) {
      disk.m_entry = DecodeJournalEntry(request.m_body).value();
    }
    request.m_stream->Write(request.Complete(
        disk.m_entry ? EncodeJournalEntry(*disk.m_entry) : std::string()));
  }

  auto SetAway(bool away) -> void {
    for (auto& disk : m_disks) {
      disk.m_away = away;
    }
  }

  /// What a lead kept on the disk hosts before it was lost.
  auto KeepJournal() -> void {
    m_store.Put("ledgers", "z", EncodeStoredLedger(Ledger(3, kStored)));
    for (auto& disk : m_disks) {
      disk.m_entry = JournalEntry{.m_domain = DomainId("z"),
                                  .m_ledger = Ledger(9, kJournaled)};
    }
  }

  auto StatusOf(const std::string& program) -> int {
    return Finish(MakeTurnOf(program))->Status();
  }

  auto StoredBound(const std::string& program) -> int {
    return m_store.Find("ledgers", "z")["spec"]["bounds"].value(program, 0);
  }

  /// Lists disk hosts that are gone for good.
  auto ListGoneHosts() -> void {
    for (const std::string name : {"gone0", "gone1"}) {
      ScriptedEndpoint gone(m_loop, [](const Request&) {});
      gone.Crash();
      m_store.Put(
          "disk-hosts", name,
          EncodeReplicaHost({.m_host = HostId(name),
                             .m_domain = DomainId("z"),
                             .m_address = FormatTcpAddress(gone.address())}));
    }
  }

  auto NamedJournalHosts() -> std::size_t {
    return m_store.Find("ledgers", "z")["spec"]["journal_hosts"].size();
  }

  /// Lets the host lose the lead and take over again.
  auto ReplaceLead() -> void {
    ScriptedEndpoint silent(m_loop, [](const Request&) {});
    PutLead("z", "h9", silent);
    RunUntil([this] { return !m_host->leads(); });
    RunUntil([this] {
      Finish(MakeTurnOf("r"));
      return m_host->leads();
    });
  }

  std::array<Disk, 2> m_disks;
};

TEST_CASE("nothing is granted of an account until the disk hosts were read") {
  JournalEnvironment environment;
  environment.KeepJournal();
  environment.SetAway(true);
  environment.Start();
  CHECK(environment.StatusOf("p") == 503);
  CHECK(environment.StatusOf("q") == 200);
  SECTION("by this lead") {}
  SECTION("nor by the next one, which finds this lead's record in the store") {
    environment.ReplaceLead();
    CHECK(environment.StatusOf("p") == 503);
  }
  environment.SetAway(false);
  environment.RunUntil(
      [&environment] { return environment.StatusOf("p") != 503; });
  CHECK(environment.StatusOf("p") == 402);
  environment.RunUntil(
      [&environment] { return environment.StoredBound("p") >= kJournaled; });
  CHECK(environment.StatusOf("q") == 200);
}

TEST_CASE("one disk host of two that is away doesn't hold a lead up") {
  JournalEnvironment environment;
  environment.KeepJournal();
  environment.m_disks[0].m_away = true;
  environment.Start();
  CHECK(environment.StatusOf("p") == 402);
}

TEST_CASE("accounts without a newer journal go on once that is known") {
  JournalEnvironment environment;
  environment.KeepJournal();
  for (auto& disk : environment.m_disks) {
    disk.m_entry.reset();
  }
  environment.SetAway(true);
  environment.Start();
  CHECK(environment.StatusOf("p") == 503);
  environment.SetAway(false);
  environment.RunUntil(
      [&environment] { return environment.StatusOf("p") == 200; });
}

TEST_CASE("a ledger counts as kept only on more disk hosts than may fail") {
  JournalEnvironment environment;
  const auto away = GENERATE(false, true);
  environment.Start();
  CHECK(environment.StatusOf("p") == 200);
  environment.RunUntil(
      [&environment] { return environment.StoredBound("p") > kTurnMax; });
  // The lead has listed the disk hosts by now.
  environment.RunFor(std::chrono::milliseconds(500));
  const auto bound = environment.StoredBound("p");
  environment.m_disks[1].m_away = away;
  environment.m_store.SetDown(true);
  auto granted = kTurnMax;
  for (int i = 0; i < 20; ++i) {
    granted += environment.StatusOf("p") == 200 ? kTurnMax : 0;
  }
  if (away) {
    CHECK(granted - kTurnMax < bound);
  } else {
    CHECK(granted > bound);
  }
}

TEST_CASE("programs go on at the next lead after disk hosts were replaced") {
  JournalEnvironment environment;
  environment.ListGoneHosts();
  environment.Start();
  CHECK(environment.StatusOf("p") == 200);
  environment.RunUntil(
      [&environment] { return environment.NamedJournalHosts() == 2; });
  environment.ReplaceLead();
  CHECK(environment.StatusOf("p") == 200);
}

TEST_CASE("disk hosts that are left out and answer again are named again") {
  JournalEnvironment environment;
  environment.m_tolerated_losses = 0;
  environment.m_disks[1].m_away = true;
  environment.Start();
  environment.RunUntil(
      [&environment] { return environment.NamedJournalHosts() == 1; });
  environment.m_disks[1].m_away = false;
  environment.RunUntil(
      [&environment] { return environment.NamedJournalHosts() == 2; });
}

}  // namespace
}  // namespace dotterelshed
