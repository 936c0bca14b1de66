#include "dotterelshed/endpoint_directory.h"

#include <catch2/catch.hpp>

namespace dotterelshed {
namespace {

const TimePoint kNow{std::chrono::seconds(50)};
const EndpointId kId("e1");

/// An outage that ends at kNow: the last answer was @p away before, and the
/// last failed call was sent @p failed before.
auto EndedOutage(Duration away, Duration failed) -> PlatformOutage {
  return {.m_last_seen = kNow - away,
          .m_failed_call_sent = kNow - failed,
          .m_recovered_at = kNow};
}

const auto kLongOutage =
    EndedOutage(std::chrono::seconds(4), std::chrono::milliseconds(900));

auto MakeEntry(std::int64_t version, bool leaving = false) -> EndpointEntry {
  return {.m_id = kId,
          .m_service = ServiceId("s"),
          .m_address = "127.0.0.1:1",
          .m_leaving = leaving,
          .m_version = ResourceVersion(version)};
}

TEST_CASE("an older version doesn't replace a newer entry") {
  EndpointDirectory directory;
  PutEndpoint(directory, MakeEntry(5, true));
  PutEndpoint(directory, MakeEntry(4, false));
  CHECK(FindEndpoint(directory, kId)->m_leaving);
  CHECK(directory.m_by_service.at(ServiceId("s")).size() == 1);
}

TEST_CASE("a removed entry is dropped at once without an outage") {
  EndpointDirectory directory;
  PutEndpoint(directory, MakeEntry(1));
  RemoveEndpoint(directory, kId, kNow);
  CHECK(FindEndpoint(directory, kId) == nullptr);
  CHECK(directory.m_by_service.empty());
}

TEST_CASE("an entry that expired in an outage has a grace period") {
  EndpointDirectory directory;
  PutEndpoint(directory, MakeEntry(1));
  NotePlatformRecovered(directory, kLongOutage);
  ReplaceEndpoints(directory, {}, kNow);
  REQUIRE(FindEndpoint(directory, kId) != nullptr);
  SECTION("it is dropped after the grace period") {
    DropExpiredEndpoints(directory, kNow + std::chrono::milliseconds(2100));
    CHECK(FindEndpoint(directory, kId) != nullptr);
    DropExpiredEndpoints(directory, kNow + std::chrono::milliseconds(2200));
    CHECK(FindEndpoint(directory, kId) == nullptr);
  }
  SECTION("it stays if it registers again") {
    PutEndpoint(directory, MakeEntry(2));
    DropExpiredEndpoints(directory, kNow + std::chrono::seconds(10));
    CHECK(FindEndpoint(directory, kId) != nullptr);
  }
}

TEST_CASE("a broken watch alone doesn't hold a removed entry") {
  EndpointDirectory directory;
  PutEndpoint(directory, MakeEntry(1));
  NotePlatformRecovered(directory,
                        EndedOutage(std::chrono::milliseconds(1900),
                                    std::chrono::milliseconds(1900)));
  CHECK(ReplaceEndpoints(directory, {}, kNow).front().m_kind ==
        EndpointChangeKind::kRemoved);
  CHECK(FindEndpoint(directory, kId) == nullptr);
}

TEST_CASE("the grace period is limited from the last failed call on") {
  EndpointDirectory directory;
  PutEndpoint(directory, MakeEntry(1));
  NotePlatformRecovered(
      directory, EndedOutage(std::chrono::seconds(4), std::chrono::seconds(3)));
  CHECK(RemoveEndpoint(directory, kId, kNow).m_kind ==
        EndpointChangeKind::kHeld);
  DropExpiredEndpoints(directory, kNow + std::chrono::milliseconds(1700));
  CHECK(FindEndpoint(directory, kId) != nullptr);
  DropExpiredEndpoints(directory, kNow + std::chrono::milliseconds(1800));
  CHECK(FindEndpoint(directory, kId) == nullptr);
}

TEST_CASE("an entry that was leaving gets no grace period") {
  EndpointDirectory directory;
  PutEndpoint(directory, MakeEntry(1, true));
  NotePlatformRecovered(directory, kLongOutage);
  RemoveEndpoint(directory, kId, kNow);
  CHECK(FindEndpoint(directory, kId) == nullptr);
}

TEST_CASE("an endpoint that says that it leaves is out of use, listed or not") {
  EndpointDirectory directory;
  PutEndpoint(directory, MakeEntry(1));
  CHECK(AnnounceLeaving(directory, kId, kNow).m_kind ==
        EndpointChangeKind::kLeaving);
  CHECK(AnnounceLeaving(directory, kId, kNow).m_kind ==
        EndpointChangeKind::kNone);
  CHECK(FindEndpoint(directory, kId)->m_leaving);

  SECTION("a listing that calls it ready changes nothing") {
    CHECK(PutEndpoint(directory, MakeEntry(2)).m_kind ==
          EndpointChangeKind::kNone);
    CHECK(FindEndpoint(directory, kId)->m_leaving);
  }
  SECTION("nor does an entry that vanished and came back") {
    RemoveEndpoint(directory, kId, kNow);
    PutEndpoint(directory, MakeEntry(3));
    CHECK(FindEndpoint(directory, kId)->m_leaving);
  }
  SECTION("once it has restarted it is in use again") {
    auto entry = MakeEntry(2);
    entry.m_started_unix_ms = 7;
    CHECK(PutEndpoint(directory, entry).m_kind ==
          EndpointChangeKind::kRestarted);
    CHECK_FALSE(FindEndpoint(directory, kId)->m_leaving);
    CHECK(directory.m_announced.empty());
  }
}

}  // namespace
}  // namespace dotterelshed
