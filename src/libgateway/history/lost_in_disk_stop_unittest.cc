#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <utility>

#include "dotterelshed/http_message.h"
#include "history/replica_messages.h"
#include "history/test_history.h"
#include "history/test_process.h"
#include "lead/lead_messages.h"
#include "peer_call.h"
#include "stream/stream_messages.h"

/// @file
/// LOST: requests of other hosts that got neither an answer nor a refusal from
/// a disk host that was being stopped.

namespace dotterelshed {
namespace {

const TurnRecord kTurn{.m_turn = RequestId("t1"),
                       .m_program = ProgramId("p"),
                       .m_text = "text",
                       .m_lifetime = std::chrono::seconds(60)};

/// A disk host d1 in a process of its own, and a connection to it.
struct StopEnvironment : public HistoryEnvironment {
  explicit StopEnvironment(Duration grace = EntrySettings().m_stop_grace) {
    m_disk.m_settings.m_host = HostId("d1");
    m_disk.m_settings.m_domain = DomainId("z");
    m_disk.m_settings.m_role = HostRole::kDisk;
    m_disk.m_settings.m_stop_grace = grace;
    m_disk.m_settings.m_peer_address = "127.0.0.1:0";
    m_disk.m_settings.m_platform_address = FormatTcpAddress(m_store.address());
    m_disk.m_settings.m_data_dir = m_folder;
    m_disk.Start();
    Connect();
  }

  auto Connect() -> void {
    m_socket = std::make_unique<TcpSocket>(m_loop);
    m_socket->connect(m_disk.m_disk->peer_address());
  }

  auto WaitUntil(const std::function<bool()>& done) -> void {
    RunUntil([this, &done] {
      m_disk.Run();
      return done();
    });
  }

  /// Lets the disk host read what was sent.
  auto WaitShortly() -> void {
    const auto end = SteadyTime() + std::chrono::milliseconds(20);
    WaitUntil([end] { return SteadyTime() >= end; });
  }

  /// Sends a request, which nobody reads yet.
  auto Send(std::string_view path, const std::string& body)
      -> std::shared_ptr<TestCaller> {
    boost::asio::write(*m_socket, boost::asio::buffer(FormatRequest(
                                      "POST", path, {{"Host", "d1"}}, body)));
    auto caller = std::make_shared<TestCaller>();
    caller->m_stream = std::make_shared<ByteStream>(std::move(*m_socket));
    caller->m_stream->Start(
        {.m_on_bytes =
             [caller](std::string_view bytes) { caller->m_got += bytes; },
         .m_on_end = [caller](StreamEnd /*end*/) { caller->m_ended = true; },
         .m_on_drained = {}});
    m_callers.push_back(caller);
    return caller;
  }

  /// Stops the disk host; returns the time until its process has ended.
  auto StopDisk() -> Duration {
    const auto begun_at = SteadyTime();
    m_disk.Stop();
    WaitUntil([this] { return !m_disk.running(); });
    const auto took = SteadyTime() - begun_at;
    // What the host has sent is still on its way.
    WaitShortly();
    return took;
  }

  HostProcess m_disk;
  std::unique_ptr<TcpSocket> m_socket;
};

TEST_CASE("LOST: what lies unread at a disk host that is stopped") {
  const auto [path, body] = GENERATE(table<std::string_view, std::string>({
      {kTurnWritePath, EncodeTurnRecords({&kTurn})},
      {kTurnReadPath, EncodeTurnReadRequest({.m_turn = RequestId("t1")})},
      {kJournalWritePath,
       EncodeJournalEntry({.m_domain = DomainId("z"),
                           .m_claim = ResourceVersion(1),
                           .m_ledger = {.m_host = HostId("h1")}})},
      {kStreamQuestionPath,
       EncodeStreamQuestion({.m_attempt = RequestId("r1")})},
  }));
  StopEnvironment environment;
  const auto accepted = GENERATE(true, false);
  CAPTURE(path, accepted);
  if (accepted) {
    environment.WaitShortly();
  }
  const auto caller = environment.Send(path, body);
  CHECK(environment.StopDisk() < std::chrono::seconds(2));
  CHECK(caller->Status() == 200);
  CHECK(caller->Body());
}

TEST_CASE("a turn that a stopping disk host has stored is there afterwards") {
  StopEnvironment environment;
  const auto caller =
      environment.Send(kTurnWritePath, EncodeTurnRecords({&kTurn}));
  environment.StopDisk();
  REQUIRE(caller->Status() == 200);
  environment.m_disk.Start();
  environment.Connect();
  const auto reader = environment.Send(
      kTurnReadPath, EncodeTurnReadRequest({.m_turn = kTurn.m_turn}));
  environment.WaitUntil([&reader] { return reader->Body().has_value(); });
  const auto found = DecodeTurnReadResponse(*reader->Body());
  REQUIRE(found);
  REQUIRE(found->m_turns.size() == 1);
  CHECK(found->m_turns.front().m_text == kTurn.m_text);
}

TEST_CASE("LOST: what a disk host can't answer before its grace is over") {
  constexpr auto kGrace = std::chrono::milliseconds(1200);
  StopEnvironment environment(kGrace);
  ScriptedEndpoint silent(environment.m_loop, [](const Request&) {});
  environment.m_store.Put(
      "disk-hosts", "d9",
      EncodeReplicaHost({.m_host = HostId("d9"),
                         .m_domain = DomainId("y"),
                         .m_address = FormatTcpAddress(silent.address())}));
  environment.Send(kTurnReadPath, EncodeTurnReadRequest({}));
  // The disk host follows the list from now on.
  environment.WaitUntil([&silent] { return silent.requests() > 0; });
  environment.Connect();
  const auto caller =
      environment.Send(kTurnCopyPath, EncodeCopyRequest(HostId("d9")));
  environment.WaitShortly();
  CHECK(environment.StopDisk() < kGrace);
  CHECK(caller->Status() == 503);
}

}  // namespace
}  // namespace dotterelshed
