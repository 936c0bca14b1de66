#include "dotterelshed/endpoint_link.h"

#include <catch2/catch.hpp>
#include <string>

/// @file
/// When a host suspects that it reaches no endpoint, and what a check decides.

namespace dotterelshed {
namespace {

constexpr auto kStart = TimePoint(std::chrono::hours(1));

auto At(int ms) -> TimePoint {
  return kStart + std::chrono::milliseconds(ms);
}

auto MakeDirectory(int near, int far) -> EndpointDirectory {
  EndpointDirectory directory;
  for (int i = 0; i < near + far; ++i) {
    const EndpointId id("e" + std::to_string(i));
    directory.m_entries[id] = {.m_id = id,
                               .m_domain = DomainId(i < near ? "z" : "y")};
  }
  return directory;
}

TEST_CASE("one endpoint that can't be connected to is no suspicion") {
  EndpointLink link;
  NoteNotConnected(link, EndpointId("a"), At(0));
  NoteNotConnected(link, EndpointId("a"), At(100));
  CHECK_FALSE(IsSuspect(link, At(100)));
  NoteNotConnected(link, EndpointId("b"), At(200));
  CHECK(IsCheckDue(link, At(200)));
  NoteConnected(link);
  CHECK_FALSE(IsSuspect(link, At(200)));
}

TEST_CASE("silence of all endpoints is a suspicion, that of one isn't") {
  EndpointLink link;
  for (const auto* name : {"a", "b", "c"}) {
    NoteSent(link, EndpointId(name), At(0));
  }
  CHECK_FALSE(IsSuspect(link, At(400)));
  CHECK(IsSuspect(link, At(500)));
  NoteHeard(link, EndpointId("a"), At(500));
  CHECK_FALSE(IsSuspect(link, At(2000)));
}

TEST_CASE("links are lost if none of several endpoints can be connected to") {
  EndpointLink link;
  CHECK_FALSE(NoteCheck(link, {.m_tried = 1, .m_connected = 0}, At(0)));
  CHECK_FALSE(NoteCheck(link, {.m_tried = 3, .m_connected = 1}, At(0)));
  CHECK(NoteCheck(link, {.m_tried = 3, .m_connected = 0}, At(0)));
  CHECK(link.m_lost);
}

TEST_CASE("lost links are checked on and are back with two endpoints") {
  EndpointLink link;
  NoteCheck(link, {.m_tried = 3, .m_connected = 0}, At(0));
  CHECK_FALSE(IsCheckDue(link, At(300)));
  CHECK(IsCheckDue(link, At(500)));
  CHECK_FALSE(NoteCheck(link, {.m_tried = 3, .m_connected = 1}, At(500)));
  CHECK(NoteCheck(link, {.m_tried = 3, .m_connected = 2}, At(1000)));
  CHECK_FALSE(link.m_lost);
}

TEST_CASE("most endpoints of a check are of the host's own domain") {
  const auto count_near = [](const EndpointDirectory& directory) {
    int near = 0;
    const auto targets = CheckTargets(directory, DomainId("z"), 0.9);
    CHECK(targets.size() == kLinkCheckSize);
    for (const auto& id : targets) {
      near += directory.m_entries.at(id).m_domain == DomainId("z") ? 1 : 0;
    }
    return near;
  };
  CHECK(count_near(MakeDirectory(5, 5)) == 2);
  CHECK(count_near(MakeDirectory(5, 0)) == 3);
  CHECK(count_near(MakeDirectory(0, 5)) == 0);
  CHECK(CheckTargets(MakeDirectory(1, 0), DomainId("z"), 0).size() == 1);
}

}  // namespace
}  // namespace dotterelshed
