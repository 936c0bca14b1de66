#include "stream/stream_messages.h"

#include <catch2/catch.hpp>

namespace dotterelshed {
namespace {

TEST_CASE("messages about streams that began are read back") {
  const auto begun = DecodeStreamBegun(
      EncodeStreamBegun({.m_attempt = RequestId("r\xff"),
                         .m_software = SoftwareVersion("v1.2"),
                         .m_lifetime = std::chrono::seconds(15)}));
  REQUIRE(begun);
  CHECK(begun->m_attempt == RequestId("r\xff"));
  CHECK(begun->m_software == SoftwareVersion("v1.2"));
  CHECK(begun->m_lifetime == std::chrono::seconds(15));
  const auto answer = DecodeStreamAnswer(
      EncodeStreamAnswer({.m_software = SoftwareVersion("v1.2")}));
  REQUIRE(answer);
  CHECK(answer->m_software == SoftwareVersion("v1.2"));
  CHECK_FALSE(DecodeStreamAnswer(EncodeStreamAnswer({}))->m_software);
}

TEST_CASE("malformed messages about streams are rejected") {
  for (const auto* text : {"", "{}", "[]", R"({"attempt":1})",
                           R"({"attempt":"r","software":"v"})"}) {
    CHECK_FALSE(DecodeStreamBegun(text));
  }
  CHECK_FALSE(DecodeStreamQuestion("{}"));
  CHECK_FALSE(DecodeStreamAnswer(R"({"software":1})"));
}

}  // namespace
}  // namespace dotterelshed
