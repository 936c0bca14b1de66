#include "history/replica_sync.h"

#include <catch2/catch.hpp>
#include <cstdlib>
#include <filesystem>
#include <optional>
#include <string>
#include <vector>

#include "peer_call.h"
#include "test_environment.h"

/// @file
/// What a replica copies from another one, played by the test.

namespace dotterelshed {
namespace {

namespace fs = std::filesystem;

using Request = ScriptedEndpoint::Request;

/// A disk host d1 that syncs with a scripted replica d9.
struct SyncEnvironment : public TestEnvironment {
  SyncEnvironment()
      : m_peer(m_loop,
               [this](const Request& request) { OnPeerRequest(request); }),
        m_connections(m_loop, {}) {
    std::string name = (fs::temp_directory_path() / "sync.XXXXXX").string();
    m_folder = mkdtemp(name.data());
    AddDiskHost("d1", m_folder);
    m_store.Put(
        "disk-hosts", "d9",
        EncodeReplicaHost({.m_host = HostId("d9"),
                           .m_domain = DomainId("y"),
                           .m_address = FormatTcpAddress(m_peer.address())}));
  }
  ~SyncEnvironment() { fs::remove_all(m_folder); }
  SyncEnvironment(const SyncEnvironment&) = delete;
  auto operator=(const SyncEnvironment&) -> SyncEnvironment& = delete;

  auto OnPeerRequest(const Request& request) -> void {
    if (request.m_head.m_target == kTurnFetchPath) {
      request.m_stream->Write(request.Complete(EncodeTurnRecords({&m_record})));
      return;
    }
    m_lists.push_back(*DecodeTurnListRequest(request.m_body));
    m_open_list = request;
  }

  /// Answers the list request that is open.
  auto AnswerList(const std::vector<ListedTurn>& turns, std::uint64_t last)
      -> void {
    const auto request = *std::exchange(m_open_list, std::nullopt);
    request.m_stream->Write(request.Complete(
        EncodeTurnListResponse({.m_incarnation = Incarnation(7),
                                .m_turns = turns,
                                .m_last_sequence = last})));
  }

  auto WaitForList() -> void {
    RunUntil([this] { return m_open_list.has_value(); });
  }

  /// Calls d1; the reply is kept in m_reply.
  auto Call(std::string_view path, const std::string& body) -> void {
    m_reply.reset();
    CallPeer(m_loop, m_connections,
             FormatTcpAddress(m_disk_hosts.front()->peer_address()), path, body,
             std::chrono::seconds(5),
             [this](const Result<std::string>& reply) { m_reply = reply; });
  }

  TurnRecord m_record{.m_turn = RequestId("young"),
                      .m_program = ProgramId("p"),
                      .m_text = "text",
                      .m_lifetime = std::chrono::seconds(60)};
  ScriptedEndpoint m_peer;
  ConnectionPool m_connections;
  std::string m_folder;
  std::vector<TurnListRequest> m_lists;
  std::optional<Request> m_open_list;
  std::optional<Result<std::string>> m_reply;
};

TEST_CASE("a sync goes on where the last one stopped, without young turns") {
  SyncEnvironment environment;
  environment.Call(kTurnReadPath, EncodeTurnReadRequest({}));
  environment.WaitForList();
  CHECK(environment.m_lists.back().m_after == 0);
  CHECK(environment.m_lists.back().m_min_age == Duration{0});
  environment.AnswerList({}, 5);
  environment.WaitForList();
  CHECK(environment.m_lists.back().m_incarnation == Incarnation(7));
  CHECK(environment.m_lists.back().m_after == 5);
  CHECK(environment.m_lists.back().m_min_age > Duration{0});
}

TEST_CASE("a replica that has lost its disk reads two whole lists at a time") {
  SyncEnvironment environment;
  for (const auto* name : {"d6", "d7", "d8"}) {
    auto spec = environment.m_store.Find("disk-hosts", "d9").at("spec");
    spec["host"] = name;
    environment.m_store.Put("disk-hosts", name, spec);
  }
  environment.Call(kTurnReadPath, EncodeTurnReadRequest({}));
  environment.WaitForList();
  environment.RunFor(std::chrono::milliseconds(400));
  CHECK(environment.m_lists.size() == 2);
}

TEST_CASE("a host that leaves is read from the start, after it has said so") {
  SyncEnvironment environment;
  environment.Call(kTurnReadPath, EncodeTurnReadRequest({}));
  environment.WaitForList();
  environment.AnswerList({}, 5);
  environment.WaitForList();
  // A sync is under way that leaves young turns out.
  environment.Call(kTurnCopyPath, EncodeCopyRequest(HostId("d9")));
  environment.RunFor(std::chrono::milliseconds(50));
  environment.AnswerList({}, 5);
  environment.WaitForList();
  CHECK_FALSE(environment.m_reply.has_value());
  CHECK(environment.m_lists.back().m_after == 0);
  CHECK(environment.m_lists.back().m_min_age == Duration{0});
  environment.AnswerList({{RequestId("young"), ProgramId("p")}}, 6);
  environment.RunUntil(
      [&environment] { return environment.m_reply.has_value(); });
  CHECK(environment.m_reply->has_value());

  environment.Call(kTurnReadPath,
                   EncodeTurnReadRequest({.m_turn = RequestId("young")}));
  environment.RunUntil(
      [&environment] { return environment.m_reply.has_value(); });
  const auto read = environment.m_reply->and_then(DecodeTurnReadResponse);
  REQUIRE(read);
  REQUIRE(read->m_turns.size() == 1);
  CHECK(read->m_turns.front().m_text == "text");
}

}  // namespace
}  // namespace dotterelshed
