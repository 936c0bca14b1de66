#include <catch2/catch.hpp>
#include <filesystem>
#include <set>
#include <string>

#include "history/replica_messages.h"
#include "history/test_history.h"

/// @file
/// Turns whose history the system keeps: what endpoints are sent, and what is
/// found after hosts and disks were lost.

namespace dotterelshed {
namespace {

TEST_CASE("a turn is sent with the inputs and outputs of those before it") {
  HistoryEnvironment environment;
  environment.StartWithTwoDisks();
  CHECK(environment.Run("t1", "", "first,") == 200);
  CHECK(environment.Run("t2", "t1", "second,") == 200);
  CHECK(environment.Run("t3", "t2", "third") == 200);
  CHECK(environment.Run("b3", "t2", "branch") == 200);
  REQUIRE(environment.m_bodies.size() == 4);
  CHECK(environment.m_bodies[0] == "first,");
  CHECK(environment.m_bodies[1] == "first,one\ntwo\nsecond,");
  CHECK(environment.m_bodies[2] == "first,one\ntwo\nsecond,one\ntwo\nthird");
  CHECK(environment.m_bodies[3] == "first,one\ntwo\nsecond,one\ntwo\nbranch");
}

TEST_CASE("a turn continues through a host of another domain") {
  HistoryEnvironment environment;
  environment.StartWithTwoDisks();
  auto& other = environment.AddHost("h2", "y");
  environment.Run("t1", "", "first,");
  const auto caller = environment.FinishAt(
      other, HistoryEnvironment::MakeKeptTurn("t2", "t1", "second"));
  CHECK(caller->Status() == 200);
  CHECK(environment.m_bodies.back() == "first,one\ntwo\nsecond");
}

TEST_CASE("a turn is found after all disk hosts have restarted") {
  HistoryEnvironment environment;
  environment.StartWithTwoDisks();
  environment.Run("t1", "", "first,");
  environment.m_disk_hosts[0]->Stop();
  environment.m_disk_hosts[1]->Stop();
  environment.AddDisk("d1", "z", false);
  environment.AddDisk("d2", "y", false);
  environment.RunUntil([&environment] {
    return environment.RunElsewhere("t2", "t1", "second") == 200;
  });
  CHECK(environment.m_bodies.back() == "first,one\ntwo\nsecond");
}

TEST_CASE("a disk host that lost its disk copies all turns from another one") {
  HistoryEnvironment environment;
  environment.StartWithTwoDisks();
  environment.Run("t1", "", "first,");
  environment.Run("t2", "t1", "second,");
  environment.RunFor(std::chrono::milliseconds(300));
  environment.m_disk_hosts.front()->Stop();
  fs::remove_all(environment.m_folder + "/d1");
  environment.AddDisk("d1", "z", false);
  // Its peers or the entry hosts tell it that turns are kept at all.
  environment.RunFor(std::chrono::seconds(4));
  environment.m_disk_hosts[1]->Stop();
  environment.RunUntil([&environment] {
    return environment.RunElsewhere("t3", "t2", "third") == 200;
  });
  CHECK(environment.m_bodies.back() ==
        "first,one\ntwo\nsecond,one\ntwo\nthird");
}

TEST_CASE("a turn that was never run is answered 404 only if none was lost") {
  HistoryEnvironment environment;
  environment.AddRecorder();
  const auto first_start = GENERATE(true, false);
  environment.AddDisk("d1", "z");
  environment.AddDisk("d2", "y", first_start);
  environment.Start();
  environment.Run("t1", "", "first,");
  const auto caller = environment.Finish(
      HistoryEnvironment::MakeKeptTurn("t2", "unknown", "second"));
  CHECK(caller->Status() == (first_start ? 404 : 503));
  CHECK(environment.m_bodies.size() == 1);
}

TEST_CASE(
    "a turn is refused at once while a replica that may have it is away") {
  HistoryEnvironment environment;
  environment.StartWithTwoDisks();
  environment.Run("t1", "", "first,");
  environment.m_disk_hosts.back()->Stop();
  const auto caller = environment.Finish(
      HistoryEnvironment::MakeKeptTurn("t2", "unknown", "second"));
  CHECK(caller->Status() == 503);
  CHECK(caller->m_got.find("Retry-After") != std::string::npos);
}

TEST_CASE("a turn that broke off can't be continued") {
  HistoryEnvironment environment;
  environment.AddEndpoint([](const Request& request) {
    request.m_stream->Write(ChunkedHead(request) + Chunks(1, 1));
    request.m_stream->CloseAfterWrites();
  });
  environment.AddDisk("d1", "z");
  environment.AddDisk("d2", "y");
  environment.Start();
  environment.Finish(HistoryEnvironment::MakeKeptTurn("t1", "", "first"));
  CHECK(environment.Run("t2", "t1", "second") == 404);
}

TEST_CASE("a response does not end before its turn is on a disk") {
  HistoryEnvironment environment;
  environment.AddEndpoint([&environment](const Request& request) {
    environment.m_disk_hosts[0]->Stop();
    environment.m_disk_hosts[1]->Stop();
    request.m_stream->Write(request.Complete(kEvents));
  });
  environment.AddDisk("d1", "z");
  environment.AddDisk("d2", "y");
  environment.Start();
  const auto caller =
      environment.Finish(HistoryEnvironment::MakeKeptTurn("t1", "", "first"));
  // All events arrive, but nothing says that the response is complete.
  CHECK(caller->m_got.find("two") != std::string::npos);
  CHECK_FALSE(caller->Body());
}

TEST_CASE("without disk hosts turns are refused at once, until one is back") {
  HistoryEnvironment environment;
  environment.StartWithTwoDisks();
  environment.Run("t1", "", "first,");
  environment.m_disk_hosts[0]->Stop();
  environment.m_disk_hosts[1]->Stop();
  const auto& host = *environment.m_host;
  // Only a call shows that they are gone.
  environment.RunElsewhere("t2", "unknown", "second");
  environment.Run("t2", "unknown", "second");
  CHECK_FALSE(host.ready());
  const auto refused_from = SteadyTime();
  CHECK(environment.Run("n1", "", "new") == 503);
  CHECK(environment.Run("t2", "t1", "second") == 503);
  CHECK(SteadyTime() - refused_from < std::chrono::milliseconds(100));
  CHECK(environment.m_bodies.size() == 1);

  environment.AddDisk("d1", "z", false);
  environment.AddDisk("d2", "y", false);
  environment.RunUntil([&host] { return host.ready(); });
  CHECK(environment.Run("t2", "t1", "second") == 200);
}

TEST_CASE(
    "a host that reaches fewer domains than must have a turn is not ready") {
  HistoryEnvironment environment;
  environment.StartWithTwoDisks();
  environment.Run("t1", "", "first,");
  environment.m_disk_hosts[0]->Stop();
  const auto& host = *environment.m_host;
  // Only a call shows that it is gone.
  const auto caller = environment.Finish(
      HistoryEnvironment::MakeKeptTurn("t2", "t1", "second,"));
  CHECK_FALSE(caller->Body());
  CHECK_FALSE(host.ready());
  CHECK(environment.Run("t3", "t1", "second,") == 503);
  CHECK(environment.m_bodies.size() == 2);

  environment.AddDisk("d1", "z", false);
  environment.RunUntil([&host] { return host.ready(); });
  CHECK(environment.Run("t4", "t1", "second,") == 200);
  // What was not completed was withdrawn.
  CHECK(environment.Run("t5", "t2", "third") == 404);
}

TEST_CASE("turns that wait for a failing disk host don't call it") {
  HistoryEnvironment environment;
  environment.AddRecorder();
  environment.AddDisk("d1", "z");
  environment.AddDisk("d2", "y");
  environment.AddDisk("d3", "x");
  environment.Start();
  int calls = 0;
  // It accepts calls and answers none.
  ScriptedEndpoint silent(environment.m_loop,
                          [&calls](const Request& /*request*/) { ++calls; });
  environment.m_store.Put(
      "disk-hosts", "d4",
      EncodeReplicaHost({.m_host = HostId("d4"),
                         .m_domain = DomainId("w"),
                         .m_address = FormatTcpAddress(silent.address())}));
  environment.RunUntil([&environment, &calls] {
    environment.Run("t" + std::to_string(environment.m_bodies.size()), "", "x");
    return calls > 0;
  });
  environment.RunFor(std::chrono::milliseconds(600));
  calls = 0;
  const auto counted_from = SteadyTime();
  for (int turn = 0; turn < 20; ++turn) {
    CHECK(environment.Run("u" + std::to_string(turn), "", "x") == 200);
  }
  environment.RunFor(std::chrono::seconds(2));
  // One probe each 200 ms at most, and no call for any of the turns.
  const auto probes =
      (SteadyTime() - counted_from) / std::chrono::milliseconds(200) + 1;
  CHECK(calls <= probes);
}

TEST_CASE("a disk host is emptied only when the others have its turns") {
  HistoryEnvironment environment;
  environment.AddRecorder();
  environment.AddDisk("d1", "z");
  environment.Start();
  environment.Run("t1", "", "first,");
  environment.AddDisk("d2", "y", false);
  environment.m_store.Put("retirements", "d1", {{"withinS", 8}});
  environment.RunUntil([&environment] {
    const auto entry = environment.m_store.Find("disk-hosts", "d1");
    return entry.at("spec").at("drained").get<bool>();
  });
  environment.m_disk_hosts[0]->Stop();
  environment.RunUntil([&environment] {
    return environment.RunElsewhere("t2", "t1", "second") == 200;
  });
  CHECK(environment.m_bodies.back() == "first,one\ntwo\nsecond");
}

}  // namespace
}  // namespace dotterelshed
