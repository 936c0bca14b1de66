#include "dotterelshed/stream_origins.h"

#include <catch2/catch.hpp>

namespace dotterelshed {
namespace {

constexpr TimePoint kNow{std::chrono::hours(1)};
constexpr Duration kLifetime = std::chrono::seconds(10);
const RequestId kAttempt("r1");

auto MakeOrigin(const std::string& software,
                TimePoint expires = kNow + kLifetime) -> StreamOrigin {
  return {.m_software = SoftwareVersion(software), .m_expires = expires};
}

TEST_CASE("the version that began a stream is known until it expires") {
  StreamOrigins origins;
  CHECK_FALSE(FindOrigin(origins, kAttempt, kNow));
  AddOrigin(origins, kAttempt, MakeOrigin("v1"), kNow);
  CHECK(FindOrigin(origins, kAttempt, kNow) == SoftwareVersion("v1"));
  CHECK_FALSE(FindOrigin(origins, kAttempt, kNow + kLifetime));
}

TEST_CASE("a stream that has begun doesn't begin at another version") {
  StreamOrigins origins;
  AddOrigin(origins, kAttempt, MakeOrigin("v1"), kNow);
  AddOrigin(origins, kAttempt, MakeOrigin("v2"), kNow);
  CHECK(FindOrigin(origins, kAttempt, kNow) == SoftwareVersion("v1"));
}

TEST_CASE("the number of kept streams is bounded") {
  StreamOrigins origins;
  for (std::size_t i = 0; i < kMaxStreamOrigins + 10; ++i) {
    AddOrigin(origins, RequestId(std::to_string(i)), MakeOrigin("v1"), kNow);
  }
  CHECK(origins.m_by_attempt.size() == kMaxStreamOrigins);
  CHECK_FALSE(FindOrigin(origins, RequestId("9"), kNow));
  CHECK(FindOrigin(origins, RequestId("10"), kNow));
  AddOrigin(origins, kAttempt, MakeOrigin("v1", kNow + kLifetime * 3),
            kNow + kLifetime);
  CHECK(origins.m_by_attempt.size() == 1);
  CHECK(origins.m_order.size() == 1);
}

}  // namespace
}  // namespace dotterelshed
