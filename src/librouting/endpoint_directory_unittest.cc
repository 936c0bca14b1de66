#include "dotterelshed/endpoint_directory.h"

#include <catch2/catch.hpp>

namespace dotterelshed {
namespace {

const TimePoint kNow{std::chrono::seconds(50)};
const EndpointId kId("e1");

auto MakeEntry(std::int64_t version, bool leaving = false) -> EndpointEntry {
  return {.m_id = kId,
          .m_service = ServiceId("s"),
          .m_address = "127.0.0.1:1",
          .m_leaving = leaving,
          .m_version = ResourceVersion(version)};
}

TEST_CASE("an entry never goes back to an older version") {
  EndpointDirectory directory;
  PutEndpoint(directory, MakeEntry(5, true));
  PutEndpoint(directory, MakeEntry(4, false));
  CHECK(FindEndpoint(directory, kId)->m_leaving);
  CHECK(directory.m_by_service.at(ServiceId("s")).size() == 1);
}

TEST_CASE("a removed entry is gone at once") {
  EndpointDirectory directory;
  PutEndpoint(directory, MakeEntry(1));
  RemoveEndpoint(directory, kId, kNow);
  CHECK(FindEndpoint(directory, kId) == nullptr);
  CHECK(directory.m_by_service.empty());
}

TEST_CASE("an entry that lapsed in an outage has two seconds to come back") {
  EndpointDirectory directory;
  PutEndpoint(directory, MakeEntry(1));
  NotePlatformBack(directory, kNow);
  ReplaceEndpoints(directory, {}, kNow);
  REQUIRE(FindEndpoint(directory, kId) != nullptr);
  SECTION("and is gone after them") {
    DropLapsed(directory, kNow + std::chrono::milliseconds(2100));
    CHECK(FindEndpoint(directory, kId) != nullptr);
    DropLapsed(directory, kNow + std::chrono::milliseconds(2200));
    CHECK(FindEndpoint(directory, kId) == nullptr);
  }
  SECTION("and stays when it does") {
    PutEndpoint(directory, MakeEntry(2));
    DropLapsed(directory, kNow + std::chrono::seconds(10));
    CHECK(FindEndpoint(directory, kId) != nullptr);
  }
}

TEST_CASE("one that was leaving before an outage isn't kept") {
  EndpointDirectory directory;
  PutEndpoint(directory, MakeEntry(1, true));
  NotePlatformBack(directory, kNow);
  RemoveEndpoint(directory, kId, kNow);
  CHECK(FindEndpoint(directory, kId) == nullptr);
}

}  // namespace
}  // namespace dotterelshed
