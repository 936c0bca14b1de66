#include "history/turn_database.h"

#include <catch2/catch.hpp>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <string>

#include "dotterelshed/log_events.h"

/// @file
/// Turns on a disk: what is there after a restart, and with a damaged file.

namespace dotterelshed {
namespace {

namespace fs = std::filesystem;

struct TestFolder {
  TestFolder() {
    std::string name = (fs::temp_directory_path() / "turns.XXXXXX").string();
    m_path = mkdtemp(name.data());
    REQUIRE(StartLogging({.m_level = LogLevel::kError}));
  }
  ~TestFolder() { fs::remove_all(m_path); }
  TestFolder(const TestFolder&) = delete;
  auto operator=(const TestFolder&) -> TestFolder& = delete;
  std::string m_path;
};

auto MakeTurn(std::uint64_t sequence, const std::string& turn) -> StoredTurn {
  return {.m_sequence = sequence,
          .m_record = {.m_turn = RequestId(turn),
                       .m_previous = RequestId("before"),
                       .m_program = ProgramId("p"),
                       .m_text = std::string("bytes \0 of ", 11) + turn,
                       .m_lifetime = std::chrono::seconds(60)}};
}

/// Stores turns and runs until they are on the disk.
auto StoreAll(EventLoop& loop, TurnDatabase& log, std::vector<StoredTurn> turns)
    -> void {
  std::size_t stored = 0;
  for (auto& turn : turns) {
    log.Store(std::move(turn), [&stored](const Status& status) {
      REQUIRE(status);
      ++stored;
    });
  }
  while (stored < turns.size()) {
    loop.restart();
    loop.run_for(std::chrono::milliseconds(5));
  }
}

TEST_CASE("the hosts that stand in for others are there after a restart") {
  const TestFolder folder;
  EventLoop loop;
  auto turn = MakeTurn(1, "a");
  turn.m_record.m_substitutes = {HostId("x2"), HostId("x3")};
  {
    TurnDatabase log(loop, {.m_folder = folder.m_path, .m_first_start = true});
    REQUIRE(log.Open());
    StoreAll(loop, log, {turn, MakeTurn(2, "b")});
    log.Remove({2});
  }
  TurnDatabase log(loop, {.m_folder = folder.m_path});
  const auto contents = log.Open();
  REQUIRE(contents);
  REQUIRE(contents->m_turns.size() == 1);
  CHECK(contents->m_turns.front().m_record.m_substitutes ==
        turn.m_record.m_substitutes);
}

TEST_CASE("stored turns are there after a restart, removed ones are not") {
  const TestFolder folder;
  EventLoop loop;
  {
    TurnDatabase log(loop, {.m_folder = folder.m_path, .m_first_start = true});
    const auto contents = log.Open();
    REQUIRE(contents);
    CHECK(contents->m_turns.empty());
    CHECK(contents->m_intact_for > std::chrono::hours(1));
    StoreAll(loop, log, {MakeTurn(1, "a"), MakeTurn(2, "b")});
    log.Remove({1});
    StoreAll(loop, log, {MakeTurn(3, "c")});
  }
  TurnDatabase log(loop, {.m_folder = folder.m_path});
  const auto contents = log.Open();
  REQUIRE(contents);
  REQUIRE(contents->m_turns.size() == 2);
  const auto& b = contents->m_turns[0];
  CHECK(b.m_sequence == 2);
  CHECK(b.m_record.m_turn == RequestId("b"));
  CHECK(b.m_record.m_previous == RequestId("before"));
  CHECK(b.m_record.m_program == ProgramId("p"));
  CHECK(b.m_record.m_text == std::string("bytes \0 of b", 12));
  CHECK(b.m_record.m_lifetime > std::chrono::seconds(50));
  CHECK(b.m_record.m_lifetime <= std::chrono::seconds(60));
  CHECK(contents->m_intact_for > std::chrono::hours(1));
}

TEST_CASE("an empty disk in a running system may have lost turns") {
  const TestFolder folder;
  EventLoop loop;
  TurnDatabase log(loop, {.m_folder = folder.m_path});
  const auto contents = log.Open();
  REQUIRE(contents);
  CHECK(contents->m_intact_for < std::chrono::seconds(5));
}

TEST_CASE("a damaged database is replaced, and what it had counts as lost") {
  const TestFolder folder;
  EventLoop loop;
  std::ofstream(folder.m_path + "/turns.db") << std::string(10000, 'x');
  TurnDatabase log(loop, {.m_folder = folder.m_path, .m_first_start = true});
  const auto contents = log.Open();
  REQUIRE(contents);
  CHECK(contents->m_turns.empty());
  CHECK(contents->m_intact_for < std::chrono::seconds(5));
  StoreAll(loop, log, {MakeTurn(1, "a")});
}

TEST_CASE("a disk that refuses to open is reported") {
  EventLoop loop;
  REQUIRE(StartLogging({.m_level = LogLevel::kError}));
  TurnDatabase log(loop, {.m_folder = "/proc/no-such-folder"});
  const auto contents = log.Open();
  REQUIRE_FALSE(contents);
  CHECK(contents.error().m_code == ErrorCode::kUnavailable);
  Status result;
  auto answered = false;
  log.Store(MakeTurn(1, "a"), [&](const Status& status) {
    result = status;
    answered = true;
  });
  while (!answered) {
    loop.restart();
    loop.run_for(std::chrono::milliseconds(5));
  }
  CHECK_FALSE(result);
}

}  // namespace
}  // namespace dotterelshed
